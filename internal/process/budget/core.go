package budget

import (
	"cmp"
	"slices"
	"time"
)

// Core keeps the records of all connections. It isn't safe for concurrent use.
type Core struct {
	limits   Limits
	holders  map[*Holder]struct{}
	closing  int // holders that are being closed
	held     [Purposes]int64
	accounts map[string]int64 // bytes of bodies, by client account
	short    bool
}

// NewCore returns a Core without connections.
func NewCore(l Limits) *Core {
	return &Core{limits: l, holders: make(map[*Holder]struct{}), accounts: make(map[string]int64)}
}

// Open records a new connection. If there is no room for it, it returns the connection to close for it, or a nil
// Holder if the new one has to be closed.
func (c *Core) Open(now time.Time) (*Holder, []Closing) {
	var closed []Closing
	if len(c.holders)-c.closing >= c.limits.Connections || c.used()+ConnectionBytes > c.limits.Bytes {
		c.short = true
		victim := c.leastUseful(now)
		if victim == nil {
			return nil, nil
		}
		closed = append(closed, c.close(victim, ConnectionsShort))
	}
	h := &Holder{}
	h.enter(now, Unused)
	c.holders[h] = struct{}{}
	return h, closed
}

// leastUseful returns the connection to close for a new one; nil: none. Those that hold nothing of use go first.
func (c *Core) leastUseful(now time.Time) *Holder {
	var victim *Holder
	for h := range c.holders {
		if h.closing || h.phase == Running || h.phase != Lingering && h.stalledFor(now) < minStall {
			continue
		}
		if victim == nil || moreUseful(victim, h) {
			victim = h
		}
	}
	return victim
}

// moreUseful reports whether a is rather kept open than b.
func moreUseful(a, b *Holder) bool {
	if order := cmp.Compare(closeOrder(a.phase), closeOrder(b.phase)); order != 0 {
		return order > 0
	}
	return a.progressAt.After(b.progressAt)
}

// closeOrder returns the place of a phase in the order in which connections are closed for others.
func closeOrder(p Phase) int {
	return slices.Index([]Phase{Lingering, Unused, Head, Body, Idle, Running}, p)
}

// close decides to close a connection. What it holds is free from now on.
func (c *Core) close(h *Holder, r Reason) Closing {
	c.release(h)
	h.closing = true
	c.closing++
	return Closing{Holder: h, Phase: h.phase, Reason: r}
}

// Received records bytes that have arrived on a connection and the lines among them. With a reason, they must be
// discarded and the connection closed: it was closed for others, or its head is too large or can't be held. closed
// lists the connections to close to make room for the head.
func (c *Core) Received(now time.Time, h *Holder, n, lines int, limits CallerLimits) (closed []Closing, r Reason) {
	if h.closing {
		return nil, BytesShort
	}
	if h.phase == Unused || h.phase == Idle {
		h.enter(now, Head)
	}
	h.receive(now, n)
	if h.phase != Head {
		return nil, NoReason
	}
	h.lines += int64(lines)
	if h.received > int64(limits.HeadBytes)+readBufferBytes {
		return nil, HeadTooLarge
	}
	cost := headByteCost*max(0, h.received-freeHeadBytes) + headLineCost*max(0, h.lines-freeHeadLines)
	if cost <= h.held[Heads] {
		return nil, NoReason
	}
	closed, ok := c.Book(now, h, Heads, cost-h.held[Heads])
	if !ok {
		return closed, NoRoom
	}
	return closed, NoReason
}

// Serve records that the head of a request has arrived and that its handler begins. It returns false if the
// connection is being closed, so that the request must not run.
func (c *Core) Serve(now time.Time, h *Holder) bool {
	if h.closing {
		return false
	}
	h.enter(now, Running)
	return true
}

// BeginBody records that the body of a request is read from now on.
func (c *Core) BeginBody(now time.Time, h *Holder, account string) {
	h.account = account
	h.enter(now, Body)
}

// EndBody records that the body of a request was read as far as it is needed. It returns false if the connection is
// being closed, so that the request must not run.
func (c *Core) EndBody(now time.Time, h *Holder) bool {
	if h.closing {
		return false
	}
	h.enter(now, Running)
	return true
}

// Book books bytes for a connection. If there is no room, connections that make no progress are closed for it. It returns
// them, and false if the bytes must not be held.
func (c *Core) Book(now time.Time, h *Holder, p Purpose, n int64) ([]Closing, bool) {
	if h.closing {
		return nil, false
	}
	var closed []Closing
	if p == Bodies {
		victims, ok := c.makeRoom(now, h, c.overAccountShare(h, n), h.account)
		if !ok {
			return nil, false
		}
		closed = victims
	}
	victims, ok := c.makeRoom(now, h, c.missing(h, n), "")
	closed = append(closed, victims...)
	if !ok {
		return closed, false
	}
	h.held[p] += n
	c.held[p] += n
	if p == Bodies && h.account != "" {
		c.accounts[h.account] += n
	}
	return closed, true
}

// makeRoom decides to close connections, other than h, that hold the missing bytes and make no progress: those of a
// client account, or of all if it is empty. It returns false, and closes none, if they don't hold as much.
func (c *Core) makeRoom(now time.Time, h *Holder, missing int64, account string) ([]Closing, bool) {
	if missing <= 0 {
		return nil, true
	}
	c.short = true
	victims := c.stalled(now, h, missing, account)
	var closed []Closing
	for _, v := range victims {
		closed = append(closed, c.close(v, BytesShort))
	}
	return closed, len(victims) > 0
}

// used returns the bytes in use.
func (c *Core) used() int64 {
	sum := int64(len(c.holders)-c.closing) * ConnectionBytes
	for _, n := range c.held {
		sum += n
	}
	return sum
}

// missing returns by how much the limit would be exceeded with n bytes more for a connection. One that would hold much
// leaves room for small ones, unless it is the only one that holds anything.
func (c *Core) missing(h *Holder, n int64) int64 {
	over := c.used() + n - c.limits.Bytes
	if h.total()+n <= smallBytes {
		return over
	}
	others := -h.total()
	for _, held := range c.held {
		others += held
	}
	overLarge := c.used() + n - int64(largeShare*float64(c.limits.Bytes))
	return max(over, min(overLarge, others))
}

// overAccountShare returns by how much the client account of a connection would exceed its share with n bytes more.
// It may use more while all accounts together use no more than that share, and one body has room in any case.
func (c *Core) overAccountShare(h *Holder, n int64) int64 {
	share := int64(accountShare * float64(c.limits.Bytes))
	held := c.accounts[h.account]
	if h.account == "" || c.used()+n <= share {
		return 0
	}
	return min(held+n-share, held-h.held[Bodies])
}

// stalled returns the connections that have made no progress for longest and whose bytes suffice; nil: they don't.
// account is as in makeRoom.
func (c *Core) stalled(now time.Time, except *Holder, missing int64, account string) []*Holder {
	var all []*Holder
	for h := range c.holders {
		mayClose := h.phase == Lingering || h.phase == Unused || h.phase == Head || h.phase == Body
		if h != except && !h.closing && mayClose && h.stalledFor(now) >= minStall && (account == "" || h.account == account) {
			all = append(all, h)
		}
	}
	slices.SortFunc(all, func(a, b *Holder) int { return a.progressAt.Compare(b.progressAt) })
	for i, h := range all {
		missing -= h.total() + ConnectionBytes
		if missing <= 0 {
			return all[:i+1]
		}
	}
	return nil
}

// Unbook returns all bytes that a connection booked for a purpose.
func (c *Core) Unbook(h *Holder, p Purpose) {
	n := h.held[p]
	h.held[p] = 0
	c.held[p] -= n
	if p == Bodies {
		c.returnToAccount(h, n)
	}
}

// release returns all that a connection has booked.
func (c *Core) release(h *Holder) {
	for p := range Purposes {
		c.Unbook(h, p)
	}
	h.account = ""
}

func (c *Core) returnToAccount(h *Holder, n int64) {
	if h.account == "" {
		return
	}
	c.accounts[h.account] -= n
	if c.accounts[h.account] <= 0 {
		delete(c.accounts, h.account)
	}
}

// EndRequest returns what was booked for a request whose handler has returned.
func (c *Core) EndRequest(h *Holder) { c.release(h) }

// Wait records that the answer to a request is complete and that the connection waits for the next one.
func (c *Core) Wait(now time.Time, h *Holder) { h.enter(now, Idle) }

// Linger records that the connection stays open only for its caller to read the last answer.
func (c *Core) Linger(now time.Time, h *Holder) {
	c.release(h)
	h.enter(now, Lingering)
}

// Close removes the record of a connection that was closed.
func (c *Core) Close(h *Holder) {
	if _, ok := c.holders[h]; !ok {
		return
	}
	c.release(h)
	delete(c.holders, h)
	if h.closing {
		c.closing--
	}
	h.closing = true
}

// Expired returns the connections that have exceeded a limit on time. They are closed with Expire.
func (c *Core) Expired(now time.Time, limits CallerLimits) []Closing {
	var out []Closing
	for h := range c.holders {
		if r := h.expiry(now, limits); r != NoReason && !h.closing {
			out = append(out, Closing{Holder: h, Phase: h.phase, Reason: r})
		}
	}
	return out
}

// expiry returns the limit on time that the connection has exceeded.
func (h *Holder) expiry(now time.Time, limits CallerLimits) Reason {
	switch h.phase {
	case Head:
		if now.Sub(h.since) > limits.HeadTimeout {
			return HeadTimeout
		}
	case Unused, Idle, Body:
		if now.Sub(h.lastAt) > limits.IdleTimeout {
			return IdleTimeout
		}
	}
	return NoReason
}

// Expire decides to close a connection that Expired returned. It returns false if the connection has gone on meanwhile.
func (c *Core) Expire(now time.Time, h *Holder, limits CallerLimits) bool {
	if _, open := c.holders[h]; !open || h.closing || h.expiry(now, limits) == NoReason {
		return false
	}
	c.close(h, NoReason)
	return true
}

// Usage is what is in use.
type Usage struct {
	Bytes       int64 // of all purposes, the cost of connections included
	ByPurpose   [Purposes]int64
	Connections [Phases]int // by phase
	Short       bool        // something was refused or closed for others, and there isn't enough room again since
}

// Usage returns what is in use, and notes if nothing is short any more.
func (c *Core) Usage() Usage {
	u := Usage{Bytes: c.used(), ByPurpose: c.held}
	for h := range c.holders {
		u.Connections[h.phase]++
	}
	enoughBytes := float64(u.Bytes) < enoughShare*float64(c.limits.Bytes)
	enoughConnections := float64(len(c.holders)) < enoughShare*float64(c.limits.Connections)
	c.short = c.short && !(enoughBytes && enoughConnections)
	u.Short = c.short
	return u
}
