package e2e

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/standin/runner"
	"github.com/ragworttrestle/ragworttrestle/internal/testport"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

const (
	apiKey      = "e2e-api-key"
	modelName   = "smoke-desk"
	versionName = "smoke-desk-v1"
	alertRoute  = "alert"
	zoneCount   = 2
	runnerCount = 3
)

// gatewayProcess is a gateway with the base URLs of its ports.
type gatewayProcess struct {
	process *process
	url     string // of the port for callers
	ops     string // of the operators' port
}

// runnerProcess is a stand-in runner with its base URL.
type runnerProcess struct {
	process *process
	url     string
}

// executions returns how often the runner ran each marker. A marker is the text in
// [mark=...] of a request's prompt.
func (r *runnerProcess) executions(t *testing.T) map[string]int {
	t.Helper()
	return getAdmin[runner.Executions](t, r.url+"/admin/executions").Marks
}

// stack is the whole system as separate processes.
type stack struct {
	t           *testing.T
	dir         string
	platformURL string
	store       platform.Store // client of the platform
	platform    *process
	runners     []*runnerProcess
	gateways    []*gatewayProcess
	controllers []*process
	operators   []string // URLs of the operators' ports
}

// zone returns the name of the availability zone of runner, gateway or controller i.
func zone(i int) string { return fmt.Sprintf("zone-%d", i%zoneCount) }

// newStack starts the platform and the runners, writes the configuration, and starts a
// gateway and a controller in each availability zone.
func newStack(t *testing.T) *stack {
	t.Helper()
	s := &stack{t: t, dir: t.TempDir()}
	s.startPlatform()
	for i := range runnerCount {
		s.startRunner(i)
	}
	s.configure()
	for i := range zoneCount {
		s.startGateway(i)
		s.startController(i)
	}
	return s
}

func (s *stack) startPlatform() {
	address := testport.Address(s.t)
	s.platformURL = "http://" + address
	s.platform = start(s.t, "platform", binary(s.t, "ragwort-standin"), s.platformURL+platform.ObjectsPath,
		"platform", "--listen", address)
	client, err := platform.NewClient(platform.ClientConfig{Address: s.platformURL})
	if err != nil {
		s.t.Fatal(err)
	}
	s.store = client
}

func (s *stack) startRunner(i int) {
	address := testport.Address(s.t)
	name := fmt.Sprintf("runner-%d", i)
	r := &runnerProcess{url: "http://" + address}
	r.process = start(s.t, name, binary(s.t, "ragwort-standin"), r.url+"/admin/stats",
		"runner", "--listen", address, "--name", name, "--load", modelName+":"+versionName,
		"--speed", "4", "--report-lag", "200ms", "--checks-fencing", "--deduplicates-runs")
	s.runners = append(s.runners, r)
}

// put validates and creates one object.
func (s *stack) put(kind, name string, spec any) {
	s.t.Helper()
	o, err := resource.Encode(kind, name, spec)
	if err != nil {
		s.t.Fatal(err)
	}
	if err := resource.Validate(o); err != nil {
		s.t.Fatal(err)
	}
	o.Writer, o.Nonce = "e2e", platform.NewNonce()
	if _, err := s.store.Create(context.Background(), o); err != nil {
		s.t.Fatalf("create %s/%s: %v", kind, name, err)
	}
}

// configure creates the objects of the configuration at the platform.
func (s *stack) configure() {
	cost := runner.DefaultCost
	s.put(resource.KindEngine, "engine", resource.Engine{
		ChecksFencing: true, DeduplicatesRuns: true, KVTokens: cost.KVTokens,
		PrefillRate: cost.PrefillRate, DecodeRate: cost.DecodeRate, StreamRate: cost.StreamRate,
		MaxBatch: cost.MaxBatch, RoleChangeSeconds: 1, LoadSeconds: 1, KVTransferRate: cost.KVTransferRate,
	})
	s.put(resource.KindModel, modelName, resource.Model{ContextTokens: 32768, MinPrefill: 1, MinDecode: 1, MinServing: runnerCount - 1})
	s.put(resource.KindVersion, versionName, resource.Version{Model: modelName, Source: "v1"})
	s.put(resource.KindRoute, alertRoute, resource.Route{
		Model: modelName, Weights: []resource.VersionWeight{{Version: versionName, Weight: 1}},
		OnTime: resource.OnTime{TotalMS: 30_000}, Priority: 5, ExpectedOut: answerTokens,
	})
	sum := sha256.Sum256([]byte(apiKey))
	s.put(resource.KindClientAccount, "caller", resource.ClientAccount{KeyHashes: []string{hex.EncodeToString(sum[:])}, MaxPriority: 9})
	for i, r := range s.runners {
		s.put(resource.KindRunner, r.process.name, resource.Runner{
			Engine: "engine", Address: r.url, Zone: zone(i), Model: modelName, Versions: []string{versionName},
			Role: string("both"), State: resource.RunnerServing,
		})
	}
}

// writeSettings writes the settings file of a daemon, adds the daemon to the platform's
// list of instances, and returns the file's path. extra holds further JSON fields of the
// settings.
func (s *stack) writeSettings(name, role string, zone string, peerAddress string, extra string) string {
	s.t.Helper()
	s.put(resource.KindInstance, name, resource.Instance{Role: role, Zone: zone, PeerAddress: peerAddress, State: resource.InstanceLive})
	text := fmt.Sprintf(`{
  "instance": {"name": %q, "zone": %q},
  "platform": {"address": %q},
  "peer": {"listen": {"address": %q}, "sharedKey": {"env": "RAGWORT_PEER_KEY"}, "heartbeatMS": 200},
  "stop": {"balancerMS": 300, "drainMS": 30000},
  %s
}`, name, zone, s.platformURL, peerAddress, extra)
	path := filepath.Join(s.dir, name+".json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

func (s *stack) startGateway(i int) {
	name := fmt.Sprintf("gateway-%d", i)
	callers, ops := testport.Address(s.t), testport.Address(s.t)
	path := s.writeSettings(name, resource.RoleGateway, zone(i), testport.Address(s.t),
		fmt.Sprintf(`"listen": {"address": %q}, "operators": {"listen": {"address": %q}}`, callers, ops))
	g := &gatewayProcess{url: "http://" + callers, ops: "http://" + ops}
	g.process = start(s.t, name, binary(s.t, "ragwort-gateway"), g.ops+"/ready", "--settings", path)
	s.gateways = append(s.gateways, g)
	s.operators = append(s.operators, g.ops)
}

func (s *stack) startController(i int) {
	name := fmt.Sprintf("controller-%d", i)
	ops := testport.Address(s.t)
	path := s.writeSettings(name, resource.RoleController, zone(i), testport.Address(s.t),
		fmt.Sprintf(`"operators": {"listen": {"address": %q}}, "lease": {"ttlMS": 2000, "marginMS": 500, "orderLifeMS": 500}`, ops))
	c := start(s.t, name, binary(s.t, "ragwort-controller"), "http://"+ops+"/ready", "--settings", path)
	s.controllers = append(s.controllers, c)
	s.operators = append(s.operators, "http://"+ops)
}
