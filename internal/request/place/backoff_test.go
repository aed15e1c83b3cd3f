package place

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
)

// An upstream that rejects every request at once looks idle. Without backoffs, such upstreams got
// most of the requests: of 60 per second only 14 were served, while another upstream was idle. The
// tests of this file guard against that, and against backoffs that are too long.

// upstreamBehavior decides how a simulated upstream treats a request that arrives now: whether the
// upstream rejects it, and the backoff that the upstream then requests; 0: none.
type upstreamBehavior func(now time.Duration) (rejects bool, backoff time.Duration)

func acceptAll(time.Duration) (bool, time.Duration) { return false, 0 }

func rejectAll(backoff time.Duration) upstreamBehavior {
	return func(time.Duration) (bool, time.Duration) { return true, backoff }
}

// backoffSim simulates processes, each with its own queue, that send requests to upstreams.
type backoffSim struct {
	queues      []*Queue
	behavior    map[fleet.Incarnation]upstreamBehavior
	serviceTime time.Duration // of an accepted request
	retryRatio  float64       // allowed retries as a share of the arrivals
	retrySlack  float64       // allowed retries in addition

	completions map[time.Duration][]func()            // ends of requests at upstreams, by time
	arrivals    map[fleet.Incarnation][]time.Duration // at upstreams
	waiting     []map[string]Query                    // by process, then by Query.ID
	arrived     int                                   // requests that arrived at processes
	retried     int                                   // sends after a rejection
	served      int
	retryAfters []time.Duration // of the refusals
}

func newBackoffSim(processes int, behavior map[fleet.Incarnation]upstreamBehavior, list ...fleet.Upstream) *backoffSim {
	s := &backoffSim{behavior: behavior, serviceTime: 30 * time.Millisecond, retryRatio: 0.17, retrySlack: 50, completions: make(map[time.Duration][]func()), arrivals: make(map[fleet.Incarnation][]time.Duration)}
	for i := range processes {
		tr := newTestTracker(list...)
		tr.SetSalt(uint64(i + 1))
		s.queues = append(s.queues, NewQueue(tr))
		s.waiting = append(s.waiting, make(map[string]Query))
	}
	return s
}

// run simulates requests that arrive at the processes in turn, one per interval, from one time until
// another. It goes on for another second, so that these requests end.
func (s *backoffSim) run(from, until, interval time.Duration) {
	next := from
	for now := from; now < until+time.Second; now += time.Millisecond {
		for _, end := range s.completions[now] {
			end()
		}
		delete(s.completions, now)
		for i, r := range s.queues {
			for _, d := range r.Tick(at(now)) {
				q := s.waiting[i][d.ID]
				delete(s.waiting[i], d.ID)
				s.handleDecision(now, i, q, d)
			}
		}
		for ; next <= now && next < until; next += interval {
			q := query(fmt.Sprint(next))
			q.Arrived, q.StartBy = at(now), at(now+200*time.Millisecond)
			s.arrived++
			s.arrive(now, s.arrived%len(s.queues), q)
		}
	}
}

// arrive has process i decide on a request.
func (s *backoffSim) arrive(now time.Duration, i int, q Query) {
	d, decided := s.queues[i].Arrive(at(now), q)
	if !decided {
		s.waiting[i][q.ID] = q
		return
	}
	s.handleDecision(now, i, q, d)
}

// handleDecision carries out a decision of process i. A rejected request is sent to another upstream if
// the retry limit allows that.
func (s *backoffSim) handleDecision(now time.Duration, i int, q Query, d Decision) {
	if d.Refused != "" {
		s.retryAfters = append(s.retryAfters, d.RetryAfter)
		return
	}
	tr, g, id := s.queues[i].tracker, NewGrant(&q, d.Choice), d.Choice.Upstream.Incarnation()
	s.arrivals[id] = append(s.arrivals[id], now)
	rejects, backoff := s.behavior[id](now)
	elapsed := s.serviceTime
	if rejects {
		elapsed = time.Millisecond
	}
	s.completions[now+elapsed] = append(s.completions[now+elapsed], func() {
		end := at(now + elapsed)
		if !rejects {
			tr.Apply(end, &g, Event{Kind: Answered})
			tr.Apply(end, &g, Event{Kind: Succeeded})
			tr.Apply(end, &g, Event{Kind: Released})
			s.served++
			return
		}
		tr.Apply(end, &g, Event{Kind: Rejected, Duration: backoff})
		tr.Apply(end, &g, Event{Kind: Answered})
		tr.Apply(end, &g, Event{Kind: Released})
		if float64(s.retried+1) > s.retryRatio*float64(s.arrived)+s.retrySlack {
			s.retryAfters = append(s.retryAfters, 0)
			return
		}
		s.retried++
		q.Excluded = append(q.Excluded, id)
		s.arrive(now+elapsed, i, q)
	})
}

// TestRejectingUpstreamsGetFewRequests checks that nearly all requests are served if some upstreams
// reject every request and the others accept all.
func TestRejectingUpstreamsGetFewRequests(t *testing.T) {
	const duration, minServedShare = 10 * time.Second, 0.9
	for _, backoff := range []time.Duration{0, 3 * time.Second} {
		for _, c := range []struct{ rejecting, accepting, processes int }{{1, 1, 1}, {1, 1, 4}, {5, 1, 1}, {3, 3, 4}, {30, 2, 3}} {
			var list []fleet.Upstream
			behavior := make(map[fleet.Incarnation]upstreamBehavior)
			for i := range c.rejecting + c.accepting {
				u := up(fmt.Sprint("u", i), "z1", 6)
				list, behavior[u.Incarnation()] = append(list, u), acceptAll
				if i < c.rejecting {
					behavior[u.Incarnation()] = rejectAll(backoff)
				}
			}
			sim := newBackoffSim(c.processes, behavior, list...)
			sim.run(0, duration, time.Second/60)
			if float64(sim.served) < minServedShare*float64(sim.arrived) {
				t.Errorf("%d of %d upstreams reject, %d processes, requested backoff %v: %d of %d served", c.rejecting, c.rejecting+c.accepting, c.processes, backoff, sim.served, sim.arrived)
			}
		}
	}
}

// TestPartlyRejectingUpstreamIsStillUsed guards against backoffs that become too long at the only
// upstream, which rejects half of the requests at random.
func TestPartlyRejectingUpstreamIsStillUsed(t *testing.T) {
	n := 0
	half := func(time.Duration) (bool, time.Duration) {
		n++
		return hashID(fmt.Sprint(n))%2 == 0, 0
	}
	sim := newBackoffSim(1, map[fleet.Incarnation]upstreamBehavior{"a": half}, up("a", "z1", 6))
	sim.run(0, 10*time.Second, time.Second/60)
	if float64(sim.served) < 0.25*float64(sim.arrived) {
		t.Errorf("%d of %d served, although the upstream accepts half of the requests", sim.served, sim.arrived)
	}
}

// TestOccasionallyFullUpstreamStaysInUse guards against backoffs that become too long at an upstream
// that has fewer slots than it reports, and rejects the requests for which it has no slot.
func TestOccasionallyFullUpstreamStaysInUse(t *testing.T) {
	const slots = 4
	sim := newBackoffSim(1, nil, up("a", "z1", 6))
	sim.behavior = map[fleet.Incarnation]upstreamBehavior{"a": func(now time.Duration) (bool, time.Duration) {
		inFlight := 0
		for _, arrived := range sim.arrivals["a"] {
			if now-arrived < sim.serviceTime {
				inFlight++
			}
		}
		return inFlight > slots, 0
	}}
	sim.run(0, 10*time.Second, 5*time.Millisecond) // 200 arrivals per second, 133 can be served
	if capacity := 10 * slots * float64(time.Second) / float64(sim.serviceTime); float64(sim.served) < 0.7*capacity {
		t.Errorf("%d served, want nearly %.0f", sim.served, capacity)
	}
}

// TestAllUpstreamsBackingOff guards against queueing requests whose latest start is before the end
// of the first backoff. They must be refused at once, with a retry time after that end. A request
// that can start after it must wait.
func TestAllUpstreamsBackingOff(t *testing.T) {
	tr := newTestTracker(up("a", "z1", 6), up("b", "z1", 6))
	tr.Rejected(at(0), "a", 3*time.Second)
	tr.Rejected(at(0), "b", 7*time.Second)
	r := NewQueue(tr)
	for i := range 50 {
		q := query(fmt.Sprint(i))
		q.Arrived, q.StartBy = at(time.Second), at(2*time.Second)
		d, decided := r.Arrive(at(time.Second), q)
		if !decided || d.Refused != NoPlaceInTime {
			t.Fatalf("%+v, want a refusal at once", d)
		}
		if d.RetryAfter < 2*time.Second || d.RetryAfter > 2*time.Second+maxJitter+backoffRetrySpread {
			t.Fatalf("retry after %v; the first backoff ends after 2 s", d.RetryAfter)
		}
	}
	q := query("waits")
	q.Arrived, q.StartBy = at(2900*time.Millisecond), at(4500*time.Millisecond)
	if _, decided := r.Arrive(at(2900*time.Millisecond), q); decided {
		t.Error("a request that can start in time after the backoff doesn't wait for its end")
	}
	if out := r.Tick(at(3800 * time.Millisecond)); len(out) != 1 || out[0].Choice.Upstream.ID != "a" {
		t.Errorf("%+v, want a place at the upstream whose backoff ended first", out)
	}
}

// TestBackoffEndsWithoutSurge guards against a surge at the end of a backoff that an upstream
// requested from all processes at the same moment, if the processes have more requests than the
// upstream accepts. The simulated processes are those that decide on places for the instances of
// their availability zones: 3 of 6 instances, 9 of 300.
func TestBackoffEndsWithoutSurge(t *testing.T) {
	const requested, maxBeforeFirstServed = 3 * time.Second, 3
	for _, processes := range []int{3, 9} {
		accepts := false
		behavior := func(time.Duration) (bool, time.Duration) { return !accepts, requested }
		sim := newBackoffSim(processes, map[fleet.Incarnation]upstreamBehavior{"a": behavior}, up("a", "z1", 40))
		for _, r := range sim.queues {
			r.tracker.Rejected(at(0), "a", requested)
		}
		accepts = true
		sim.run(0, 8*time.Second, 2*time.Millisecond)
		arrivals := slices.Clone(sim.arrivals["a"])
		if len(arrivals) == 0 || arrivals[0] < requested {
			t.Fatalf("%d processes: %d requests arrive, the first after %v", processes, len(arrivals), arrivals)
		}
		before := 0 // arrivals before the first request is served
		for _, t := range arrivals {
			if t < arrivals[0]+sim.serviceTime {
				before++
			}
		}
		if before > maxBeforeFirstServed {
			t.Errorf("%d processes: %d requests arrive before the first one is served", processes, before)
		}
		steady := countBetween(arrivals, 6*time.Second, 7*time.Second)
		if steady < 400 {
			t.Errorf("%d processes: %d of 500 requests arrive in a second long after the backoff", processes, steady)
		}
	}
}

// countBetween returns the number of times in [from, until).
func countBetween(times []time.Duration, from, until time.Duration) int {
	n := 0
	for _, t := range times {
		if t >= from && t < until {
			n++
		}
	}
	return n
}

// TestLaterRejectionExtendsBackoff guards against a backoff that ends too early. Requests that are in
// flight at the first rejection may be rejected later, and each such rejection extends the backoff.
func TestLaterRejectionExtendsBackoff(t *testing.T) {
	tr := newTestTracker(up("a", "z1", 6))
	for i := range 20 {
		tr.Rejected(at(time.Duration(i)*10*time.Millisecond), "a", 2*time.Second)
	}
	if got := tr.BackoffLeft(at(190*time.Millisecond), "a"); got != 2*time.Second {
		t.Errorf("backoff left: %v, want 2 s from the last rejection", got)
	}
	if tr.backoffOf("a").remaining(at(190*time.Millisecond)) < 2*time.Second {
		t.Error("the upstream gets requests before the end of the backoff")
	}
	if tr.BackoffLeft(at(2190*time.Millisecond), "a") != 0 || tr.BackingOff(at(2190*time.Millisecond)) != 0 {
		t.Error("the backoff doesn't end")
	}
}

// TestBackoffOutlivesALateList guards against requests to an upstream in its backoff: it restarted under its id before it
// rejected a request, and the list said so later, in one or several steps.
func TestBackoffOutlivesALateList(t *testing.T) {
	incarnation := func(startedAt time.Duration) fleet.Upstream {
		return fleet.Upstream{ID: "a", StartedMS: at(startedAt).UnixMilli(), Service: "s", Slots: 6}
	}
	for name, later := range map[string][]fleet.Upstream{
		"at once":      {incarnation(2 * time.Second)},
		"step by step": {incarnation(time.Second), incarnation(2 * time.Second)},
	} {
		listed := incarnation(0)
		tr := newTestTracker(listed)
		tr.Rejected(at(3*time.Second), listed.Incarnation(), 2*time.Second)
		q := query("r")
		for _, u := range later {
			tr.SetUpstreams(map[string][]fleet.Upstream{"s": {u}})
			if _, ok := tr.Pick(at(4*time.Second), &q); ok {
				t.Errorf("%s: a request is sent in the backoff that the incarnation asked for", name)
			}
		}
		if c, ok := tr.Pick(at(6*time.Second), &q); !ok || c.Upstream.StartedMS != later[len(later)-1].StartedMS {
			t.Errorf("%s: the backoff doesn't end", name)
		}
		tr.ForgetBackoffs(at(2 * time.Hour))
		if len(tr.backoffs) != 0 {
			t.Errorf("%s: %d backoffs are never forgotten", name, len(tr.backoffs))
		}
	}
}

// TestBackoffsAreForgottenWithTheirIncarnation guards against a backoff that applies to the next
// incarnation of an upstream as well, and against unbounded memory for backoffs.
func TestBackoffsAreForgottenWithTheirIncarnation(t *testing.T) {
	startedMS := at(time.Second).UnixMilli()
	old, next := fleet.Upstream{ID: "a", StartedMS: 1, Service: "s", Slots: 6}, fleet.Upstream{ID: "a", StartedMS: startedMS, Service: "s", Slots: 6}
	tr := newTestTracker(old)
	tr.Rejected(at(0), old.Incarnation(), time.Hour)
	q := query("r")
	if _, ok := tr.Pick(at(59*time.Minute), &q); ok {
		t.Error("a long backoff isn't respected")
	}
	tr.SetUpstreams(map[string][]fleet.Upstream{"s": {next}})
	if c, ok := tr.Pick(at(time.Second), &q); !ok || c.Upstream.StartedMS != startedMS {
		t.Error("the next incarnation doesn't start without a backoff")
	}
	tr.ForgetBackoffs(at(2 * time.Hour))
	if len(tr.backoffs) != 0 {
		t.Errorf("%d backoffs are never forgotten", len(tr.backoffs))
	}
	for i := range maxBackoffs + 10 {
		tr.Rejected(at(0), fleet.Incarnation(fmt.Sprint("x", i)), time.Second)
	}
	if len(tr.backoffs) != maxBackoffs {
		t.Errorf("%d backoffs are kept", len(tr.backoffs))
	}
}
