package controller

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/process/audit"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
	standinplatform "github.com/ragworttrestle/ragworttrestle/internal/standin/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/standin/runner"
	"github.com/ragworttrestle/ragworttrestle/internal/testport"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

const (
	testZone    = "zone-a"
	testTimeout = 30 * time.Second
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testEnv runs a stand-in platform, stand-in runners and controllers in the test process.
type testEnv struct {
	t       *testing.T
	peerKey string // file with the shared key of the peers
	store   *standinplatform.Store
	runners map[string]*runner.Runner
}

// newTestEnv returns an environment with a model "smoke" and the named runners in testZone.
// checksFencing sets whether their engines refuse orders with an old fencing token. The test
// runs in parallel with others.
func newTestEnv(t *testing.T, checksFencing bool, runners ...string) *testEnv {
	t.Helper()
	t.Parallel()
	key := filepath.Join(t.TempDir(), "peer.key")
	// Each test has its own peer key. Tests run in parallel, and one may open a port that another
	// test has closed but still dials. With a common key, a controller received the configuration
	// of another test that way.
	if err := os.WriteFile(key, []byte(platform.NewNonce()), 0o600); err != nil {
		t.Fatal(err)
	}
	s := &testEnv{t: t, peerKey: key, store: standinplatform.New(standinplatform.Config{}), runners: map[string]*runner.Runner{}}
	s.put(resource.KindEngine, "engine", resource.Engine{
		ChecksFencing: checksFencing, KVTokens: 1 << 20, PrefillRate: 1e6, DecodeRate: 1e4, StreamRate: 1e3,
		MaxBatch: 64, RoleChangeSeconds: 1, LoadSeconds: 1,
	})
	s.put(resource.KindModel, "smoke", resource.Model{ContextTokens: 4096})
	for _, name := range runners {
		s.addRunner(name, checksFencing)
	}
	return s
}

// put creates an object or replaces its spec, as an operator does.
func (s *testEnv) put(kind, name string, spec any) {
	s.t.Helper()
	o, err := resource.Encode(kind, name, spec)
	if err != nil {
		s.t.Fatal(err)
	}
	if have, err := s.store.Get(context.Background(), kind, name); err == nil {
		o.Version = have.Version
	}
	o.Writer = "operator"
	if _, err := platform.Write(context.Background(), s.store, o); err != nil {
		s.t.Fatal(err)
	}
}

func (s *testEnv) addRunner(name string, checksFencing bool) {
	s.t.Helper()
	s.addRunnerIn(testZone, name, checksFencing, upstream.RoleBoth)
}

// addRunnerIn starts a stand-in runner in a zone and writes its Runner object.
func (s *testEnv) addRunnerIn(zone, name string, checksFencing bool, role upstream.Role) {
	s.t.Helper()
	r := runner.New(runner.Config{
		Name: name, ChecksFencing: checksFencing, Role: role,
		Loaded: []upstream.Loaded{{Model: "smoke", Version: "v1"}},
		Cost: runner.Cost{
			PrefillRate: 1e6, StreamRate: 100, DecodeRate: 1e4, MaxBatch: 64, KVTokens: 1 << 20, KVTransferRate: 1e6,
			RoleChange: 400 * time.Millisecond, LoadModel: 200 * time.Millisecond, LoadAdapter: 50 * time.Millisecond,
		},
	})
	s.t.Cleanup(r.Close)
	address, err := r.Listen(testport.Address(s.t))
	if err != nil {
		s.t.Fatal(err)
	}
	s.runners[name] = r
	s.put(resource.KindRunner, name, resource.Runner{
		Engine: "engine", Address: address, Zone: zone, Model: "smoke",
		Role: string(role), State: resource.RunnerServing,
	})
}

// edit changes the spec of a Runner object, as an operator does.
func (s *testEnv) edit(name string, change func(*resource.Runner)) {
	s.t.Helper()
	o, err := s.store.Get(context.Background(), resource.KindRunner, name)
	if err != nil {
		s.t.Fatal(err)
	}
	spec, err := resource.Decode[resource.Runner](o)
	if err != nil {
		s.t.Fatal(err)
	}
	change(&spec)
	s.put(resource.KindRunner, name, spec)
}

func setRole(role upstream.Role) func(*resource.Runner) {
	return func(r *resource.Runner) { r.Role = string(role) }
}

// process is a running controller.
type process struct {
	*Controller
	audit *memoryAuditor
	store *faultyStore
	stop  func() error // stops the controller gracefully and returns the result of Run
}

// memoryAuditor is an Auditor that keeps the entries in memory.
type memoryAuditor struct {
	mu      sync.Mutex
	entries []audit.Entry
	flushed bool
}

func (a *memoryAuditor) Record(c audit.Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.entries = append(a.entries, c)
}

func (a *memoryAuditor) Flush(context.Context) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.flushed = true
	return nil
}

// find returns the first entry with the given Kind and Outcome.
func (a *memoryAuditor) find(what audit.ChangeKind, outcome string) (audit.Entry, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.entries {
		if c.Kind == what && c.Outcome == outcome {
			return c, true
		}
	}
	return audit.Entry{}, false
}

// faultyStore is a store whose reads of single objects and updates fail while unavailable is
// set, and which delays the creation of drain marks by drainDelay.
type faultyStore struct {
	platform.Store
	mu          sync.Mutex
	unavailable bool
	drainDelay  time.Duration
	drainWrites int // creations of drain marks that were started
	maxDrains   int // largest number of drain marks that existed at once
}

// Create delays the creation of drain marks and records the largest number that existed at once.
func (s *faultyStore) Create(ctx context.Context, o platform.Object) (platform.Object, error) {
	if o.Kind != resource.KindDrain {
		return s.Store.Create(ctx, o)
	}
	if err := platform.Sleep(ctx, s.countDrain()); err != nil {
		return platform.Object{}, err
	}
	created, err := s.Store.Create(ctx, o)
	if marks, _, listErr := s.Store.List(ctx, resource.KindDrain); listErr == nil {
		s.mu.Lock()
		s.maxDrains = max(s.maxDrains, len(marks))
		s.mu.Unlock()
	}
	return created, err
}

// countDrain counts a drain mark that is to be created and returns the delay before it.
func (s *faultyStore) countDrain() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainWrites++
	return s.drainDelay
}

func (s *faultyStore) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

func (s *faultyStore) setDrainDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainDelay = delay
}

// drainCounts returns how many creations of drain marks have started, and the largest number of
// marks that existed at once.
func (s *faultyStore) drainCounts() (writes, maxAtOnce int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drainWrites, s.maxDrains
}

func (s *faultyStore) check() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return platform.ErrUnavailable
	}
	return nil
}

func (s *faultyStore) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	if err := s.check(); err != nil {
		return platform.Object{}, err
	}
	return s.Store.Get(ctx, kind, name)
}

func (s *faultyStore) Update(ctx context.Context, o platform.Object) (platform.Object, error) {
	if err := s.check(); err != nil {
		return platform.Object{}, err
	}
	return s.Store.Update(ctx, o)
}

// start runs a controller in testZone until the end of the test.
func (s *testEnv) start(name string, seeds ...string) *process {
	s.t.Helper()
	set := &settings.Controller{
		Instance:  settings.Instance{Name: name, Zone: testZone},
		Platform:  settings.Platform{Address: "http://127.0.0.1:1"},
		Peer:      settings.Peer{Listen: settings.Listener{Address: testport.Address(s.t)}, SharedKey: settings.Secret{File: s.peerKey}, HeartbeatMS: 100, Seeds: seeds},
		Operators: settings.Operators{Listen: settings.Listener{Address: testport.Address(s.t)}},
		Stop:      settings.Stop{DrainMS: 10_000},
		Lease:     settings.Lease{TTLMS: 1500, MarginMS: 300, OrderLifeMS: 500},
	}
	set.SetDefaults()
	p := &process{audit: &memoryAuditor{}, store: &faultyStore{Store: s.store}}
	c, err := New(Config{Settings: set, Store: p.store, Auditor: p.audit})
	if err != nil {
		s.t.Fatal(err)
	}
	p.Controller = c
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	p.stop = sync.OnceValue(func() error {
		cancel()
		return <-done
	})
	s.t.Cleanup(func() { _ = p.stop() })
	return p
}

// waitFor waits until a condition holds and fails the test after testTimeout.
func (s *testEnv) waitFor(what string, condition func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			s.t.Fatalf("timed out after %s: %s", testTimeout, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *testEnv) waitForRole(name string, role upstream.Role) {
	s.t.Helper()
	s.waitFor(fmt.Sprintf("%s has role %s", name, role), func() bool { return s.runners[name].State().Role == role })
}

// status returns the published status of a runner, or a zero Status if there is none.
func (s *testEnv) status(name string) resource.Status {
	o, err := s.store.Get(context.Background(), resource.KindStatus, "Runner/"+name)
	if err != nil {
		return resource.Status{}
	}
	status, err := resource.Decode[resource.Status](o)
	if err != nil {
		s.t.Fatal(err)
	}
	return status
}

func (s *testEnv) waitForPhase(name, phase string) {
	s.t.Helper()
	s.waitFor(name+" is published as "+phase, func() bool { return s.status(name).Phase == phase })
}

// leader waits until one of the processes holds the zone's lease and returns it.
func (s *testEnv) leader(processes ...*process) *process {
	s.t.Helper()
	var found *process
	s.waitFor("a leader", func() bool {
		o, err := s.store.Get(context.Background(), resource.KindLease, testZone)
		if err != nil {
			return false
		}
		lease, err := resource.Decode[resource.Lease](o)
		if err != nil {
			s.t.Fatal(err)
		}
		for _, p := range processes {
			if p.self.Name == lease.Holder {
				found = p
			}
		}
		return found != nil
	})
	return found
}

// orders returns how many orders a runner executed. The test fails if requests were running at
// the engine when it executed one of them, since the order cut them off.
func (s *testEnv) orders(name string) int {
	s.t.Helper()
	log := s.runners[name].OrderLog()
	for _, o := range log {
		if o.Streams > 0 {
			s.t.Errorf("order %s cut %d requests", o.Order.ID, o.Streams)
		}
	}
	return len(log)
}

// A role that an operator sets must reach the engine by exactly one order, whether or not the
// engine checks fencing tokens. The order must appear in the audit trail and in explain.
func TestOperatorChangesRole(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("fencing %v", checks), func(t *testing.T) {
			s := newTestEnv(t, checks, "r1", "r2")
			a := s.start("c-a")
			b := s.start("c-b", a.Addresses().Peers.String())
			s.leader(a, b)
			s.edit("r1", setRole(upstream.RoleDecode))
			s.waitForRole("r1", upstream.RoleDecode)
			s.waitForPhase("r1", "serving")
			if n := s.orders("r1"); n != 1 {
				t.Errorf("%d orders, want 1", n)
			}
			if n := s.orders("r2"); n != 0 {
				t.Errorf("%d orders at the other runner", n)
			}
			if _, err := s.store.Get(context.Background(), resource.KindDrain, "r1"); err == nil {
				t.Error("the drain mark was not removed")
			}
			lead := s.leader(a, b)
			if c, ok := lead.audit.find(audit.ChangeOrder, "done"); !ok || c.Object != "Runner/r1" || c.Epoch == 0 || c.Why == "" {
				t.Errorf("audit entry %+v", c)
			}
			if _, ok := lead.audit.find(audit.ChangeOrder, "opened"); !ok {
				t.Error("the opened order is not in the audit trail")
			}
			if lines := (opsSource{a.Controller}.Explain(context.Background(), "", "r1-1")); len(lines) == 0 {
				t.Error("explain returns nothing about the order")
			}
		})
	}
}

// If the lease holder is killed while an order is open, the next holder must finish that order
// and close its slot, and the engine must not execute the order twice.
func TestNextHolderFinishesOpenOrder(t *testing.T) {
	s := newTestEnv(t, false, "r1")
	a := s.start("c-a")
	b := s.start("c-b", a.Addresses().Peers.String())
	killed := s.leader(a, b)
	s.edit("r1", setRole(upstream.RolePrefill))
	s.waitFor("the order is open", func() bool {
		o, err := s.store.Get(context.Background(), resource.KindOrderSlot, "r1")
		return err == nil && strings.Contains(string(o.Spec), `"state":"open"`)
	})
	killed.cancel() // ends all I/O without releasing the lease
	s.waitForRole("r1", upstream.RolePrefill)
	s.waitFor("the slot is closed by the next holder", func() bool {
		o, err := s.store.Get(context.Background(), resource.KindOrderSlot, "r1")
		return err == nil && o.Writer != killed.self.Name && strings.Contains(string(o.Spec), `"state":"closed"`)
	})
	s.waitForPhase("r1", "serving")
	if n := s.orders("r1"); n != 1 {
		t.Errorf("%d orders executed, want 1", n)
	}
}

// If an operator changes a role again while an order for an earlier role is under way, the runner
// must end up with the latest role and keep it.
func TestLatestOfSeveralRoleChangesWins(t *testing.T) {
	s := newTestEnv(t, true, "r1")
	p := s.start("c-a")
	s.leader(p)
	for _, role := range []upstream.Role{upstream.RoleDecode, upstream.RolePrefill, upstream.RoleDecode, upstream.RolePrefill} {
		s.edit("r1", setRole(role))
		time.Sleep(150 * time.Millisecond)
	}
	s.waitForRole("r1", upstream.RolePrefill)
	s.waitForPhase("r1", "serving")
	if s.runners["r1"].State().Role != upstream.RolePrefill {
		t.Error("the latest desired role did not last")
	}
}

// An order at a draining runner must wait until the stream that runs there has ended.
func TestDrainCutsNoRequest(t *testing.T) {
	s := newTestEnv(t, true, "r1", "r2")
	p := s.start("c-a")
	s.leader(p)
	s.waitForPhase("r1", "serving")
	engine := upstream.NewHTTP(runnerAddress(s, "r1"), upstream.HTTPOptions{Name: "r1"})
	defer engine.(interface{ Close() error }).Close()
	stream, err := engine.Run(context.Background(), upstream.RunRequest{RunID: "x", Model: "smoke", Version: "v1", Prompt: "p", MaxTokens: 800})
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	s.edit("r1", func(r *resource.Runner) { r.State = resource.RunnerDrained })
	s.waitForPhase("r1", "draining")
	s.edit("r1", setRole(upstream.RoleDecode)) // must not take effect before the stream has ended
	tokens := 0
	for {
		item, err := stream.Recv(context.Background())
		if err != nil {
			t.Fatalf("stream cut after %d tokens: %v", tokens, err)
		}
		if item.End != nil {
			break
		}
		tokens++
	}
	if tokens != 800 {
		t.Errorf("%d tokens, want 800", tokens)
	}
	s.waitForRole("r1", upstream.RoleDecode)
	s.waitForPhase("r1", "drained")
	if n := s.orders("r1"); n != 1 {
		t.Errorf("%d orders, want 1", n)
	}
}

func runnerAddress(s *testEnv, name string) string {
	o, err := s.store.Get(context.Background(), resource.KindRunner, name)
	if err != nil {
		s.t.Fatal(err)
	}
	spec, err := resource.Decode[resource.Runner](o)
	if err != nil {
		s.t.Fatal(err)
	}
	return spec.Address
}

// A controller that cannot renew its lease must stop sending orders, and must send the order for
// a change that came meanwhile after the outage.
func TestNoOrdersDuringPlatformOutage(t *testing.T) {
	s := newTestEnv(t, true, "r1")
	p := s.start("c-a")
	s.leader(p)
	s.waitForPhase("r1", "serving")
	p.store.setUnavailable(true)
	s.waitFor("ordering stops", func() bool { return !p.mayOrder() })
	s.edit("r1", setRole(upstream.RoleDecode))
	time.Sleep(500 * time.Millisecond)
	if n := s.orders("r1"); n != 0 {
		t.Errorf("%d orders during the outage", n)
	}
	p.store.setUnavailable(false)
	s.waitForRole("r1", upstream.RoleDecode)
}

// mayOrder reports whether the process may send orders in its zone.
func (p *process) mayOrder() bool {
	reply := make(chan bool, 1)
	p.post(func() { reply <- p.zones[testZone].leads() })
	return <-reply
}

// A controller that stops gracefully while an engine executes an order must wait for the order's
// end, release the lease so that the other controller can send orders, and flush the audit trail.
func TestGracefulStop(t *testing.T) {
	s := newTestEnv(t, true, "r1")
	a := s.start("c-a")
	b := s.start("c-b", a.Addresses().Peers.String())
	lead := s.leader(a, b)
	s.edit("r1", setRole(upstream.RoleDecode))
	s.waitFor("the engine executes", func() bool { return s.runners["r1"].State().OrderStatus == upstream.OrderRunning })
	ready := "http://" + lead.Addresses().Operators.String() + "/ready"
	if code := statusOf(t, ready); code != http.StatusOK {
		t.Errorf("/ready returned %d", code)
	}
	if err := lead.stop(); err != nil {
		t.Fatal(err)
	}
	o, err := s.store.Get(context.Background(), resource.KindOrderSlot, "r1")
	if err != nil || !strings.Contains(string(o.Spec), `"outcome":"done"`) {
		t.Errorf("slot %s: the controller stopped before the running order finished", o.Spec)
	}
	if _, ok := lead.audit.find(audit.ChangeLease, "given up"); !ok || !lead.audit.flushed {
		t.Error("the release of the lease is not in a flushed audit trail")
	}
	other := a
	if lead == a {
		other = b
	}
	s.leader(other)
	s.edit("r1", setRole(upstream.RolePrefill))
	s.waitForRole("r1", upstream.RolePrefill)
}

// statusOf returns the HTTP status of a GET request.
func statusOf(t *testing.T, url string) int {
	t.Helper()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// If the engine crashes during an order and the response to an order is lost, the controller must
// still give the runner the desired role and publish it as serving.
func TestEngineCrashDuringOrder(t *testing.T) {
	s := newTestEnv(t, true, "r1", "r2")
	p := s.start("c-a")
	s.leader(p)
	s.runners["r1"].SetFaults(runner.Faults{CrashInOrders: 1, LoseOrderResponses: 1})
	s.edit("r1", setRole(upstream.RoleDecode))
	s.waitForRole("r1", upstream.RoleDecode)
	s.waitForPhase("r1", "serving")
}

// If all runners of a model with MinServing 2 of 3 change their version, only one of them may be
// draining at a time.
func TestRollingRelease(t *testing.T) {
	s := newTestEnv(t, true, "r1", "r2", "r3")
	s.put(resource.KindModel, "smoke", resource.Model{ContextTokens: 4096, MinServing: 2})
	p := s.start("c-a")
	s.leader(p)
	for name := range s.runners {
		s.edit(name, func(r *resource.Runner) { r.Versions = []string{"v2"} })
	}
	s.waitFor("every runner holds v2 alone", func() bool {
		draining := 0
		all := true
		for name, r := range s.runners {
			if _, err := s.store.Get(context.Background(), resource.KindDrain, name); err == nil {
				draining++
			}
			l := r.State().Loaded
			all = all && len(l) == 1 && l[0].Version == "v2"
		}
		if draining > 1 {
			t.Fatalf("%d runners draining at once", draining)
		}
		return all
	})
}

// While the drain mark of a runner is being written, the runner must already count as draining;
// otherwise another runner is drained in addition. Here the write for r3 takes a second, and r1
// changes meanwhile. r1 precedes r3 by name.
func TestUnwrittenDrainMarkCounts(t *testing.T) {
	s := newTestEnv(t, true, "r1", "r2", "r3")
	s.put(resource.KindModel, "smoke", resource.Model{ContextTokens: 4096, MinServing: 2})
	p := s.start("c-a")
	p.store.setDrainDelay(time.Second)
	s.leader(p)
	s.edit("r3", func(r *resource.Runner) { r.Versions = []string{"v2"} })
	s.waitFor("the drain mark of r3 is being written", func() bool {
		writes, _ := p.store.drainCounts()
		return writes > 0
	})
	s.edit("r1", func(r *resource.Runner) { r.Versions = []string{"v2"} })
	s.waitFor("r1 and r3 hold v2 alone", func() bool {
		if _, maxAtOnce := p.store.drainCounts(); maxAtOnce > 1 {
			t.Fatalf("%d runners draining at once", maxAtOnce)
		}
		one, three := s.runners["r1"].State().Loaded, s.runners["r3"].State().Loaded
		return len(one) == 1 && one[0].Version == "v2" && len(three) == 1 && three[0].Version == "v2"
	})
}

// The rejection of an invalid object must be published as its status and replaced when a valid
// version follows. A runner's status must follow the version of the Runner object and be removed
// with it.
func TestRejectedObjectsArePublished(t *testing.T) {
	s := newTestEnv(t, true, "r1")
	p := s.start("c-a")
	s.leader(p)
	s.put(resource.KindRoute, "alert", resource.Route{Model: "smoke", Priority: 99})
	s.waitFor("the rejection is published", func() bool {
		o, err := s.store.Get(context.Background(), resource.KindStatus, "Route/alert")
		return err == nil && strings.Contains(string(o.Spec), `"accepted":false`) && strings.Contains(string(o.Spec), "99")
	})
	s.put(resource.KindRoute, "alert", resource.Route{Model: "smoke", Priority: 9})
	s.waitFor("the acceptance is published", func() bool {
		o, err := s.store.Get(context.Background(), resource.KindStatus, "Route/alert")
		return err == nil && strings.Contains(string(o.Spec), `"accepted":true`)
	})
	o, err := s.store.Get(context.Background(), resource.KindRunner, "r1")
	if err != nil {
		t.Fatal(err)
	}
	s.waitFor("the runner's status has its latest version", func() bool { return s.status("r1").Version == o.Version })
	if err := s.store.Delete(context.Background(), resource.KindRunner, "r1", 0, "operator", platform.NewNonce()); err != nil {
		t.Fatal(err)
	}
	s.waitFor("the status of the deleted runner is removed", func() bool {
		_, err := s.store.Get(context.Background(), resource.KindStatus, "Runner/r1")
		return err != nil
	})
}

// A controller must also acquire the lease of a zone that has runners but no controller of its own.
func TestZoneWithoutControllers(t *testing.T) {
	s := newTestEnv(t, true, "r1")
	s.addRunnerIn("zone-b", "r2", true, upstream.RoleBoth)
	p := s.start("c-a")
	s.leader(p)
	s.edit("r2", setRole(upstream.RoleDecode))
	s.waitForRole("r2", upstream.RoleDecode)
	s.waitForPhase("r2", "serving")
}

// The role policy must change the role of a prefill runner if the decode engines cannot meet the
// demand for output tokens.
func TestDemandChangesRole(t *testing.T) {
	s := newTestEnv(t, true)
	for _, name := range []string{"r1", "r2", "r3"} {
		s.addRunnerIn(testZone, name, true, upstream.RolePrefill)
	}
	s.addRunnerIn(testZone, "r4", true, upstream.RoleDecode)
	s.put(resource.KindEngine, "engine", resource.Engine{
		ChecksFencing: true, KVTokens: 100_000, PrefillRate: 8000, DecodeRate: 1200, StreamRate: 60,
		MaxBatch: 32, RoleChangeSeconds: 1, LoadSeconds: 1, KVTransferRate: 1e5,
	})
	s.put(resource.KindRoute, "chat", resource.Route{Model: "smoke", OnTime: resource.OnTime{FirstTokenMS: 1800, InterTokenMS: 30}, Idempotent: true})
	p := s.start("c-a")
	s.leader(p)
	for name := range s.runners {
		s.edit(name, func(r *resource.Runner) { r.Role = resource.RoleAuto })
	}
	rows := []peer.DemandRow{{Model: "smoke", Route: "chat", Arrived: 2, Prefill: 200, Decode: 400}}
	decided := func() bool {
		p.post(func() { p.roles.Observe(time.Now(), rows) })
		time.Sleep(90 * time.Millisecond) // about 20 requests and 4,000 output tokens per second
		c, ok := p.audit.find(audit.ChangeRole, "decided")
		return ok && c.From == string(upstream.RolePrefill) && c.To != c.From
	}
	s.waitFor("a role change is decided", decided)
	s.waitFor("the role change takes effect", func() bool {
		decided()
		left := 0
		for _, r := range s.runners {
			if r.State().Role == upstream.RolePrefill {
				left++
			}
		}
		return left < 3
	})
}

// If responses or writes of the platform are lost, a runner must not execute an order twice, nor
// an order with an old fencing token.
func TestLostPlatformResponses(t *testing.T) {
	s := newTestEnv(t, true, "r1", "r2")
	a := s.start("c-a")
	b := s.start("c-b", a.Addresses().Peers.String())
	s.leader(a, b)
	roles := []upstream.Role{upstream.RoleDecode, upstream.RolePrefill, upstream.RoleBoth}
	for i := range 12 {
		s.edit("r1", setRole(roles[i%len(roles)]))
		s.store.SetFault(standinplatform.Fault{LoseResponses: 1 + i%2, LoseWrites: i % 3})
		time.Sleep(200 * time.Millisecond)
	}
	s.store.SetFault(standinplatform.Fault{})
	s.edit("r1", setRole(upstream.RoleDecode))
	s.waitForRole("r1", upstream.RoleDecode)
	s.waitForPhase("r1", "serving")
	s.orders("r1")
	seen := map[string]bool{}
	for _, o := range s.runners["r1"].OrderLog() {
		if o.Stale || seen[o.Order.ID] {
			t.Errorf("order %+v: stale or executed twice", o)
		}
		seen[o.Order.ID] = true
	}
}
