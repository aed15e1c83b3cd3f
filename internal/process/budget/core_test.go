package budget

import (
	"math/rand/v2"
	"testing"
	"time"
)

const mib = 1 << 20

var (
	begin  = time.Unix(1_000_000, 0)
	single = CallerLimits{HeadBytes: 16 << 10, HeadTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
)

// world is a Core with a clock.
type world struct {
	t    *testing.T
	core *Core
	now  time.Time
}

func newWorld(t *testing.T, l Limits) *world {
	return &world{t: t, core: NewCore(l), now: begin}
}

func (w *world) pass(d time.Duration) { w.now = w.now.Add(d) }

// open opens a connection for which there has to be room.
func (w *world) open() *Holder {
	w.t.Helper()
	h, _ := w.core.Open(w.now)
	if h == nil {
		w.t.Fatal("no room for a connection")
	}
	return h
}

// head has bytes of a head arrive.
func (w *world) head(h *Holder, n, lines int) ([]Closing, Reason) {
	return w.core.Received(w.now, h, n, lines, single)
}

// body begins a request whose body is read.
func (w *world) body(account string) *Holder {
	w.t.Helper()
	h := w.open()
	w.head(h, 300, 8)
	if !w.core.Serve(w.now, h) {
		w.t.Fatal("a request isn't served")
	}
	w.core.BeginBody(w.now, h, account)
	return h
}

// book books bytes of a body that arrive at once.
func (w *world) book(h *Holder, n int64) ([]Closing, bool) {
	closed, ok := w.core.Book(w.now, h, Bodies, n)
	if ok {
		w.core.Received(w.now, h, int(n), 0, single)
	}
	return closed, ok
}

func holders(closed []Closing) map[*Holder]Reason {
	out := make(map[*Holder]Reason)
	for _, c := range closed {
		out[c.Holder] = c.Reason
	}
	return out
}

// TestStalledBodyIsClosedForAnother checks that a body that makes no progress loses its bytes to one that needs them,
// and that one that grows doesn't.
func TestStalledBodyIsClosedForAnother(t *testing.T) {
	w := newWorld(t, Limits{Bytes: 8 * mib, Connections: 100})
	stalled, growing := w.body(""), w.body("")
	w.book(stalled, 3*mib)
	w.book(growing, 2*mib)
	for range 10 {
		w.pass(100 * time.Millisecond)
		w.core.Received(w.now, growing, 200<<10, 0, single)
	}
	closed, ok := w.book(w.body(""), 2*mib)
	if got := holders(closed); !ok || len(got) != 1 || got[stalled] != BytesShort {
		t.Errorf("room: %t, closed: %v", ok, closed)
	}
	if w.core.EndBody(w.now, stalled) {
		t.Error("a request whose connection is being closed may run")
	}
	if !w.core.EndBody(w.now, growing) {
		t.Error("a request whose body grew may not run")
	}
}

// TestByteNowAndThenIsNoProgress checks that a caller doesn't keep its place by a byte now and then.
func TestByteNowAndThenIsNoProgress(t *testing.T) {
	w := newWorld(t, Limits{Bytes: 8 * mib, Connections: 100})
	h := w.body("")
	w.book(h, 5*mib)
	for range 20 {
		w.pass(100 * time.Millisecond)
		w.core.Received(w.now, h, 1, 0, single)
	}
	if closed, ok := w.book(w.body(""), 5*mib); !ok || holders(closed)[h] != BytesShort {
		t.Errorf("room: %t, closed: %v", ok, closed)
	}
}

// TestNobodyIsClosedAtOnce checks that a caller whose bytes are on their way isn't closed for another one.
func TestNobodyIsClosedAtOnce(t *testing.T) {
	w := newWorld(t, Limits{Bytes: 8 * mib, Connections: 2})
	w.book(w.body(""), 5*mib)
	w.pass(minStall - time.Millisecond)
	if closed, ok := w.book(w.body(""), 5*mib); ok || len(closed) > 0 {
		t.Errorf("room: %t, closed: %v", ok, closed)
	}
	if h, closed := w.core.Open(w.now); h != nil || len(closed) > 0 {
		t.Errorf("a third connection: %v, closed: %v", h, closed)
	}
}

// TestRunningRequestIsNeverClosed checks that a request that has arrived isn't given up, however long it runs.
func TestRunningRequestIsNeverClosed(t *testing.T) {
	w := newWorld(t, Limits{Bytes: 8 * mib, Connections: 1})
	h := w.body("")
	w.book(h, 5*mib)
	w.core.EndBody(w.now, h)
	w.pass(time.Hour)
	if other, closed := w.core.Open(w.now); other != nil || len(closed) > 0 {
		t.Errorf("another connection: %v, closed: %v", other, closed)
	}
	if expired := w.core.Expired(w.now, single); len(expired) > 0 {
		t.Errorf("expired: %v", expired)
	}
}

// TestSmallRequestsHaveRoomBesideLargeBodies checks that bodies that fill their share leave room for others.
func TestSmallRequestsHaveRoomBesideLargeBodies(t *testing.T) {
	w := newWorld(t, Limits{Bytes: 8 * mib, Connections: 1000})
	for range 100 {
		h := w.body("")
		for range 8 {
			w.book(h, mib/8)
		}
	}
	for i := range 20 {
		if _, ok := w.book(w.body(""), 4<<10); !ok {
			t.Fatalf("no room for small request %d: %d bytes in use", i, w.core.used())
		}
	}
}

// TestLargestBodyHasRoomInCalm checks that a single body may use all that the share of large bodies leaves as well.
func TestLargestBodyHasRoomInCalm(t *testing.T) {
	w := newWorld(t, Limits{Bytes: 5 * mib, Connections: 100})
	if _, ok := w.book(w.body(""), 4*mib); !ok {
		t.Error("no room for the only body")
	}
}

// TestAccountLeavesRoomForOthers checks that the bodies of one client account don't keep out those of another.
func TestAccountLeavesRoomForOthers(t *testing.T) {
	w := newWorld(t, Limits{Bytes: 16 * mib, Connections: 1000})
	for range 100 {
		w.book(w.body("greedy"), mib)
	}
	if _, ok := w.book(w.body("other"), 2*mib); !ok {
		t.Errorf("no room for another account: %v", w.core.accounts)
	}
}

// TestConnectionsThatHoldNothingGoFirst checks the order in which connections are closed for new ones.
func TestConnectionsThatHoldNothingGoFirst(t *testing.T) {
	w := newWorld(t, Limits{Bytes: 8 * mib, Connections: 4})
	idle, unused, head, lingering := w.open(), w.open(), w.open(), w.open()
	w.core.Serve(w.now, idle)
	w.core.Wait(w.now, idle)
	w.head(head, 100, 2)
	w.core.Linger(w.now, lingering)
	w.pass(time.Second)
	for i, want := range []*Holder{lingering, unused, head, idle} {
		h, closed := w.core.Open(w.now)
		if h == nil || holders(closed)[want] != ConnectionsShort {
			t.Fatalf("connection %d: closed %v", i, closed)
		}
		w.core.Serve(w.now, h)
		w.core.Close(want)
	}
}

// TestHeadCostsMoreThanItsBytes checks that the lines of a head are booked, which cost more than their bytes, and that
// an ordinary head books nothing.
func TestHeadCostsMoreThanItsBytes(t *testing.T) {
	w := newWorld(t, Limits{Bytes: 64 * mib, Connections: 100})
	h := w.open()
	w.head(h, 4<<10, 30)
	if n := w.core.held[Heads]; n != 0 {
		t.Errorf("an ordinary head: %d bytes booked", n)
	}
	w.head(h, 8<<10, 2000)
	if n := w.core.held[Heads]; n < 2000*100 {
		t.Errorf("2000 lines: %d bytes booked", n)
	}
	if _, reason := w.head(h, 16<<10, 0); reason != HeadTooLarge {
		t.Errorf("a head over the limit: %q", reason)
	}
}

// TestTimeLimits checks that a head and a pause may last as long as the limits say, and no longer.
func TestTimeLimits(t *testing.T) {
	w := newWorld(t, Limits{Bytes: 64 * mib, Connections: 100})
	unused, head, body, idle := w.open(), w.open(), w.body(""), w.open()
	w.head(head, 10, 1)
	w.core.Serve(w.now, idle)
	w.core.Wait(w.now, idle)
	w.pass(single.HeadTimeout)
	if expired := w.core.Expired(w.now, single); len(expired) > 0 {
		t.Errorf("expired at the limit: %v", expired)
	}
	w.pass(time.Millisecond)
	w.head(head, 1, 0)
	if got := holders(w.core.Expired(w.now, single)); len(got) != 1 || got[head] != HeadTimeout {
		t.Errorf("expired after the limit on heads: %v", got)
	}
	if !w.core.Expire(w.now, head, single) || w.core.Expire(w.now, idle, single) {
		t.Error("not just the head expires")
	}
	w.pass(single.IdleTimeout - single.HeadTimeout)
	got := holders(w.core.Expired(w.now, single))
	for _, h := range []*Holder{unused, body, idle} {
		if got[h] != IdleTimeout {
			t.Errorf("in phase %s for longer than the limit: %q", h.phase, got[h])
		}
	}
}

// TestConnectionThatIsClosedServesNothing checks that a request that arrives while its connection is closed for another
// one isn't served.
func TestConnectionThatIsClosedServesNothing(t *testing.T) {
	w := newWorld(t, Limits{Bytes: 8 * mib, Connections: 1})
	idle := w.open()
	w.core.Serve(w.now, idle)
	w.core.Wait(w.now, idle)
	w.pass(time.Second)
	w.core.Open(w.now)
	if _, reason := w.head(idle, 300, 8); reason == NoReason {
		t.Error("its bytes are read")
	}
	if w.core.Serve(w.now, idle) {
		t.Error("its request is served")
	}
}

// TestClosedBodyThatLingersIsCounted guards against connections that nothing counts: one that is closed for another while
// its body arrives stays open until its caller has read the refusal.
func TestClosedBodyThatLingersIsCounted(t *testing.T) {
	w := newWorld(t, Limits{Bytes: 8 * mib, Connections: 2})
	stalled, other := w.body(""), w.body("")
	w.book(stalled, 5*mib)
	w.pass(time.Second)
	w.book(other, 5*mib)
	w.core.EndBody(w.now, other)
	w.core.Linger(w.now, stalled)
	if h, closed := w.core.Open(w.now); h != nil && holders(closed)[stalled] == NoReason {
		t.Error("three connections are open, two may be")
	}
}

// TestNothingIsBookedInTheEnd plays connections at random. No more than the limits is in use at any time, no running
// request is closed, and once all connections are closed nothing is booked.
func TestNothingIsBookedInTheEnd(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		w := newWorld(t, Limits{Bytes: 4 * mib, Connections: 40})
		var open []*Holder
		for range 2000 {
			w.pass(time.Duration(random.IntN(100)) * time.Millisecond)
			var closed []Closing
			if len(open) == 0 || random.IntN(4) == 0 {
				var h *Holder
				if h, closed = w.core.Open(w.now); h != nil {
					open = append(open, h)
				}
			} else {
				closed = w.step(random, open[random.IntN(len(open))])
			}
			for _, c := range closed {
				if c.Phase == Running {
					t.Fatalf("seed %d: a running request is closed", seed)
				}
			}
			for i := 0; i < len(open); {
				if open[i].closing && random.IntN(3) == 0 {
					w.core.Close(open[i])
					open = append(open[:i], open[i+1:]...)
					continue
				}
				i++
			}
			if used := w.core.used(); used > 4*mib {
				t.Fatalf("seed %d: %d bytes in use", seed, used)
			}
		}
		for _, h := range open {
			w.core.Close(h)
		}
		if u := w.core.Usage(); u.Bytes != 0 || len(w.core.accounts) > 0 || w.core.closing != 0 || u.Short {
			t.Errorf("seed %d: in the end %+v, accounts %v, closing %d", seed, u, w.core.accounts, w.core.closing)
		}
	}
}

// step has something happen on a connection, as far as its phase allows it.
func (w *world) step(random *rand.Rand, h *Holder) []Closing {
	var closed []Closing
	switch random.IntN(9) {
	case 0, 1:
		closed, _ = w.head(h, random.IntN(4<<10), random.IntN(400))
	case 2:
		if h.phase == Head && w.core.Serve(w.now, h) {
			w.core.BeginBody(w.now, h, []string{"", "a", "b"}[random.IntN(3)])
		}
	case 3, 4:
		if h.phase == Body {
			closed, _ = w.book(h, int64(random.IntN(mib)))
		}
	case 5:
		if h.phase == Body {
			w.core.EndBody(w.now, h)
		}
	case 6:
		if h.phase == Running {
			closed, _ = w.core.Book(w.now, h, Responses, int64(random.IntN(256<<10)))
		}
	case 7:
		if h.phase == Running {
			w.core.EndRequest(h)
			w.core.Wait(w.now, h)
		}
	case 8:
		for _, e := range w.core.Expired(w.now, single) {
			w.core.Expire(w.now, e.Holder, single)
		}
	}
	return closed
}
