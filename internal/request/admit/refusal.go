package admit

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/request/route"
)

// Limits of the retry-after time of a refusal.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// unservableError returns the error for a request that would not be on time even if it
// waited.
func unservableError(q *route.Request, choice *route.Choice) *errkind.Error {
	if choice.Runner == "" {
		return errkind.New(errkind.NoUpstream, errkind.NotRun, "no runner can serve the request now").WithRetryAfter(retryAfter(q, 0))
	}
	return errkind.New(errkind.DeadlineUnmeetable, errkind.NotRun, "even an idle runner would be late")
}

// lateError returns the error for a request that would be admitted too late after the predicted wait.
func lateError(q *route.Request, wait time.Duration) *errkind.Error {
	return errkind.New(errkind.DeadlineUnmeetable, errkind.NotRun, "predicted late at the present load").WithRetryAfter(retryAfter(q, wait))
}

// overloadedError returns the error for a request that doesn't fit into the queue.
func overloadedError(q *route.Request, wait time.Duration) *errkind.Error {
	return errkind.New(errkind.Overloaded, errkind.NotRun, "the queue is full").WithRetryAfter(retryAfter(q, wait))
}

// retryAfter returns the retry-after time of a refusal: the predicted wait plus jitter of up
// to the same length, within the limits above. The jitter, which depends on the request's
// seed, keeps refused callers from retrying all at once.
func retryAfter(q *route.Request, wait time.Duration) time.Duration {
	const steps = 1000
	wait = max(wait, minRetryAfter)
	wait += wait * time.Duration(q.Seed%steps) / steps
	return min(wait, maxRetryAfter)
}
