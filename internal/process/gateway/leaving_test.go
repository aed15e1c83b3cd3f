package gateway

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/request/claim"
	"github.com/ragworttrestle/ragworttrestle/internal/request/route"
	"github.com/ragworttrestle/ragworttrestle/internal/standin/runner"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// markLeaving marks an upstream as leaving in the store and waits until the gateway has the change.
func (r *testGateway) markLeaving(name string) {
	r.f.t.Helper()
	r.f.put(resource.KindDrain, name, resource.Drain{Zone: testZone, Reason: "role change"})
	r.eventually("the leaving mark of "+name+" is known", func() bool {
		r.dispatcher.mu.Lock()
		defer r.dispatcher.mu.Unlock()
		return r.dispatcher.snapshot.Leaving(name)
	})
}

// startWithoutRetries starts a gateway whose retry budget is used up. With it, tests check that sending a
// request to another upstream takes no retry if the request was not sent before.
func (f *fleet) startWithoutRetries() *testGateway {
	s := f.settings("gw-1")
	s.Limits.RetryShare = 1e-9
	g := f.start(s)
	for g.dispatcher.consumeRetry(time.Now()) {
	}
	return g
}

// TestRunnerLeavingSinceItsChoiceGetsNoRequest guards against sending a request to a runner that was marked as
// leaving after it was chosen. The request must run at another runner without using the retry budget. If there
// is none, the error states that it did not run, and its idempotency key can be used again.
func TestRunnerLeavingSinceItsChoiceGetsNoRequest(t *testing.T) {
	for _, key := range []string{"", "k"} {
		f := newFleet(t, runner.Config{Name: "r1"}, runner.Config{Name: "r2"})
		g := f.startWithoutRetries()
		g.markLeaving("r1")
		for i := range 3 {
			if key != "" {
				key += strconv.Itoa(i)
			}
			g.executeKeyedAt(key, "p", route.Choice{Runner: "r1"}).wantComplete(t, answerTo("p", 20))
		}
		if a, b := f.runners["r1"].Stats().Accepted, f.runners["r2"].Stats().Accepted; a != 0 || b != 3 {
			t.Errorf("key %q: %d runs at the leaving runner, %d at the other", key, a, b)
		}
		g.markLeaving("r2")
		if key != "" {
			key += "last"
		}
		g.executeKeyedAt(key, "p", route.Choice{Runner: "r2"}).wantError(t, errkind.NoUpstream, errkind.NotRun)
		if key != "" { // the claim was released, so the key is free
			f.addRunner(runner.Config{Name: "r3"})
			g.eventually("r3 serves", func() bool { return g.executeKeyedAt(key, "p", route.Choice{Runner: "r3"}).complete })
		}
	}
}

// TestRunnerLeavingSincePrefillGetsNoRequest guards against sending a run to a decode runner that was marked as
// leaving during the prefill at another runner, and a prefill to a prefill runner that is leaving.
func TestRunnerLeavingSincePrefillGetsNoRequest(t *testing.T) {
	slow := fastCost
	slow.PrefillRate = 4000
	f := newFleet(t, runner.Config{Name: "dec", Role: upstream.RoleDecode}, runner.Config{Name: "both"},
		runner.Config{Name: "pre", Role: upstream.RolePrefill, Cost: slow})
	g := f.start(f.settings("gw-1"))
	prompt := strings.Repeat("fire season briefing ", 800)
	done := make(chan testResponse, 1)
	go func() { done <- g.executeAt(prompt, route.Choice{Runner: "dec", Prefill: "pre"}) }()
	g.eventually("the prefill has started", func() bool {
		return strings.Contains(strings.Join(g.explain.lines(prompt), "\n"), "sent to dec")
	})
	g.markLeaving("dec")
	receive(t, "the response", done).wantComplete(t, answerTo(prompt, 20))
	if n := f.runners["dec"].Stats().Accepted; n != 0 {
		t.Errorf("%d runs at the runner that left during the prefill", n)
	}
	g.markLeaving("pre")
	before := f.runners["pre"].Stats().PrefillTokens
	g.executeAt("b"+prompt, route.Choice{Runner: "both", Prefill: "pre"}).wantComplete(t, answerTo("b"+prompt, 20))
	if n := f.runners["pre"].Stats().PrefillTokens; n != before {
		t.Errorf("%d tokens computed at the leaving prefill runner", n-before)
	}
}

// TestServiceUpstreamLeavingSinceItsChoiceGetsNoCall guards against new calls to an upstream of a plain service
// that was marked as leaving after it was chosen. Only the first send of a request's own claim is a new call;
// later sends and sends of other runs must not be skipped.
func TestServiceUpstreamLeavingSinceItsChoiceGetsNoCall(t *testing.T) {
	f := newFleet(t)
	f.addService("vans", true)
	g := f.start(f.settings("gw-1"))
	g.eventually("the service is known", func() bool { return len(g.snapshot().Services) == 1 })
	if err := g.checkServiceNotLeaving("vans", "vans-0"); err != nil {
		t.Fatal(err)
	}
	g.markLeaving("vans-0")
	if err := g.checkServiceNotLeaving("vans", "vans-0"); err == nil || !provesNotRun(err) {
		t.Errorf("error %v; want one that proves not-run", err)
	}
	k := &keyedService{serviceCall: &serviceCall{g: g.Gateway, route: resource.Route{Service: "vans"}}, ownRunID: "own"}
	for _, tt := range []struct {
		run           string
		sent, skipped bool
	}{{"own", false, true}, {"own", true, false}, {"other", false, false}} {
		k.sent = tt.sent
		if got := k.leavingBeforeFirstSend(claim.Send{Runner: "vans-0", RunID: tt.run}); got != tt.skipped {
			t.Errorf("%+v: %v", tt, got)
		}
	}
}

// TestUnsentRequestJoinsRunThatMayExist checks that a skipped send counts as refused only
// if it was the first one of the request's own claim. Any other run may already exist at
// the runner and must be resumed.
func TestUnsentRequestJoinsRunThatMayExist(t *testing.T) {
	k := &keyedExecution{ownRunID: "own", sends: []claim.Send{{Runner: "r1", RunID: "own"}}}
	for _, c := range []struct {
		send claim.Send
		join bool
	}{
		{claim.Send{Runner: "r2", RunID: "own"}, false},
		{claim.Send{Runner: "r1", RunID: "own"}, true},
		{claim.Send{Runner: "r1", RunID: "other"}, true},
	} {
		event := k.skippedSendEvent(c.send, errUpstreamLeaving)
		if _, late := event.(claim.SendWindowClosed); late != c.join {
			t.Errorf("%+v: %T", c.send, event)
		}
	}
}
