package entry

import (
	"context"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/request/eventstream"
	"github.com/ragworttrestle/ragworttrestle/internal/request/exchange"
	"github.com/ragworttrestle/ragworttrestle/internal/request/place"
)

const (
	// maxBufferedBytes limits the responses that are read to the end before any byte is
	// sent to the caller, so that a truncated one can still become an error with a status.
	maxBufferedBytes = 256 << 10
	// maxEventBytes limits one event of a stream.
	maxEventBytes = 256 << 10
	// copyBufferBytes is the buffer size for copying responses above maxBufferedBytes.
	copyBufferBytes = 32 << 10
	// callerWriteTimeout limits one write to a caller that doesn't read.
	callerWriteTimeout = 10 * time.Second
)

// Causes of a failed response.
var (
	errWrongRequest    = errors.New("the response belongs to another request")
	errUpstreamRefused = errors.New("the upstream refused the request")
	errServerError     = errors.New("the upstream responded with a server error")
	errEventGap        = errors.New("an event of the stream is missing")
	errIncomplete      = errors.New("the response ended early")
	errCallerWrite     = errors.New("write to the caller failed")
)

// serverErrorResponse is a complete response with a 5xx status. It is sent to the caller if
// no other upstream serves the request.
type serverErrorResponse struct {
	status int
	header http.Header
	body   []byte
}

// responseRelay writes the responses of upstreams to the sends of one request to the caller.
type responseRelay struct {
	req         *request
	sequence    eventstream.Sequence // of the events of all sends
	serverError *serverErrorResponse // the last one; nil: none
	framing     upstream.Framing     // of the last response; empty: none yet
	sent        int                  // events of all sends that were written to the caller
	lastSent    int                  // events of the last send that were written to the caller
}

// canResume reports whether another send could continue the response from where it stopped:
// nothing was written to the caller yet, or the stream has resumable event ids.
func (r *responseRelay) canResume() bool {
	if !r.req.responseStarted {
		return true
	}
	_, ok := r.sequence.Last()
	return ok
}

// copyResponse writes an upstream's response to the caller, unless it belongs to another request or says
// that the request was not run.
func (r *responseRelay) copyResponse(ctx context.Context, held *heldPlace, resp upstream.ServiceResponse, info exchange.ResponseInfo) sendOutcome {
	q := r.req
	r.framing, r.lastSent = resp.Framing, 0
	if info.RequestID != "" && info.RequestID != q.info.ID {
		q.possibleRuns++
		return sendOutcome{runState: errkind.RunUnknown, err: errWrongRequest, maybeSent: true}
	}
	if info.NotRun {
		return sendOutcome{runState: errkind.NotRun, err: errUpstreamRefused, maybeSent: true}
	}
	q.possibleRuns++
	if isEventStream(resp) {
		return r.copyStream(ctx, held, resp)
	}
	q.countUsage(q.sentAt)
	if q.responseStarted {
		return sendOutcome{runState: errkind.Ran, err: errServerError, maybeSent: true}
	}
	return r.copyBuffered(resp)
}

// isEventStream reports whether a response is a stream of server-sent events.
func isEventStream(resp upstream.ServiceResponse) bool {
	if resp.Status != http.StatusOK {
		return false
	}
	mediaType, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// copyBuffered reads a response, or its first maxBufferedBytes, before it writes anything to the caller.
// It saves a server error instead of writing it.
func (r *responseRelay) copyBuffered(resp upstream.ServiceResponse) sendOutcome {
	q := r.req
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes))
	if err != nil {
		return sendOutcome{runState: errkind.Ran, err: errors.Wrap(errIncomplete, err.Error()), maybeSent: true}
	}
	if impliesNotRun(resp.Status) {
		return sendOutcome{runState: errkind.RunUnknown, err: errors.Wrapf(errServerError, "status %d that doesn't say whether the request ran", resp.Status), maybeSent: true}
	}
	if resp.Status >= http.StatusInternalServerError {
		r.serverError = &serverErrorResponse{status: resp.Status, header: resp.Header, body: body}
		return sendOutcome{runState: errkind.Ran, err: errors.Wrapf(errServerError, "status %d", resp.Status), maybeSent: true}
	}
	q.markResponseStarted()
	if len(body) < maxBufferedBytes {
		return q.writeBuffered(resp.Status, resp.Header, body)
	}
	return q.writeUnbuffered(resp, body)
}

// impliesNotRun reports whether callers conclude from a status that their request has not run. Such a
// status is never passed on from an upstream; this process sends it only if it knows that the request has
// not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// sendServerError writes the saved server error of an upstream to the caller.
func (r *responseRelay) sendServerError() *errkind.Error {
	r.req.markResponseStarted()
	if out := r.req.writeBuffered(r.serverError.status, r.serverError.header, r.serverError.body); !out.completed {
		return errkind.Wrap(out.err, errkind.Canceled, errkind.Ran, "the caller closed the connection")
	}
	return nil
}

// markResponseStarted records that a part of the response is about to be written to the caller.
func (q *request) markResponseStarted() {
	if !q.responseStarted {
		q.responseStarted = true
		q.firstEventAfter = time.Since(q.arrived)
	}
}

// recordStreamEvent records that an event of a stream was read at a time. previous is when the event
// before it was read; zero: this is the first event.
func (q *request) recordStreamEvent(now, previous time.Time, held *heldPlace) {
	e := place.Event{Kind: place.StreamEvent}
	if !previous.IsZero() {
		e.Duration = now.Sub(previous)
	}
	q.e.recordEvents(held, e)
}

// recordFirstEvent records how long it took from the send to the first event of the response, if the
// upstream had to fetch a KV cache or to prefill a long prompt.
func (q *request) recordFirstEvent(now time.Time, held *heldPlace) {
	if q.fetchingKV {
		q.e.demand.recordFetch(q.service, now.Sub(q.sentAt))
	}
	if held.work() == place.LocalPrefill {
		q.e.recordEvents(held, place.Event{Kind: place.PrefilledAndDecoding, Duration: now.Sub(q.sentAt)})
	}
}

// writeHeader writes the status and headers of an upstream's response.
func (q *request) writeHeader(status int, h http.Header) {
	if q.status == 0 {
		q.status = status
	}
	header := q.w.Header()
	for name, values := range h {
		header[name] = values
	}
	q.w.WriteHeader(status)
}

// writeBuffered writes a complete response.
func (q *request) writeBuffered(status int, h http.Header, body []byte) sendOutcome {
	h = h.Clone()
	if q.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	q.writeHeader(status, h)
	return q.write(body)
}

// writeUnbuffered writes a response whose first bytes, head, were read already, and copies the rest.
func (q *request) writeUnbuffered(resp upstream.ServiceResponse, head []byte) sendOutcome {
	q.writeHeader(resp.Status, resp.Header)
	if out := q.write(head); !out.completed {
		return out
	}
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if out := q.write(buf[:n]); !out.completed {
				return out
			}
		}
		if err == io.EOF {
			return completedOutcome()
		}
		if err != nil {
			return sendOutcome{runState: errkind.Ran, err: errors.Wrap(errIncomplete, err.Error()), maybeSent: true}
		}
	}
}

// write writes a part of the response to the caller.
func (q *request) write(data []byte) sendOutcome {
	if len(data) == 0 {
		return completedOutcome()
	}
	// Some writers don't support deadlines, such as the recorder of httptest.
	_ = http.NewResponseController(q.w).SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	if _, err := q.w.Write(data); err != nil {
		return sendOutcome{runState: errkind.Ran, err: errors.Wrap(errCallerWrite, err.Error()), maybeSent: true}
	}
	return completedOutcome()
}

// copyStream copies an event stream to the caller. It writes the header only with the first event: if the
// stream breaks off before that event, the request can still be sent to another upstream.
func (r *responseRelay) copyStream(ctx context.Context, held *heldPlace, resp upstream.ServiceResponse) sendOutcome {
	q := r.req
	events := newReadAhead(eventstream.NewReader(resp.Body, maxEventBytes), &q.e.readAheadBudget, q.e.spawn)
	defer events.close()
	flusher := http.NewResponseController(q.w)
	var previous time.Time // of the previous event; zero: none yet
	for {
		event := events.next()
		if event.err == io.EOF && (q.responseStarted || r.sequence.Started()) {
			return completedOutcome()
		}
		if event.err != nil {
			return sendOutcome{runState: errkind.Ran, err: errors.Wrap(errIncomplete, event.err.Error()), maybeSent: true}
		}
		now := event.readAt
		q.recordStreamEvent(now, previous, held)
		if previous.IsZero() {
			q.countUsage(now)
		}
		previous = now
		switch r.sequence.Check(event.ID) {
		case eventstream.Skip:
			continue
		case eventstream.Gap:
			return sendOutcome{runState: errkind.Ran, err: errEventGap, maybeSent: true}
		}
		if !q.responseStarted {
			q.markResponseStarted()
			q.recordOrigin(held)
			q.recordFirstEvent(now, held)
			q.writeHeader(resp.Status, resp.Header)
		}
		if out := q.write(event.Raw); !out.completed {
			return out
		}
		if err := flusher.Flush(); err != nil {
			return sendOutcome{runState: errkind.Ran, err: errors.Wrap(errCallerWrite, err.Error()), maybeSent: true}
		}
		r.sent++
		r.lastSent++
	}
}
