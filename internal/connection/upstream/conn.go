package upstream

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// errSealed is returned by writes to a connection whose call was abandoned before
// its first byte was written.
var errSealed = errors.New("connection sealed")

// errNotIdle is returned by the first write of a request to a reused connection if
// the server has closed the connection or has sent unsolicited data on it.
var errNotIdle = errors.New("reused connection is closed or has an unasked answer")

// sealConn is a network connection that counts the writes begun and can be sealed:
// a sealed connection refuses every further write. With it a caller can prove that no
// byte of a request was written. An error from http.Transport does not prove this,
// because the transport's writing goroutine may still write after the error.
//
// A read returns io.EOF only if the other side has ended the connection in order and the
// whole request is written (see writeTracker).
type sealConn struct {
	net.Conn
	mu      sync.Mutex
	writes  uint64 // writes begun
	sealed  bool
	reused  bool // the next write begins a request on a reused connection
	writing writeTracker
}

// Read implements net.Conn.
func (c *sealConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		if cause := c.writing.await(writeEndTimeout); cause != nil {
			err = cause
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *sealConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	err := c.beginWrite()
	c.mu.Unlock()
	if err != nil {
		return 0, err
	}
	c.writing.begin()
	n, err := c.Conn.Write(p)
	c.writing.end(err)
	return n, err
}

// Close implements net.Conn.
func (c *sealConn) Close() error {
	c.writing.fail(net.ErrClosed)
	return c.Conn.Close()
}

// beginWrite counts a write, or returns an error if no write may begin. The caller
// holds c.mu.
func (c *sealConn) beginWrite() error {
	if c.sealed {
		return errSealed
	}
	if c.reused && readable(c.Conn) {
		return errNotIdle
	}
	c.reused = false
	c.writes++
	return nil
}

// markReused makes the next write check first that the connection is idle: that the
// server has neither closed it nor sent data on it. The transport notices a close only
// when its reading goroutine gets to run, and the outcome of a request written before
// that would be unknown.
func (c *sealConn) markReused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reused = true
}

// writeCount returns the number of writes begun so far.
func (c *sealConn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// sealIfUnwritten forbids all further writes if writeCount still equals since, and
// reports whether it did so. If it reports true, no byte was or will be written
// after the writes counted by since.
func (c *sealConn) sealIfUnwritten(since uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != since {
		return false
	}
	c.sealed = true
	return true
}

// unwrapConn returns the sealConn that c is or that c wraps, as a TLS connection does.
// It returns false if there is none.
func unwrapConn(c net.Conn) (*sealConn, bool) {
	for c != nil {
		if s, ok := c.(*sealConn); ok {
			return s, true
		}
		inner, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil, false
		}
		c = inner.NetConn()
	}
	return nil, false
}

// newDialer returns a dialer with the given timeout for connecting. Its connections
// end if sent bytes stay unacknowledged for userTimeout (Linux only), or if
// keepAliveProbes probes stay unanswered; probes begin after a connection was idle for
// keepAlive. Without this, a connection that waits for an answer would hang if the
// server lost power or network, because such a server sends no reset.
func newDialer(timeout, userTimeout, keepAlive time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: keepAliveConfig(keepAlive),
		Control:         controlUserTimeout(userTimeout),
	}
}

// DetectDead gives an accepted TCP connection the timeouts that newDialer gives its connections.
func DetectDead(c net.Conn, userTimeout, keepAlive time.Duration) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return errors.Errorf("%T is no TCP connection", c)
	}
	if err := tcp.SetKeepAliveConfig(keepAliveConfig(keepAlive)); err != nil {
		return err
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	return controlUserTimeout(userTimeout)("", "", raw)
}

// keepAliveConfig returns the settings for probes after a connection was idle for idle.
func keepAliveConfig(idle time.Duration) net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: idle, Interval: idle / 2, Count: keepAliveProbes}
}

// dialContext returns a DialContext function for http.Transport that wraps each
// connection in a sealConn.
func dialContext(d *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &sealConn{Conn: c}, nil
	}
}
