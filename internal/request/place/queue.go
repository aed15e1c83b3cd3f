package place

import (
	"slices"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/mapentry"
)

// RefusalReason is why a request is refused without having been sent.
type RefusalReason string

// The reasons for a refusal.
const (
	NoUpstream    RefusalReason = "no upstream can serve the request"
	NoPlaceInTime RefusalReason = "no place came free in time"
	Outranked     RefusalReason = "more urgent requests fill the queue"
)

// maxWaiting bounds the requests that wait in one process, and thereby the memory in a flood of
// requests. It is far more than a process can start within the time that a request may wait.
const maxWaiting = 512

// Decision is the decision on one request: a place, or a refusal and the time after which a
// place is likely to be free.
type Decision struct {
	ID         string
	Choice     Choice
	Refused    RefusalReason // empty: placed
	RetryAfter time.Duration
	Details    RefusalDetails // of a refusal
}

// RefusalDetails is the data that a refusal is based on.
type RefusalDetails struct {
	Work             Work
	Eligible         int           // upstreams that could do the work, whatever their load
	Limited          int           // eligible upstreams that have a rate limit or are backing off
	Ahead            int           // requests ahead in the queue
	Wait             time.Duration // estimated wait for a place; 0: unknown
	ConcurrencyLimit float64       // concurrency limit for the work in this process; 0: none, as for all work but prefills
	Oldest           time.Duration // age of the oldest load report of the eligible upstreams; negative: one of them has none
}

// Refuse returns the refusal of a request that isn't in the queue.
func (r *Queue) Refuse(now time.Time, q *Query, reason RefusalReason) Decision {
	return Decision{
		ID: q.ID, Refused: reason, RetryAfter: r.retryAfter(now, q),
		Details: r.tracker.refusalDetails(now, q, r.ahead(q), r.estimatedWait(now, q)),
	}
}

// queuedRequest is a request in the queue.
type queuedRequest struct {
	q Query
}

// Queue holds requests until there is a place for them. It is not safe for concurrent use.
type Queue struct {
	tracker    *Tracker
	queues     map[string][]queuedRequest // by Query.queueName, in start order
	count      int                        // waiting requests in all queues
	startRates map[string]*eventRate      // rate at which requests get places, by Query.queueName

	retrySlots retrySlots
}

// NewQueue returns an empty queue that places requests with tracker.
func NewQueue(tracker *Tracker) *Queue {
	return &Queue{tracker: tracker, queues: make(map[string][]queuedRequest), startRates: make(map[string]*eventRate)}
}

// Len returns the number of waiting requests.
func (r *Queue) Len() int { return r.count }

// Arrive decides on a new request at once, or adds it to the queue and returns false. Tick
// then decides on it later.
func (r *Queue) Arrive(now time.Time, q Query) (d Decision, decided bool) {
	if !r.tracker.hasEligible(now, &q) {
		return r.Refuse(now, &q, NoUpstream), true
	}
	if limits := r.tracker.throttling(now, &q); q.Retry {
		r.retrySlots.claim(now, &q)
	} else if limits.all && r.retrySlots.mustYield(now, &q, &limits) {
		return r.Refuse(now, &q, NoPlaceInTime), true
	}
	if !r.hasPredecessor(&q) {
		if choice, ok := r.tryPlace(now, &q); ok {
			return Decision{ID: q.ID, Choice: choice}, true
		}
	}
	if r.count >= maxWaiting {
		return r.Refuse(now, &q, Outranked), true
	}
	tooLate := !q.StartBy.After(now.Add(r.estimatedWait(now, &q)))
	if tooLate && len(r.queues[q.queueName()]) == 0 && r.mayExtendWait(now, &q) {
		q.extendWait(now)
		tooLate = false
	}
	if tooLate || r.limitsPreventStart(now, &q, r.ahead(&q)) {
		return r.Refuse(now, &q, NoPlaceInTime), true
	}
	r.insert(q)
	return Decision{}, false
}

// hasPredecessor reports whether a waiting request goes before the new request q. Requests that continue a
// stream don't count: they wait for certain upstreams, and had the first choice of what is free.
func (r *Queue) hasPredecessor(q *Query) bool {
	for _, w := range r.queues[q.queueName()] {
		if !w.q.Continues() {
			return w.q.compare(q) <= 0
		}
	}
	return false
}

// ahead returns the number of waiting requests that go before q, which may be waiting itself.
func (r *Queue) ahead(q *Query) int {
	n := 0
	for _, w := range r.queues[q.queueName()] {
		if w.q.ID == q.ID || w.q.compare(q) > 0 {
			break
		}
		n++
	}
	return n
}

// estimatedWait estimates the time until q starts after the requests ahead of it, at the rate
// of recent starts. It returns 0 if that rate is below minStartRate.
func (r *Queue) estimatedWait(now time.Time, q *Query) time.Duration {
	perSecond := r.startRate(q.queueName()).perSecond(now)
	if perSecond < minStartRate {
		return 0
	}
	return time.Duration(float64(r.ahead(q)+1) / perSecond * float64(time.Second))
}

// minStartRate is the least rate of starts, per second, on which estimates are based. At lower
// rates, a few requests more or less would change an estimate too much to refuse requests
// because of it.
const minStartRate = 5

// tryPlace picks an upstream for a request and counts the place that the request gets. It
// returns false if there is no place.
func (r *Queue) tryPlace(now time.Time, q *Query) (Choice, bool) {
	choice, ok := r.tracker.Pick(now, q)
	if !ok && q.AllowLocalPrefill {
		localPrefill := *q
		localPrefill.Work = LocalPrefill
		limits := r.tracker.throttling(now, q)
		localPrefill.prefillEnginesLimited = limits.rateLimited+limits.backingOff > 0
		choice, ok = r.tracker.Pick(now, &localPrefill)
	}
	if !ok {
		return choice, false
	}
	r.tracker.charge(now, &choice)
	r.tracker.beginTrial(&choice)
	r.tracker.Granted(now, &choice)
	r.startRate(q.queueName()).add(now)
	return choice, true
}

// insert adds a request to its queue, which is ordered by compare and then by arrival.
func (r *Queue) insert(q Query) {
	list := r.queues[q.queueName()]
	at, _ := slices.BinarySearchFunc(list, q, func(w queuedRequest, q Query) int {
		if c := w.q.compare(&q); c != 0 {
			return c
		}
		if w.q.Arrived.After(q.Arrived) {
			return 1
		}
		return -1
	})
	r.queues[q.queueName()] = slices.Insert(list, at, queuedRequest{q: q})
	r.count++
}

// Tick decides on waiting requests. The first requests of each queue get the places that are
// free now, and requests that can't start in time any more are refused.
func (r *Queue) Tick(now time.Time) []Decision {
	var out []Decision
	for name, list := range r.queues {
		if len(list) == 1 && !list[0].q.StartBy.After(now) && r.mayExtendWait(now, &list[0].q) {
			list[0].q.extendWait(now)
		}
		kept := list[:0]
		blocked := false
		for _, w := range list {
			d, decided := r.decide(now, &w.q, &blocked)
			if !decided {
				kept = append(kept, w)
				continue
			}
			out = append(out, d)
			r.count--
		}
		r.queues[name] = kept
	}
	return out
}

// RefuseOverdue refuses the waiting requests that can't start in time any more, without placing any
// request.
func (r *Queue) RefuseOverdue(now time.Time) []Decision {
	var out []Decision
	for name, list := range r.queues {
		kept := list[:0]
		for _, w := range list {
			if w.q.StartBy.After(now) {
				kept = append(kept, w)
				continue
			}
			out = append(out, r.Refuse(now, &w.q, NoPlaceInTime))
			r.count--
		}
		r.queues[name] = kept
	}
	return out
}

// mayExtendWait reports whether a request that is the only one in its queue may wait for
// another minRetryAfter beyond its latest start. A refusal would ask the caller to wait at
// least that long before it retries. The request may not wait if its caller stops waiting
// within that time. Otherwise it may if a place is likely to come free soon: if at least
// minStartRate requests per second started recently, or if its prompt would wait at most
// minRetryAfter behind others at some engine.
func (r *Queue) mayExtendWait(now time.Time, q *Query) bool {
	if !q.Deadline.IsZero() && !q.Deadline.After(now.Add(minRetryAfter)) {
		return false
	}
	if r.startRate(q.queueName()).perSecond(now) >= minStartRate {
		return true
	}
	wait, ok := r.tracker.minEngineWait(now, q)
	return ok && wait <= minRetryAfter
}

// extendWait postpones the latest start and marks the request late, so that new requests
// that can be in time go first.
func (q *Query) extendWait(now time.Time) { q.StartBy, q.Late = now.Add(minRetryAfter), true }

// decide decides on one waiting request, and returns false if it keeps waiting. *blocked is
// true if a request ahead of it found no place; such a request keeps those behind it waiting.
// decide sets *blocked if this request finds no place, unless the request has tried upstreams
// before or continues a stream: it then has fewer upstreams to choose from than others.
func (r *Queue) decide(now time.Time, q *Query, blocked *bool) (Decision, bool) {
	if !q.StartBy.After(now) {
		return r.Refuse(now, q, NoPlaceInTime), true
	}
	if *blocked {
		return Decision{}, false
	}
	if choice, ok := r.tryPlace(now, q); ok {
		return Decision{ID: q.ID, Choice: choice}, true
	}
	switch {
	case !r.tracker.hasEligible(now, q):
		return r.Refuse(now, q, NoUpstream), true
	case r.limitsPreventStart(now, q, 0):
		return r.Refuse(now, q, NoPlaceInTime), true
	}
	*blocked = len(q.Excluded) == 0 && !q.Continues()
	return Decision{}, false
}

// Remove removes a request that needs no place any more from its queue. It returns false if the
// request wasn't waiting.
func (r *Queue) Remove(q *Query) bool {
	list := r.queues[q.queueName()]
	for i := range list {
		if list[i].q.ID == q.ID {
			r.queues[q.queueName()] = slices.Delete(list, i, i+1)
			r.count--
			return true
		}
	}
	return false
}

// retryAfter returns the time after which a refused request is likely to find a place. If all
// upstreams are backing off, that is the time until the first of these backoffs ends. If all
// are backing off or have rate limits, it is the time until the next retry slot. Otherwise it
// is the time in which the waiting requests and this one start at the rate of recent starts.
func (r *Queue) retryAfter(now time.Time, q *Query) time.Duration {
	queue := q.queueName()
	switch limits := r.tracker.throttling(now, q); {
	case limits.all && limits.rateLimited == 0:
		return retryAfterBackoff(q, limits.firstReady)
	case limits.all:
		return r.retrySlots.reserve(now, q, limits.waitBehind(len(r.queues[queue])), limits.perSecond)
	}
	return retryAfterStarts(len(r.queues[queue])+1, r.startRate(queue).perSecond(now))
}

// backoffRetrySpread is the period over which callers' retries after the end of a backoff are
// spread, since the upstream gets few requests at first.
const backoffRetrySpread = 500 * time.Millisecond

// retryAfterBackoff returns the time after which a caller should retry if all upstreams are
// backing off. first is the time until the first of these backoffs ends.
func retryAfterBackoff(q *Query, first time.Duration) time.Duration {
	jitter := time.Duration(hashID(q.ID) % uint64(backoffRetrySpread))
	return min(max(first+jitter, minRetryAfter), maxLimitedRetryAfter)
}

// limitsPreventStart reports whether a request that n others precede can't start in time
// because each upstream that could serve it has a rate limit or is backing off.
func (r *Queue) limitsPreventStart(now time.Time, q *Query, n int) bool {
	limits := r.tracker.throttling(now, q)
	if !limits.all {
		return false
	}
	if q.AllowLocalPrefill {
		localPrefill := *q
		localPrefill.AllowLocalPrefill, localPrefill.Work = false, LocalPrefill
		if !r.limitsPreventStart(now, &localPrefill, n) {
			return false
		}
	}
	wait := limits.waitBehind(n)
	return wait == never || !q.StartBy.After(now.Add(wait))
}

// startRate returns the rate of recent starts from a queue.
func (r *Queue) startRate(queue string) *eventRate {
	return mapentry.GetOrCreate(r.startRates, queue, mapentry.Zero[eventRate])
}

// Bounds of a suggested retry time. After a shorter time, the caller would retry before
// anything has changed. maxRetryAfter is about the time in which a burst ends or a lost
// upstream is replaced.
const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// retryAfterStarts returns the time in which n requests start at a rate of perSecond, limited
// to the bounds of a suggested retry time.
func retryAfterStarts(n int, perSecond float64) time.Duration {
	if perSecond < 1 {
		return maxRetryAfter
	}
	wait := time.Duration(float64(n) / perSecond * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
