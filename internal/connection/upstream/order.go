package upstream

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/httphead"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
)

// minUserTimeout is the shortest timeout that the socket option TCP_USER_TIMEOUT can
// express; its unit is the millisecond. A shorter timeout would be rounded down to zero,
// which selects the system's default.
const minUserTimeout = time.Millisecond

// errOrderExpired means that the deadline of an order passed before the order was written.
var errOrderExpired = errors.New("the instant by which the order had to be sent has passed")

// orderDeadlineKey is the context key of the deadline set by WithOrderDeadline.
type orderDeadlineKey struct{}

// WithOrderDeadline returns a context with a deadline for orders. From the deadline on, no
// byte of an order is passed to the kernel, and the order's connection is closed. The
// deadline is a time of the boot-time clock, which also runs while the machine is
// suspended, so a process that was paused or suspended past the deadline notices it when
// it continues.
func WithOrderDeadline(ctx context.Context, deadline boottime.Time) context.Context {
	return context.WithValue(ctx, orderDeadlineKey{}, deadline)
}

// orderDeadline returns the earliest of now plus life, the context's deadline, and
// the deadline set by WithOrderDeadline.
func orderDeadline(ctx context.Context, now boottime.Time, life time.Duration) boottime.Time {
	deadline := now.Add(life)
	if ctxDeadline, ok := ctx.Deadline(); ok {
		deadline = min(deadline, now.Add(time.Until(ctxDeadline)))
	}
	if set, ok := ctx.Value(orderDeadlineKey{}).(boottime.Time); ok {
		deadline = min(deadline, set)
	}
	return deadline
}

// orderConn is a connection that refuses writes at or after its deadline and records
// whether a write was begun.
type orderConn struct {
	net.Conn
	deadline   boottime.Time
	writeBegun bool
}

// Write implements net.Conn.
func (c *orderConn) Write(p []byte) (int, error) {
	if !boottime.Now().Before(c.deadline) {
		return 0, errOrderExpired
	}
	c.writeBegun = true
	return c.Conn.Write(p)
}

// Order implements Engine. Each order is sent on a new connection, so that an old order
// cannot wait in a pooled connection. Four measures keep an order from being delivered
// after its deadline: nothing is written at or after the deadline; the connection has a
// read and write deadline; TCP_USER_TIMEOUT limits how long the kernel keeps sending
// buffered bytes; and the connection is closed by a reset (SO_LINGER 0), which discards
// bytes that are not delivered yet.
func (e *httpEngine) Order(ctx context.Context, o Order) (State, error) {
	const op = "order"
	if e.baseErr != nil {
		return State{}, notRunError(op, e.address, e.baseErr)
	}
	if o.ID == "" {
		return State{}, notRunError(op, e.address, errors.New("order id is empty"))
	}
	now := boottime.Now()
	deadline := orderDeadline(ctx, now, e.opts.OrderLifetime)
	remaining := deadline.Sub(now)
	if remaining <= 0 {
		return State{}, notRunError(op, e.address, errOrderExpired)
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	conn, err := e.dialOrder(ctx, deadline, remaining)
	if err != nil {
		return State{}, notRunError(op, e.address, err)
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	return e.sendOrder(ctx, conn, o)
}

// dialOrder opens the connection for one order. remaining is the time to deadline.
func (e *httpEngine) dialOrder(ctx context.Context, deadline boottime.Time, remaining time.Duration) (*orderConn, error) {
	userTimeout := max(min(e.opts.UserTimeout, remaining), minUserTimeout)
	c, err := newDialer(min(e.opts.DialTimeout, remaining), userTimeout, e.opts.KeepAlive).DialContext(ctx, "tcp", dialAddress(e.base))
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		err = tcp.SetLinger(0)
	}
	if err == nil {
		err = c.SetDeadline(time.Now().Add(remaining))
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return &orderConn{Conn: c, deadline: deadline}, nil
}

// sendOrder writes the order and reads the response. An error matches ErrNotRun if no write
// of the order was begun.
func (e *httpEngine) sendOrder(ctx context.Context, raw *orderConn, o Order) (State, error) {
	const op = "order"
	conn, err := e.handshake(ctx, raw)
	if err != nil {
		return State{}, notRunError(op, e.address, err) // the order is sent only after the handshake
	}
	raw.writeBegun = false // forget the writes of the handshake
	req, err := NewRequest(ctx, http.MethodPost, e.base.String()+PathOrders, o)
	if err != nil {
		return State{}, notRunError(op, e.address, err)
	}
	req.Close = true
	if err := req.Write(conn); err != nil {
		if !raw.writeBegun {
			return State{}, notRunError(op, e.address, err)
		}
		return State{}, brokenError(op, e.address, err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(io.LimitReader(conn, maxHeaderBytes+e.opts.MaxBody)), req)
	if err != nil {
		return State{}, brokenError(op, e.address, err)
	}
	defer resp.Body.Close()
	if err := httphead.Check(resp); err != nil {
		return State{}, brokenError(op, e.address, err)
	}
	var s State
	if err := decodeAnswer(resp, op, e.address, o.ID, e.opts.MaxBody, &s); err != nil {
		return State{}, err
	}
	if err := e.checkName(s.Runner); err != nil {
		return State{}, brokenError(op, e.address, err)
	}
	return s, nil
}

// handshake performs the TLS handshake on c for an https address and returns the TLS
// connection. For an http address it returns c.
func (e *httpEngine) handshake(ctx context.Context, c net.Conn) (net.Conn, error) {
	if e.base.Scheme != "https" {
		return c, nil
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if e.opts.TLS != nil {
		config = e.opts.TLS.Clone()
	}
	if config.ServerName == "" {
		config.ServerName = e.base.Hostname()
	}
	config.NextProtos = []string{"http/1.1"}
	t := tls.Client(c, config)
	return t, t.HandshakeContext(ctx)
}

// dialAddress returns the host and port to dial for a base URL.
func dialAddress(u *url.URL) string {
	if u.Port() != "" {
		return u.Host
	}
	if u.Scheme == "https" {
		return net.JoinHostPort(u.Hostname(), "443")
	}
	return net.JoinHostPort(u.Hostname(), "80")
}
