package gateway

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// Limits for reading the rest of the body of a refused request: bytes and time.
const (
	maxDrainBytes = 1 << 20
	drainTimeout  = time.Second
)

// limitBody limits the size of a body. It passes the writer of net/http itself to
// http.MaxBytesReader, which tells that writer to close the connection after the answer
// if the body is too large, in a way that lets the caller read the answer.
func limitBody(w http.ResponseWriter, body io.ReadCloser, limit int64) io.ReadCloser {
	if r, ok := w.(*echo.Response); ok {
		w = r.Writer
	}
	return http.MaxBytesReader(w, body, limit)
}

// drainBody reads the rest of a refused request's body after the error has been sent. If the
// connection were closed with unread data, it could be reset before the caller has read the error.
// drainBody does nothing if the request has an Expect header, because then the caller has not
// started to send its body.
func drainBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 || r.Header.Get("Expect") != "" {
		return
	}
	_ = http.NewResponseController(w).Flush()
	setReadDeadline(w, time.Now().Add(drainTimeout))
	_, _ = io.Copy(io.Discard, limitBody(w, r.Body, maxDrainBytes))
	setReadDeadline(w, time.Time{})
}

// callerBody is a request body that is streamed to an upstream. It can be read only once, so the
// call can be sent to another upstream only if nothing has been read yet.
type callerBody struct {
	body        io.Reader
	w           http.ResponseWriter // for the read deadline
	readStarted atomic.Bool
}

func newCallerBody(w http.ResponseWriter, body io.ReadCloser, limit int64) *callerBody {
	return &callerBody{body: limitBody(w, body, limit), w: w}
}

// started reports whether Read was called.
func (b *callerBody) started() bool { return b.readStarted.Load() }

// Read implements io.Reader. Each read may take up to bodyTimeout.
func (b *callerBody) Read(p []byte) (int, error) {
	b.readStarted.Store(true)
	setReadDeadline(b.w, time.Now().Add(bodyTimeout))
	n, err := b.body.Read(p)
	if err != nil {
		setReadDeadline(b.w, time.Time{})
	}
	return n, err
}

// isBodyTooLarge reports whether a send failed because the caller's body is too large.
func isBodyTooLarge(err error) bool {
	var maxBytesErr *http.MaxBytesError
	return errors.As(err, &maxBytesErr)
}
