package gateway

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
	standinplatform "github.com/ragworttrestle/ragworttrestle/internal/standin/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/standin/runner"
	"github.com/ragworttrestle/ragworttrestle/internal/standin/service"
	"github.com/ragworttrestle/ragworttrestle/internal/testport"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

const (
	testKey     = "key-of-the-clinic"
	testZone    = "zone-a"
	testModel   = "smoke"
	testTimeout = 20 * time.Second
)

// TestMain runs the tests and fails if any goroutine is left after them.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fleet holds the stand-ins and gateways of one test: the platform's store and the runners; gateways and plain
// services are started by its methods. All run in the test's process.
type fleet struct {
	t       *testing.T
	store   *standinplatform.Store
	runners map[string]*runner.Runner

	pollTimeout time.Duration // of gateways started later; 0: the default
}

// fastCost lets stand-ins answer within milliseconds.
var fastCost = runner.Cost{
	PrefillRate: 1e6, StreamRate: 2000, DecodeRate: 40000, MaxBatch: 64, KVTokens: 1 << 20, KVTransferRate: 1e7,
}

// newFleet returns a fleet with the given runners, one model, the routes "alert" (not idempotent) and "chat"
// (idempotent) and the client account "clinic", whose key is testKey.
func newFleet(t *testing.T, runners ...runner.Config) *fleet {
	t.Helper()
	t.Setenv("TEST_PEER_KEY", platform.NewNonce()) // a key of its own for each test: ports are reused, and gateways of two tests must not connect
	f := &fleet{t: t, store: standinplatform.New(standinplatform.Config{}), runners: map[string]*runner.Runner{}}
	f.put(resource.KindEngine, "engine", resource.Engine{
		ChecksFencing: true, DeduplicatesRuns: true, KVTokens: 1 << 20, PrefillRate: 1e6, DecodeRate: 40000,
		StreamRate: 2000, MaxBatch: 64, RoleChangeSeconds: 1, LoadSeconds: 1, KVTransferRate: 1e7,
	})
	f.put(resource.KindModel, testModel, resource.Model{ContextTokens: 4096, WeightsGB: 1, MinPrefill: 1, MinDecode: 1, MinServing: 1})
	f.put(resource.KindVersion, "smoke-1", resource.Version{Model: testModel, Source: "smoke-1"})
	f.put(resource.KindRoute, "alert", resource.Route{Model: testModel, Priority: 5, MaxTokens: 400})
	f.put(resource.KindRoute, "chat", resource.Route{Model: testModel, Priority: 3, Idempotent: true})
	f.put(resource.KindClientAccount, "clinic", resource.ClientAccount{
		KeyHashes: []string{hashOf(testKey)}, RequestsPerSec: 10000, Burst: 10000, MaxPriority: 5,
	})
	for _, c := range runners {
		f.addRunner(c)
	}
	return f
}

// hashOf returns the hash of a key as client accounts hold it.
func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// put creates or replaces an object in the store.
func (f *fleet) put(kind, name string, spec any) {
	f.t.Helper()
	o, err := resource.Encode(kind, name, spec)
	if err != nil {
		f.t.Fatal(err)
	}
	o.Writer = "test"
	o.Nonce = platform.NewNonce()
	if have, err := f.store.Get(context.Background(), kind, name); err == nil {
		o.Version, o.UID = have.Version, have.UID
		_, err = f.store.Update(context.Background(), o)
		if err != nil {
			f.t.Fatal(err)
		}
		return
	}
	if _, err := f.store.Create(context.Background(), o); err != nil {
		f.t.Fatal(err)
	}
}

// addRunner starts a runner and adds it to the configuration. A zero Cost is replaced by fastCost.
func (f *fleet) addRunner(c runner.Config) {
	f.t.Helper()
	if c.Cost == (runner.Cost{}) {
		c.Cost = fastCost
	}
	c.DeduplicatesRuns = true
	c.Loaded = []upstream.Loaded{{Model: testModel, Version: "smoke-1"}}
	r := runner.New(c)
	f.t.Cleanup(r.Close)
	address, err := r.Listen(testport.Address(f.t))
	if err != nil {
		f.t.Fatal(err)
	}
	f.runners[c.Name] = r
	f.put(resource.KindRunner, c.Name, resource.Runner{
		Engine: "engine", Address: address, Zone: testZone, Model: testModel, Role: resource.RoleAuto, State: resource.RunnerServing,
	})
}

// testGateway is a running gateway under test.
type testGateway struct {
	*Gateway
	f    *fleet
	base string
	stop func() // shuts down gracefully
}

// settings returns the settings of a gateway with the given name.
func (f *fleet) settings(name string) *settings.Gateway {
	s := &settings.Gateway{
		Instance: settings.Instance{Name: name, Zone: testZone},
		Listen:   settings.Listener{Address: testport.Address(f.t)},
		Platform: settings.Platform{Address: "http://127.0.0.1:1"},
		Peer:     settings.Peer{Listen: settings.Listener{Address: testport.Address(f.t)}, SharedKey: settings.Secret{Env: "TEST_PEER_KEY"}, HeartbeatMS: 100},
		Operators: settings.Operators{
			Listen: settings.Listener{Address: testport.Address(f.t)},
		},
		Stop: settings.Stop{BalancerMS: 50, DrainMS: 5000},
	}
	s.SetDefaults()
	s.Limits.BodyBytes = 64 << 10
	return s
}

// start starts a gateway and waits until it has polled every runner with success.
func (f *fleet) start(s *settings.Gateway) *testGateway {
	f.t.Helper()
	g, err := New(Config{Settings: s, Store: f.store})
	if err != nil {
		f.t.Fatal(err)
	}
	f.store.PutInstance(s.Instance.Name, resource.Instance{
		Role: "gateway", Zone: testZone, PeerAddress: g.Addresses().Peers.String(), State: resource.InstanceLive,
	})
	if f.pollTimeout > 0 {
		g.poller.timeout = f.pollTimeout
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	stopped := false
	stop := func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		if err := receive(f.t, "the gateway ends", ended); err != nil {
			f.t.Errorf("gateway ended with %v", err)
		}
	}
	f.t.Cleanup(stop)
	r := &testGateway{Gateway: g, f: f, base: "http://" + g.Addresses().Callers.String(), stop: stop}
	r.eventually("every runner is known", func() bool {
		n := 0
		g.dispatcher.mu.Lock()
		defer g.dispatcher.mu.Unlock()
		if g.dispatcher.snapshot == nil {
			return false
		}
		for _, v := range g.dispatcher.tracker.View(time.Now(), g.dispatcher.snapshot) {
			if !v.Suspected {
				n++
			}
		}
		return n == len(f.runners)
	})
	return r
}

// eventually waits until ok returns true. It fails the test after testTimeout.
func (r *testGateway) eventually(what string, ok func() bool) {
	r.f.t.Helper()
	for until := time.Now().Add(testTimeout); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	r.f.t.Fatalf("timed out: %s", what)
}

// receive returns the next value of a channel. It fails the test if none comes within testTimeout.
func receive[T any](t *testing.T, what string, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("timed out: %s", what)
		panic("unreachable")
	}
}

// testRequest describes a caller's request; empty fields have defaults.
type testRequest struct {
	method, path, key, body string
	header                  map[string]string
	chunked                 bool // sent without Content-Length
}

// do sends the request to a gateway.
func (a testRequest) do(r *testGateway) (*http.Response, error) {
	method := a.method
	if method == "" {
		method = http.MethodPost
	}
	path := a.path
	if path == "" {
		path = pathCompletion
	}
	req, err := http.NewRequest(method, r.base+path, strings.NewReader(a.body))
	if err != nil {
		return nil, err
	}
	if a.chunked {
		req.ContentLength = -1
	}
	key := a.key
	if key == "" {
		key = testKey
	}
	req.Header.Set("Authorization", "Bearer "+key)
	for k, v := range a.header {
		req.Header.Set(k, v)
	}
	tr := &http.Transport{DisableKeepAlives: true}
	return tr.RoundTrip(req)
}

// testResponse is the response that a caller received. err is nil if there was no error.
type testResponse struct {
	status   int
	header   http.Header
	text     string
	complete bool // the end of the answer was received
	err      *errorFields
	raw      string
}

// get sends a request and reads the whole response.
func (r *testGateway) get(a testRequest) testResponse {
	r.f.t.Helper()
	resp, err := a.do(r)
	if err != nil {
		r.f.t.Fatal(err)
	}
	defer resp.Body.Close()
	return readResponse(resp)
}

// readResponse reads a streamed or buffered response to its end.
func readResponse(resp *http.Response) testResponse {
	out := testResponse{status: resp.StatusCode, header: resp.Header}
	if resp.Header.Get("Content-Type") == "text/event-stream" {
		out.readEvents(resp.Body)
		return out
	}
	raw, err := io.ReadAll(resp.Body)
	out.raw = string(raw)
	if err != nil {
		out.raw += " read: " + err.Error()
		return out
	}
	out.readObject(raw)
	out.complete = out.err == nil
	return out
}

// readEvents reads the events of a streamed response.
func (p *testResponse) readEvents(body io.Reader) {
	s := bufio.NewScanner(body)
	for s.Scan() {
		data, ok := strings.CutPrefix(s.Text(), "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			p.complete = true
		default:
			p.readObject([]byte(data))
		}
	}
}

// readObject adds the text or error of a JSON object to the response. It ignores anything else.
func (p *testResponse) readObject(raw []byte) {
	var decoded struct {
		responseBody
		errorBody
	}
	if json.Unmarshal(raw, &decoded) != nil {
		return
	}
	if decoded.Error.Kind != "" {
		p.err = &decoded.Error
	}
	for _, c := range decoded.Choices {
		switch {
		case c.Text != nil:
			p.text += *c.Text
		case c.Delta != nil:
			p.text += c.Delta.Content
		case c.Message != nil:
			p.text += c.Message.Content
		}
	}
}

// completion returns the body of a completion request for n tokens.
func completion(route, prompt string, n int, stream bool) string {
	return `{"model":"` + route + `","prompt":` + strconv.Quote(prompt) + `,"max_tokens":` + strconv.Itoa(n) +
		`,"stream":` + strconv.FormatBool(stream) + `}`
}

// answerTo returns the text with which every runner without Sampling answers a prompt, n tokens long.
func answerTo(prompt string, n int) string {
	return runner.OutputText(upstream.RunRequest{Model: testModel, Prompt: prompt, MaxTokens: n})
}

// wantComplete fails the test unless the response is the complete answer text.
func (p testResponse) wantComplete(t *testing.T, text string) {
	t.Helper()
	if p.err != nil || !p.complete || p.status != http.StatusOK {
		t.Fatalf("status %d, complete %v, error %+v, raw %s; want a complete answer", p.status, p.complete, p.err, p.raw)
	}
	if p.text != text {
		t.Fatalf("answer of %d bytes %.60q, want %d bytes %.60q", len(p.text), p.text, len(text), text)
	}
}

// wantError fails the test unless the response is an error of a kind and run state.
func (p testResponse) wantError(t *testing.T, kind errkind.Kind, run errkind.RunState) {
	t.Helper()
	if p.err == nil || p.err.Kind != kind || p.err.Run != run || p.complete {
		t.Fatalf("status %d, complete %v, error %+v, raw %.200s; want %s, run %s", p.status, p.complete, p.err, p.raw, kind, run)
	}
}

// testService holds the upstreams of one plain service.
type testService struct {
	upstreams []*service.Service
}

// addService starts a plain service with two upstreams and adds it to the configuration. deduplicates tells
// whether it deduplicates calls by Idempotency-Key.
func (f *fleet) addService(name string, deduplicates bool) *testService {
	f.t.Helper()
	s := &testService{}
	spec := resource.Service{Deduplicates: deduplicates}
	for i := range 2 {
		upstreamName := name + "-" + strconv.Itoa(i)
		u := service.New(service.Config{Name: upstreamName, Deduplicates: deduplicates})
		f.t.Cleanup(u.Close)
		address, err := u.Listen(testport.Address(f.t))
		if err != nil {
			f.t.Fatal(err)
		}
		s.upstreams = append(s.upstreams, u)
		spec.Upstreams = append(spec.Upstreams, resource.ServiceUpstream{
			Name: upstreamName, Address: address, Zone: testZone, State: resource.RunnerServing,
		})
	}
	f.put(resource.KindService, name, spec)
	return s
}

// putServiceRoute routes a path prefix to a service. idempotent is the idempotent method,
// or "" for none.
func (f *fleet) putServiceRoute(name, prefix, idempotent string) {
	r := resource.Route{PathPrefix: prefix, Service: name, Methods: []resource.MethodRule{{Method: http.MethodPost}}}
	if idempotent != "" {
		r.Methods = append(r.Methods, resource.MethodRule{Method: idempotent, Idempotent: true})
	}
	f.put(resource.KindRoute, name, r)
}

// setFaults sets the same faults at every upstream.
func (s *testService) setFaults(faults service.Faults) {
	for _, u := range s.upstreams {
		u.SetFaults(faults)
	}
}

// calls returns the number of executed calls whose Standin-Mark header was mark.
func (s *testService) calls(mark string) int {
	n := 0
	for _, u := range s.upstreams {
		n += u.Calls()[mark]
	}
	return n
}

var (
	loseAnswer = service.Faults{LoseResponses: 1}
	cutAnswer  = service.Faults{TruncateResponses: 1}
	noFaults   = service.Faults{}
)
