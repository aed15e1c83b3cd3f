package runner

import (
	"cmp"
	"slices"
	"time"
)

// maxClockLag is how far the clock of runSteps, the time at which the last step should have
// ended, may lag behind real time. At a larger lag the clock is set to real time, so that steps
// after a delay of a busy test machine don't run faster to make up for it.
const maxClockLag = 20 * time.Millisecond

// step is one iteration of the batch: a chunk of prefill, and one token for each run in
// decode.
type step struct {
	incarnationDone chan struct{} // of the incarnation that planned the step
	prefill         map[*run]int  // prompt tokens to compute, by run
	prefillTokens   int           // sum of prefill
	decode          []*run
	duration        time.Duration
}

// runSteps runs steps until the runner is closed. It sleeps while there is no work.
func (r *Runner) runSteps() {
	defer r.wg.Done()
	clock := time.Now()
	for {
		r.waitThawed()
		s, ok := r.planStep()
		if !ok {
			select {
			case <-r.workReady:
			case <-r.closed:
				return
			}
			continue
		}
		if now := time.Now(); clock.Before(now.Add(-maxClockLag)) {
			clock = now
		}
		clock = clock.Add(s.duration)
		if !r.sleepUntil(clock) {
			return
		}
		r.waitThawed()
		r.applyStep(s)
	}
}

// sleepUntil sleeps until the given time. It returns false if the runner was closed.
func (r *Runner) sleepUntil(at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		select {
		case <-r.closed:
			return false
		default:
			return true
		}
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.closed:
		return false
	}
}

// planStep fills the batch and plans its next step: up to chunkTokens of prefill, for the runs
// in order of the batch, and one token for each run whose prefill is done. It returns false if
// there is nothing to do.
func (r *Runner) planStep() (step, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fillBatch()
	s := step{incarnationDone: r.incarnationDone, prefill: map[*run]int{}}
	budget := chunkTokens
	for _, u := range r.batch {
		switch {
		case u.prefillLeft == 0:
			s.decode = append(s.decode, u)
		case budget > 0:
			n := min(budget, u.prefillLeft)
			s.prefill[u] = n
			budget -= n
		}
	}
	s.prefillTokens = chunkTokens - budget
	if s.prefillTokens == 0 && len(s.decode) == 0 {
		return step{}, false
	}
	cost := r.config.Cost
	s.duration = r.config.seconds(float64(s.prefillTokens)/cost.PrefillRate + cost.decodeStep(len(s.decode)))
	return s, true
}

// fillBatch moves waiting runs into the batch, highest priority first, until the batch
// or the KV memory is full. When a run does not fit, no run after it is moved, even if that one
// would fit. Runs whose KV cache is being imported keep waiting.
func (r *Runner) fillBatch() {
	slices.SortFunc(r.waiting, func(a, b *run) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.arrival, b.arrival))
	})
	used := 0
	for _, u := range r.batch {
		used += u.reservedKV
	}
	kept := r.waiting[:0]
	full := false
	for _, u := range r.waiting {
		need := u.promptTokens + u.gen.total
		if u.prefillOnly {
			need = u.promptTokens
		}
		full = full || len(r.batch) >= r.config.Cost.MaxBatch || used+need > r.config.Cost.KVTokens
		if full || u.importing {
			kept = append(kept, u)
			continue
		}
		used += need
		u.reservedKV = need
		r.skipCachedPrefix(u)
		r.batch = append(r.batch, u)
	}
	clear(r.waiting[len(kept):])
	r.waiting = kept
}

// skipCachedPrefix subtracts the cached leading blocks from a run's prefill. At least
// one token is always computed.
func (r *Runner) skipCachedPrefix(u *run) {
	if u.prefillLeft == 0 {
		return // the KV cache was imported
	}
	cached := min(r.cache.leading(u.prefixes)*blockTokens, u.promptTokens-1)
	u.prefillLeft = u.promptTokens - cached
	r.ledger.stats.CachedTokens += cached
}

// applyStep applies the effects of a step, unless the engine has crashed since it was
// planned.
func (r *Runner) applyStep(s step) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.incarnationDone != r.incarnationDone {
		return
	}
	r.meter.add(s)
	r.ledger.stats.PrefillTokens += s.prefillTokens
	now := time.Now()
	for u, n := range s.prefill {
		r.applyPrefill(u, n, now)
	}
	for _, u := range s.decode {
		r.applyDecode(u)
	}
	r.sampleLocked()
}

// applyPrefill subtracts n computed tokens from a run's prefill, and completes the prefill if
// none are left.
func (r *Runner) applyPrefill(u *run, n int, now time.Time) {
	if u.finished {
		return
	}
	u.prefillLeft -= n
	if u.prefillLeft > 0 {
		return
	}
	r.cache.insert(u.prefixes, now, &r.faults.DropCacheEvents)
	if u.prefillOnly {
		u.handle = r.storeExport(u, now)
		r.finishRun(u, "stop")
	}
}

// applyDecode adds one output token to a run, and finishes the run after its last one.
func (r *Runner) applyDecode(u *run) {
	if u.finished {
		return
	}
	if u.produced < u.gen.total {
		u.produced++
		r.ledger.stats.OutputTokens++
	}
	if u.produced < u.gen.total {
		u.notify()
		return
	}
	r.ledger.stats.Finished++
	r.finishRun(u, u.gen.finishReason())
}
