package caller

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/process/budget"
)

const (
	// lingerTimeout and lingerBytes limit how long and how much a half-closed connection may still send.
	// The time is enough for a caller on a slow link to notice the answer and to stop sending.
	lingerTimeout = 5 * time.Second
	lingerBytes   = 16 << 20
	// lingerBufferBytes is the size of the buffer into which discarded bytes are read.
	lingerBufferBytes = 4 << 10
)

// errNothingReceived means that the receive buffer of a connection is empty.
var errNothingReceived = errors.New("nothing received")

// tcpConn is what conn needs of a *net.TCPConn.
type tcpConn interface {
	net.Conn
	syscall.Conn
	CloseWrite() error
	SetLinger(sec int) error
}

// conn is a connection of a caller.
type conn struct {
	tcpConn
	tracker    *tracker
	guard      *Guard         // nil: what the connection holds isn't bounded
	holder     *budget.Holder // of guard
	stopped    atomic.Bool    // nothing more is read
	acceptedAt time.Time
	tls        bool // the bytes belong to TLS, and don't tell when a request begins

	mu       sync.Mutex
	deadline time.Time // for reads, as set by net/http; zero: none
	limit    time.Time // until which the next request has to begin; zero: no limit of the shutdown
	waiting  bool      // no byte of the next request was read yet; with TLS: its header wasn't read yet
	wrote    bool      // a part of an answer was written
	unread   bool      // the last request wasn't read to its end
	aborted  bool      // the answer broke off
	unmarked bool      // the answer in progress, or the last one, ends with the connection
	handled  bool      // the handler has returned
	failed   bool      // a write failed
	closed   bool      // Close was called
	ended    bool      // the socket was closed
}

// newConn returns a connection that was just accepted.
func newConn(c tcpConn, t *tracker, tls bool) *conn {
	return &conn{tcpConn: c, tracker: t, tls: tls, acceptedAt: time.Now(), waiting: true}
}

// Read implements net.Conn. When the deadline passes, it returns what has arrived by then. The deadline may
// have passed while the process was frozen or had no processor time: a timeout then says nothing about the
// caller, and a connection that is closed with unread bytes is reset.
func (c *conn) Read(p []byte) (int, error) {
	if c.stopped.Load() {
		return 0, closingError()
	}
	n, err := c.tcpConn.Read(p)
	if c.stopped.Load() {
		return 0, closingError()
	}
	if n == 0 && len(p) > 0 && errors.Is(err, os.ErrDeadlineExceeded) && !c.readAborted() {
		m, receiveErr := receive(c.tcpConn, p, consume)
		if receiveErr != errNothingReceived {
			n, err = m, receiveErr
		}
	}
	if n > 0 {
		if reason := c.guard.received(c, p[:n]); reason != budget.NoReason {
			c.refuseHead(reason)
			return 0, closingError()
		}
	}
	if n > 0 && !c.tls {
		c.requestBegan()
	}
	return n, err
}

// closingError returns the error of a read from a connection that the process is closing. net/http writes no answer
// after an error of this type.
func closingError() error { return &net.OpError{Op: "read", Net: "tcp", Err: ErrClosing} }

// stopReading ends the read in progress and all later ones.
func (c *conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped.Store(true)
	_ = c.setReadDeadline() // fails only if the connection is closed
}

// headAnswerTimeout limits writing the answer to a head that is refused.
const headAnswerTimeout = time.Second

// refuseHead answers a head that the guard refuses. The connection is closed after that, as its rest can't be told from
// a further request.
func (c *conn) refuseHead(reason budget.Reason) {
	c.stopped.Store(true)
	answer, ok := headAnswers[reason]
	if !ok || c.tls { // the connection is closed without an answer
		return
	}
	c.mu.Lock()
	c.waiting, c.unread, c.unmarked, c.handled, c.aborted = false, true, false, true, false
	c.mu.Unlock()
	_ = c.tcpConn.SetWriteDeadline(time.Now().Add(headAnswerTimeout)) // the write shows that it failed
	_, _ = c.Write(answer)                                            // the connection is closed in any case
}

// readAborted reports whether the deadline was set to end a pending read at once. For that, net/http uses
// a time at the beginning of Unix time.
func (c *conn) readAborted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.deadline.IsZero() && c.deadline.Unix() <= 1
}

// requestBegan ends the limit for the beginning of the next request. Until endRequest, the request counts as
// unread: net/http answers one that is malformed without calling the handler.
func (c *conn) requestBegan() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting {
		c.waiting, c.unread = false, true
	}
	if c.limit.IsZero() {
		return
	}
	c.limit = time.Time{}
	_ = c.setReadDeadline() // fails only if the connection is closed, which the next read shows
}

// waitForRequest is called when the answer to a request is complete: the connection waits for the next one.
func (c *conn) waitForRequest() {
	c.guard.update(func(core *budget.Core, now time.Time) { core.Wait(now, c.holder) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = true
	c.unread = false // net/http has read the rest of the body, or it wouldn't keep the connection
}

// hijacked is called when the connection carries another protocol from now on, whose end needs no lingering.
func (c *conn) hijacked() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = true
}

// closeUnlessUsed has net/http close the connection if no further request begins soon after now.
func (c *conn) closeUnlessUsed(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting || c.closed {
		return
	}
	c.limit = now.Add(nextRequestTimeout)
	if first := c.acceptedAt.Add(firstRequestTimeout); c.limit.Before(first) {
		c.limit = first
	}
	_ = c.setReadDeadline() // fails only if the connection is closed
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.setReadDeadline()
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// setReadDeadline sets the earlier of deadline and limit. It is called with mu held.
func (c *conn) setReadDeadline() error {
	t := c.deadline
	if !c.limit.IsZero() && (t.IsZero() || c.limit.Before(t)) {
		t = c.limit
	}
	if c.stopped.Load() {
		t = time.Unix(1, 0)
	}
	return c.tcpConn.SetReadDeadline(t)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.tcpConn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrote = c.wrote || n > 0
	c.failed = c.failed || err != nil
	return n, err
}

// beginAnswer records that the handler answers a request, and whether the end of the connection marks the end of the answer.
func (c *conn) beginAnswer(unmarked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unmarked, c.handled = unmarked, false
}

// endRequest records whether the body of a request wasn't read to its end, and whether its answer broke off.
func (c *conn) endRequest(unread, aborted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unread, c.aborted, c.handled = unread, aborted, true
}

// CloseWrite half-closes the connection. net/http calls it if the request wasn't read to its end.
func (c *conn) CloseWrite() error {
	c.mu.Lock()
	c.unread = true
	c.mu.Unlock()
	return c.tcpConn.CloseWrite()
}

// Close implements net.Conn. If the caller may still be sending a request that was answered, Close only
// half-closes the connection and discards in the background what arrives, until the caller closes the
// connection or a limit is reached. Closing the socket at once would reset the connection, and the reset
// makes the caller's kernel drop the part of the answer that the caller hasn't read.
func (c *conn) Close() error {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	lingers := first && c.wrote && !c.aborted && !c.looksComplete() && (c.unread || c.hasReceived()) && !c.tracker.forced()
	c.mu.Unlock()
	if !lingers {
		return c.end()
	}
	if err := c.tcpConn.CloseWrite(); err != nil {
		return c.end()
	}
	if err := c.tcpConn.SetReadDeadline(time.Now().Add(lingerTimeout)); err != nil {
		return c.end()
	}
	c.guard.update(func(core *budget.Core, now time.Time) { core.Linger(now, c.holder) })
	go c.linger()
	return nil
}

// looksComplete reports whether an orderly end of the connection would make an incomplete answer look complete. It is
// called with mu held.
func (c *conn) looksComplete() bool {
	return c.wrote && c.unmarked && (c.aborted || c.failed || !c.handled)
}

// hasReceived reports whether bytes of the caller lie in the receive buffer.
func (c *conn) hasReceived() bool {
	n, _ := receive(c.tcpConn, make([]byte, 1), peek)
	return n > 0
}

// linger discards what arrives, and then closes the socket.
func (c *conn) linger() {
	defer c.end()
	buffer := make([]byte, lingerBufferBytes)
	for total := 0; total < lingerBytes; {
		n, err := c.tcpConn.Read(buffer)
		if err != nil {
			return
		}
		total += n
	}
}

// end closes the socket.
func (c *conn) end() error {
	c.mu.Lock()
	first := !c.ended
	c.ended = true
	resets := c.looksComplete()
	c.mu.Unlock()
	if resets {
		_ = c.tcpConn.SetLinger(0) // fails only if the connection is closed
	}
	err := c.tcpConn.Close()
	if first {
		c.tracker.remove(c)
		c.guard.closed(c)
	}
	return err
}
