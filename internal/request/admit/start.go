package admit

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/request/route"
)

// latestStart is the last moment at which the request could start and be on
// time, if a runner were then as free as the best one is now of prompts.
func latestStart(now time.Time, q *route.Request, runners []route.Runner) time.Time {
	first, whole := fastest(q, runners)
	start := now.Add(route.Never / 2)
	arrived := q.Arrived
	if arrived.IsZero() {
		arrived = now
	}
	if ms := q.OnTime.FirstTokenMS; ms > 0 {
		start = earlier(start, arrived.Add(time.Duration(ms)*time.Millisecond-first))
	}
	if ms := q.OnTime.WholeMS; ms > 0 {
		start = earlier(start, arrived.Add(time.Duration(ms)*time.Millisecond-whole))
	}
	if !q.Deadline.IsZero() {
		start = earlier(start, q.Deadline.Add(-whole))
	}
	return start
}

// fastest is the shortest predicted service at an otherwise idle runner.
func fastest(q *route.Request, runners []route.Runner) (first, whole time.Duration) {
	first, whole = route.Never, route.Never
	for i := range runners {
		p, ok := route.PredictIdle(q, &runners[i])
		if ok {
			first = min(first, p.FirstToken)
			whole = min(whole, p.Whole)
		}
	}
	if first == route.Never {
		return 0, 0
	}
	return first, whole
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
