package fleet

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// Upstream is one entry of the platform's list.
type Upstream struct {
	ID      string // of one life of the upstream's process
	Service string
	Address string // host:port
	Zone    string
	Slots   int // requests that it runs at a time
	Leaving bool
	Cold    time.Duration // it is slow for so long after its start
	Role    upstream.Role // of a model engine; empty: a plain service
	Becomes upstream.Role // role that it is about to change to; empty: none
}

// Changing reports whether the upstream is about to change its role, or does so.
func (u *Upstream) Changing() bool { return u.Becomes != "" && u.Becomes != u.Role }

// ReturnGrace is how long a missing entry stays after the platform's return: live
// upstreams are listed again within about two seconds of it.
const ReturnGrace = 2200 * time.Millisecond

// entry is an upstream with the time at which it is to be forgotten.
type entry struct {
	Upstream
	missing  bool
	until    time.Time // only if missing
	markedAt time.Time // when Becomes was first seen
}

// Core is the state. It is not safe for concurrent use.
type Core struct {
	entries map[string]*entry
	away    bool      // the platform cannot be read
	back    time.Time // when it could be read again; zero: it never was away
	version uint64    // counts changes
}

// New makes an empty state.
func New() *Core { return &Core{entries: make(map[string]*entry)} }

// Version changes with every change of what Usable gives.
func (c *Core) Version() uint64 { return c.version }

// Lost notes that the platform cannot be read.
func (c *Core) Lost() { c.away = true }

// Back notes that the platform can be read again. It tells whether it was away.
func (c *Core) Back(now time.Time) bool {
	if !c.away {
		return false
	}
	c.away, c.back = false, now
	for _, e := range c.entries {
		if e.missing {
			e.until = now.Add(ReturnGrace)
		}
	}
	return true
}

// Replace takes a whole list.
func (c *Core) Replace(now time.Time, list []Upstream) {
	listed := make(map[string]bool, len(list))
	for _, u := range list {
		listed[u.ID] = true
		c.Put(now, u)
	}
	for id := range c.entries {
		if !listed[id] {
			c.Remove(now, id)
		}
	}
}

// Put takes a new or changed entry.
func (c *Core) Put(now time.Time, u Upstream) {
	e := &entry{Upstream: u, markedAt: now}
	if old, ok := c.entries[u.ID]; ok {
		e.Leaving = u.Leaving || old.Leaving
		if old.Upstream == e.Upstream && !old.missing {
			return
		}
		if old.Becomes == u.Becomes && old.Role == u.Role {
			e.markedAt = old.markedAt
		}
	}
	c.entries[u.ID] = e
	c.version++
}

// Remove takes the disappearance of an entry.
func (c *Core) Remove(now time.Time, id string) {
	e, ok := c.entries[id]
	if !ok || e.missing {
		return
	}
	if c.mayHaveLapsed(now) && !e.Leaving {
		e.missing, e.until = true, c.graceEnd(now)
		return
	}
	delete(c.entries, id)
	c.version++
}

// mayHaveLapsed reports whether an entry may be missing only for an outage.
func (c *Core) mayHaveLapsed(now time.Time) bool {
	return c.away || (!c.back.IsZero() && now.Before(c.back.Add(ReturnGrace)))
}

func (c *Core) graceEnd(now time.Time) time.Time {
	if c.away {
		return now.Add(ReturnGrace)
	}
	return c.back.Add(ReturnGrace)
}

// MarkLife is how long an announced change of role is believed. An engine is away
// for some seconds; one that did not change by then was never told to, because the
// process that announced it ended in between.
const MarkLife = 8 * time.Second

// Expire forgets missing entries whose grace is over and gives their ids.
func (c *Core) Expire(now time.Time) []string {
	var gone []string
	for id, e := range c.entries {
		if e.Changing() && now.Sub(e.markedAt) >= MarkLife {
			e.Becomes = ""
			c.version++
		}
		if !e.missing || now.Before(e.until) {
			continue
		}
		if c.away {
			e.until = now.Add(ReturnGrace)
			continue
		}
		delete(c.entries, id)
		c.version++
		gone = append(gone, id)
	}
	return gone
}

// Get gives an entry.
func (c *Core) Get(id string) (Upstream, bool) {
	e, ok := c.entries[id]
	if !ok {
		return Upstream{}, false
	}
	return e.Upstream, true
}

// Usable lists the upstreams that may get new work, by service.
func (c *Core) Usable() map[string][]Upstream {
	out := make(map[string][]Upstream)
	for _, e := range c.entries {
		if !e.Leaving && !e.Changing() {
			out[e.Service] = append(out[e.Service], e.Upstream)
		}
	}
	return out
}

// Engines lists the engines of all services, those that change their role included.
func (c *Core) Engines() map[string][]Upstream {
	out := make(map[string][]Upstream)
	for _, e := range c.entries {
		if !e.Leaving && e.Role != "" {
			out[e.Service] = append(out[e.Service], e.Upstream)
		}
	}
	return out
}
