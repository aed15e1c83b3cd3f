package place

import (
	"math"
	"time"
)

// concurrencyLimiter limits the requests that this process has in flight at a group of
// upstreams, so that the requests take about as long as their target. It learns the limit
// from the time that requests take, since each process sees only its own share of the load
// and the load reports of upstreams are old. The limit follows additive increase and
// multiplicative decrease (AIMD), so that processes that share upstreams converge to
// fair shares.
type concurrencyLimiter struct {
	limit    float64 // most requests in flight; a fraction of a request doesn't count
	inFlight int     // requests
}

const (
	// initialLimit is the limit before any request was measured.
	initialLimit = 16
	// minLimit allows one request in flight, from which the limit can grow again.
	minLimit = 1
	// maxLimit is more than any process needs.
	maxLimit = 4096
	// limitDecrease is subtracted from the limit for each request that took too long.
	// Each timely request raises the limit by the process's increase, divided by the limit.
	// In the time that one request takes, about as many requests end as the limit allows.
	// In that time the limit therefore falls by a share of itself or rises by one increase,
	// which makes processes share upstreams in the ratio of their increases.
	// A limit that instead fell by a share of itself at most once in that time led to uneven
	// shares: three processes served 7,438, 1,292 and 1,269 requests.
	limitDecrease = 0.3
	// limitIncreaseShare is the increase of a process, as a share of the requests that it
	// would have in flight if all that arrive were served on time. So a process with three
	// times the callers gets three times the limit. The increases of six processes at twice
	// the load that can be served are then about one request each.
	limitIncreaseShare = 0.15
	minLimitIncrease   = 0.25 // requests; lets a process with few callers recover
	maxLimitIncrease   = 4.0  // requests; more would overshoot the limit
	// minUtilization is the share of the limit that must be in use for the limit to rise.
	minUtilization = 0.7
)

func newConcurrencyLimiter() *concurrencyLimiter { return &concurrencyLimiter{limit: initialLimit} }

// full reports whether one more request would exceed the limit.
func (l *concurrencyLimiter) full() bool { return float64(l.inFlight+1) > l.limit }

// begin counts a request that is sent.
func (l *concurrencyLimiter) begin() { l.inFlight++ }

// end counts the end of a request.
func (l *concurrencyLimiter) end() { l.inFlight = max(l.inFlight-1, 0) }

// observe adjusts the limit after the end of a request. elapsed is the time that the request
// waited at the upstream or, if that is unknown, the whole time that it took. target is the
// longest that elapsed should be; without a target (0) observe does nothing. arrivalRate is
// the number of requests per second that arrive at this process.
func (l *concurrencyLimiter) observe(elapsed, target time.Duration, arrivalRate float64) {
	if target <= 0 {
		return
	}
	if elapsed > target {
		l.limit = max(l.limit-limitDecrease, minLimit)
		return
	}
	// The request that just ended counts as in flight; a limit of 1.9 allows one.
	if float64(l.inFlight+1) >= minUtilization*math.Floor(l.limit) {
		step := min(max(limitIncreaseShare*arrivalRate*target.Seconds(), minLimitIncrease), maxLimitIncrease)
		l.limit = min(l.limit+step/l.limit, maxLimit)
	}
}
