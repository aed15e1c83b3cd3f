package entry

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/ragworttrestle/ragworttrestle/internal/request/eventstream"
)

// countingReader counts the bytes read from it.
type countingReader struct {
	io.Reader
	read atomic.Int64
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// newEventStream returns a stream of events with the given number of data bytes each.
func newEventStream(events, bytes int) string {
	var b strings.Builder
	for i := range events {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", i+1, strings.Repeat("x", bytes))
	}
	return b.String()
}

// startReadAhead starts to read a stream ahead, in a goroutine of loops. It also returns the reader that
// counts what was read.
func startReadAhead(text string, budget *memoryBudget, loops *sync.WaitGroup) (*readAhead, *countingReader) {
	source := &countingReader{Reader: strings.NewReader(text)}
	return newReadAhead(eventstream.NewReader(source, maxEventBytes), budget, func(f func()) { loops.Go(f) }), source
}

// TestSlowCallerDoesNotDelayUpstream checks that a response of ordinary size is read completely from the
// upstream although its caller reads none of it yet, and that the caller gets all of it in the end. An
// upstream breaks off a response that is left unread.
func TestSlowCallerDoesNotDelayUpstream(t *testing.T) {
	var loops sync.WaitGroup
	text := newEventStream(100, 2000)
	a, source := startReadAhead(text, &memoryBudget{limit: 1 << 20}, &loops)
	eventually(t, "the response is read", func() bool { return source.read.Load() == int64(len(text)) })
	got := ""
	for e := a.next(); e.err == nil; e = a.next() {
		got += string(e.Raw)
	}
	if got != text {
		t.Errorf("%d bytes passed on, want %d", len(got), len(text))
	}
	loops.Wait()
}

// TestSlowCallersShareBoundedMemory checks that the buffers of a thousand long responses whose callers
// read nothing stay within the budget plus one event per stream, and are released as callers leave.
func TestSlowCallersShareBoundedMemory(t *testing.T) {
	const callers, event, limit = 1000, 2000, 14 << 20 // limit: a tenth of 144 MB
	var loops sync.WaitGroup
	budget := &memoryBudget{limit: limit}
	text := newEventStream(200, event)
	var all []*readAhead
	for range callers {
		a, _ := startReadAhead(text, budget, &loops)
		all = append(all, a)
	}
	buffered := func() (sum int) {
		for _, a := range all {
			a.mu.Lock()
			sum += a.buffered
			a.mu.Unlock()
		}
		return sum
	}
	eventually(t, "the budget is used up", func() bool { return budget.reserved.Load() > limit-2*event })
	if n, bound := buffered(), limit+callers*(event+100); n > bound {
		t.Errorf("%d bytes buffered, want at most %d", n, bound)
	}
	for i, a := range all {
		if i%2 == 0 {
			a.close()
			continue
		}
		events := 0
		for e := a.next(); e.err == nil; e = a.next() {
			events++
		}
		if events != 200 {
			t.Fatalf("caller %d got %d events", i, events)
		}
		a.close()
	}
	loops.Wait()
	if n := budget.reserved.Load(); n != 0 {
		t.Errorf("%d bytes are reserved with no caller left", n)
	}
}

// TestStreamBufferIsBounded checks that not much more than readAheadBytes of a single stream is read if its
// caller reads nothing, even if the budget for all streams allows more.
func TestStreamBufferIsBounded(t *testing.T) {
	var loops sync.WaitGroup
	a, source := startReadAhead(newEventStream(1000, 2000), &memoryBudget{limit: 1 << 30}, &loops)
	eventually(t, "the buffer is full", func() bool { return source.read.Load() > readAheadBytes })
	if n := source.read.Load(); n > readAheadBytes+2*4096 {
		t.Errorf("%d bytes read", n)
	}
	a.close()
	loops.Wait()
}

// TestShortEventsAreBookedWithTheirOverhead guards against a process that short events without end use up: each takes many
// times its bytes, so that a budget of bytes alone allows far more memory than it says.
func TestShortEventsAreBookedWithTheirOverhead(t *testing.T) {
	const limit = 64 << 10
	var loops sync.WaitGroup
	budget := &memoryBudget{limit: limit}
	a, _ := startReadAhead(newEventStream(10_000, 1), budget, &loops)
	eventually(t, "the budget is used up", func() bool { return budget.reserved.Load() > limit-2*eventOverhead })
	a.mu.Lock()
	if n := len(a.events); n > limit/eventOverhead+1 {
		t.Errorf("%d events are buffered, which take more than %d bytes", n, limit)
	}
	a.mu.Unlock()
	a.close()
	loops.Wait()
	if n := budget.reserved.Load(); n != 0 {
		t.Errorf("%d bytes are reserved with no caller left", n)
	}
}
