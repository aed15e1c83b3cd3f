package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/request/exchange"
)

// perSecond returns a limit of n requests per second as an upstream reports it.
func perSecond(n float64) exchange.RateLimit { return exchange.RateLimit{PerSecond: n, Valid: true} }

// maxInWindow returns the largest number of the sorted times that lie within one window.
func maxInWindow(times []time.Duration, window time.Duration) int {
	n, from := 0, 0
	for i := range times {
		for times[i]-times[from] >= window {
			from++
		}
		n = max(n, i-from+1)
	}
	return n
}

// offerRequests has a request that can't wait arrive at a queue every 5 ms for a duration. It
// returns when requests were sent to target, and the number of refusals.
func offerRequests(r *Queue, duration time.Duration, target fleet.Incarnation) (sent []time.Duration, refused int) {
	for t := time.Duration(0); t < duration; t += 5 * time.Millisecond {
		q := query(fmt.Sprint(t))
		q.Arrived, q.StartBy = at(t), at(t)
		d, _ := r.Arrive(at(t), q)
		switch {
		case d.Refused != "":
			refused++
		case d.Choice.Upstream.Incarnation() == target:
			sent = append(sent, t)
		}
		if d.Refused == "" {
			respond(r.tracker, t, d.Choice.Upstream.Incarnation())
		}
	}
	return sent, refused
}

// respond records the answer to a request and its end.
func respond(tr *Tracker, t time.Duration, id fleet.Incarnation) {
	tr.Responded(at(t), id, true)
	tr.Ended(id, Serve)
}

// TestRateLimitHoldsInAnyWindowAndIsUsed checks that this process sends no more requests in any
// window of 4 s than its share of a rate limit allows, and nearly as many as allowed in the long
// run.
func TestRateLimitHoldsInAnyWindowAndIsUsed(t *testing.T) {
	for _, c := range []struct{ limit, share float64 }{{0.05, 1}, {0.5, 1}, {0.5, 0.25}, {6.9, 1}, {6.9, 0.25}, {50, 0.1}, {100, 1}} {
		tr := newTestTracker(up("a", "z1", 64))
		tr.SetRateShare(at(0), c.share)
		tr.RateLimited(at(0), "a", perSecond(c.limit))
		const duration, window = 200 * time.Second, 4 * time.Second
		sent, _ := offerRequests(NewQueue(tr), duration, "a")
		rate := max(c.limit, minRate) * c.share
		if n, limit := maxInWindow(sent, window), rate*window.Seconds()+rate*burstWindow.Seconds()+2; float64(n) > limit {
			t.Errorf("%+v: %d requests in %v, want at most %.1f", c, n, window, limit)
		}
		if want := 0.9*rate*duration.Seconds() - 1; float64(len(sent)) < want {
			t.Errorf("%+v: %d requests in %v, want %.0f", c, len(sent), duration, want)
		}
	}
}

// TestUnusedCreditExpires guards against credit that accumulates while no requests arrive and
// is then spent in one burst.
func TestUnusedCreditExpires(t *testing.T) {
	tr := newTestTracker(up("a", "z1", 64))
	tr.RateLimited(at(0), "a", perSecond(5))
	n := 0
	for q := query("q"); ; n++ {
		if _, ok := tr.Pick(at(time.Hour), &q); !ok {
			break
		}
		tr.charge(at(time.Hour), &Choice{Upstream: up("a", "z1", 64)})
	}
	if n > 3 {
		t.Errorf("%d requests at once after an hour, want 3 at most", n)
	}
}

// TestRequestsOverRateLimitGoToOtherUpstream checks that requests in excess of an upstream's rate limit
// are sent to another upstream, and that the limit is still used.
func TestRequestsOverRateLimitGoToOtherUpstream(t *testing.T) {
	tr := newTestTracker(up("a", "z1", 64), up("b", "z2", 64))
	tr.RateLimited(at(0), "a", perSecond(3))
	sent, refused := offerRequests(NewQueue(tr), 20*time.Second, "a")
	if refused > 0 {
		t.Errorf("%d refused, while another upstream had room", refused)
	}
	if n := len(sent); n < 50 || n > 62 {
		t.Errorf("%d of 60 allowed requests were sent", n)
	}
}

// TestRetriesAtSuggestedTimeFindPlace guards against refusing callers once more that retry at the
// suggested time, while far more requests arrive than the only upstream's rate limit allows.
func TestRetriesAtSuggestedTimeFindPlace(t *testing.T) {
	tr := newTestTracker(up("a", "z1", 64))
	tr.SetRateShare(at(0), 0.5)
	tr.RateLimited(at(0), "a", perSecond(8))
	r := NewQueue(tr)
	const duration, step = 60 * time.Second, 5 * time.Millisecond
	retriesAt := make(map[time.Duration]int)
	retried, placed, sent := 0, 0, 0
	arrive := func(t time.Duration, retry bool) (Decision, bool) {
		q := query(fmt.Sprint(t, retry))
		q.Arrived, q.StartBy, q.Deadline, q.Retry = at(t), at(t+30*time.Millisecond), at(t+6*time.Second), retry
		return r.Arrive(at(t), q)
	}
	for now := time.Duration(0); now < duration; now += step {
		for range retriesAt[now] {
			retried++
			if d, decided := arrive(now, true); decided && d.Refused == "" {
				placed++
				sent++
				respond(tr, now, "a")
			}
		}
		d, decided := arrive(now, false)
		switch {
		case !decided:
		case d.Refused == "":
			sent++
			respond(tr, now, "a")
		case d.RetryAfter <= 2*time.Second: // callers don't wait for longer
			retriesAt[(now+d.RetryAfter+step).Truncate(step)]++
		}
		for _, d := range r.Tick(at(now)) {
			if d.Refused == "" {
				sent++
				respond(tr, now, "a")
			}
		}
	}
	if retried == 0 || float64(placed) < 0.9*float64(retried) {
		t.Errorf("%d of %d retries at the suggested time found a place", placed, retried)
	}
	if allowed := 4 * duration.Seconds(); float64(sent) < 0.7*allowed || float64(sent) > 1.05*allowed+2 {
		t.Errorf("%d requests sent of %.0f allowed", sent, allowed)
	}
}

// TestRateLimitRefusesWaitingRequestsThatCantStart guards against requests that keep waiting in
// the queue although a rate limit that has become known prevents them from starting in time.
func TestRateLimitRefusesWaitingRequestsThatCantStart(t *testing.T) {
	tr := newTestTracker(up("a", "z1", 1))
	r := NewQueue(tr)
	for _, id := range []string{"1", "2", "3", "4"} {
		r.Arrive(at(0), query(id))
	}
	if r.Len() == 0 {
		t.Fatal("nothing waits")
	}
	tr.RateLimited(at(0), "a", perSecond(0.2))
	tr.SetRateShare(at(0), 0.01)
	tr.rateLimits[KeyOf("a")].credit = 0
	tr.Ended("a", Serve)
	tr.Ended("a", Serve)
	for range r.Len() {
		for _, d := range r.Tick(at(time.Millisecond)) {
			if d.Refused != NoPlaceInTime || d.RetryAfter < minRetryAfter || d.Details.Limited != 1 {
				t.Errorf("%+v", d)
			}
		}
	}
	if r.Len() != 0 {
		t.Errorf("%d requests still wait", r.Len())
	}
}

// TestRateLimitEndsWithAnswerToLaterRequest checks that an answer without a rate limit ends a known limit
// only if its request was sent after the limit became known: an earlier answer may be older than
// the limit.
func TestRateLimitEndsWithAnswerToLaterRequest(t *testing.T) {
	tr := newTestTracker(up("a", "z1", 64))
	if !tr.RateLimited(at(time.Second), "a", perSecond(1)) || tr.RateLimited(at(time.Second), "a", perSecond(1)) {
		t.Error("want a new limit to be a change exactly once")
	}
	if tr.NotRateLimited(at(time.Second), "a") {
		t.Error("the answer to a request sent before the limit was known ended it")
	}
	if !tr.NotRateLimited(at(time.Second+1), "a") || tr.NotRateLimited(at(time.Second+2), "a") {
		t.Error("want the answer without a limit to a later request to end the limit exactly once")
	}
	if sent, _ := offerRequests(NewQueue(tr), time.Second, "a"); len(sent) != 200 {
		t.Errorf("%d of 200 requests sent after the end", len(sent))
	}
}

// TestUnreadableRateLimits checks that a reported limit that can't be parsed leaves the last known
// limit in force, or counts as unreadableRate if there was none.
func TestUnreadableRateLimits(t *testing.T) {
	tr := newTestTracker(up("a", "z1", 64), up("b", "z1", 64))
	tr.RateLimited(at(0), "a", perSecond(7))
	for _, id := range []fleet.Incarnation{"a", "b"} {
		tr.RateLimited(at(1), id, exchange.RateLimit{})
	}
	for id, want := range map[fleet.Incarnation]float64{"a": 7, "b": unreadableRate} {
		if l, ok := tr.RateLimitOf(at(2), KeyOf(id)); !ok || l.PerSecond != want || l.Ended {
			t.Errorf("%s: %+v, want %g a second", id, l, want)
		}
	}
}

// TestNewestRateLimitReportWins guards against a limit that is replaced by an older report of a
// peer. Reports may arrive in any order.
func TestNewestRateLimitReportWins(t *testing.T) {
	tr := newTestTracker(up("a", "z1", 64))
	key := KeyOf("a")
	report := func(perSecond float64, ended bool, age time.Duration) PeerRateLimit {
		return PeerRateLimit{Upstream: key, PerSecond: perSecond, Ended: ended, Age: age}
	}
	now := at(10 * time.Second)
	for i, c := range []struct {
		report  PeerRateLimit
		changed bool
	}{
		{report(0, true, 0), false}, // end of a limit that was not known
		{report(5, false, 3*time.Second), true},
		{report(9, false, 4*time.Second), false},
		{report(5, false, 2950*time.Millisecond), false},
		{report(9, false, 2*time.Second), true},
		{report(9, true, 3*time.Second), false},
		{report(9, true, time.Second), true},
		{report(9, false, 2*time.Second), false},
		{report(2, false, 500*time.Millisecond), true},
	} {
		if changed := tr.MergeRateLimit(now, c.report); changed != c.changed {
			t.Errorf("%d: %+v is a change: %v", i, c.report, changed)
		}
	}
	if l, _ := tr.RateLimitOf(now, key); l.PerSecond != 2 || l.Ended {
		t.Errorf("%+v", l)
	}
}

// TestRateLimitsOfUnlistedUpstreamsExpire guards against limits that are kept forever: those of
// upstreams that are not listed, and those that have ended.
func TestRateLimitsOfUnlistedUpstreamsExpire(t *testing.T) {
	tr := newTestTracker(up("a", "z1", 64))
	remaining := func(d time.Duration) []PeerRateLimit {
		tr.ForgetRateLimits(at(d))
		return tr.RateLimits(at(d))
	}
	tr.RateLimited(at(0), "a", perSecond(1))
	tr.RateLimited(at(0), "gone", perSecond(1))
	if got := len(remaining(unlistedLimitTTL - 1)); got != 2 {
		t.Errorf("%d limits, want 2", got)
	}
	if got := remaining(unlistedLimitTTL); len(got) != 1 || got[0].Upstream != KeyOf("a") {
		t.Errorf("%+v, want the limit of the listed upstream", got)
	}
	tr.NotRateLimited(at(time.Hour), "a")
	if got := remaining(time.Hour + endedLimitTTL); len(got) != 0 {
		t.Errorf("%+v is still reported", got)
	}
}

// TestUnusedReservationRefundsRateLimit guards against charging a rate limit for a reserved place
// that is released before it is claimed, so that nothing was sent there.
func TestUnusedReservationRefundsRateLimit(t *testing.T) {
	for _, claimed := range []bool{false, true} {
		tr := newTestTracker(up("a", "z1", 64))
		tr.RateLimited(at(0), "a", perSecond(1))
		r := NewQueue(tr)
		q := query("q")
		q.Work = Reserve
		d, _ := r.Arrive(at(0), q)
		if d.Refused != "" {
			t.Fatalf("%+v", d)
		}
		credit := tr.rateLimits[KeyOf("a")].credit
		g := NewGrant(&q, d.Choice)
		if claimed {
			tr.Apply(at(0), &g, Event{Kind: Claimed})
		}
		tr.Apply(at(0), &g, Event{Kind: Released})
		want := credit + 1
		if claimed {
			want = credit
		}
		if got := tr.rateLimits[KeyOf("a")].credit; got != want {
			t.Errorf("claimed %v: %g requests may be sent, want %g", claimed, got, want)
		}
	}
}

// TestDecodeEnginesPrefillMoreWhilePrefillEnginesAreLimited guards against long waits while the
// only prefill engine is rate-limited. A decode engine must then get a prompt to prefill that would
// take it too long otherwise.
func TestDecodeEnginesPrefillMoreWhilePrefillEnginesAreLimited(t *testing.T) {
	engine := func(id string, role upstream.Role) fleet.Upstream {
		u := up(id, "z1", 8)
		u.Role = role
		return u
	}
	for _, limited := range []bool{false, true} {
		tr := newTestTracker(engine("reads", upstream.RolePrefill), engine("decodes", upstream.RoleDecode))
		if limited {
			tr.RateLimited(at(0), "reads", perSecond(1))
			tr.rateLimits[KeyOf("reads")].credit = 0
		}
		for range 10 { // fill the prefill engine
			tr.Sent(at(0), "reads", Prefill)
		}
		q := query("q")
		q.Work, q.AllowLocalPrefill, q.Objective, q.Prompt = Prefill, true, 100*time.Millisecond, Prompt{UnsharedTokens: 3500} // 28 ms
		d, decided := NewQueue(tr).Arrive(at(0), q)
		if got := decided && d.Refused == "" && d.Choice.Work == LocalPrefill; got != limited {
			t.Errorf("limited %v: %+v, decided %v", limited, d, decided)
		}
	}
}

// TestUrgentRequestsDontYieldToRetrySlots guards against refusing an urgent request because of the
// retry slots of less urgent requests. A first attempt of the same urgency has to be refused.
func TestUrgentRequestsDontYieldToRetrySlots(t *testing.T) {
	tr := newTestTracker(up("a", "z1", 64))
	tr.RateLimited(at(0), "a", perSecond(2))
	r := NewQueue(tr)
	arrive := func(id string, urgency int, d time.Duration) Decision {
		q := query(id)
		q.Urgency, q.Arrived, q.StartBy = urgency, at(d), at(d)
		decision, _ := r.Arrive(at(d), q)
		if decision.Refused == "" {
			respond(tr, d, "a")
		}
		return decision
	}
	var last Decision
	for i := range 4 {
		last = arrive(fmt.Sprint(i), 2, 0)
	}
	if last.RetryAfter < 500*time.Millisecond {
		t.Fatalf("%+v, want a later retry time than that of the first refusal", last)
	}
	r.retrySlots.returnScore = 1
	if d := arrive("less urgent", 2, 600*time.Millisecond); d.Refused == "" {
		t.Error("a first attempt got the place of a retry slot")
	}
	if d := arrive("urgent", 0, 600*time.Millisecond); d.Refused != "" {
		t.Errorf("the urgent request: %+v", d)
	}
}

// TestRetryAfterIsBounded guards against suggested retry times of years where a process has a
// small share of a small rate limit.
func TestRetryAfterIsBounded(t *testing.T) {
	tr := newTestTracker(up("a", "z1", 64))
	tr.SetRateShare(at(0), 0.01)
	tr.RateLimited(at(0), "a", perSecond(0))
	r := NewQueue(tr)
	for i := range 20 {
		q := query(fmt.Sprint(i))
		q.StartBy = at(0)
		if d, _ := r.Arrive(at(0), q); d.Refused != "" && (d.RetryAfter < minRetryAfter || d.RetryAfter > maxLimitedRetryAfter) {
			t.Errorf("%d: retry after %v", i, d.RetryAfter)
		}
	}
}

// TestRateLimitOutlivesALateList guards against more requests than an upstream allows: it restarted under its id before it
// announced a limit, and the list said so later, in one or several steps. A limit that was announced before the restart
// doesn't apply to the new incarnation.
func TestRateLimitOutlivesALateList(t *testing.T) {
	incarnation := func(startedAt time.Duration) fleet.Upstream {
		return fleet.Upstream{ID: "a", StartedMS: at(startedAt).UnixMilli(), Service: "s", Slots: 6}
	}
	for name, test := range map[string]struct {
		announcedAt time.Duration
		later       []fleet.Upstream
		limited     bool
	}{
		"listed at once":         {3 * time.Second, []fleet.Upstream{incarnation(2 * time.Second)}, true},
		"listed step by step":    {3 * time.Second, []fleet.Upstream{incarnation(time.Second), incarnation(2 * time.Second)}, true},
		"by the one that ended":  {time.Second, []fleet.Upstream{incarnation(2 * time.Second)}, false},
		"before the second step": {1500 * time.Millisecond, []fleet.Upstream{incarnation(time.Second), incarnation(2 * time.Second)}, false},
	} {
		listed := incarnation(0)
		tr := newTestTracker(listed)
		tr.RateLimited(at(test.announcedAt), listed.Incarnation(), perSecond(2))
		for _, u := range test.later {
			tr.SetUpstreams(map[string][]fleet.Upstream{"s": {u}})
		}
		newest := test.later[len(test.later)-1].Incarnation()
		if _, limited := tr.rateWait(at(4*time.Second), KeyOf(newest)); limited != test.limited {
			t.Errorf("%s: the listed incarnation is limited: %t, want %t", name, limited, test.limited)
		}
	}
}
