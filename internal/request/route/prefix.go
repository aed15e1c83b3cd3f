package route

import "github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"

// Limits of the prefix index, in blocks.
const (
	DefaultPrefixBlocks = 1024    // per runner
	totalPrefixBlocks   = 1 << 17 // over all runners, shared equally
	// prefixShareStep is the step to which shares are rounded down, so that not every
	// added runner makes all others evict a few blocks.
	prefixShareStep = 64
)

// PrefixIndex records which prefix blocks each runner is believed to cache. It is
// built from events that arrive late and with gaps, so it is only a hint: a wrong
// entry costs time but never affects an answer. Memory is bounded per runner and in
// total; the least recently used block of a runner is evicted first. Not safe for
// concurrent use.
type PrefixIndex struct {
	perRunner int
	total     int
	share     int // current limit of each runner
	runners   map[string]*prefixSet
}

// prefixSet is the believed cache content of one runner.
type prefixSet struct {
	blocks       *lru
	incarnation  string
	nextSequence uint64 // sequence number to request events from; zero: the whole content
	stale        bool   // events are missing and the whole content has not been received since
}

// NewPrefixIndex returns an index of at most perRunner blocks for each runner (0:
// DefaultPrefixBlocks).
func NewPrefixIndex(perRunner int) *PrefixIndex {
	if perRunner <= 0 {
		perRunner = DefaultPrefixBlocks
	}
	return &PrefixIndex{perRunner: perRunner, total: totalPrefixBlocks, share: perRunner, runners: make(map[string]*prefixSet)}
}

func (x *PrefixIndex) getOrCreate(runner string) *prefixSet {
	s, ok := x.runners[runner]
	if !ok {
		s = &prefixSet{blocks: newLRU(x.share)}
		x.runners[runner] = s
		x.redistribute()
	}
	return s
}

// redistribute recomputes the runners' equal share of the total and applies it.
func (x *PrefixIndex) redistribute() {
	share := x.total / max(len(x.runners), 1)
	if share > prefixShareStep {
		share -= share % prefixShareStep
	}
	share = max(1, min(share, x.perRunner))
	if share == x.share {
		return
	}
	x.share = share
	for _, s := range x.runners {
		s.blocks.resize(share)
	}
}

// Since returns the sequence number to request the runner's events from. It is zero
// after a gap, which requests the whole content.
func (x *PrefixIndex) Since(runner string) uint64 {
	if s, ok := x.runners[runner]; ok && !s.stale {
		return s.nextSequence
	}
	return 0
}

// Stale reports whether events of the runner are missing, so that the index needs its
// whole cache content (a resync).
func (x *PrefixIndex) Stale(runner string) bool {
	s, ok := x.runners[runner]
	return ok && s.stale
}

// Apply applies the events that a runner returned to a request for its events from
// sequence number since on. A gap or another incarnation marks the runner as stale until
// its whole cache content arrives, which since zero requests.
func (x *PrefixIndex) Apply(runner string, since uint64, batch upstream.CacheEvents) {
	s := x.getOrCreate(runner)
	if batch.Resync || since == 0 {
		s.blocks.clear()
		s.stale = false
		s.incarnation = batch.Incarnation
		s.applyAll(batch)
		return
	}
	if s.incarnation != batch.Incarnation {
		s.blocks.clear()
		s.stale = true
		return
	}
	if since != s.nextSequence {
		return // late response to an earlier request
	}
	s.applyInOrder(batch)
}

// applyAll applies the whole content of a cache, whose sequence numbers need not be
// consecutive.
func (s *prefixSet) applyAll(batch upstream.CacheEvents) {
	for _, e := range batch.Events {
		s.apply(e)
	}
	s.nextSequence = batch.Next
}

// applyInOrder applies events. If their sequence numbers are not consecutive, it marks
// the runner as stale.
func (s *prefixSet) applyInOrder(batch upstream.CacheEvents) {
	expect := s.nextSequence
	for _, e := range batch.Events {
		if e.Sequence < expect {
			continue // already applied
		}
		if e.Sequence > expect {
			s.stale = true
		}
		s.apply(e)
		expect = e.Sequence + 1
	}
	if expect < batch.Next {
		s.stale = true // the tail of the batch is missing
	}
	s.nextSequence = max(expect, batch.Next)
}

func (s *prefixSet) apply(e upstream.CacheEvent) {
	if e.Removed {
		s.blocks.remove(e.Block)
		return
	}
	s.blocks.touch(e.Block)
}

// Sent records that a request with these blocks went to the runner, which will cache
// them. The first block is touched last, so that the end of a chain is evicted before
// its start.
func (x *PrefixIndex) Sent(runner string, hashes []uint64) {
	blocks := x.getOrCreate(runner).blocks
	for i := len(hashes) - 1; i >= 0; i-- {
		blocks.touch(hashes[i])
	}
}

// Cached returns the number of leading blocks believed to be cached at the runner.
func (x *PrefixIndex) Cached(runner string, hashes []uint64) int {
	s, ok := x.runners[runner]
	if !ok {
		return 0
	}
	return s.cached(hashes)
}

// cached returns the number of leading blocks in the set. A block is cached only
// together with all blocks before it, so a binary search finds the end.
func (s *prefixSet) cached(hashes []uint64) int {
	if len(hashes) == 0 || !s.blocks.has(hashes[0]) {
		return 0
	}
	low, high := 1, len(hashes)
	for low < high {
		middle := (low + high) / 2
		if s.blocks.has(hashes[middle]) {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

// Len returns the number of blocks recorded for the runner.
func (x *PrefixIndex) Len(runner string) int {
	if s, ok := x.runners[runner]; ok {
		return len(s.blocks.index)
	}
	return 0
}

// Forget drops the records of a runner.
func (x *PrefixIndex) Forget(runner string) {
	delete(x.runners, runner)
	x.redistribute()
}
