package admit

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/request/route"
)

// Bounds on the time after which a refused caller is told to come back.
const (
	leastRetryAfter = time.Second
	mostRetryAfter  = time.Minute
)

// refusal is the answer to a request for which no choice is on time.
func refusal(choice *route.Choice) *errkind.Error {
	if choice.Runner == "" {
		return errkind.New(errkind.NoUpstream, errkind.NotRun, "no runner can serve the request now").After(leastRetryAfter)
	}
	if choice.Earliest == route.Never {
		return errkind.New(errkind.DeadlineUnmeetable, errkind.NotRun, "even an idle runner would be late")
	}
	return errkind.New(errkind.DeadlineUnmeetable, errkind.NotRun, "predicted late at the present load").After(retryAfter(choice.Earliest))
}

func overloaded(choice *route.Choice) *errkind.Error {
	return errkind.New(errkind.Overloaded, errkind.NotRun, "the queue is full").After(retryAfter(choice.Earliest))
}

func retryAfter(earliest time.Duration) time.Duration {
	return min(max(earliest, leastRetryAfter), mostRetryAfter)
}
