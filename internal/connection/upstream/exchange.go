package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/pkg/errors"
)

// onceBody is a request body that http.Transport cannot send a second time. A
// request with a nil Body or with GetBody set may be resent by the transport
// when a reused connection breaks; one with this body never is.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// sendLog notes the connections that a request was handed to.
type sendLog struct {
	mu    sync.Mutex
	conns []sentOn
}

type sentOn struct {
	conn *sealConn // nil: not a connection of ours
	mark uint64
}

// trace returns ctx with the hook that fills the log. The hook runs before the
// transport writes the first byte of the request.
func (l *sendLog) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			s := sentOn{}
			if c, ok := rawConn(info.Conn); ok {
				s = sentOn{conn: c, mark: c.mark()}
				if info.Reused {
					c.expectIdle()
				}
			}
			l.mu.Lock()
			l.conns = append(l.conns, s)
			l.mu.Unlock()
		},
	})
}

// unsent reports whether provably no byte of the request was or will be written.
func (l *sendLog) unsent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.conns {
		if s.conn == nil || !s.conn.sealSince(s.mark) {
			return false
		}
	}
	return true
}

// Exchange sends one request and returns its response. The request must carry a
// onceBody. An error matches ErrNotRun if no byte was sent, else ErrBroken.
func Exchange(rt http.RoundTripper, req *http.Request, op, address string) (*http.Response, error) {
	var log sendLog
	resp, err := rt.RoundTrip(req.WithContext(log.trace(req.Context())))
	if err == nil {
		return resp, nil
	}
	if cause := context.Cause(req.Context()); cause != nil {
		err = cause
	}
	outcome := ErrBroken
	if log.unsent() {
		outcome = ErrNotRun
	}
	return nil, &CallError{Op: op, Address: address, matches: []error{outcome}, cause: err}
}

// NewRequest builds a request with a JSON body (nil: none) that is sent at most once.
func NewRequest(ctx context.Context, method, url string, body any) (*http.Request, error) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return nil, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, url, onceBody{bytes.NewReader(data)})
	if err != nil {
		return nil, err
	}
	if len(data) > 0 {
		req.ContentLength = int64(len(data))
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// readBounded reads a whole body of at most limit bytes.
func readBounded(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, errors.Errorf("answer is longer than %d bytes", limit)
	}
	return data, nil
}

// refused turns an answer that is not a success into an error: the engine's own
// refusal proves what it says, anything else leaves the outcome open.
func refused(resp *http.Response, subject, op, address string, limit int64) error {
	data, err := readBounded(resp.Body, limit)
	if err != nil {
		return broken(op, address, errors.Wrapf(err, "status %d", resp.StatusCode))
	}
	r, err := parseRefusal(data, subject)
	if err != nil {
		return broken(op, address, errors.Wrapf(err, "status %d", resp.StatusCode))
	}
	e := &CallError{Op: op, Address: address, Code: r.Code, matches: r.Code.matches()}
	if r.Message != "" {
		e.cause = errors.New(r.Message)
	}
	return e
}

// broken makes the error of a call whose outcome is open.
func broken(op, address string, cause error) error {
	return &CallError{Op: op, Address: address, matches: []error{ErrBroken}, cause: cause}
}

// notRun makes the error of a call that was never sent.
func notRun(op, address string, cause error) error {
	return &CallError{Op: op, Address: address, matches: []error{ErrNotRun}, cause: cause}
}
