package admit

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/request/route"
)

// unboundWait is how long a request may wait that nothing binds.
const unboundWait = time.Minute

// newWaiting gives a request its place in time: when it is due, and the last
// moment at which the runner that would be fastest without load could take it.
func newWaiting(now time.Time, q route.Request, runners []route.Runner) waiting {
	w := waiting{request: q, due: now.Add(unboundWait), start: now.Add(unboundWait)}
	due, bound := route.Due(now, &q)
	if !bound {
		return w
	}
	w.due = due
	w.start = now // no runner passes the filters: it cannot wait
	for i := range runners {
		start, ok := route.LatestStart(now, &q, &runners[i])
		if ok && start.After(w.start) {
			w.start = start
		}
	}
	return w
}
