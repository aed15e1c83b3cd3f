package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/request/response"
)

// serve handles one request of a caller.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	e.activeRequests.Begin()
	defer e.activeRequests.End()
	q, err := e.prepare(w, r, arrived)
	if err != nil {
		q.finish(response.Interrupted, errkind.From(err))
		return
	}
	ctx, cancel := q.context()
	defer cancel()
	q.finish(q.execute(ctx))
}

// finish ends the response as its core decides, and records the end of the request. final is the error for the caller if
// no response of an upstream can be written; nil: none is expected.
func (q *request) finish(reason response.Reason, final *errkind.Error) {
	if final != nil && final.Kind == errkind.Canceled && q.r.Context().Err() != nil {
		reason = response.CallerLeft
	}
	ending := q.response.core.End(reason)
	switch ending {
	case response.EndWhole:
		final = nil
	case response.EndServerError:
		if final = q.response.sendServerError(); final != nil {
			ending = response.EndAborted
		}
	default:
		if final == nil {
			// Without an error, the server would end the response in order by itself.
			final = errkind.New(errkind.Internal, q.runState, "the request ended without a whole answer")
		}
	}
	q.recordEnd(ending, final)
	q.limitWrite() // net/http writes the end of the response after the handler has returned
	switch ending {
	case response.EndAborted:
		panic(http.ErrAbortHandler) // only an aborted transfer shows that the response is incomplete
	case response.EndError:
		q.writeError(final)
	}
}

// writeError writes an error response that this process generates.
func (q *request) writeError(final *errkind.Error) {
	status := errorStatus(final)
	h := q.w.Header()
	if final.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(final.RetryAfter.Seconds(), 'f', 3, 64))
	}
	body := []byte(string(final.Kind) + ": " + final.Message + "\n")
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	q.w.WriteHeader(status)
	_ = q.write(body) // if the caller has left, the request is over as well
}

// errorStatus returns the status of an error response that this process generates. It uses a status that
// promises that the request has not run (see impliesNotRun) only if that is known.
func errorStatus(final *errkind.Error) int {
	status := errkind.Lookup(final.Kind).Status
	if impliesNotRun(status) && final.Run != errkind.NotRun {
		return http.StatusBadGateway
	}
	return status
}
