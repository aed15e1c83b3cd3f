package runner

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// run is one run or prefill in an engine. Runner.mu guards its fields.
type run struct {
	id           string
	gen          generator
	kvSeed       uint64 // stands for the content of the prompt's KV cache; the same at all runners
	arrival      uint64 // number of the run in order of arrival
	priority     int
	promptTokens int
	prefixes     []uint64 // hashes of the prompt's leading blocks
	prefillOnly  bool
	importing    bool   // the KV cache is being fetched from another engine
	handle       string // of the exported KV cache, if prefillOnly

	prefillLeft int // prompt tokens that are still to be computed
	produced    int // output tokens so far
	reservedKV  int // tokens of KV memory reserved in the batch
	finished    bool
	reason      string // why it finished: stop, length, canceled or reasonCut
	finishedAt  time.Time
	changed     chan struct{} // nil, or closed at the next change
}

// notify wakes the goroutines that wait for a change of the run.
func (u *run) notify() {
	if u.changed != nil {
		close(u.changed)
		u.changed = nil
	}
}

// nextChange returns a channel that is closed at the next change.
func (u *run) nextChange() <-chan struct{} {
	if u.changed == nil {
		u.changed = make(chan struct{})
	}
	return u.changed
}

// endItem returns the last item of the run's stream.
func (u *run) endItem() *upstream.End {
	return &upstream.End{RunID: u.id, Tokens: u.produced, Reason: u.reason}
}

// finish marks the run as finished for a reason.
func (u *run) finish(reason string, now time.Time) {
	u.finished = true
	u.reason = reason
	u.finishedAt = now
	u.notify()
}
