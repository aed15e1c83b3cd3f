package upstream

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
)

// minUserTimeout keeps the socket option, which counts in milliseconds, from
// becoming zero, which would mean "the system's default".
const minUserTimeout = time.Millisecond

var errOrderLate = errors.New("the instant by which the order had to be sent has passed")

type orderUntilKey struct{}

// OrderUntil returns a context under which no byte of an order is given to the
// kernel at or after until, and the order's connection is closed then. It is
// judged by the boot-time clock, so a paused or suspended process finds out when
// it wakes.
func OrderUntil(ctx context.Context, until boottime.Time) context.Context {
	return context.WithValue(ctx, orderUntilKey{}, until)
}

// orderUntil gives the earliest of: life from now, the context's deadline, and
// the instant set by OrderUntil.
func orderUntil(ctx context.Context, now boottime.Time, life time.Duration) boottime.Time {
	until := now.Add(life)
	if deadline, ok := ctx.Deadline(); ok {
		until = min(until, now.Add(time.Until(deadline)))
	}
	if set, ok := ctx.Value(orderUntilKey{}).(boottime.Time); ok {
		until = min(until, set)
	}
	return until
}

// orderConn refuses to write at or after until and notes whether a write was begun.
type orderConn struct {
	net.Conn
	until boottime.Time
	begun bool
}

// Write implements net.Conn.
func (c *orderConn) Write(p []byte) (int, error) {
	if !boottime.Now().Before(c.until) {
		return 0, errOrderLate
	}
	c.begun = true
	return c.Conn.Write(p)
}

// Order implements Engine. Each order has a connection of its own that is made
// for it, so an old order cannot wait in a pooled connection. The longest life of
// a sent order is bounded by four means: no write at or after the instant, a
// write deadline, TCP_USER_TIMEOUT for bytes that the kernel holds, and a reset
// in place of an orderly close, which discards what was not yet delivered.
func (e *httpEngine) Order(ctx context.Context, o Order) (State, error) {
	const op = "order"
	if e.baseErr != nil {
		return State{}, notRun(op, e.address, e.baseErr)
	}
	if o.ID == "" {
		return State{}, notRun(op, e.address, errors.New("order id is empty"))
	}
	now := boottime.Now()
	until := orderUntil(ctx, now, e.opts.OrderLife)
	left := until.Sub(now)
	if left <= 0 {
		return State{}, notRun(op, e.address, errOrderLate)
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	conn, err := e.dialOrder(ctx, until, left)
	if err != nil {
		return State{}, notRun(op, e.address, err)
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	return e.sendOrder(ctx, conn, o)
}

// dialOrder makes the connection of one order.
func (e *httpEngine) dialOrder(ctx context.Context, until boottime.Time, left time.Duration) (*orderConn, error) {
	userTimeout := max(min(e.opts.UserTimeout, left), minUserTimeout)
	c, err := dialer(min(e.opts.DialTimeout, left), userTimeout, e.opts.KeepAlive).DialContext(ctx, "tcp", hostPort(e.base))
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		err = tcp.SetLinger(0)
	}
	if err == nil {
		err = c.SetDeadline(time.Now().Add(left))
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return &orderConn{Conn: c, until: until}, nil
}

// sendOrder writes the order and reads the answer.
func (e *httpEngine) sendOrder(ctx context.Context, raw *orderConn, o Order) (State, error) {
	const op = "order"
	conn, err := e.secure(ctx, raw)
	if err != nil {
		return State{}, notRun(op, e.address, err) // a handshake carries no order
	}
	raw.begun = false
	req, err := NewRequest(ctx, http.MethodPost, e.base.String()+PathOrders, o)
	if err != nil {
		return State{}, notRun(op, e.address, err)
	}
	req.Close = true
	if err := req.Write(conn); err != nil {
		if !raw.begun {
			return State{}, notRun(op, e.address, err)
		}
		return State{}, broken(op, e.address, err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		return State{}, broken(op, e.address, err)
	}
	defer resp.Body.Close()
	var s State
	if err := decodeAnswer(resp, op, e.address, o.ID, e.opts.MaxBody, &s); err != nil {
		return State{}, err
	}
	if err := e.checkName(s.Runner); err != nil {
		return State{}, broken(op, e.address, err)
	}
	return s, nil
}

// secure does the TLS handshake for an https address.
func (e *httpEngine) secure(ctx context.Context, c net.Conn) (net.Conn, error) {
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

// hostPort gives the address to dial for a base URL.
func hostPort(u *url.URL) string {
	if u.Port() != "" {
		return u.Host
	}
	if u.Scheme == "https" {
		return net.JoinHostPort(u.Hostname(), "443")
	}
	return net.JoinHostPort(u.Hostname(), "80")
}
