package place

import (
	"slices"
	"time"
)

const (
	// retryRateShare is the share of the allowed rate that is reserved for callers that were
	// refused and retry. It is small, since retries are late by then, while a first attempt
	// can still be served in time.
	retryRateShare = 0.25
	// retrySlotGrace is how long a retry slot is kept for a caller that doesn't retry at the
	// suggested time.
	retrySlotGrace = 250 * time.Millisecond
	// retryWaitShare is the longest time that a refused caller is expected to wait before it
	// retries, as a share of the time until its deadline.
	retryWaitShare = 1.0 / 3
	// maxLimitedRetryAfter is the longest wait that is suggested to a caller because of rate
	// limits or backoffs. These usually change within less time, so that a longer wait would
	// not be justified.
	maxLimitedRetryAfter = time.Minute
	// returnScoreWeight is the weight of one slot in the moving average returnScore. A slot
	// enters it when the caller retries or the slot expires.
	returnScoreWeight = 0.1
)

// retrySlots holds the retry times suggested to refused callers if the rate limits of
// upstreams determine when a retry can succeed. The zero value is ready to use.
type retrySlots struct {
	open        []retrySlot              // slots that are not claimed yet, unordered
	latest      map[retryClass]time.Time // latest time for which a slot was reserved
	returnScore float64                  // moving average: 1 if all callers retry at the suggested time, -1 if none does
}

// retrySlot reserves one request of the allowed rate for a refused caller, which was told to
// retry at the given time.
type retrySlot struct {
	retryClass
	at time.Time
}

// retryClass identifies the requests of one urgency that wait for the same upstreams.
type retryClass struct {
	queue   string
	urgency int
}

// appliesTo reports whether callers with slots of the class k wait for the same upstreams as the
// request q and are at least as urgent.
func (k retryClass) appliesTo(q *Query) bool {
	return k.queue == q.queueName() && k.urgency <= q.Urgency
}

// reserve returns the time after which a caller should retry. It is at least the duration wait,
// and later than the times that were suggested to other callers. perSecond is the rate at which
// this process may send requests. If the caller is likely to wait that long, reserve also
// reserves a slot.
func (s *retrySlots) reserve(now time.Time, q *Query, wait time.Duration, perSecond float64) time.Duration {
	if wait == never {
		return maxRetryAfter // this process gets its share of the limits back within about that time
	}
	at := now.Add(max(wait, minRetryAfter))
	for key, last := range s.latest {
		if next := last.Add(timeToSend(1, retryRateShare*perSecond)); key.appliesTo(q) && next.After(at) {
			at = next
		}
	}
	if at.Sub(now) <= q.maxRetryWait(now) {
		if s.latest == nil {
			s.latest = make(map[retryClass]time.Time)
		}
		key := retryClass{q.queueName(), q.Urgency}
		s.latest[key] = at
		s.open = append(s.open, retrySlot{key, at})
	}
	return min(at.Sub(now), maxLimitedRetryAfter)
}

// maxRetryWait returns the longest time that a refused caller is expected to wait before it
// retries.
func (q *Query) maxRetryWait(now time.Time) time.Duration {
	if q.Deadline.IsZero() {
		return maxRetryAfter
	}
	return time.Duration(retryWaitShare * float64(q.Deadline.Sub(now)))
}

// mustYield reports whether a first attempt must be refused because retries need all requests
// that the limits allow now. Only retries that are due before the limits allow one more
// request count.
func (s *retrySlots) mustYield(now time.Time, q *Query, limits *throttling) bool {
	s.expire(now)
	if s.returnScore <= 0 {
		return false // most callers don't retry at the suggested time, or it isn't known yet whether they do
	}
	due := 0
	for _, slot := range s.open {
		if slot.appliesTo(q) && slot.at.Sub(now) <= timeToSend(1, limits.perSecond) {
			due++
		}
	}
	return due > 0 && limits.ready <= due
}

// expire removes the slots of callers that didn't retry.
func (s *retrySlots) expire(now time.Time) {
	s.open = slices.DeleteFunc(s.open, func(slot retrySlot) bool {
		late := now.Sub(slot.at) >= retrySlotGrace
		if late {
			s.returnScore -= returnScoreWeight * (1 + s.returnScore)
		}
		return late
	})
}

// claim removes the open slot that a retry most likely uses: of the slots of its queue and
// urgency, the one whose time is closest to now.
func (s *retrySlots) claim(now time.Time, q *Query) {
	key, best := retryClass{q.queueName(), q.Urgency}, -1
	for i, slot := range s.open {
		if slot.retryClass == key && (best < 0 || slot.at.Sub(now).Abs() < s.open[best].at.Sub(now).Abs()) {
			best = i
		}
	}
	if best >= 0 {
		s.returnScore += returnScoreWeight * (1 - s.returnScore)
		s.open = slices.Delete(s.open, best, best+1)
	}
}
