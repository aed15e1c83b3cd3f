package gateway

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// callerBody is a caller's body that streams through to an upstream. It can be
// read once, so a call may only be sent again while nothing was read.
type callerBody struct {
	body io.Reader
	w    http.ResponseWriter
	read atomic.Bool
}

func newCallerBody(w http.ResponseWriter, body io.ReadCloser, limit int64) *callerBody {
	return &callerBody{body: http.MaxBytesReader(w, body, limit), w: w}
}

// begun tells whether something was read.
func (b *callerBody) begun() bool { return b.read.Load() }

// Read implements io.Reader. A caller may take bodyTimeout for each piece.
func (b *callerBody) Read(p []byte) (int, error) {
	b.read.Store(true)
	limitBodyTime(b.w, time.Now().Add(bodyTimeout))
	n, err := b.body.Read(p)
	if err != nil {
		limitBodyTime(b.w, time.Time{})
	}
	return n, err
}

// callersFault tells whether the caller's body caused a failure.
func callersFault(err error) bool {
	var over *http.MaxBytesError
	return errors.As(err, &over)
}
