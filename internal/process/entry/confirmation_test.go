package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/peers"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
	"github.com/ragworttrestle/ragworttrestle/internal/request/place"
	"github.com/ragworttrestle/ragworttrestle/internal/request/quarantine"
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

// confirm applies the answer to a call that was made when stallCount returned stalls.
func (s *stallState) confirm(stalls uint64, changes ...fleet.Change) {
	s.updateFleet(time.Now(), func(f *fleet.Core) {
		f.Apply(time.Now(), changes)
		s.confirmUpstreams(time.Now(), stalls)
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
	before := s.stallCount()
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
	s.confirm(s.stallCount(), listedUpstream("a", true))
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
	stalls := s.stallCount()
	s.suspend()
	s.confirm(stalls)
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
	s.confirm(s.stallCount())
	if n := len(s.waiters); n != 0 || s.waitingCount() != 0 {
		t.Errorf("%d waiters, %d waiting", n, s.waitingCount())
	}
}

// TestStallWithoutList checks that nothing waits for a confirmation at an instance that has no list of
// upstreams, and that its places from before the stall are out of date.
func TestStallWithoutList(t *testing.T) {
	s := newStallState()
	s.forgetUpstreams(time.Now())
	before := s.stallCount()
	s.suspend()
	d, ok := decided(s.enqueue(time.Now(), testQuery("q")))
	if !ok || d.Refused != place.NoUpstream {
		t.Errorf("%+v %v, want a refusal at once", d, ok)
	}
	s.awaitConfirmation(context.Background())
	if s.stallCount() == before {
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

// TestIdleInstanceDetectsStall guards against an instance that is resumed while nobody asks it for places and
// doesn't notice: its waiting calls would not be made again, and its next messages could claim a list that is
// up to date.
func TestIdleInstanceDetectsStall(t *testing.T) {
	s := newStallState()
	s.suspend()
	s.tick(time.Now())
	if s.resumed != 1 || !s.fleet.Unconfirmed() {
		t.Errorf("resumed %d times, unconfirmed: %v", s.resumed, s.fleet.Unconfirmed())
	}
}

// TestAnswerFromBeforeStallRemovesNoUpstream checks that the answer to a call from before a stall, which is the
// first that runs afterwards, is applied as that of a process that may have missed an outage of the platform: an
// upstream that disappeared is kept for a while.
func TestAnswerFromBeforeStallRemovesNoUpstream(t *testing.T) {
	s := newStallState()
	before := s.stallCount()
	s.suspend()
	s.confirm(before, fleet.Change{Kind: fleet.Unlisted, ID: "a"})
	if _, kept := s.fleet.Get("a"); !kept || !s.fleet.Unconfirmed() {
		t.Errorf("kept: %v, unconfirmed: %v", kept, s.fleet.Unconfirmed())
	}
}

// testClock is a clock that runs while the machine is suspended. Only the test advances it.
type testClock struct{ now atomic.Int64 }

// useTestClock has a state detect stalls by a new clock, from now on.
func useTestClock(s *state) *testClock {
	c := &testClock{}
	c.now.Store(int64(time.Hour))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmation.clock = func() boottime.Time { return boottime.Time(c.now.Load()) }
	s.confirmation.detector.Start(boottime.Time(c.now.Load()))
	return c
}

// suspend lets frozenTime pass.
func (c *testClock) suspend() { c.now.Add(int64(frozenTime)) }

// feedCall is a call of a scriptedFeed, which waits until the test answers it.
type feedCall struct {
	wait   time.Duration // of a watch
	list   bool
	answer chan feedAnswer
}

// feedAnswer is the answer to a feedCall.
type feedAnswer struct {
	changes  []fleet.Change
	revision uint64
	err      error
}

// scriptedFeed is a list of upstreams whose calls the test answers one by one.
type scriptedFeed struct{ calls chan feedCall }

// List implements UpstreamFeed.
func (f *scriptedFeed) List(ctx context.Context) ([]fleet.Change, uint64, error) {
	return f.call(ctx, feedCall{list: true})
}

// Watch implements UpstreamFeed.
func (f *scriptedFeed) Watch(ctx context.Context, _ uint64, wait time.Duration) ([]fleet.Change, uint64, error) {
	return f.call(ctx, feedCall{wait: wait})
}

// AnnounceRoleChange implements UpstreamFeed.
func (f *scriptedFeed) AnnounceRoleChange(context.Context, fleet.Upstream, upstream.Role) error {
	return nil
}

// call passes a call to the test and returns the test's answer. A call whose context ends fails.
func (f *scriptedFeed) call(ctx context.Context, c feedCall) ([]fleet.Change, uint64, error) {
	c.answer = make(chan feedAnswer)
	select {
	case f.calls <- c:
	case <-ctx.Done():
		return nil, 0, platform.ErrUnavailable
	}
	select {
	case a := <-c.answer:
		return a.changes, a.revision, a.err
	case <-ctx.Done():
		return nil, 0, platform.ErrUnavailable
	}
}

// followScripted has an instance follow a scriptedFeed, whose first list has upstream a, until the returned
// function is called. Its clock is set by the test.
func followScripted(t *testing.T, e *Entry) (f *scriptedFeed, clock *testClock, stop func()) {
	t.Helper()
	f, clock = &scriptedFeed{calls: make(chan feedCall)}, useTestClock(e.state)
	e.cfg.Upstreams = f
	ctx, cancel := context.WithCancel(context.Background())
	e.spawn(func() { e.followUpstreams(ctx) })
	f.next(t).answer <- feedAnswer{changes: []fleet.Change{listedUpstream("a", false)}, revision: 5}
	return f, clock, func() {
		cancel()
		e.goroutines.Wait()
	}
}

// next returns the next call.
func (f *scriptedFeed) next(t *testing.T) feedCall {
	t.Helper()
	return receive(t, "a call for upstreams", f.calls)
}

// newFollowingEntry returns an instance whose waiting calls are canceled after a stall.
func newFollowingEntry() *Entry {
	e := newTestEntry(nil, nil)
	e.state.confirmation.onResume = e.callsCtx.cancelCurrent
	return e
}

// TestWaitingWatchIsMadeAgainAfterStall guards against a list that stays unconfirmed for as long as a watch from
// before a stall waits, which is up to 20 s: the watch is canceled and made again, and the new one waits for
// nothing.
func TestWaitingWatchIsMadeAgainAfterStall(t *testing.T) {
	s := &settings.Entry{Instance: settings.Instance{Name: "i-1", Zone: "z1"}}
	s.SetDefaults()
	e := New(Config{Settings: s})
	f, clock, stop := followScripted(t, e)
	defer stop()
	if c := f.next(t); c.list || c.wait != watchTimeout {
		t.Fatalf("%+v before the stall, want a watch that waits", c)
	}
	clock.suspend()
	e.state.tick(time.Now())
	c := f.next(t)
	if c.list || c.wait != 0 {
		t.Errorf("%+v after the stall, want a watch that doesn't wait", c)
	}
	c.answer <- feedAnswer{revision: 5}
	f.next(t)
	if e.state.upstreamsUnconfirmed() {
		t.Error("the list is unconfirmed after the answer")
	}
}

// TestStallEndsDelayAfterChange guards against a list that stays unconfirmed for as long as the delay between a
// change and the next watch, although decisions on places wait.
func TestStallEndsDelayAfterChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFollowingEntry()
		f, clock, stop := followScripted(t, e)
		defer stop()
		f.next(t).answer <- feedAnswer{changes: []fleet.Change{listedUpstream("b", false)}, revision: 6}
		synctest.Wait() // the delay has begun
		start := time.Now()
		clock.suspend()
		e.state.tick(time.Now())
		f.next(t)
		if waited := time.Since(start); waited != 0 {
			t.Errorf("the next watch comes %v after the stall", waited)
		}
	})
}

// TestFullAnswerDoesNotConfirm guards against a list that counts as confirmed by the first of several answers
// that are needed after a long stall, because each has a limited number of changes.
func TestFullAnswerDoesNotConfirm(t *testing.T) {
	e := newFollowingEntry()
	f, clock, stop := followScripted(t, e)
	defer stop()
	f.next(t)
	clock.suspend()
	e.state.tick(time.Now())
	full := make([]fleet.Change, fullAnswerChanges)
	for i := range full {
		full[i] = listedUpstream(fmt.Sprint("u", i), false)
	}
	f.next(t).answer <- feedAnswer{changes: full, revision: 300}
	c := f.next(t)
	if !e.state.upstreamsUnconfirmed() || c.wait != 0 {
		t.Errorf("unconfirmed: %v, the next watch waits %v", e.state.upstreamsUnconfirmed(), c.wait)
	}
	c.answer <- feedAnswer{revision: 300}
	f.next(t)
	if e.state.upstreamsUnconfirmed() {
		t.Error("unconfirmed after the last answer")
	}
}

// TestListConfirmsAfterStall checks that a list confirms the upstreams, too, if the platform no longer has the
// history of the stall, but not if the process stalls while it waits for the list.
func TestListConfirmsAfterStall(t *testing.T) {
	e := newFollowingEntry()
	f, clock, stop := followScripted(t, e)
	defer stop()
	f.next(t)
	clock.suspend()
	e.state.tick(time.Now())
	f.next(t).answer <- feedAnswer{err: platform.ErrHistoryGone}
	c := f.next(t)
	clock.suspend() // nothing notices until the answer is applied
	c.answer <- feedAnswer{changes: []fleet.Change{listedUpstream("a", false)}, revision: 9}
	c = f.next(t)
	if !e.state.upstreamsUnconfirmed() {
		t.Error("confirmed by a list from before a stall")
	}
	c.answer <- feedAnswer{err: platform.ErrHistoryGone}
	f.next(t).answer <- feedAnswer{changes: []fleet.Change{listedUpstream("a", false)}, revision: 9}
	f.next(t)
	if e.state.upstreamsUnconfirmed() {
		t.Error("unconfirmed after a list that was read since the last stall")
	}
}

// isPlatformLost reports whether calls to the platform count as failed. It confirms the list first, because an
// unconfirmed list isn't up to date either.
func isPlatformLost(s *state) bool {
	stalls, now := s.stallCount(), time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmUpstreams(now, stalls)
	return !s.fleet.UpToDate(now)
}

// TestCallThatTimesOutInStallIsNoOutage guards against an outage that is assumed because a call timed out while
// this process did not run: upstreams that left would stay in use for longer.
func TestCallThatTimesOutInStallIsNoOutage(t *testing.T) {
	t.Run("watch", func(t *testing.T) {
		e := newFollowingEntry()
		f, clock, stop := followScripted(t, e)
		defer stop()
		c := f.next(t)
		clock.suspend()
		c.answer <- feedAnswer{err: platform.ErrUnavailable}
		f.next(t)
		if isPlatformLost(e.state) {
			t.Error("the platform counts as lost")
		}
	})
	t.Run("probe", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			e := newFollowingEntry()
			e.updateFleet(func(now time.Time, f *fleet.Core) {
				f.Replace(now, 1, []fleet.Change{listedUpstream("a", false)})
				e.state.listed = true
			})
			clock := useTestClock(e.state)
			e.cfg.PingStore = func(context.Context) error {
				clock.suspend()
				return platform.ErrUnavailable
			}
			ctx, cancel := context.WithTimeout(context.Background(), probeInterval+probeInterval/2)
			defer cancel()
			e.probePlatform(ctx)
			if e.state.stallCount() != 1 || isPlatformLost(e.state) {
				t.Errorf("%d stalls, lost: %v", e.state.stallCount(), isPlatformLost(e.state))
			}
		})
	})
}

// nextPlaceRequest returns the next place request, or its cancellation, that arrives at a socket.
func nextPlaceRequest(t *testing.T, conn *net.UDPConn) peers.PlaceRequest {
	t.Helper()
	for {
		m, ok := readTestMessage(t, conn, frozenTestWait)
		if !ok {
			t.Fatal("timed out waiting: a place request")
		}
		if len(m.PlaceRequests) > 0 {
			return m.PlaceRequests[0]
		}
	}
}

// askScripted has an asker request a place, and calls beforeAnswer between the request and the response.
func askScripted(t *testing.T, a *frozenAsker, beforeAnswer func()) *heldPlace {
	t.Helper()
	for range 100 { // a response that comes late on a busy machine is ignored
		asked := make(chan *heldPlace)
		go func() {
			_, held, _ := a.q.askPlacer(context.Background(), a.placer.self.Address, a.query)
			asked <- held
		}()
		r := nextPlaceRequest(t, a.placer.sockets.Load().datagrams)
		for r.Cancel { // of the round before
			r = nextPlaceRequest(t, a.placer.sockets.Load().datagrams)
		}
		beforeAnswer()
		answer := a.grantPlace(r.ID)
		a.s.handleMessage(time.Now(), a.placer.self.Address, &peers.Message{PlaceResponses: []peers.PlaceResponse{answer}})
		if held := <-asked; held != nil {
			return held
		}
	}
	t.Fatal("no response was in time")
	return nil
}

// TestPlaceIsAsOldAsItsRequest guards against the use of a place that was requested before a stall and arrived
// afterwards: the response may have lain in the socket's buffer all the while. A place that was requested after
// the last stall is used.
func TestPlaceIsAsOldAsItsRequest(t *testing.T) {
	a := newFrozenAsker(t)
	clock := useTestClock(a.e.state)
	clock.suspend()
	if err := a.e.checkUsable(askScripted(t, a, func() {})); err != nil {
		t.Errorf("a place from after the stall: %v", err)
	}
	if err := a.e.checkUsable(askScripted(t, a, clock.suspend)); !errors.Is(err, errStalePlace) {
		t.Errorf("a place from before a stall: %v", err)
	}
}

// TestSendWaitsForConfirmation guards against a request that got its place before a stall and is sent by the old
// list afterwards, to an upstream that has left.
func TestSendWaitsForConfirmation(t *testing.T) {
	for name, send := range map[string]func(q *request, held *heldPlace) error{
		"run": func(q *request, held *heldPlace) error {
			return q.send(context.Background(), held, nil).err
		},
		"prefill": func(q *request, held *heldPlace) error {
			_, _, err := q.sendPrefill(context.Background(), held)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int32
			d := &stepDialect{timeout: 30 * time.Second, reached: func(s step) {
				if s == runSent || s == prefillSent {
					sent.Add(1)
				}
			}}
			var fetched atomic.Int32
			e := newStepEntry(d, &countingEngines{}, engineServer(t, &fetched, func() bool { return false }))
			markListed(e, "p", "d")
			q, held := acquireDecodePlace(t, e)
			clock := useTestClock(e.state)
			e.state.confirmation.onResume = func() { e.spawn(func() { confirmLeaving(e, held) }) }
			clock.suspend()
			if err := send(q, held); !errors.Is(err, errLeaving) || sent.Load() != 0 {
				t.Errorf("%d sends, error %v, want %v", sent.Load(), err, errLeaving)
			}
			e.goroutines.Wait()
		})
	}
}

// markListed records that a list of the known upstreams with the given IDs was read and is followed.
func markListed(e *Entry, ids ...string) {
	e.updateFleet(func(now time.Time, f *fleet.Core) {
		var list []fleet.Change
		for _, id := range ids {
			u, _ := f.Get(id)
			list = append(list, fleet.Change{Kind: fleet.Listed, ID: id, Upstream: u})
		}
		f.Replace(now, 1, list)
		e.state.listed = true
	})
}

// acquireDecodePlace returns a request of route r of newStepEntry that holds a place.
func acquireDecodePlace(t *testing.T, e *Entry) (*request, *heldPlace) {
	t.Helper()
	q, err := e.prepare(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/p/x", strings.NewReader("body")), time.Now())
	if err != nil {
		t.Fatal(err)
	}
	_, held, err := q.findPlace(context.Background(), q.query(place.Decode))
	if err != nil || held == nil {
		t.Fatalf("%+v %v", held, err)
	}
	return q, held
}

// confirmLeaving confirms the list of upstreams with the change that the upstream of a place is leaving.
func confirmLeaving(e *Entry, held *heldPlace) {
	stalls := e.state.stallCount()
	leaving := *held.upstream()
	leaving.Leaving = true
	e.updateFleet(func(now time.Time, f *fleet.Core) {
		f.Put(now, leaving)
		e.state.confirmUpstreams(now, stalls)
	})
}

// TestUpstreamThatLeftDuringStallIsNoCrash guards against a planned stop that counts as a crash of the work that
// it ended: after a stall, one answer tells that the upstream is leaving and that it is gone.
func TestUpstreamThatLeftDuringStallIsNoCrash(t *testing.T) {
	e := newTestEntry(nil, nil)
	e.updateFleet(func(now time.Time, f *fleet.Core) {
		f.Replace(now, 1, []fleet.Change{listedUpstream("a", false)})
		e.state.listed = true
	})
	work := quarantine.ContentOf(http.MethodPost, "h", "/", nil)
	e.holds.SendBroken(work, "a", time.Now())
	e.updateFleet(func(now time.Time, f *fleet.Core) {
		f.Apply(now, []fleet.Change{listedUpstream("a", true), {Kind: fleet.Unlisted, ID: "a"}})
	})
	if n := len(e.holds.UpstreamsToCheck()); n != 0 || e.holds.HasSuspects() {
		t.Errorf("%d upstreams to check, suspects: %v", n, e.holds.HasSuspects())
	}
}

// TestTicksAreNoStall guards against a stall at every tick of an instance whose bounds are short: its threshold
// would not exceed the interval of the ticks, and places would never be older than one tick.
func TestTicksAreNoStall(t *testing.T) {
	for _, boundMS := range []int{1000, 500, 100} {
		s := newStallState()
		s.setBounds(settings.EntryBounds{DrainMS: boundMS, ConfigMS: boundMS})
		s.clock = s.clock.Add(noUpstreamsTick + noUpstreamsTick/2) // timers fire late
		s.tick(time.Now())
		if s.resumed != 0 {
			t.Errorf("bounds of %d ms: a tick counts as a stall", boundMS)
		}
	}
}

// TestAskerLeavesPlacerThatLostPlatform guards against a request that waits for as long as the decisions of a placer
// wait for a confirmation of its list, although another placer could decide at once.
func TestAskerLeavesPlacerThatLostPlatform(t *testing.T) {
	a := newFrozenAsker(t)
	conns := make(map[string]*net.UDPConn)
	for i := range 9 {
		conn := listenTestPeer(t)
		address := conn.LocalAddr().String()
		conns[address] = conn
		sender := &peers.Peer{Name: fmt.Sprint("p-", i), Zone: "z1", Address: address}
		a.s.handleMessage(time.Now(), address, &peers.Message{Sender: sender})
	}
	a.s.handleMessage(time.Now(), a.placer.self.Address, &peers.Message{Unready: true}) // one of the others is the placer
	to := a.s.placer()
	go a.q.askPlacer(context.Background(), to, a.query)
	const maxRequests = 4 // the first one, its repetition on a busy machine, and the same at the time of the answer
	for range maxRequests {
		r := nextPlaceRequest(t, conns[to])
		if r.Cancel {
			return
		}
		waiting := peers.PlaceResponse{ID: r.ID, Waiting: true}
		a.s.handleMessage(time.Now(), to, &peers.Message{PlatformLost: true, PlaceResponses: []peers.PlaceResponse{waiting}})
	}
	t.Errorf("%d requests at a placer that lost the platform, the next placer is %s", maxRequests, a.s.placer())
}

// TestRequestsAreDecidedDespiteRepeatedStalls guards against requests that are held until their callers give up: an
// instance that gets too little time to receive an answer between two stalls never confirms its list, and each
// stall starts the wait again.
func TestRequestsAreDecidedDespiteRepeatedStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStallState()
		s.suspend()
		q := testQuery("q")
		q.StartBy = time.Now().Add(time.Second)
		decision := s.enqueue(time.Now(), q)
		for range 5 {
			time.Sleep(frozenTime)
			s.clock = s.clock.Add(frozenTime)
			s.tick(time.Now())
			time.Sleep(maxConfirmationWait / 2)
			s.clock = s.clock.Add(maxConfirmationWait / 2)
			s.tick(time.Now())
		}
		if _, ok := decided(decision); !ok {
			t.Error("neither a place nor a refusal after 5 stalls, although the request had to start within 1 s")
		}
	})
}
