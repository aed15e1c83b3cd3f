package place

import "time"

const (
	// cacheBelief is how long a part that was read is believed to be kept. Upstreams
	// keep what was used last; a busy one reads its whole memory anew in some ten
	// seconds.
	cacheBelief = 10 * time.Second
	// cacheEntries bounds the parts remembered of one upstream.
	cacheEntries = 4096
)

// partCache remembers which shared parts this process had an upstream read. It is a
// hint: others use the upstream too.
type partCache struct {
	readAt map[string]time.Time
}

func (c *partCache) has(now time.Time, id string) bool {
	at, ok := c.readAt[id]
	return ok && now.Sub(at) < cacheBelief
}

func (c *partCache) add(now time.Time, id string) {
	if c.readAt == nil {
		c.readAt = make(map[string]time.Time)
	}
	if len(c.readAt) >= cacheEntries {
		c.forget(now)
	}
	c.readAt[id] = now
}

// forget drops what is no longer believed, or everything if that is not enough.
func (c *partCache) forget(now time.Time) {
	for id, at := range c.readAt {
		if now.Sub(at) >= cacheBelief {
			delete(c.readAt, id)
		}
	}
	if len(c.readAt) >= cacheEntries {
		clear(c.readAt)
	}
}
