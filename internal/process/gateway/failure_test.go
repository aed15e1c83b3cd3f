package gateway

import (
	"bufio"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/request/route"
	"github.com/ragworttrestle/ragworttrestle/internal/standin/runner"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// runs returns the total number of runs that all runners of the fleet have started.
func (f *fleet) runs() int {
	n := 0
	for _, r := range f.runners {
		for _, times := range r.Executions().Runs {
			n += times
		}
	}
	return n
}

// setFaults sets the same faults at every runner.
func (f *fleet) setFaults(faults runner.Faults) {
	for _, r := range f.runners {
		r.SetFaults(faults)
	}
}

// TestCutStreamIsResumedWithoutSecondRun guards against a second run of a request that is not idempotent
// when runners cut its stream several times. The run must be resumed until the answer is complete.
func TestCutStreamIsResumedWithoutSecondRun(t *testing.T) {
	f := newFleet(t, runner.Config{Name: "r1"}, runner.Config{Name: "r2"})
	g := f.start(f.settings("gw-1"))
	for _, stream := range []bool{true, false} {
		f.setFaults(runner.Faults{CutStreams: 3, CutAfterTokens: 5})
		g.get(testRequest{body: completion("alert", "cut", 60, stream)}).wantComplete(t, answerTo("cut", 60))
	}
	if n := f.runs(); n != 2 {
		t.Errorf("%d runs for 2 requests", n)
	}
}

// TestCorruptStreamsNeverYieldWrongAnswer guards against wrong answers when a stream has tokens of another run,
// repeated or missing tokens, a wrong end or the run ID of another run, or when the connection is lost right after
// the run starts. The caller must get the complete answer, and the request, which is not idempotent, must run
// once.
func TestCorruptStreamsNeverYieldWrongAnswer(t *testing.T) {
	f := newFleet(t, runner.Config{Name: "r1"}, runner.Config{Name: "r2"})
	g := f.start(f.settings("gw-1"))
	for name, faults := range map[string]runner.Faults{
		"crossed tokens":    {ForeignTokens: 2},
		"doubled tokens":    {DuplicateTokens: 3},
		"dropped tokens":    {DropTokens: 2},
		"wrong end":         {WrongEnds: 1},
		"crossed answer":    {ForeignRunIDs: 1},
		"answer of the run": {LoseRunResponses: 1},
	} {
		t.Run(name, func(t *testing.T) {
			f.setFaults(faults)
			before := f.runs()
			g.get(testRequest{body: completion("alert", name, 30, true)}).wantComplete(t, answerTo(name, 30))
			if n := f.runs() - before; n != 1 {
				t.Errorf("%d runs of a request that is not idempotent", n)
			}
			f.setFaults(runner.Faults{})
		})
	}
}

// TestRefusalIsRetriedElsewhere guards against failing a request that one runner refuses although another
// can run it. If all runners refuse, the error must state that the request did not run and when to retry.
func TestRefusalIsRetriedElsewhere(t *testing.T) {
	f := newFleet(t, runner.Config{Name: "r1"}, runner.Config{Name: "r2"})
	s := f.settings("gw-1")
	s.Limits.RetryShare = 1
	g := f.start(s)
	f.runners["r1"].SetFaults(runner.Faults{RefuseRuns: 100})
	for range 10 {
		g.get(testRequest{body: completion("alert", "p", 20, true)}).wantComplete(t, answerTo("p", 20))
	}
	f.setFaults(runner.Faults{RefuseRuns: 100})
	p := g.get(testRequest{body: completion("alert", "p", 20, true)})
	p.wantError(t, errkind.UpstreamRefused, errkind.NotRun)
	if p.header.Get(headerRetryAfter) == "" || p.err.RetryAfterMS == 0 {
		t.Error("the refusal has no Retry-After")
	}
	if n := f.runs(); n != 10 {
		t.Errorf("%d runs started, want 10", n)
	}
}

// closeRunner closes a runner and waits 200 ms, so that the gateway notices that the idle connections to
// the runner are closed. A request sent on such a connection would count as possibly run.
func (f *fleet) closeRunner(name string) {
	f.runners[name].Close()
	time.Sleep(200 * time.Millisecond)
}

// TestConnectionRefusedIsRetriedElsewhere guards against failing a request because one runner's port is
// closed. If the ports of all runners are closed, the error must state that the request did not run.
func TestConnectionRefusedIsRetriedElsewhere(t *testing.T) {
	f := newFleet(t, runner.Config{Name: "r1"}, runner.Config{Name: "r2"})
	s := f.settings("gw-1")
	s.Limits.RetryShare = 1
	g := f.start(s)
	f.closeRunner("r1")
	for range 4 {
		g.get(testRequest{body: completion("alert", "p", 10, true)}).wantComplete(t, answerTo("p", 10))
	}
	f.closeRunner("r2")
	g.get(testRequest{body: completion("alert", "p", 10, true)}).wantError(t, errkind.NoUpstream, errkind.NotRun)
}

// TestAmbiguousFailureIsNotRetried checks that a failure that leaves it open whether the
// request ran doesn't lead to a second run.
func TestAmbiguousFailureIsNotRetried(t *testing.T) {
	f := newFleet(t, runner.Config{Name: "r1"}, runner.Config{Name: "r2"})
	s := f.settings("gw-1")
	s.Limits.RetryShare = 1
	g := f.start(s)
	f.setFaults(runner.Faults{LoseRunResponses: 1})
	done := make(chan testResponse, 1)
	go func() { done <- g.get(testRequest{body: completion("alert", "[out=300] slow", 300, true)}) }()
	g.eventually("the run starts", func() bool { return f.runs() == 1 })
	for _, r := range f.runners {
		r.Crash(0)
	}
	p := receive(t, "the response", done)
	if p.err == nil || p.err.Run == errkind.NotRun || p.complete {
		t.Fatalf("complete %v, error %+v; want an error with a run state other than not-run", p.complete, p.err)
	}
	if n := f.runs(); n != 1 {
		t.Errorf("%d runs of a request that is not idempotent", n)
	}
}

// TestCrashMidStreamIsReported guards against an answer that looks complete after its runner crashed. The
// request is not idempotent, so it can't run again: the stream must end with an error event and no [DONE].
func TestCrashMidStreamIsReported(t *testing.T) {
	f := newFleet(t, runner.Config{Name: "r1"})
	g := f.start(f.settings("gw-1"))
	resp, err := testRequest{body: completion("alert", "p", 400, true)}.do(g)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	f.runners["r1"].Crash(0)
	p := readResponse(resp)
	if p.err == nil || p.err.Run != errkind.Ran || p.complete {
		t.Fatalf("complete %v, error %+v; want an error event with run state ran and no [DONE]", p.complete, p.err)
	}
}

// TestIdempotentRequestRunsAgainElsewhere guards against failing a streamed idempotent request when its
// runner crashes. Another run completes the answer if it generates the same text. If the text differs (the
// runners sample), the second run must not continue the first one's tokens: the answer ends with an error.
func TestIdempotentRequestRunsAgainElsewhere(t *testing.T) {
	for name, sampling := range map[string]bool{"same text": false, "different text": true} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, runner.Config{Name: "r1", Sampling: sampling}, runner.Config{Name: "r2", Sampling: sampling})
			s := f.settings("gw-1")
			s.Limits.RetryShare = 1
			g := f.start(s)
			resp, err := testRequest{body: completion("chat", "p", 400, true)}.do(g)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			for _, r := range f.runners {
				if len(r.Executions().Runs) > 0 {
					r.Crash(time.Minute)
				}
			}
			p := readResponse(resp)
			if sampling {
				p.wantError(t, errkind.AnswerIncomplete, errkind.Ran)
				return
			}
			p.wantComplete(t, answerTo("p", 400))
		})
	}
}

// TestUnstreamedAnswerIsRestarted checks that an answer of which nothing was sent to the
// caller may come from a second run, even if that run generates a different text.
func TestUnstreamedAnswerIsRestarted(t *testing.T) {
	f := newFleet(t, runner.Config{Name: "r1", Sampling: true}, runner.Config{Name: "r2", Sampling: true})
	s := f.settings("gw-1")
	s.Limits.RetryShare = 1
	g := f.start(s)
	done := make(chan testResponse, 1)
	go func() { done <- g.get(testRequest{body: completion("chat", "p", 400, false)}) }()
	g.eventually("the run starts", func() bool { return f.runs() == 1 })
	for _, r := range f.runners {
		if len(r.Executions().Runs) > 0 {
			r.Crash(time.Minute)
		}
	}
	p := receive(t, "the response", done)
	if !p.complete || strings.Count(p.text, " ") != 400 {
		t.Fatalf("complete %v, %d tokens, error %+v; want 400 tokens", p.complete, strings.Count(p.text, " "), p.err)
	}
}

// TestIdempotentRequestLeavesPausedRunner checks that an idempotent request whose runner is
// paused gets a complete answer from another runner. The connections to a paused runner stay open,
// so only failing polls show that it is gone.
func TestIdempotentRequestLeavesPausedRunner(t *testing.T) {
	for _, stream := range []bool{true, false} {
		f := newFleet(t, runner.Config{Name: "r1"}, runner.Config{Name: "r2"})
		f.pollTimeout = 300 * time.Millisecond
		s := f.settings("gw-1")
		s.Limits.RetryShare = 1
		g := f.start(s)
		done := make(chan testResponse, 1)
		go func() { done <- g.get(testRequest{body: completion("chat", "[out=400] p", 400, stream)}) }()
		g.eventually("the run starts", func() bool { return f.runs() == 1 })
		for _, r := range f.runners {
			if len(r.Executions().Runs) > 0 {
				r.Freeze()
				defer r.Thaw()
			}
		}
		receive(t, "the response", done).wantComplete(t, answerTo("[out=400] p", 400))
	}
}

// TestCallerDisconnectCancelsRun guards against a run without an idempotency key that continues, and occupies
// the runner, after its caller closed the connection.
func TestCallerDisconnectCancelsRun(t *testing.T) {
	f := newFleet(t, runner.Config{Name: "r1"})
	g := f.start(f.settings("gw-1"))
	resp, err := testRequest{body: completion("alert", "p", 400, true)}.do(g)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := bufio.NewReader(resp.Body).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	g.eventually("the runner has no open stream", func() bool { return f.runners["r1"].State().Streams == 0 })
	if s := f.runners["r1"].Stats(); s.Canceled != 1 {
		t.Errorf("%+v, want 1 canceled", s)
	}
}

// TestDeadlineEndsRun guards against a request that outlasts the caller's deadline because its runner is
// paused. The error must not claim that the request did not run.
func TestDeadlineEndsRun(t *testing.T) {
	f := newFleet(t, runner.Config{Name: "r1"})
	g := f.start(f.settings("gw-1"))
	f.runners["r1"].Freeze()
	defer f.runners["r1"].Thaw()
	p := g.get(testRequest{body: completion("alert", "p", 10, true), header: map[string]string{headerDeadline: "300"}})
	if p.err == nil || p.err.Kind != errkind.DeadlineExceeded || p.err.Run == errkind.NotRun {
		t.Fatalf("error %+v; want deadline_exceeded with a run state other than not-run", p.err)
	}
}

// TestLeavingUpstreamGetsNoNewRequests guards against requests to a runner that is leaving, for each way in
// which the gateway learns of it: from the runner, its specification, the platform or the controller.
func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	causes := map[string]func(f *fleet){
		"by runner":   func(f *fleet) { f.runners["r1"].SetLeaving(true) },
		"by operator": func(f *fleet) { f.setState("r1", resource.RunnerDrained) },
		"by platform": func(f *fleet) {
			f.store.PutInstance("r1", resource.Instance{Role: "upstream", Zone: testZone, State: resource.InstanceLeaving})
		},
		"by controller": func(f *fleet) { f.put(resource.KindDrain, "r1", resource.Drain{Zone: testZone, Reason: "role change"}) },
	}
	for name, makeLeave := range causes {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, runner.Config{Name: "r1"}, runner.Config{Name: "r2"})
			g := f.start(f.settings("gw-1"))
			makeLeave(f)
			g.eventually("r1 is known as leaving", func() bool { return g.leaving("r1") })
			before := len(f.runners["r1"].Executions().Runs)
			for range 20 {
				g.get(testRequest{body: completion("alert", "p", 5, true)}).wantComplete(t, answerTo("p", 5))
			}
			if n := len(f.runners["r1"].Executions().Runs) - before; n != 0 {
				t.Errorf("%d of 20 requests went to the leaving runner", n)
			}
		})
	}
}

// setState sets the state in a runner's specification.
func (f *fleet) setState(name string, state resource.RunnerState) {
	f.t.Helper()
	f.changeRunner(name, func(r *resource.Runner) { r.State = state })
}

// changeRunner changes a runner's specification in the store.
func (f *fleet) changeRunner(name string, change func(*resource.Runner)) {
	f.t.Helper()
	o, err := f.store.Get(context.Background(), resource.KindRunner, name)
	if err != nil {
		f.t.Fatal(err)
	}
	spec, err := resource.Decode[resource.Runner](o)
	if err != nil {
		f.t.Fatal(err)
	}
	change(&spec)
	f.put(resource.KindRunner, name, spec)
}

// leaving reports whether the gateway knows that a runner is leaving.
func (r *testGateway) leaving(name string) bool {
	r.dispatcher.mu.Lock()
	defer r.dispatcher.mu.Unlock()
	for _, v := range r.dispatcher.tracker.View(time.Now(), r.dispatcher.snapshot) {
		if v.Name == name {
			return v.Leaving
		}
	}
	return false
}

// TestRunStateCoversAllAttempts checks that a refusal by the second runner doesn't hide
// that the request may have run at the first one.
func TestRunStateCoversAllAttempts(t *testing.T) {
	for _, c := range []struct {
		first runner.Faults
		kind  errkind.Kind
		run   errkind.RunState
	}{
		{runner.Faults{ForeignRunIDs: 1000}, errkind.OutcomeUnknown, errkind.RunUnknown},
		{runner.Faults{CutStreams: 1000}, errkind.AnswerIncomplete, errkind.Ran},
	} {
		f := newFleet(t, runner.Config{Name: "r1"}, runner.Config{Name: "r2"})
		f.put(resource.KindRoute, "alert", resource.Route{Model: testModel, Idempotent: true})
		f.runners["r1"].SetFaults(c.first)
		f.runners["r2"].SetFaults(runner.Faults{RefuseRuns: 1000})
		s := f.settings("gw-1")
		s.Limits.RetryShare = 1
		g := f.start(s)
		g.executeAt("p", route.Choice{Runner: "r1"}).wantError(t, c.kind, c.run)
		lines := strings.Join(g.explain.lines("p"), "\n")
		if !strings.Contains(lines, "sent to r1") || !strings.Contains(lines, "sent to r2") {
			t.Errorf("only one runner was tried:\n%s", lines)
		}
	}
}
