package caller

import "sync"

// tracker holds the open connections of a port.
type tracker struct {
	mu    sync.Mutex
	conns map[*conn]bool
	force bool // connections are closed at once from now on
}

func newTracker() *tracker { return &tracker{conns: make(map[*conn]bool)} }

func (t *tracker) add(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[c] = true
}

func (t *tracker) remove(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

// open returns the open connections.
func (t *tracker) open() []*conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*conn, 0, len(t.conns))
	for c := range t.conns {
		out = append(out, c)
	}
	return out
}

// count returns the number of open connections.
func (t *tracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// forced reports whether connections are to be closed at once.
func (t *tracker) forced() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.force
}

// closeAll closes all connections at once.
func (t *tracker) closeAll() {
	t.mu.Lock()
	t.force = true
	t.mu.Unlock()
	for _, c := range t.open() {
		c.end()
	}
}
