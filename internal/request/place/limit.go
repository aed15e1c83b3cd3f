package place

import (
	"math"
	"time"
)

// limiter bounds the requests that this process has under way at a group of
// upstreams, so that they take about as long as wanted. It learns the bound from how
// long they take: each process sees only its own part of the load, and what upstreams
// report of the rest is old. The bound falls by a share and rises by a step, so
// processes that share upstreams come to share them evenly.
type limiter struct {
	bound float64 // requests
	under int
}

const (
	// firstBound lets a process begin without having measured anything.
	firstBound = 16
	// leastBound keeps one request under way, from which the next bound is learned.
	leastBound = 1
	// mostBound is more than any process needs.
	mostBound = 4096
	// lowerBy is by how much the bound falls for a request that took too long. It
	// rises by a step for as many requests in time as are under way: so it
	// falls by a share and rises by a step in the time of one request, which makes
	// processes that share upstreams share them in the ratio of their steps. A fall by
	// a share at most once in that time was tried: three processes served 7,438, 1,292
	// and 1,269.
	lowerBy = 0.3
	// raiseShare is the step as a part of what the process would have under way if all
	// that it is asked for were served in time, so that a process with three times the
	// callers gets three times the places. The steps of six processes at twice the
	// load that can be served are then about one request each.
	raiseShare = 0.15
	leastRaise = 0.25 // requests; lets a process with few callers recover
	mostRaise  = 4.0  // requests; more would overshoot by itself
	// nearBound is the part of the bound that has to be in use for it to rise.
	nearBound = 0.7
)

func newLimiter() *limiter { return &limiter{bound: firstBound} }

// full reports whether another request would be beyond the bound.
func (l *limiter) full() bool { return float64(l.under+1) > l.bound }

func (l *limiter) begin() { l.under++ }

func (l *limiter) end() { l.under = max(l.under-1, 0) }

// took learns from a request that took so long, or waited so long where that is told
// apart, and was wanted to take at most target.
// asked is how many requests a second the process is asked for.
func (l *limiter) took(took, target time.Duration, asked float64) {
	if target <= 0 {
		return
	}
	if took > target {
		l.bound = max(l.bound-lowerBy, leastBound)
		return
	}
	// The request that has just ended counts as under way; a bound of 1.9 allows one.
	if float64(l.under+1) >= nearBound*math.Floor(l.bound) {
		step := min(max(raiseShare*asked*target.Seconds(), leastRaise), mostRaise)
		l.bound = min(l.bound+step/l.bound, mostBound)
	}
}
