package admit

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/request/route"
)

// maxUnboundWait is how long a request without any time limit may wait.
const maxUnboundWait = time.Minute

// newQueued returns the queue entry of a request. Its latestStart is that of the runner
// that, without load, could start the request last and still be on time. A request without
// a time limit is due after maxUnboundWait.
func newQueued(now time.Time, q route.Request, runners []route.Runner) queued {
	w := queued{request: q, due: now.Add(maxUnboundWait), latestStart: now.Add(maxUnboundWait)}
	due, hasDue := route.ResponseDeadline(now, &q)
	if !hasDue {
		return w
	}
	w.due = due
	w.latestStart = now // if no runner passes the filters, the request cannot wait
	for i := range runners {
		start, ok := route.LatestStart(now, &q, &runners[i])
		if ok && start.After(w.latestStart) {
			w.latestStart = start
		}
	}
	return w
}
