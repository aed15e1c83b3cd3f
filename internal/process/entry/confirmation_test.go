package entry

import (
	"context"
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
	"github.com/ragworttrestle/ragworttrestle/internal/request/place"
)

// stallState is a state with upstream a of service s whose clock the test sets.
type stallState struct {
	*state
	clock   boottime.Time
	resumed int // calls of onResume
}

// newStallState returns a state that detects stalls.
func newStallState() *stallState {
	cfg := &settings.Entry{}
	cfg.SetDefaults()
	s := &stallState{state: newState(cfg), clock: boottime.Time(time.Hour)}
	s.confirmation.clock = func() boottime.Time { return s.clock }
	s.confirmation.onResume = func() { s.resumed++ }
	s.updateFleet(time.Now(), func(f *fleet.Core) {
		f.Replace(time.Now(), 1, []fleet.Change{listedUpstream("a", false)})
		s.listed = true
	})
	s.tick(time.Now())
	return s
}

// suspend lets time pass on the clock that runs while the machine is suspended, and on no other.
func (s *stallState) suspend() { s.clock = s.clock.Add(frozenTime) }

// confirm applies the answer to a call that was made when resumeCount returned resumes.
func (s *stallState) confirm(resumes uint64, changes ...fleet.Change) {
	s.updateFleet(time.Now(), func(f *fleet.Core) {
		f.Apply(time.Now(), changes)
		s.confirmUpstreams(time.Now(), resumes)
	})
}

// testQuery returns a query for a place at service s that has to start within a minute.
func testQuery(id string) place.Query {
	now := time.Now()
	return place.Query{ID: id, Service: "s", Work: place.Serve, Arrived: now, StartBy: now.Add(time.Minute)}
}

// decided returns the decision on a request, if there is one.
func decided(decision <-chan place.Decision) (place.Decision, bool) {
	select {
	case d := <-decision:
		return d, true
	default:
		return place.Decision{}, false
	}
}

// TestSuspendedInstanceWaitsForConfirmation guards against places by the list from before a suspension of
// the machine, which Go's monotonic clock doesn't count: a request waits until a call that was made
// afterwards was answered, and gets no place at an upstream that has left.
func TestSuspendedInstanceWaitsForConfirmation(t *testing.T) {
	s := newStallState()
	before := s.resumeCount()
	s.suspend()
	decision := s.enqueue(time.Now(), testQuery("q"))
	if d, ok := decided(decision); ok {
		t.Fatalf("%+v by the list from before", d)
	}
	if s.waitingCount() != 1 || s.resumed != 1 {
		t.Errorf("%d requests wait, resumed %d times", s.waitingCount(), s.resumed)
	}
	s.confirm(before, listedUpstream("b", false)) // an answer to a call from before says nothing of now
	if d, ok := decided(decision); ok || s.platformLostFor(time.Now()) < frozenTime {
		t.Fatalf("%+v, out of date for %v after the answer to a call from before", d, s.platformLostFor(time.Now()))
	}
	s.confirm(s.resumeCount(), listedUpstream("a", true))
	d, ok := decided(decision)
	if !ok || d.Choice.Upstream.ID != "b" {
		t.Errorf("%+v %v, want a place at the upstream that stays", d, ok)
	}
	if lost := s.platformLostFor(time.Now()); lost != 0 {
		t.Errorf("out of date for %v after the confirmation", lost)
	}
}

// TestStallDuringConfirmation checks that a call doesn't confirm the list if the process stalls once more
// before the call is answered.
func TestStallDuringConfirmation(t *testing.T) {
	s := newStallState()
	s.suspend()
	resumes := s.resumeCount()
	s.suspend()
	s.confirm(resumes)
	if !s.upstreamsUnconfirmed() || s.resumed != 2 {
		t.Errorf("unconfirmed: %v, resumed %d times", s.upstreamsUnconfirmed(), s.resumed)
	}
}

// TestDecisionsGoOnWithoutConfirmation checks that an instance whose platform is silent after a stall still
// decides on requests, by the list that it has, and says that the list is out of date.
func TestDecisionsGoOnWithoutConfirmation(t *testing.T) {
	s := newStallState()
	s.suspend()
	decision := s.enqueue(time.Now(), testQuery("q"))
	s.tick(time.Now().Add(maxConfirmationWait - 100*time.Millisecond))
	if d, ok := decided(decision); ok {
		t.Fatalf("%+v before the wait is over", d)
	}
	s.tick(time.Now().Add(maxConfirmationWait))
	if d, ok := decided(decision); !ok || d.Choice.Upstream.ID != "a" {
		t.Errorf("%+v %v, want a place by the list from before", d, ok)
	}
	if s.platformLostFor(time.Now()) < frozenTime {
		t.Error("the list counts as up to date")
	}
}

// TestPostponedRequestCanLeave checks that a request whose caller leaves while decisions wait is not
// decided on later.
func TestPostponedRequestCanLeave(t *testing.T) {
	s := newStallState()
	s.suspend()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := s.awaitPlace(ctx, testQuery("q")); err == nil {
		t.Error("no error for a request that ended")
	}
	s.confirm(s.resumeCount())
	if n := len(s.waiters); n != 0 || s.waitingCount() != 0 {
		t.Errorf("%d waiters, %d waiting", n, s.waitingCount())
	}
}

// TestStallWithoutList checks that nothing waits for a confirmation at an instance that has no list of
// upstreams, and that its places from before the stall are out of date.
func TestStallWithoutList(t *testing.T) {
	s := newStallState()
	s.forgetUpstreams(time.Now())
	before := s.resumeCount()
	s.suspend()
	d, ok := decided(s.enqueue(time.Now(), testQuery("q")))
	if !ok || d.Refused != place.NoUpstream {
		t.Errorf("%+v %v, want a refusal at once", d, ok)
	}
	s.awaitConfirmation(context.Background())
	if s.resumeCount() == before {
		t.Error("the stall wasn't detected")
	}
}

// TestOrdersWaitAfterStall checks that the list counts as newly read after a stall for decisions that need
// a list that was up to date for a while, such as the number of upstreams to request.
func TestOrdersWaitAfterStall(t *testing.T) {
	s := newStallState()
	at := time.Now().Add(2 * minConnectedTime)
	if !s.steadilyConnected(at) {
		t.Fatal("not steadily connected before the stall")
	}
	s.suspend()
	if s.steadilyConnected(at) {
		t.Error("steadily connected right after the stall")
	}
}
