package place

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// cacheBelief is how long a part is believed to be kept where the memory of an
	// engine isn't known.
	cacheBelief = 10 * time.Second
	// keptShare is the part of an engine's memory that may be written after a part's last
	// use before the part is taken to be gone: engines drop what was used longest ago,
	// and requests that run take memory too.
	keptShare = 0.7
	// cacheEntries bounds the parts remembered of one upstream.
	cacheEntries = 4096
)

// PartKey names a part of a prompt in what instances tell each other: a hash of its id.
type PartKey uint32

// KeyOfPart gives the key of a part's id.
func KeyOfPart(id string) PartKey { return PartKey(xxhash.Sum64String(id)) }

// partUse is the last known use of a part at an engine.
type partUse struct {
	at      time.Time
	written int // tokens written to the engine's memory until then, as far as known
}

// partCache is which shared parts of prompts an engine is believed to keep, by what
// this process and the instances that tell theirs had it read or fetch.
type partCache struct {
	uses    map[PartKey]partUse
	written int // tokens written to the engine's memory
}

// has reports whether a part is believed to be kept, by an engine whose memory holds
// so many tokens; 0: not known.
func (c *partCache) has(now time.Time, key PartKey, memory int) bool {
	u, ok := c.uses[key]
	if !ok {
		return false
	}
	if memory <= 0 {
		return now.Sub(u.at) < cacheBelief
	}
	return float64(c.written-u.written) < keptShare*float64(memory)
}

// use notes that a prompt with these shared parts was read or fetched, for which so
// many tokens were written.
func (c *partCache) use(now time.Time, parts []PartKey, written int) {
	if c.uses == nil {
		c.uses = make(map[PartKey]partUse)
	}
	c.written += written
	if len(c.uses)+len(parts) > cacheEntries {
		c.forget(now)
	}
	for _, key := range parts {
		c.uses[key] = partUse{at: now, written: c.written}
	}
}

// forget drops the older half of what is remembered.
func (c *partCache) forget(now time.Time) {
	var oldest time.Duration
	for _, u := range c.uses {
		oldest = max(oldest, now.Sub(u.at))
	}
	for key, u := range c.uses {
		if now.Sub(u.at) >= oldest/2 {
			delete(c.uses, key)
		}
	}
}

// missing is how many tokens of the shared parts of a prompt the engine isn't believed
// to keep. A part is of use only if all parts before it are kept too.
func (c *partCache) missing(now time.Time, p *Prompt, memory int) int {
	for i := range p.Parts {
		if !c.has(now, p.Parts[i].Key, memory) {
			missing := 0
			for _, rest := range p.Parts[i:] {
				missing += rest.Tokens
			}
			return missing
		}
	}
	return 0
}
