package entry

import (
	"bytes"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/request/eventstream"
)

const (
	// aheadBytes bounds what is read of one stream before its caller has taken it. An upstream
	// breaks an answer off that is left unread for seconds, and callers may read slowly.
	aheadBytes = 256 << 10
	// aheadShare is the part of the memory allowed that all streams together may keep so.
	aheadShare = 0.1
)

// room counts the bytes that all streams of a process keep for their callers.
type room struct {
	most int64
	kept atomic.Int64
}

// take reserves bytes if there is room for them.
func (r *room) take(n int) bool {
	if r.kept.Add(int64(n)) <= r.most {
		return true
	}
	r.kept.Add(int64(-n))
	return false
}

func (r *room) giveBack(n int) { r.kept.Add(int64(-n)) }

// readEvent is an event that was read from an upstream, or the end of the stream.
type readEvent struct {
	eventstream.Event
	err  error
	at   time.Time // when it was read
	kept int       // bytes that it takes of the room; 0: it is the only one of its stream
}

// readAhead reads the events of an answer while its caller still takes earlier ones, within bounds.
// Beyond them the upstream waits for the caller.
type readAhead struct {
	room *room

	mu      sync.Mutex
	changed *sync.Cond
	events  []readEvent
	kept    int // bytes of events
	closed  bool
}

// newReadAhead begins to read. Both close of the answer's body and close of this end it.
func newReadAhead(events *eventstream.Reader, room *room, loop func(func())) *readAhead {
	a := &readAhead{room: room}
	a.changed = sync.NewCond(&a.mu)
	loop(func() { a.read(events) })
	return a
}

func (a *readAhead) read(events *eventstream.Reader) {
	for {
		event, err := events.Next()
		event.Raw = bytes.Clone(event.Raw)
		if !a.put(readEvent{Event: event, err: err, at: time.Now()}) || err != nil {
			return
		}
	}
}

// put keeps an event once there is room for it. It reports false if nobody wants it.
func (a *readAhead) put(e readEvent) bool {
	n := len(e.Raw)
	a.mu.Lock()
	defer a.mu.Unlock()
	for !a.closed && len(a.events) > 0 {
		if a.kept+n <= aheadBytes && a.room.take(n) {
			e.kept = n
			break
		}
		a.changed.Wait()
	}
	if a.closed {
		return false
	}
	a.events = append(a.events, e)
	a.kept += n
	a.changed.Broadcast()
	return true
}

// next gives the next event, or the error that ended the stream.
func (a *readAhead) next() readEvent {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.events) == 0 {
		a.changed.Wait()
	}
	e := a.events[0]
	a.events = a.events[1:]
	a.kept -= len(e.Raw)
	a.room.giveBack(e.kept)
	a.changed.Broadcast()
	return e
}

// close gives up what was read. The body of the answer is closed apart.
func (a *readAhead) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	for _, e := range a.events {
		a.room.giveBack(e.kept)
	}
	a.events = nil
	a.changed.Broadcast()
}
