package caller

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/process/budget"
)

// ErrClosing is the error of reads from a connection that the process is closing.
var ErrClosing = errors.New("the connection is being closed")

// CallerLimits returns the limits in force on a single caller.
type CallerLimits func() budget.CallerLimits

// Events tells what a Guard decides, for logs and metrics. Its methods are called without any lock held.
type Events interface {
	// ConnectionClosed tells that a connection in a phase is closed.
	ConnectionClosed(phase budget.Phase, reason budget.Reason)
}

// Guard bounds what one port holds for its callers. Its budget.Core decides.
type Guard struct {
	limits CallerLimits
	events Events // nil: nobody is told

	mu    sync.Mutex
	core  *budget.Core
	conns map[*budget.Holder]*conn
}

// NewGuard returns a Guard for one port. events may be nil.
func NewGuard(total budget.Limits, limits CallerLimits, events Events) *Guard {
	return &Guard{limits: limits, events: events, core: budget.NewCore(total), conns: make(map[*budget.Holder]*conn)}
}

// open records a new connection. It returns false if there is no room for it.
func (g *Guard) open(c *conn) bool {
	if g == nil {
		return true
	}
	g.mu.Lock()
	h, closed := g.core.Open(time.Now())
	if h != nil {
		c.holder = h
		g.conns[h] = c
	}
	g.mu.Unlock()
	g.carryOut(closed)
	if h == nil {
		g.tell(budget.Unused, budget.NoRoom)
	}
	return h != nil
}

// carryOut closes the connections that the core decided to close.
func (g *Guard) carryOut(closed []budget.Closing) {
	for _, v := range closed {
		g.mu.Lock()
		c := g.conns[v.Holder]
		g.mu.Unlock()
		if c == nil {
			continue // closed meanwhile
		}
		g.tell(v.Phase, v.Reason)
		if v.Phase == budget.Body && v.Reason == budget.BytesShort {
			c.stopReading() // its handler refuses the request
			continue
		}
		c.end()
	}
}

// tell tells that a connection is closed.
func (g *Guard) tell(phase budget.Phase, reason budget.Reason) {
	if g.events != nil {
		g.events.ConnectionClosed(phase, reason)
	}
}

// received records bytes that have arrived on a connection. With a reason, they must be discarded.
func (g *Guard) received(c *conn, p []byte) budget.Reason {
	if g == nil {
		return budget.NoReason
	}
	lines := bytes.Count(p, []byte{'\n'})
	limits := g.limits()
	g.mu.Lock()
	closed, reason := g.core.Received(time.Now(), c.holder, len(p), lines, limits)
	g.mu.Unlock()
	g.carryOut(closed)
	if reason == budget.HeadTooLarge || reason == budget.NoRoom {
		g.tell(budget.Head, reason)
	}
	return reason
}

// update changes the record of a connection.
func (g *Guard) update(change func(core *budget.Core, now time.Time)) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	change(g.core, time.Now())
}

// closed removes the record of a connection.
func (g *Guard) closed(c *conn) {
	g.update(func(core *budget.Core, _ time.Time) {
		core.Close(c.holder)
		delete(g.conns, c.holder)
	})
}

// Sweep closes the connections that have exceeded a limit on time. A connection whose bytes wait to be read isn't
// closed: the process may not have run.
func (g *Guard) Sweep(now time.Time) {
	limits := g.limits()
	g.mu.Lock()
	expired := g.core.Expired(now, limits)
	conns := make([]*conn, len(expired))
	for i, v := range expired {
		conns[i] = g.conns[v.Holder]
	}
	g.mu.Unlock()
	for i, v := range expired {
		if conns[i].hasReceived() {
			continue
		}
		g.mu.Lock()
		expire := g.core.Expire(now, v.Holder, limits)
		g.mu.Unlock()
		if !expire {
			continue
		}
		g.tell(v.Phase, v.Reason)
		if v.Phase == budget.Body {
			conns[i].stopReading()
			continue
		}
		conns[i].end()
	}
}

// Usage returns what is in use.
func (g *Guard) Usage() budget.Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Usage()
}

// Request books bytes for one request. A nil Request books nothing and never refuses.
type Request struct {
	guard *Guard
	conn  *conn
}

// RequestOf returns the Request of a context that a Server passed to its handler; nil: its connections aren't bounded.
func RequestOf(ctx context.Context) *Request {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok || c == nil || c.guard == nil {
		return nil
	}
	return &Request{guard: c.guard, conn: c}
}

// BeginBody records that the body is read from now on, for a client account; empty: none.
func (r *Request) BeginBody(account string) {
	if r == nil {
		return
	}
	r.guard.update(func(core *budget.Core, now time.Time) { core.BeginBody(now, r.conn.holder, account) })
}

// EndBody records that the body was read as far as it is needed. It returns false if the connection is being closed:
// the request must not run then.
func (r *Request) EndBody() bool {
	if r == nil {
		return true
	}
	ok := false
	r.guard.update(func(core *budget.Core, now time.Time) { ok = core.EndBody(now, r.conn.holder) })
	return ok
}

// Book books bytes before they are held. It returns false if they must not be. What is booked is returned when the
// handler returns.
func (r *Request) Book(p budget.Purpose, n int64) bool {
	if r == nil || n <= 0 {
		return true
	}
	var closed []budget.Closing
	ok := false
	r.guard.update(func(core *budget.Core, now time.Time) { closed, ok = core.Book(now, r.conn.holder, p, n) })
	r.guard.carryOut(closed)
	return ok
}

// Unbook returns all bytes that are booked for a purpose, and are no longer held.
func (r *Request) Unbook(p budget.Purpose) {
	if r == nil {
		return
	}
	r.guard.update(func(core *budget.Core, _ time.Time) { core.Unbook(r.conn.holder, p) })
}
