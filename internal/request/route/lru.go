package route

// lru is a bounded set of block hashes that evicts the least recently used one. It
// maps hashes to the entries of a doubly linked list held in a slice; entry 0 is the
// list head. The most recently used hash comes first.
type lru struct {
	limit   int
	index   map[uint64]int32
	entries []lruEntry
	free    int32 // head of the list of unused entries, linked by next; 0: none
}

type lruEntry struct {
	block      uint64
	prev, next int32
}

func newLRU(limit int) *lru {
	return &lru{limit: limit, index: make(map[uint64]int32), entries: make([]lruEntry, 1)}
}

func (l *lru) has(block uint64) bool {
	_, ok := l.index[block]
	return ok
}

// touch adds the block or marks it as the most recently used one. If a block is added
// to a full set, the least recently used one is evicted.
func (l *lru) touch(block uint64) {
	i, ok := l.index[block]
	if ok {
		l.unlink(i)
		l.pushFront(i)
		return
	}
	if len(l.index) >= l.limit {
		l.remove(l.entries[l.entries[0].prev].block)
	}
	i = l.allocate()
	l.entries[i].block = block
	l.index[block] = i
	l.pushFront(i)
}

func (l *lru) remove(block uint64) {
	i, ok := l.index[block]
	if !ok {
		return
	}
	delete(l.index, block)
	l.unlink(i)
	l.entries[i].next = l.free
	l.free = i
}

// resize changes the limit. If the set is larger, the least recently used blocks are
// evicted and their memory is released.
func (l *lru) resize(limit int) {
	old := *l
	l.limit = limit
	if len(old.index) <= limit {
		return
	}
	*l = *newLRU(limit)
	i := old.entries[0].next
	for range limit - 1 {
		i = old.entries[i].next
	}
	for ; i != 0; i = old.entries[i].prev { // from the least to the most recently used entry that is kept
		l.touch(old.entries[i].block)
	}
}

func (l *lru) clear() {
	clear(l.index)
	l.entries = l.entries[:1]
	l.entries[0] = lruEntry{}
	l.free = 0
}

// allocate returns an unused entry.
func (l *lru) allocate() int32 {
	if l.free == 0 {
		l.entries = append(l.entries, lruEntry{})
		return int32(len(l.entries) - 1)
	}
	i := l.free
	l.free = l.entries[i].next
	return i
}

func (l *lru) unlink(i int32) {
	e := l.entries[i]
	l.entries[e.prev].next = e.next
	l.entries[e.next].prev = e.prev
}

func (l *lru) pushFront(i int32) {
	first := l.entries[0].next
	l.entries[i].prev = 0
	l.entries[i].next = first
	l.entries[first].prev = i
	l.entries[0].next = i
}
