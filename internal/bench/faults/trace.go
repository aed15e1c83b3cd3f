package faults

import (
	"context"
	"fmt"
	"net"
	"net/http/httptrace"
	"sync"
	"time"
)

// connTrace records what happened on the connection of one attempt, for the note on a miss.
type connTrace struct {
	mu       sync.Mutex
	began    time.Time // of the attempt
	local    string    // address of the caller's end; empty: no connection
	remote   string
	reused   bool
	dialed   time.Duration // from began, like the other times
	sent     int           // bytes
	lastSent time.Duration
	received int // bytes
	lastGot  time.Duration
	failed   time.Duration // when a read or write first failed; 0: none did
	failure  error
}

// newTrace returns the trace of an attempt that begins now.
func newTrace() *connTrace { return &connTrace{began: time.Now()} }

// withTrace returns a context whose request reports the connection that it uses.
func (t *connTrace) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.reused = info.Reused
	}})
}

// dial opens the connection of the attempt.
func (t *connTrace) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.local, t.remote, t.dialed = c.LocalAddr().String(), c.RemoteAddr().String(), time.Since(t.began)
	return &tracedConn{Conn: c, trace: t}, nil
}

// localAddress returns the address of the caller's end; empty: no connection was opened.
func (t *connTrace) localAddress() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.local
}

// recordFailure notes the first failure of a read or write. It is called with mu held.
func (t *connTrace) recordFailure(err error) {
	if err != nil && t.failure == nil {
		t.failed, t.failure = time.Since(t.began), err
	}
}

func (t *connTrace) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.local == "" {
		return "no connection"
	}
	return fmt.Sprintf("%s to %s, reused %v, open after %v, sent %d bytes until %v, received %d bytes until %v, ended after %v: %v",
		t.local, t.remote, t.reused, t.dialed, t.sent, t.lastSent, t.received, t.lastGot, t.failed, t.failure)
}

// tracedConn is a connection that records its use.
type tracedConn struct {
	net.Conn
	trace *connTrace
}

// Read implements net.Conn.
func (c *tracedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	t := c.trace
	t.mu.Lock()
	defer t.mu.Unlock()
	if n > 0 {
		t.received, t.lastGot = t.received+n, time.Since(t.began)
	}
	t.recordFailure(err)
	return n, err
}

// Write implements net.Conn.
func (c *tracedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	t := c.trace
	t.mu.Lock()
	defer t.mu.Unlock()
	if n > 0 {
		t.sent, t.lastSent = t.sent+n, time.Since(t.began)
	}
	t.recordFailure(err)
	return n, err
}
