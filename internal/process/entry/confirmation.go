package entry

import (
	"context"
	"slices"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/stall"
	"github.com/ragworttrestle/ragworttrestle/internal/request/place"
)

// A process that did not run for a while knows the upstreams as they were before, although none of its
// calls has failed. Calls that it made before say nothing of now either, even if they are answered after
// it resumed: the responses may have been sent before. So from the moment at which any goroutine notices
// the stall, the list of upstreams counts as out of date until a call that was made since then has
// confirmed it. Decisions on places wait for that, and places from before are not used.

const (
	// stallShare is the time without running after which the list has to be confirmed, as a share of the
	// time within which a change has to be in force.
	stallShare = 0.25
	// minStallTime is the least time without running that counts as a stall. An instance without a list of
	// upstreams looks for stalls every noUpstreamsTick only, and timers may fire late.
	minStallTime = 2 * noUpstreamsTick
	// maxConfirmationWait is how long decisions wait for the list to be confirmed. The platform usually
	// responds within some milliseconds, and within some hundred if it is slow. If it doesn't respond,
	// decisions are based on the old list, as in an outage of the platform.
	maxConfirmationWait = 500 * time.Millisecond
)

// confirmation tracks whether the list of upstreams has to be confirmed after a stall. It is part of state
// and guarded by its lock.
type confirmation struct {
	clock    func() boottime.Time
	onResume func() // called after each stall, with the lock held
	detector stall.Detector

	stalls    uint64        // number of stalls so far
	deadline  time.Time     // when decisions go on without a confirmation
	done      chan struct{} // closed when decisions go on; nil: they don't wait
	postponed []place.Query // requests that arrived while decisions wait
}

// start begins to detect stalls, unless that has begun already.
func (c *confirmation) start() {
	if !c.detector.Started() {
		c.detector.Start(c.clock())
	}
}

// startStallDetection begins to detect stalls. It is called before the list of upstreams is read: the first
// tick comes later. From then on, tick has to be called at short intervals.
func (s *state) startStallDetection() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmation.start()
}

// remove removes a postponed request. It returns false if there is none with this ID.
func (c *confirmation) remove(id string) bool {
	i := slices.IndexFunc(c.postponed, func(q place.Query) bool { return q.ID == id })
	if i < 0 {
		return false
	}
	c.postponed = slices.Delete(c.postponed, i, i+1)
	return true
}

// detectStall checks whether this process did not run for a while, and if so, marks the list of upstreams
// as unconfirmed. It is called before each use of the list, because any goroutine may be the first to run
// after a stall. Callers hold mu.
func (s *state) detectStall() {
	c := &s.confirmation
	threshold := time.Duration(stallShare * float64(s.bounds.ChangeDeadline()))
	gap, stalled := c.detector.Observe(c.clock(), max(threshold, minStallTime))
	if !stalled {
		return
	}
	now := time.Now()
	logline.Info("process resumed", "stalled_ms", gap.Milliseconds(), "upstreams_listed", s.listed, "waiting", s.queue.Len()+len(c.postponed))
	c.stalls++
	if s.listed {
		if s.fleet.UpToDate(now) {
			s.platformLostAt = now.Add(-gap)
		}
		s.fleet.Resumed()
		s.postponeDecisions(now)
	}
	c.onResume()
}

// postponeDecisions makes decisions wait for the list to be confirmed. If they wait already, since a stall
// before, requests that can't start in time any more are refused: an instance that gets hardly any time to
// run may never confirm its list. Callers hold mu.
func (s *state) postponeDecisions(now time.Time) {
	c := &s.confirmation
	c.deadline = now.Add(maxConfirmationWait)
	if c.done == nil {
		c.done = make(chan struct{})
		return
	}
	refused := s.queue.RefuseOverdue(now)
	c.postponed = slices.DeleteFunc(c.postponed, func(q place.Query) bool {
		overdue := !q.StartBy.After(now)
		if overdue {
			refused = append(refused, s.queue.Refuse(now, &q, place.NoPlaceInTime))
		}
		return overdue
	})
	s.deliver(refused)
}

// awaitsConfirmation reports whether decisions have to wait for the list of upstreams to be confirmed. When
// they no longer have to, it decides on the postponed requests. Callers hold mu.
func (s *state) awaitsConfirmation(now time.Time) bool {
	c := &s.confirmation
	if c.done == nil {
		return false
	}
	unconfirmed := s.listed && s.fleet.Unconfirmed()
	if unconfirmed && now.Before(c.deadline) {
		return true
	}
	logline.Info("decisions on places go on after a stall", "upstreams_confirmed", !unconfirmed, "postponed", len(c.postponed))
	close(c.done)
	postponed := c.postponed
	c.done, c.postponed = nil, nil
	for _, q := range postponed {
		s.arrive(now, q)
	}
	return false
}

// handleResume is called after a stall, by any goroutine that holds the lock of the state. It cancels the
// calls that wait for changes on the platform, so that they are made again: those from before the stall may
// be answered late, and with what was true before.
func (e *Entry) handleResume() {
	e.metrics.countStall()
	e.callsCtx.cancelCurrent()
}

// stallCount returns the number of stalls so far. A result of before a stall is out of date if the count
// has changed since.
func (s *state) stallCount() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detectStall()
	return s.confirmation.stalls
}

// upstreamsUnconfirmed reports whether the list of upstreams has to be confirmed after a stall.
func (s *state) upstreamsUnconfirmed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detectStall()
	return s.listed && s.fleet.Unconfirmed()
}

// confirmUpstreams records that the platform returned all changes to a call that was made when stallCount
// returned stalls. Callers hold mu.
func (s *state) confirmUpstreams(now time.Time, stalls uint64) {
	if stalls == s.confirmation.stalls {
		s.fleet.Confirmed(now)
	}
}

// awaitConfirmation waits until the list of upstreams may be used, or ctx ends.
func (s *state) awaitConfirmation(ctx context.Context) {
	for {
		s.mu.Lock()
		s.detectStall()
		waits, done := s.awaitsConfirmation(time.Now()), s.confirmation.done
		s.mu.Unlock()
		if !waits {
			return
		}
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
	}
}
