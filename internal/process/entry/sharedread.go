package entry

import (
	"context"
	"sync"
	"time"
)

const (
	// sharedReadTimeout limits a read. It goes on for those who wait for it when a request has given it up.
	sharedReadTimeout = 2 * time.Second
	// sharedReadOverlap is the time after which the next read begins although the one before hasn't ended.
	sharedReadOverlap = 250 * time.Millisecond
)

// sharedReads makes reads of the platform for requests. A request needs a read that begins after it has arrived: an earlier
// one may miss what was written before. Requests that come before the next read begins share it. It is safe for concurrent
// use.
type sharedReads[T any] struct {
	read func(ctx context.Context) (T, error)

	mu      sync.Mutex
	gap     time.Duration  // minimum time between the beginnings of two reads
	next    *sharedRead[T] // hasn't begun; nil: none is wanted
	begunAt time.Time      // when the last read began
	running int            // reads that have begun and not ended
	ended   chan struct{}  // signals that a read has ended
}

// sharedRead is one read and its result.
type sharedRead[T any] struct {
	done  chan struct{} // closed when the result is set
	value T
	err   error
}

func newSharedReads[T any](gap time.Duration, read func(ctx context.Context) (T, error)) *sharedReads[T] {
	return &sharedReads[T]{read: read, gap: gap, ended: make(chan struct{}, 1)}
}

// join returns a read that begins from now on.
func (s *sharedReads[T]) join() *sharedRead[T] {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = &sharedRead[T]{done: make(chan struct{})}
		go s.begin(s.next)
	}
	return s.next
}

// setGap sets the minimum time between the beginnings of two reads.
func (s *sharedReads[T]) setGap(gap time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gap = gap
}

// begin makes a read when it is due.
func (s *sharedReads[T]) begin(r *sharedRead[T]) {
	for !s.take(time.Now()) {
		s.awaitDue(time.Now())
	}
	ctx, cancel := context.WithTimeout(context.Background(), sharedReadTimeout)
	defer cancel()
	r.value, r.err = s.read(ctx)
	close(r.done)
	s.end()
}

// take reports whether the next read is due, and if so, records that it begins.
func (s *sharedReads[T]) take(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.dueAt()) {
		return false
	}
	s.next, s.begunAt = nil, now
	s.running++
	return true
}

// dueAt returns when the next read is due. Callers hold mu.
func (s *sharedReads[T]) dueAt() time.Time {
	if s.running > 0 {
		return s.begunAt.Add(max(s.gap, sharedReadOverlap))
	}
	return s.begunAt.Add(s.gap)
}

// awaitDue waits until the next read may be due.
func (s *sharedReads[T]) awaitDue(now time.Time) {
	s.mu.Lock()
	timer := time.NewTimer(s.dueAt().Sub(now))
	s.mu.Unlock()
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.ended:
	}
}

func (s *sharedReads[T]) end() {
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	select {
	case s.ended <- struct{}{}:
	default: // signaled already
	}
}

// await returns the result of the read, or the error of ctx if that ends before.
func (r *sharedRead[T]) await(ctx context.Context) (value T, err error) {
	select {
	case <-r.done:
		return r.value, r.err
	case <-ctx.Done():
		return value, ctx.Err()
	}
}
