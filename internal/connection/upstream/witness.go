package upstream

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
)

// LivenessConn is a connection to an upstream that carries no request. It shows why an answer broke
// off: when a process exits, all its connections end. So if this connection ends at about the time at
// which the answer broke off, the upstream's process has exited, even if another process listens at the
// address soon after.
type LivenessConn struct {
	conn    net.Conn
	done    chan struct{} // closed once the connection has ended
	endedAt time.Time     // when it ended; valid once done is closed
	endErr  error         // why it ended; valid once done is closed
}

// OpenLivenessConn connects to an address (host:port). The caller must close the LivenessConn.
func OpenLivenessConn(ctx context.Context, address string, timeout time.Duration) (*LivenessConn, error) {
	dialer := net.Dialer{Timeout: timeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "witness at %s", address)
	}
	c := &LivenessConn{conn: conn, done: make(chan struct{})}
	go c.awaitEnd()
	return c, nil
}

// awaitEnd reads until the connection ends and records when and why it did.
func (c *LivenessConn) awaitEnd() {
	defer close(c.done)
	_, c.endErr = c.conn.Read(make([]byte, 1))
	c.endedAt = time.Now()
}

// ClosedNear reports whether the upstream closed the connection at most tolerance before or after the time
// at. If the connection is open, it waits until at plus tolerance or until ctx ends. It reports false if
// the connection was reset, because a network failure can reset connections as well.
func (c *LivenessConn) ClosedNear(ctx context.Context, at time.Time, tolerance time.Duration) bool {
	timer := time.NewTimer(time.Until(at.Add(tolerance)))
	defer timer.Stop()
	select {
	case <-c.done:
		return c.endErr == io.EOF && c.endedAt.Sub(at).Abs() <= tolerance
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// Close closes the connection.
func (c *LivenessConn) Close() error {
	return errors.Wrap(c.conn.Close(), "witness")
}
