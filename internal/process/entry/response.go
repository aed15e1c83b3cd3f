package entry

import (
	"context"
	"io"
	"mime"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/process/budget"
	"github.com/ragworttrestle/ragworttrestle/internal/request/buffer"
	"github.com/ragworttrestle/ragworttrestle/internal/request/eventstream"
	"github.com/ragworttrestle/ragworttrestle/internal/request/exchange"
	"github.com/ragworttrestle/ragworttrestle/internal/request/place"
	"github.com/ragworttrestle/ragworttrestle/internal/request/response"
)

const (
	// maxBufferedBytes limits the responses that are read to the end before any byte is
	// sent to the caller, so that a truncated one can still become an error with a status.
	maxBufferedBytes = 256 << 10
	// unbookedBytes is how much of a response is held without being booked: the cost of a connection covers it.
	unbookedBytes = 4 << 10
	// maxEventBytes limits one event of a stream.
	maxEventBytes = 256 << 10
	// maxLeadingCommentBytes limits the comments of a stream that are held until its first event. They aren't booked, and few
	// are needed to keep a connection open.
	maxLeadingCommentBytes = 16 << 10
	// copyBufferBytes is the buffer size for copying responses above maxBufferedBytes.
	copyBufferBytes = 32 << 10
	// shortBodyTime limits reading a body that comes with its headers, as that of a server error does.
	shortBodyTime = 250 * time.Millisecond
	// callerWriteTimeout limits one write to a caller that doesn't read.
	callerWriteTimeout = 10 * time.Second
)

// Causes of a failed response.
var (
	errWrongRequest    = errors.New("the response belongs to another request")
	errNoRequestNamed  = errors.New("the response names no request, and may be to an earlier one of its connection")
	errUpstreamRefused = errors.New("the upstream refused the request")
	errServerError     = errors.New("the upstream responded with a server error")
	errBodyTimeout     = errors.New("the body of the response didn't come in time")
	errUnconfirmed     = errors.New("the response doesn't show that it is the upstream's")
	errEventGap        = errors.New("an event of the stream is missing")
	errIncomplete      = errors.New("the response ended early")
	errCannotContinue  = errors.New("the response can't continue the one that has begun")
	errCallerWrite     = errors.New("write to the caller failed")
)

// serverErrorResponse is a complete response with a 5xx status. It is sent to the caller if
// no other upstream serves the request.
type serverErrorResponse struct {
	status int
	header http.Header
	body   *buffer.Buffer
}

// responseRelay writes the responses of upstreams to the sends of one request to the caller. It writes only what its core
// allows.
type responseRelay struct {
	req         *request
	core        response.Core        // what the caller has got, and how the response ends
	serverError *serverErrorResponse // the one that core keeps; nil: none
	framing     upstream.Framing     // of the last response; empty: none yet
	status      int                  // that the caller has got from an upstream; 0: none
	comments    []byte               // of the last send's stream that came before its first event
}

// copyResponse writes an upstream's response to the caller, unless it belongs to another request or says
// that the request was not run.
func (r *responseRelay) copyResponse(ctx context.Context, held *heldPlace, resp upstream.ServiceResponse, info exchange.ResponseInfo) sendOutcome {
	q := r.req
	r.framing = resp.Framing
	if err := q.checkOwner(&resp, info); err != nil {
		q.possibleRuns++
		return sendOutcome{runState: errkind.RunUnknown, err: err, maybeSent: true}
	}
	if info.NotRun {
		return sendOutcome{runState: errkind.NotRun, err: errUpstreamRefused, maybeSent: true}
	}
	q.possibleRuns++
	if isSuccess(resp.Status) && !info.Executed {
		// A process that isn't the upstream, or one at fault, may send any bytes, and without end.
		return sendOutcome{runState: errkind.RunUnknown, err: errUnconfirmed, maybeSent: true}
	}
	if isEventStream(resp) {
		return r.copyStream(ctx, held, resp)
	}
	q.countUsage(q.sentAt)
	return r.copyBuffered(resp)
}

// checkOwner returns an error if a response belongs to another request, or may do so: one that names no request can only be
// told from bytes that an upstream at fault left on the connection if the connection carried no request before. The response
// to this request may still follow, where the next one would meet it, so the connection is closed.
func (q *request) checkOwner(resp *upstream.ServiceResponse, info exchange.ResponseInfo) error {
	named := info.RequestID != ""
	if info.RequestID == q.info.ID || !named && !resp.Reused {
		return nil
	}
	resp.CloseConnection()
	if !named {
		return errNoRequestNamed
	}
	return errWrongRequest
}

// isSuccess reports whether a status says that the request was served.
func isSuccess(status int) bool { return status >= 200 && status <= 299 }

// isEventStream reports whether a response is a stream of server-sent events.
func isEventStream(resp upstream.ServiceResponse) bool {
	if resp.Status != http.StatusOK {
		return false
	}
	mediaType, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// copyBuffered reads a response, or its first maxBufferedBytes, before it writes anything to the caller.
func (r *responseRelay) copyBuffered(resp upstream.ServiceResponse) sendOutcome {
	if resp.Status >= http.StatusInternalServerError || impliesNotRun(resp.Status) {
		return r.keepFailure(resp)
	}
	body, err := r.readBuffered(resp)
	whole := err == nil
	if !whole && !errors.Is(err, buffer.ErrTooLarge) && !errors.Is(err, buffer.ErrNoRoom) {
		return incompleteOutcome(err)
	}
	if !r.core.Body() {
		return sendOutcome{runState: errkind.Ran, err: errors.Wrapf(errCannotContinue, "status %d", resp.Status), maybeSent: true}
	}
	r.req.recordResponseStart()
	if whole {
		return r.writeBuffered(resp.Status, resp.Header, body)
	}
	return r.writeUnbuffered(resp, body)
}

// readBuffered reads a response, or as much of it as may be held. What is held is booked, but for short responses.
func (r *responseRelay) readBuffered(resp upstream.ServiceResponse) (*buffer.Buffer, error) {
	held := int64(0)
	return buffer.Read(resp.Body, buffer.Options{Expected: resp.Length, Limit: maxBufferedBytes, Book: func(n int64) bool {
		held += n
		return held <= unbookedBytes || r.req.held.Book(budget.Responses, n)
	}})
}

// keepFailure returns the outcome of a send whose response reports a failure. It keeps a server error instead of writing
// it, unless its body is too large to be held or too slow: the status decides what follows, and another upstream may
// still serve the request.
func (r *responseRelay) keepFailure(resp upstream.ServiceResponse) sendOutcome {
	body, err := readWithin(resp.Body, shortBodyTime, func() (*buffer.Buffer, error) { return r.readBuffered(resp) })
	held := err == nil
	if !held && !errors.Is(err, errBodyTimeout) && !errors.Is(err, buffer.ErrTooLarge) && !errors.Is(err, buffer.ErrNoRoom) {
		return incompleteOutcome(err)
	}
	if impliesNotRun(resp.Status) {
		return sendOutcome{runState: errkind.RunUnknown, err: errors.Wrapf(errServerError, "status %d that doesn't say whether the request ran", resp.Status), maybeSent: true}
	}
	if held && r.core.KeepServerError() {
		r.serverError = &serverErrorResponse{status: resp.Status, header: resp.Header, body: body}
	}
	return sendOutcome{runState: errkind.Ran, err: errors.Wrapf(errServerError, "status %d", resp.Status), maybeSent: true}
}

// readWithin reads a body with read. If that takes longer than the given time, readWithin closes the body and returns
// an error that wraps errBodyTimeout.
func readWithin[T any](body io.Closer, within time.Duration, read func() (T, error)) (T, error) {
	timer := time.AfterFunc(within, func() { _ = body.Close() })
	data, err := read()
	if !timer.Stop() && err != nil {
		var none T
		return none, errors.Wrap(errBodyTimeout, err.Error())
	}
	return data, err
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

// sendServerError writes the kept server error of an upstream to the caller.
func (r *responseRelay) sendServerError() *errkind.Error {
	r.req.recordResponseStart()
	r.writeHeader(r.serverError.status, withLength(r.serverError.header, r.serverError.body, r.req.r.Method))
	if err := r.writeAll(r.serverError.body); err != nil {
		return errkind.Wrap(err, errkind.Canceled, errkind.Ran, "the caller closed the connection")
	}
	return nil
}

// recordResponseStart records when the first part of the response is written to the caller.
func (q *request) recordResponseStart() {
	q.firstEventAfter = time.Since(q.arrived)
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
func (r *responseRelay) writeHeader(status int, h http.Header) {
	r.status = status
	header := r.req.w.Header()
	for name, values := range h {
		header[name] = values
	}
	r.req.w.WriteHeader(status)
}

// withLength returns the headers of a response whose complete body is known.
func withLength(h http.Header, body *buffer.Buffer, method string) http.Header {
	h = h.Clone()
	if method != http.MethodHead {
		h.Set("Content-Length", strconv.FormatInt(body.Len(), 10))
	}
	return h
}

// withoutLength returns the headers of a stream, which is written in chunks: the length that an upstream announces is that
// of its own run, which another run may continue, and which may hold events that aren't written.
func withoutLength(h http.Header) http.Header {
	h = h.Clone()
	h.Del("Content-Length")
	return h
}

// writeBuffered writes a complete response.
func (r *responseRelay) writeBuffered(status int, h http.Header, body *buffer.Buffer) sendOutcome {
	r.writeHeader(status, withLength(h, body, r.req.r.Method))
	if err := r.writeAll(body); err != nil {
		return writeFailedOutcome(err)
	}
	return r.endBody()
}

// writeUnbuffered writes a response whose first bytes, head, were read already, and copies the rest.
func (r *responseRelay) writeUnbuffered(resp upstream.ServiceResponse, head *buffer.Buffer) sendOutcome {
	r.writeHeader(resp.Status, resp.Header)
	if err := r.writeAll(head); err != nil {
		return writeFailedOutcome(err)
	}
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := resp.Body.Read(buf)
		if writeErr := r.write(buf[:n]); writeErr != nil {
			return writeFailedOutcome(writeErr)
		}
		if err == io.EOF {
			return r.endBody()
		}
		if err != nil {
			return incompleteOutcome(err)
		}
	}
}

// endBody returns the outcome of a send whose body was written to its end.
func (r *responseRelay) endBody() sendOutcome {
	if !r.core.BodyEnded() {
		return incompleteOutcome(errCannotContinue)
	}
	return completedOutcome()
}

// writeAll writes all bytes of a buffer to the caller.
func (r *responseRelay) writeAll(body *buffer.Buffer) error {
	for _, piece := range body.Pieces() {
		if err := r.write(piece); err != nil {
			return err
		}
	}
	return nil
}

// write writes a part of the response to the caller.
func (r *responseRelay) write(data []byte) error {
	err := r.req.write(data)
	if err != nil {
		r.core.WriteFailed()
	}
	return err
}

// write writes bytes to the caller.
func (q *request) write(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	q.limitWrite()
	if _, err := q.w.Write(data); err != nil {
		return errors.Wrap(errCallerWrite, err.Error())
	}
	return nil
}

// limitWrite limits the time of the next write to the caller.
func (q *request) limitWrite() {
	// Some writers don't support deadlines, such as the recorder of httptest.
	_ = http.NewResponseController(q.w).SetWriteDeadline(time.Now().Add(callerWriteTimeout))
}

// writeFailedOutcome returns the outcome of a send whose response can't be written to the caller.
func writeFailedOutcome(err error) sendOutcome {
	return sendOutcome{runState: errkind.Ran, err: err, maybeSent: true}
}

// incompleteOutcome returns the outcome of a send whose response ended early.
func incompleteOutcome(err error) sendOutcome {
	return sendOutcome{runState: errkind.Ran, err: errors.Wrap(errIncomplete, err.Error()), maybeSent: true}
}

// copyStream copies an event stream to the caller. It writes the header only with the first event: if the
// stream breaks off before that event, the request can still be sent to another upstream.
func (r *responseRelay) copyStream(ctx context.Context, held *heldPlace, resp upstream.ServiceResponse) sendOutcome {
	q := r.req
	events := newReadAhead(eventstream.NewReader(resp.Body, maxEventBytes), &q.e.readAheadBudget, q.e.spawn)
	defer events.close()
	r.comments = nil
	var previous time.Time // of the previous event; zero: none yet
	for {
		event := events.next()
		started := r.core.Started()
		if event.err == io.EOF && r.core.StreamEnded(resp.Framing != upstream.FramedByConnection) {
			if !started { // the rest of a stream that the caller resumes is empty
				r.beginStream(resp)
			}
			return completedOutcome()
		}
		if event.err != nil {
			return incompleteOutcome(event.err)
		}
		if event.Comment {
			if out, ok := r.writeComment(event.Raw); !ok {
				return out
			}
			continue
		}
		now := event.readAt
		q.recordStreamEvent(now, previous, held)
		if previous.IsZero() {
			q.countUsage(now)
		}
		previous = now
		switch r.core.Event(event.ID) {
		case eventstream.Skip:
			continue
		case eventstream.Gap:
			return sendOutcome{runState: errkind.Ran, err: errEventGap, maybeSent: true}
		}
		if !started {
			q.recordOrigin(held)
			q.recordFirstEvent(now, held)
			r.beginStream(resp)
		}
		if err := r.writeEvent(slices.Concat(r.comments, event.Raw)); err != nil {
			return writeFailedOutcome(err)
		}
		r.comments = nil
	}
}

// beginStream writes the status and headers of a stream.
func (r *responseRelay) beginStream(resp upstream.ServiceResponse) {
	r.req.recordResponseStart()
	r.writeHeader(resp.Status, withoutLength(resp.Header))
}

// writeEvent writes an event of a stream to the caller at once.
func (r *responseRelay) writeEvent(raw []byte) error {
	if err := r.write(raw); err != nil {
		return err
	}
	if err := http.NewResponseController(r.req.w).Flush(); err != nil {
		r.core.WriteFailed()
		return errors.Wrap(errCallerWrite, err.Error())
	}
	return nil
}

// writeComment writes a comment of a stream to the caller at once. One that comes before the first event waits for it, as
// the response begins with an event. If ok is false, the send ends with the outcome.
func (r *responseRelay) writeComment(raw []byte) (out sendOutcome, ok bool) {
	if r.core.Started() {
		err := r.writeEvent(raw)
		return writeFailedOutcome(err), err == nil
	}
	if len(r.comments)+len(raw) > maxLeadingCommentBytes {
		return incompleteOutcome(eventstream.ErrTooLong), false
	}
	r.comments = append(r.comments, raw...)
	return sendOutcome{}, true
}
