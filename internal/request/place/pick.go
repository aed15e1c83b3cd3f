package place

import (
	"math"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// Eligible returns the number of upstreams that could serve the request, whatever their
// load.
func (t *Tracker) Eligible(now time.Time, q *Query) int {
	n := 0
	for _, u := range t.services[q.Service] {
		if u.eligible(now, q) {
			n++
		}
	}
	return n
}

// hasEligible reports whether any upstream could serve the request, whatever its load.
func (t *Tracker) hasEligible(now time.Time, q *Query) bool {
	for _, u := range t.services[q.Service] {
		if u.eligible(now, q) {
			return true
		}
	}
	return false
}

// refusalDetails returns the data that a refusal is based on.
func (t *Tracker) refusalDetails(now time.Time, q *Query, ahead int, wait time.Duration) RefusalDetails {
	details := RefusalDetails{Work: q.Work, Ahead: ahead, Wait: wait}
	limits := t.throttling(now, q)
	details.Limited = limits.rateLimited + limits.backingOff
	if q.Work.prefills() {
		details.ConcurrencyLimit = t.concurrencyLimiter(q.Service, q.Work).limit
	}
	for _, u := range t.services[q.Service] {
		if !u.eligible(now, q) {
			continue
		}
		details.Eligible++
		if age := u.reportAge(now); age < 0 || details.Oldest < 0 {
			details.Oldest = -1
		} else {
			details.Oldest = max(details.Oldest, age)
		}
	}
	return details
}

// eligible reports whether an upstream could serve the request, whatever its load: it is
// available, has the required role and version of software, and isn't excluded.
func (u *upstreamState) eligible(now time.Time, q *Query) bool {
	if u.health.unavailable(now) || !roleFits(u.up.Role, q.Work.requiredRole()) || (q.Continues() && u.up.Software != q.Software) {
		return false
	}
	for _, id := range q.Excluded {
		if id == u.incarnation {
			return false
		}
	}
	return true
}

// roleFits reports whether an upstream whose role is have can do work that requires the role
// want. Work may require none (empty), and an upstream without a role can do any work.
func roleFits(have, want upstream.Role) bool {
	return want == "" || have == "" || have == want || have == upstream.RoleBoth
}

// Pick chooses the upstream with the lowest cost. ok is false if none may get the request now:
// all are ineligible, full, backing off or blocked by their rate limits, or the concurrency
// limit for prefills is reached.
func (t *Tracker) Pick(now time.Time, q *Query) (choice Choice, ok bool) {
	if q.Work.prefills() && t.concurrencyLimiter(q.Service, q.Work).full() {
		return Choice{}, false
	}
	best, bestCost := (*upstreamState)(nil), math.Inf(1)
	list := t.services[q.Service]
	v := t.view(now, q)
	baseRate := minFailureRate(now, list)
	for _, u := range list {
		if !u.eligible(now, q) || v.full(u) || t.backoffOf(u.incarnation).blocked(now) || t.rateBlocked(now, u) {
			continue
		}
		c := v.cost(u) + failureCost*(u.health.failureRate(now)-baseRate)
		if c < bestCost {
			best, bestCost = u, c
		}
	}
	if best == nil {
		return Choice{}, false
	}
	choice = Choice{Upstream: best.up, Work: q.Work, Load: best.totalRequests(now), Age: best.reportAge(now), Cost: bestCost}
	if q.Work.prefills() {
		choice.Tokens = v.tokensToPrefill(best)
		choice.Idle = best.backlogTokens() == 0 && best.totalRequests(now) < maxIdleLoad
		if source := v.sourceFor(best); source != nil {
			choice.CopyFrom = source.source()
		}
	}
	return choice, true
}

// minEngineWait returns the shortest time that a prompt would wait at any engine behind other
// prompts. ok is false if the work isn't Prefill, or if no engine may get it now.
func (t *Tracker) minEngineWait(now time.Time, q *Query) (wait time.Duration, ok bool) {
	if q.Work != Prefill {
		return 0, false
	}
	v := t.view(now, q)
	for _, u := range t.services[q.Service] {
		if !u.eligible(now, q) || t.backoffOf(u.incarnation).blocked(now) || t.rateBlocked(now, u) {
			continue
		}
		if w := v.engineWait(u); !ok || w < wait {
			wait, ok = w, true
		}
	}
	return wait, ok
}

// maxIdleLoad is the estimated number of requests below which an upstream counts as idle.
const maxIdleLoad = 0.5

// minFailureRate returns the lowest failure rate of the upstreams of a service.
func minFailureRate(now time.Time, list []*upstreamState) float64 {
	rate := 1.0
	for _, u := range list {
		rate = min(rate, u.health.failureRate(now))
	}
	return rate
}
