package caller

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/budget"
)

// handler records for the connection of each request whether the body was read to its end.
type handler struct {
	server *Server
	next   http.Handler
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.server.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok || c == nil {
		h.next.ServeHTTP(w, r)
		return
	}
	if !c.beginServing() {
		writeRefusal(w, errClosing)
		return
	}
	body := &trackedBody{ReadCloser: r.Body}
	body.ended.Store(r.Body == nil || r.Body == http.NoBody)
	c.beginAnswer(!r.ProtoAtLeast(1, 1))
	returned := false
	defer func() {
		// After a panic, the answer is incomplete and the connection is closed to show that.
		unread := !body.ended.Load()
		c.endRequest(unread, !returned)
		if unread {
			// net/http reads the rest of a body before it answers, and the caller may never send it.
			_ = c.SetReadDeadline(time.Now().Add(unreadBodyTimeout)) // fails only if the connection is closed
		}
		c.guard.update(func(core *budget.Core, _ time.Time) { core.EndRequest(c.holder) })
	}()
	// net/http checks the type of the body of its own request.
	tracked := r.WithContext(r.Context())
	if r.Body != nil && r.Body != http.NoBody {
		tracked.Body = body
	}
	h.next.ServeHTTP(w, tracked)
	returned = true
}

// unreadBodyTimeout limits the time for the rest of a body that the handler didn't read.
const unreadBodyTimeout = time.Second

// beginServing records that a request's handler begins. It returns false if the connection is being closed: the request
// must not run then.
func (c *conn) beginServing() bool {
	ok := true
	c.guard.update(func(core *budget.Core, now time.Time) { ok = core.Serve(now, c.holder) })
	return ok
}

// trackedBody is a request body that records whether it was read to its end.
type trackedBody struct {
	io.ReadCloser
	ended atomic.Bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.ended.Store(true)
	}
	return n, err
}
