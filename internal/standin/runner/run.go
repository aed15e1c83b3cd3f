package runner

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// run is one run or prefill in an engine. Its fields belong to Runner.mu.
type run struct {
	id          string
	gen         generator
	kvSeed      uint64 // what KV cache of the prompt depends on
	order       uint64 // arrival
	priority    int
	prompt      int // tokens
	prefixes    []uint64
	prefillOnly bool
	importing   bool   // KV is on its way from another engine
	handle      string // of exported KV, for prefillOnly

	prefillLeft int
	produced    int
	reserved    int // KV tokens set aside
	over        bool
	reason      string
	finishedAt  time.Time
	changed     chan struct{} // closed at each change while somebody waits
}

// wake tells those who wait that the run has changed.
func (u *run) wake() {
	if u.changed != nil {
		close(u.changed)
		u.changed = nil
	}
}

// wait gives a channel that is closed at the next change.
func (u *run) wait() <-chan struct{} {
	if u.changed == nil {
		u.changed = make(chan struct{})
	}
	return u.changed
}

// end gives the closing item.
func (u *run) end() *upstream.End {
	return &upstream.End{RunID: u.id, Tokens: u.produced, Reason: u.reason}
}

// finish closes the run.
func (u *run) finish(reason string, now time.Time) {
	u.over = true
	u.reason = reason
	u.finishedAt = now
	u.wake()
}
