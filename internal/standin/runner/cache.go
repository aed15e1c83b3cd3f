package runner

import (
	"container/list"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// maxCacheEvents is the maximum number of events kept for readers that lag.
const maxCacheEvents = 8192

// prefixCache is an LRU cache of the hashes of prefix blocks. It logs insertions and evictions as
// events with consecutive sequence numbers.
type prefixCache struct {
	limit  int                      // maximum number of blocks
	blocks map[uint64]*list.Element // elements of recent, by hash
	recent *list.List               // hashes (uint64), most recently used first
	log    []loggedEvent            // newest events, oldest first
	oldest uint64                   // events before this sequence are no longer kept
	next   uint64                   // sequence of the next event
}

type loggedEvent struct {
	event upstream.CacheEvent
	at    time.Time // when it happened
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, blocks: map[uint64]*list.Element{}, recent: list.New(), oldest: 1, next: 1}
}

// leading returns the number of leading blocks that are cached.
func (c *prefixCache) leading(hashes []uint64) int {
	for i, h := range hashes {
		if _, ok := c.blocks[h]; !ok {
			return i
		}
	}
	return len(hashes)
}

// insert adds blocks or marks them as recently used, and evicts the least recently used blocks
// over the limit. drop is a fault counter: the next *drop events are left out of the log, but
// use up their sequence numbers.
func (c *prefixCache) insert(hashes []uint64, now time.Time, drop *int) {
	for _, h := range hashes {
		if e, ok := c.blocks[h]; ok {
			c.recent.MoveToFront(e)
			continue
		}
		c.blocks[h] = c.recent.PushFront(h)
		c.record(upstream.CacheEvent{Block: h}, now, drop)
	}
	for c.recent.Len() > c.limit {
		c.evict(c.recent.Back(), now, drop)
	}
}

// clear evicts all blocks.
func (c *prefixCache) clear(now time.Time, drop *int) {
	for c.recent.Len() > 0 {
		c.evict(c.recent.Back(), now, drop)
	}
}

func (c *prefixCache) evict(e *list.Element, now time.Time, drop *int) {
	h := e.Value.(uint64)
	c.recent.Remove(e)
	delete(c.blocks, h)
	c.record(upstream.CacheEvent{Block: h, Removed: true}, now, drop)
}

// record logs an event unless drop prevents it. A log over maxCacheEvents is cut to the newest half.
func (c *prefixCache) record(e upstream.CacheEvent, now time.Time, drop *int) {
	e.Sequence = c.next
	c.next++
	if triggerFaultLocked(drop) {
		return
	}
	c.log = append(c.log, loggedEvent{e, now})
	if len(c.log) > maxCacheEvents {
		c.log = append(c.log[:0], c.log[len(c.log)-maxCacheEvents/2:]...)
		c.oldest = c.log[0].event.Sequence
	}
}

// since returns the events from sequence seq on that are at least lag old. If events from seq on
// are no longer kept, or seq is greater than the next sequence (as after a crash), it returns
// the whole content with Resync set.
func (c *prefixCache) since(seq uint64, now time.Time, lag time.Duration) upstream.CacheEvents {
	seq = max(seq, 1)
	if seq > c.next || seq < c.oldest {
		return c.content()
	}
	out := upstream.CacheEvents{Next: seq}
	for _, l := range c.log {
		if l.event.Sequence < seq {
			continue
		}
		if now.Sub(l.at) < lag {
			break
		}
		out.Events = append(out.Events, l.event)
		out.Next = l.event.Sequence + 1
	}
	return out
}

// content returns the whole cache as insertions, most recently used first.
func (c *prefixCache) content() upstream.CacheEvents {
	out := upstream.CacheEvents{Next: c.next, Resync: true}
	for e := c.recent.Front(); e != nil; e = e.Next() {
		out.Events = append(out.Events, upstream.CacheEvent{Sequence: c.next - 1, Block: e.Value.(uint64)})
	}
	return out
}
