package entry

import (
	"bytes"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/request/eventstream"
)

const (
	// readAheadBytes limits how much of one stream is buffered for its caller. The buffer is needed as an
	// upstream breaks off a response that is left unread for seconds, and callers may read slowly.
	readAheadBytes = 256 << 10
	// readAheadMemoryShare is the share of the process's allowed memory for the buffers of all streams.
	readAheadMemoryShare = 0.1
	// eventOverhead is what a buffered event takes beside its bytes, in bytes: the readEvent, its place in a growing slice
	// and its allocations. Most of what short events take is overhead.
	eventOverhead = 256
)

// memoryBudget limits the memory that all streams of a process take for what they buffer for their callers.
type memoryBudget struct {
	limit    int64
	reserved atomic.Int64
}

// reserve reserves n bytes. It reports false if that would exceed the limit.
func (b *memoryBudget) reserve(n int) bool {
	if b.reserved.Add(int64(n)) <= b.limit {
		return true
	}
	b.reserved.Add(int64(-n))
	return false
}

// release returns n reserved bytes.
func (b *memoryBudget) release(n int) { b.reserved.Add(int64(-n)) }

// readEvent is an event read from an upstream, or the end of the stream (err is set).
type readEvent struct {
	eventstream.Event
	err      error
	readAt   time.Time
	reserved int // bytes reserved in the budget; 0: none, as no other event of the stream was buffered
}

// readAhead reads the events of a response into a buffer while the caller still reads earlier ones. When
// a limit is reached, reading stops until the caller has read an event.
type readAhead struct {
	budget *memoryBudget

	mu       sync.Mutex
	changed  *sync.Cond
	events   []readEvent
	buffered int // bytes of events
	closed   bool
}

// newReadAhead starts reading in a goroutine, which ends with the stream, or once the response's
// body and the readAhead are both closed.
func newReadAhead(events *eventstream.Reader, budget *memoryBudget, spawn func(func())) *readAhead {
	a := &readAhead{budget: budget}
	a.changed = sync.NewCond(&a.mu)
	spawn(func() { a.read(events) })
	return a
}

// read buffers the events of a stream until the stream ends or the readAhead is closed.
func (a *readAhead) read(events *eventstream.Reader) {
	for {
		event, err := events.Next()
		event.Raw = bytes.Clone(event.Raw)
		if !a.enqueue(readEvent{Event: event, err: err, readAt: time.Now()}) || err != nil {
			return
		}
	}
}

// enqueue buffers an event once there is room for it. There is always room for one event of each stream.
// enqueue returns false if the readAhead was closed.
func (a *readAhead) enqueue(e readEvent) bool {
	n := len(e.Raw)
	a.mu.Lock()
	defer a.mu.Unlock()
	for !a.closed && len(a.events) > 0 {
		if a.buffered+n <= readAheadBytes && a.budget.reserve(n+eventOverhead) {
			e.reserved = n + eventOverhead
			break
		}
		a.changed.Wait()
	}
	if a.closed {
		return false
	}
	a.events = append(a.events, e)
	a.buffered += n
	a.changed.Broadcast()
	return true
}

// next waits for the next event, or the error that ended the stream, and returns it.
func (a *readAhead) next() readEvent {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.events) == 0 {
		a.changed.Wait()
	}
	e := a.events[0]
	a.events = a.events[1:]
	a.buffered -= len(e.Raw)
	a.budget.release(e.reserved)
	a.changed.Broadcast()
	return e
}

// close discards the buffered events and ends read once it has an event. Whoever closes the readAhead also
// has to close the response's body, which read may be waiting for.
func (a *readAhead) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	for _, e := range a.events {
		a.budget.release(e.reserved)
	}
	a.events = nil
	a.changed.Broadcast()
}
