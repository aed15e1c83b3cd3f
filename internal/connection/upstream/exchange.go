package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/httphead"
)

// nonReplayableBody is a request body that http.Transport cannot send twice. The
// transport may resend a request with a nil Body or with GetBody set when a reused
// connection breaks; it never resends one with this body.
type nonReplayableBody struct{ io.Reader }

// Close implements io.Closer.
func (nonReplayableBody) Close() error { return nil }

// headTimeout limits the time from the first byte of a response to the end of its headers. An
// upstream at fault may send bytes of a head without end; how long a request may take until the
// first byte is up to its context.
const headTimeout = 500 * time.Millisecond

// errHeadTimeout means that the headers of a response began and didn't end in time.
var errHeadTimeout = errors.New("the headers of the response didn't end in time")

// sendTracker records the connections that http.Transport chose for a request, to show
// later whether a byte of the request was written to any of them. It also limits the time of
// the response's head.
type sendTracker struct {
	mu        sync.Mutex
	uses      []connUse
	conn      net.Conn    // the last connection
	reused    bool        // conn carried earlier requests
	headTimer *time.Timer // closes conn; nil: no byte of the response has come
	headLate  bool        // headTimer has fired
}

// connUse is one connection that the transport chose for a request.
type connUse struct {
	conn         *sealConn // nil: the connection is not a sealConn
	writesBefore uint64    // writeCount of conn before the request
}

// withTrace returns ctx with a hook that records each connection. The hook runs
// before the transport writes the first byte of the request.
func (t *sendTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			u := connUse{}
			if c, ok := unwrapConn(info.Conn); ok {
				u = connUse{conn: c, writesBefore: c.writeCount()}
				if info.Reused {
					c.markReused()
				}
				c.writing.begin()
			}
			t.mu.Lock()
			t.uses, t.conn, t.reused = append(t.uses, u), info.Conn, info.Reused
			t.mu.Unlock()
		},
		WroteRequest:         func(info httptrace.WroteRequestInfo) { t.requestWritten(info.Err) },
		GotFirstResponseByte: t.headBegun,
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
			t.headEnded() // the final response may take any time
			return httphead.CheckFields(http.Header(h))
		},
	})
}

// requestWritten records that the transport has written the request to its connection, or has failed to. The last bytes of a
// request may still be in the transport's buffer.
func (t *sendTracker) requestWritten(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := len(t.uses); n > 0 && t.uses[n-1].conn != nil {
		t.uses[n-1].conn.writing.end(err)
	}
}

// headBegun starts the time of the response's head.
func (t *sendTracker) headBegun() {
	t.mu.Lock()
	defer t.mu.Unlock()
	conn := t.conn
	t.headTimer = time.AfterFunc(headTimeout, func() {
		t.mu.Lock()
		t.headLate = true
		t.mu.Unlock()
		_ = conn.Close() // the transport reports the failed read
	})
}

// headEnded stops the time of the response's head, and reports whether it was exceeded.
func (t *sendTracker) headEnded() (late bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.headTimer != nil {
		t.headTimer.Stop()
	}
	return t.headLate
}

// closeConnection closes the connection of the response, so that no later request meets what the server still sends on it.
func (t *sendTracker) closeConnection() {
	if conn, _ := t.connection(); conn != nil {
		_ = conn.Close() // the transport may have closed it
	}
}

// connection returns the connection of the response, and whether it carried earlier requests.
func (t *sendTracker) connection() (conn net.Conn, reused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn, t.reused
}

// unsent reports whether it is certain that no byte of the request was written or will
// be written. It seals each connection on which no byte was written, so that none can
// be written later.
func (t *sendTracker) unsent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range t.uses {
		if u.conn == nil || !u.conn.sealIfUnwritten(u.writesBefore) {
			return false
		}
	}
	return true
}

// Exchange sends one request and returns its response, whose head is well-formed. The request must come from
// NewRequest or have a body that the transport cannot resend (see nonReplayableBody).
// An error matches ErrNotRun if no byte of the request was sent, and ErrBroken
// otherwise. op and address are named in the error.
func Exchange(rt http.RoundTripper, req *http.Request, op, address string) (*http.Response, error) {
	return exchange(rt, req, &sendTracker{}, op, address)
}

// exchange is Exchange with a tracker of its own, which knows the response's connection afterwards.
func exchange(rt http.RoundTripper, req *http.Request, tracker *sendTracker, op, address string) (*http.Response, error) {
	resp, err := rt.RoundTrip(req.WithContext(tracker.withTrace(req.Context())))
	late := tracker.headEnded()
	if err == nil {
		if err = httphead.Check(resp); err == nil {
			resp.Body = withTrailerCheck(resp)
			return resp, nil
		}
		tracker.closeConnection()
		_ = resp.Body.Close() // nothing of it is used
	}
	if late {
		err = errHeadTimeout
	}
	if cause := context.Cause(req.Context()); cause != nil {
		err = cause
	}
	sentinel := ErrBroken
	if tracker.unsent() {
		sentinel = ErrNotRun
	}
	return nil, &CallError{Op: op, Address: address, sentinels: []error{sentinel}, cause: err}
}

// trailedBody is a response body that is whole only if its trailer is well-formed.
type trailedBody struct {
	io.ReadCloser
	resp *http.Response
}

// withTrailerCheck returns the body of a response, whose reads check its trailer at the end.
func withTrailerCheck(resp *http.Response) io.ReadCloser {
	if resp.Body == http.NoBody {
		return resp.Body // others recognize it
	}
	return &trailedBody{ReadCloser: resp.Body, resp: resp}
}

// Read implements io.Reader.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if malformed := httphead.CheckFields(b.resp.Trailer); malformed != nil {
			err = malformed
		}
	}
	return n, err
}

// NewRequest returns a request that http.Transport sends at most once, with body
// encoded as JSON. If body is nil, the request has an empty body.
func NewRequest(ctx context.Context, method, url string, body any) (*http.Request, error) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return nil, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, url, nonReplayableBody{bytes.NewReader(data)})
	if err != nil {
		return nil, err
	}
	if len(data) > 0 {
		req.ContentLength = int64(len(data))
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// readLimited reads a whole body and returns an error if it exceeds limit bytes.
func readLimited(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, errors.Errorf("answer is longer than %d bytes", limit)
	}
	return data, nil
}

// refusalError returns the error for a response other than a success. Only a refusal by
// the engine itself, for this subject, proves that the request did not run; after any
// other response the outcome is unknown.
func refusalError(resp *http.Response, subject, op, address string, limit int64) error {
	data, err := readLimited(resp.Body, limit)
	if err != nil {
		return brokenError(op, address, errors.Wrapf(err, "status %d", resp.StatusCode))
	}
	r, err := parseRefusal(data, subject)
	if err != nil {
		return brokenError(op, address, errors.Wrapf(err, "status %d", resp.StatusCode))
	}
	e := &CallError{Op: op, Address: address, Code: r.Code, sentinels: r.Code.sentinels()}
	if r.Message != "" {
		e.cause = errors.New(r.Message)
	}
	return e
}

// brokenError returns the error of a call whose outcome is unknown.
func brokenError(op, address string, cause error) error {
	return &CallError{Op: op, Address: address, sentinels: []error{ErrBroken}, cause: cause}
}

// notRunError returns the error of a call that provably was not sent.
func notRunError(op, address string, cause error) error {
	return &CallError{Op: op, Address: address, sentinels: []error{ErrNotRun}, cause: cause}
}
