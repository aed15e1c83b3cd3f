package command_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/process/audit"
	"github.com/ragworttrestle/ragworttrestle/internal/process/ops"
	standin "github.com/ragworttrestle/ragworttrestle/internal/standin/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

const (
	runnerSpec  = `{"engine": "e", "address": "http://192.0.2.1:80", "zone": "a", "model": "m", "role": "auto", "state": "serving"}`
	serviceSpec = `{"upstreams": [{"name": "u1", "address": "http://192.0.2.2:80", "zone": "a", "state": "serving"}, {"name": "u2", "address": "http://192.0.2.3:80", "zone": "a", "state": "serving"}], "honoursKey": false}`
	routeSpec   = `{"model": "m", "weights": [{"version": "v1", "weight": 1}], "onTime": {}, "priority": 1, "idempotent": true}`
)

// TestGetRoundTrips checks that the output of get, as JSON and as YAML, is valid input of
// apply.
func TestGetRoundTrips(t *testing.T) {
	d := newDeployment(t)
	d.requireResult(d.run("ada", modelInput, "apply", "-f", "-"), errkind.ExitOK)
	d.requireResult(d.run("ada", "", "get", "model"), errkind.ExitOK, "NAME", "m", "ada")
	for _, format := range []string{"json", "yaml"} {
		one := d.run("ada", "", "get", "Model", "m", "-o", format)
		d.requireResult(d.run("ada", one.out, "apply", "-f", "-"), errkind.ExitOK, "unchanged")
		all := d.run("ada", "", "get", "Model", "-o", format)
		d.requireResult(d.run("ada", all.out, "apply", "-f", "-"), errkind.ExitOK, "unchanged")
	}
	if r := d.run("ada", "", "get", "Route", "-o", "json"); strings.TrimSpace(r.out) != "[]" {
		t.Fatalf("no routes as JSON: %q", r.out)
	}
}

func TestTablesReplaceControlCharacters(t *testing.T) {
	d := newDeployment(t)
	if _, err := d.store.Create(t.Context(), platform.Object{Kind: "Model", Name: "m", Writer: "\x1b[2J"}); err != nil {
		t.Fatal(err)
	}
	if r := d.run("ada", "", "get", "Model"); strings.Contains(r.out, "\x1b") {
		t.Fatalf("%q", r.out)
	}
}

func TestWatchShowsChanges(t *testing.T) {
	d := newDeployment(t)
	d.put("Model", "old", modelSpec)
	done := make(chan result, 1)
	go func() { done <- d.run("ada", "", "watch", "Model", "--count", "2") }()
	for d.store.Stats().WatchesOpen == 0 {
		time.Sleep(time.Millisecond)
	}
	d.put("Route", "r", routeSpec)
	o := d.put("Model", "new", modelSpec)
	if err := d.store.Delete(t.Context(), "Model", "new", o.Version, "bob", "n"); err != nil {
		t.Fatal(err)
	}
	r := <-done
	d.requireResult(r, errkind.ExitOK, "put Model/new version=3", "deleted Model/new version=4", `writer="bob"`)
	if strings.Contains(r.out, "old") || strings.Contains(r.out, "Route") {
		t.Fatalf("shows changes that are older or of another kind: %s", r.out)
	}
	d.requireResult(d.run("ada", "", "watch", "Model", "--from", "1", "--count", "1"), errkind.ExitOK, "Model/new")
}

func TestDeleteRefusesReferencedObjects(t *testing.T) {
	d := newDeployment(t)
	d.put("Model", "m", modelSpec)
	d.put("Version", "v1", `{"model": "m", "source": "s"}`)
	d.put("Route", "chat", routeSpec)
	d.put("Runner", "r1", runnerSpec)
	d.put("ClientAccount", "c", `{"keyHashes": [], "requestsPerSec": 0, "burst": 0, "tokensInFlight": 0, "maxPriority": 1, "routes": ["chat"]}`)
	cases := []struct{ kind, name, by string }{
		{"Model", "m", "Route/chat, Runner/r1, Version/v1"},
		{"Version", "v1", "Route/chat"},
		{"Route", "chat", "ClientAccount/c"},
	}
	for _, c := range cases {
		d.requireResult(d.run("ada", "", "delete", c.kind, c.name), errkind.ExitConflict, "warning: ", "named by "+c.by, "--force")
		d.object(c.kind, c.name)
	}
	d.requireResult(d.run("ada", "", "delete", "Model", "m", "--force", "--version", "99"), errkind.ExitConflict, `"setup"`)
	d.requireResult(d.run("ada", "", "delete", "Model", "m", "--force"), errkind.ExitOK, "warning: ", "Model/m deleted")
	d.requireResult(d.run("ada", "", "delete", "Model", "m"), errkind.ExitNotFound, "Model/m")
	d.requireResult(d.run("ada", "", "audit"), errkind.ExitOK, "deleted")
}

// TestOperatorsCanListAndDeleteHolds checks that operators can delete a hold, to have the
// held work sent again, although they don't write holds.
func TestOperatorsCanListAndDeleteHolds(t *testing.T) {
	d := newDeployment(t)
	const name = "bc8decc3f213de40c082c27121d196e5"
	d.put("Hold", name, `{"untilMS": 1796269747126, "times": 1}`)
	d.requireResult(d.run("ada", "", "get", "hold"), errkind.ExitOK, name)
	d.requireResult(d.run("ada", "", "delete", "hold", name, "--wait"), errkind.ExitUsage, "--wait")
	d.requireResult(d.run("ada", "", "delete", "hold", name, "--reason", "the engine is mended"), errkind.ExitOK)
	if _, err := d.store.Get(t.Context(), "Hold", name); err == nil {
		t.Error("the deleted hold still exists")
	}
	d.requireResult(d.run("ada", "", "delete", "Lease", "zone-a"), errkind.ExitUsage, "Hold")
}

// TestDeleteWaitsForDeletionVersion guards against a --wait that returns before the
// deletion is in force: the daemon first reports the version of the creation, 1, and later
// that of the deletion, 2.
func TestDeleteWaitsForDeletionVersion(t *testing.T) {
	d := newDeployment(t)
	d.put("Model", "m", modelSpec)
	d.daemon.members = []ops.Member{{Name: "g1", Role: "gateway", State: "live", Applied: 1}}
	calls := 0
	d.daemon.onMembers = func(f *fakeDaemon) {
		if calls++; calls == 2 {
			f.members[0].Applied = 2
		}
	}
	d.requireResult(d.run("ada", "", "delete", "Model", "m", "--wait"), errkind.ExitOK, "in force at 1 daemons version=2")
}

func TestDrainRunnerAndUpstream(t *testing.T) {
	d := newDeployment(t)
	d.put("Runner", "r1", runnerSpec)
	d.put("Service", "maps", serviceSpec)
	d.put("Status", "Runner/r1", `{"accepted": true, "version": 1000, "inForce": 1000, "phase": "drained"}`)
	d.daemon.members = []ops.Member{{Name: "g1", Role: "gateway", State: "live", Applied: 1000}}
	state := func() resource.RunnerState {
		spec, err := resource.Decode[resource.Runner](d.object("Runner", "r1"))
		if err != nil {
			t.Fatal(err)
		}
		return spec.State
	}
	d.requireResult(d.run("ada", "", "drain", "r1", "--wait"), errkind.ExitOK, "updated", "Runner/r1 is drained")
	if state() != resource.RunnerDrained {
		t.Fatal(state())
	}
	d.requireResult(d.run("ada", "", "drain", "r1", "--withdraw"), errkind.ExitOK, "updated")
	if state() != resource.RunnerWithdrawn {
		t.Fatal(state())
	}
	d.requireResult(d.run("ada", "", "drain", "r1", "--undo"), errkind.ExitOK, "updated")
	d.requireResult(d.run("ada", "", "drain", "r1", "--undo"), errkind.ExitOK, "unchanged")
	if state() != resource.RunnerServing {
		t.Fatal(state())
	}
	d.requireResult(d.run("ada", "", "drain", "u2", "--wait"), errkind.ExitOK, "Service/maps updated")
	spec, err := resource.Decode[resource.Service](d.object("Service", "maps"))
	if err != nil || spec.Upstreams[0].State != resource.RunnerServing || spec.Upstreams[1].State != resource.RunnerDrained {
		t.Fatalf("%+v, %v", spec, err)
	}
}

// TestDrainWaitTimesOutUnlessDrained guards against a --wait that returns although the
// runner still has work, for example because its status is that of an earlier drain.
func TestDrainWaitTimesOutUnlessDrained(t *testing.T) {
	statuses := map[string]string{
		"still draining":             `{"accepted": true, "version": 1000, "inForce": 1000, "phase": "draining"}`,
		"status of an earlier drain": `{"accepted": true, "version": 1, "inForce": 1, "phase": "drained"}`,
	}
	for name, status := range statuses {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.put("Runner", "r1", runnerSpec)
			d.put("Status", "Runner/r1", status)
			d.daemon.members = []ops.Member{{Name: "g1", Role: "gateway", State: "live", Applied: 1000}}
			r := d.run("ada", "", "drain", "r1", "--wait", "--wait-timeout", "300ms")
			d.requireResult(r, errkind.ExitUnavailable, "deadline_exceeded", "is not drained")
		})
	}
}

// TestStatusShowsAvailableHalf checks that status shows the daemons during an outage of
// the platform, and the platform's objects while no daemon answers.
func TestStatusShowsAvailableHalf(t *testing.T) {
	d := newDeployment(t)
	d.put("Runner", "r1", runnerSpec)
	d.put("Lease", "a", `{"holder": "c1", "epoch": 7, "ttlMS": 1000}`)
	d.put("Status", "Runner/r1", `{"accepted": true, "version": 1, "inForce": 1, "phase": "serving", "role": "decode"}`)
	d.put("Status", "Route/chat", `{"accepted": false, "version": 9, "inForce": 4, "message": "priority 12: must be 0 to 9"}`)
	d.put("OrderSlot", "r1", `{"state": "open", "epoch": 7, "holder": "c1", "order": {"id": "r1-3", "fence": 7, "action": "set-role"}, "serial": 3}`)
	d.daemon.members = []ops.Member{{Name: "g1", Role: "gateway", Zone: "a", State: "live", Applied: 4}}
	d.requireResult(d.run("ada", "", "status"), errkind.ExitOK, "g1", "c1", "decode", "r1-3", "refused: Route/chat version=9 in force=4: priority 12")

	d.store.SetFault(standin.Fault{Outage: true})
	r := d.run("ada", "", "status")
	d.requireResult(r, errkind.ExitUnavailable, "g1", "platform_unavailable")
	d.store.SetFault(standin.Fault{})
	r = runCommand(t, "", "status", "--platform", d.url, "--operators", "http://127.0.0.1:1")
	d.requireResult(r, errkind.ExitUnavailable, "c1", "no daemon answers")
}

// TestMalformedResponseOfDaemonIsNone guards against a response with a malformed head that is taken for a daemon's.
func TestMalformedResponseOfDaemonIsNone(t *testing.T) {
	for _, status := range []string{"000 Trouble", "600 Trouble"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			_, _ = io.WriteString(conn, "HTTP/1.1 "+status+"\r\nConnection: close\r\n\r\n"+`[{"name":"g1","kind":"not_found","message":"bad"}]`)
		}))
		d := newDeployment(t)
		r := runCommand(t, "", "status", "--platform", d.url, "--operators", server.URL)
		d.requireResult(r, errkind.ExitUnavailable, "no daemon answers", "malformed response")
		server.Close()
	}
}

func TestAuditFilters(t *testing.T) {
	d := newDeployment(t)
	trail := audit.NewTrail(audit.Config{Store: d.store, Writer: "c1"})
	trail.Record(audit.Entry{At: time.Now().Add(-3 * time.Hour), Kind: audit.ChangeLease, Object: "Lease/a", Epoch: 6, Outcome: "lapsed"})
	trail.Record(audit.Entry{At: time.Now().Add(-time.Minute), Kind: audit.ChangeLease, Object: "Lease/a", Epoch: 7, Outcome: "taken"})
	trail.Record(audit.Entry{At: time.Now().Add(-time.Minute), Kind: audit.ChangeOrder, Object: "Runner/r1", Outcome: "done"})
	if err := trail.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	var entries []audit.Entry
	r := d.run("ada", "", "audit", "--since", "1h", "--object", "Lease/a", "-o", "json")
	if err := json.Unmarshal([]byte(r.out), &entries); err != nil || len(entries) != 1 || entries[0].Outcome != "taken" {
		t.Fatalf("%v: %s", err, r.out)
	}
	d.requireResult(d.run("ada", "", "audit"), errkind.ExitOK, "lapsed", "taken", "done")
	d.requireResult(d.run("ada", "", "audit", "--prune-before", "0s"), errkind.ExitOK, "1 segments deleted")
}

func TestExplain(t *testing.T) {
	d := newDeployment(t)
	d.requireResult(d.run("ada", "", "explain", "request", "r1"), errkind.ExitOK, "least predicted time")
	d.requireResult(d.run("ada", "", "explain", "change", "runner-1-4"), errkind.ExitOK, "gain 12")
	d.requireResult(d.run("ada", "", "explain", "request", "r2"), errkind.ExitNotFound, "request r2")
	r := d.run("ada", "", "explain", "request", "r2", "--operators", "http://127.0.0.1:1")
	d.requireResult(r, errkind.ExitUnavailable, "1 of 2 daemons did not answer")
	t.Setenv("RAGWORT_OPERATORS_KEY", "wrong")
	d.requireResult(d.run("ada", "", "explain", "request", "r1"), errkind.ExitDenied, "operators' key")
}

func TestCheckSettings(t *testing.T) {
	for _, daemon := range []string{"gateway", "controller"} {
		r := runCommand(t, "", "check-settings", "../../examples/humo-claro/"+daemon+".json")
		if r.code != errkind.ExitOK || !strings.Contains(r.out, "valid settings of a "+daemon) {
			t.Errorf("%s: exit code %d\n%s%s", daemon, r.code, r.out, r.err)
		}
	}
	cases := []struct{ name, content, text string }{
		{"broken", `{`, "JSON with comments"},
		{"unknown field", `{"instnace": {}}`, "instnace"},
		{"value out of range", `{"instance": {"name": "g1", "zone": "a"}, "platform": {"callsPerSecond": -4}}`, "platform.callsPerSecond"},
		{"controller", `{"lease": {"ttlMS": -4}}`, "lease.ttlMS"},
	}
	for _, c := range cases {
		r := runCommand(t, "", "check-settings", writeFile(t, c.content))
		if r.code != errkind.ExitUsage || !strings.Contains(r.err, c.text) {
			t.Errorf("%s: exit code %d, no %q in %s", c.name, r.code, c.text, r.err)
		}
	}
}

func TestVersion(t *testing.T) {
	if r := runCommand(t, "", "version"); r.code != 0 || !strings.Contains(r.out, "peerProtocol=1") {
		t.Fatalf("%+v", r)
	}
}
