package place

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// cacheTTL is how long a part is assumed to stay cached at an engine whose KV cache
	// capacity is unknown.
	cacheTTL = 10 * time.Second
	// retainedShare is the share of an engine's KV cache that may be written after the
	// last use of a part before the part is assumed to be evicted. Engines evict the
	// least recently used parts, and running requests occupy the cache too.
	retainedShare = 0.7
	// maxCacheEntries bounds the parts remembered per upstream.
	maxCacheEntries = 4096
)

// PartKey identifies a part of a prompt in messages between instances. It is a hash of
// the part's ID.
type PartKey uint32

// KeyOfPart returns the key of the part with an ID.
func KeyOfPart(id string) PartKey { return PartKey(xxhash.Sum64String(id)) }

// partUse is the last known use of a part at an engine.
type partUse struct {
	usedAt  time.Time
	written int // value of prefixCache.written at that time
}

// prefixCache tracks which shared parts of prompts an engine is assumed to have in its
// KV cache, by the prompts that this process and reporting peers had prefilled or
// fetched there.
type prefixCache struct {
	uses    map[PartKey]partUse
	written int // tokens known to be written to the engine's KV cache so far
}

// has reports whether a part is assumed to be cached by an engine whose KV cache holds
// kvCapacity tokens; 0 means unknown.
func (c *prefixCache) has(now time.Time, key PartKey, kvCapacity int) bool {
	u, ok := c.uses[key]
	if !ok {
		return false
	}
	if kvCapacity <= 0 {
		return now.Sub(u.usedAt) < cacheTTL
	}
	return float64(c.written-u.written) < retainedShare*float64(kvCapacity)
}

// record notes that a prompt with these shared parts was prefilled or fetched, and that
// written tokens were added to the engine's KV cache for it.
func (c *prefixCache) record(now time.Time, parts []PartKey, written int) {
	if c.uses == nil {
		c.uses = make(map[PartKey]partUse)
	}
	c.written += written
	if len(c.uses)+len(parts) > maxCacheEntries {
		c.evictOldest(now)
	}
	for _, key := range parts {
		c.uses[key] = partUse{usedAt: now, written: c.written}
	}
}

// evictOldest removes the parts whose last use is at least half as long ago as that of
// the oldest one.
func (c *prefixCache) evictOldest(now time.Time) {
	var oldest time.Duration
	for _, u := range c.uses {
		oldest = max(oldest, now.Sub(u.usedAt))
	}
	for key, u := range c.uses {
		if now.Sub(u.usedAt) >= oldest/2 {
			delete(c.uses, key)
		}
	}
}

// missingTokens returns the number of tokens in the shared parts of a prompt that the
// engine has to prefill or copy. A cached part is usable only if all parts before it are
// cached too, so all parts from the first missing one on count.
func (c *prefixCache) missingTokens(now time.Time, p *Prompt, kvCapacity int) int {
	for i := range p.Parts {
		if !c.has(now, p.Parts[i].Key, kvCapacity) {
			missing := 0
			for _, part := range p.Parts[i:] {
				missing += part.Tokens
			}
			return missing
		}
	}
	return 0
}
