package runner

import (
	"cmp"
	"slices"
	"time"
)

// maxBehind is how far the model's clock may fall behind the real one before the
// difference is given up: what a busy test machine delays is not caught up later.
const maxBehind = 20 * time.Millisecond

// step is one pass of the batch: some prefill, and one token for each run in decode.
type step struct {
	gone    chan struct{} // the incarnation it belongs to
	prefill map[*run]int
	tokens  int
	decode  []*run
	lasts   time.Duration
}

// loop runs steps while there is work.
func (r *Runner) loop() {
	defer r.done.Done()
	clock := time.Now()
	for {
		r.waitThawed()
		s, ok := r.plan()
		if !ok {
			select {
			case <-r.work:
			case <-r.closed:
				return
			}
			continue
		}
		if now := time.Now(); clock.Before(now.Add(-maxBehind)) {
			clock = now
		}
		clock = clock.Add(s.lasts)
		if !r.sleepUntil(clock) {
			return
		}
		r.waitThawed()
		r.apply(s)
	}
}

// sleepUntil reports false when the runner is closed.
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

// plan fills the batch and plans its next step; false: nothing to do.
func (r *Runner) plan() (step, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fill()
	s := step{gone: r.gone, prefill: map[*run]int{}}
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
	s.tokens = chunkTokens - budget
	if s.tokens == 0 && len(s.decode) == 0 {
		return step{}, false
	}
	cost := r.config.Cost
	s.lasts = r.config.seconds(float64(s.tokens)/cost.PrefillRate + cost.decodeStep(len(s.decode)))
	return s, true
}

// fill moves waiting runs into the batch, highest priority first, while KV
// memory lasts. A run that does not fit is not overtaken by lower priority.
func (r *Runner) fill() {
	slices.SortFunc(r.waiting, func(a, b *run) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.order, b.order))
	})
	used := 0
	for _, u := range r.batch {
		used += u.reserved
	}
	kept := r.waiting[:0]
	full := false
	for _, u := range r.waiting {
		need := u.prompt + u.gen.total
		if u.prefillOnly {
			need = u.prompt
		}
		full = full || len(r.batch) >= r.config.Cost.MaxBatch || used+need > r.config.Cost.KVTokens
		if full || u.importing {
			kept = append(kept, u)
			continue
		}
		used += need
		u.reserved = need
		r.useCache(u)
		r.batch = append(r.batch, u)
	}
	clear(r.waiting[len(kept):])
	r.waiting = kept
}

// useCache takes cached leading blocks off a run's prefill; one token is always computed.
func (r *Runner) useCache(u *run) {
	if u.prefillLeft == 0 {
		return // imported
	}
	cached := min(r.cache.leading(u.prefixes)*blockTokens, u.prompt-1)
	u.prefillLeft = u.prompt - cached
	r.ledger.stats.CachedTokens += cached
}

// apply makes the step's effects, unless a crash came in between.
func (r *Runner) apply(s step) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.gone != r.gone {
		return
	}
	r.meter.add(s)
	r.ledger.stats.PrefillTokens += s.tokens
	now := time.Now()
	for u, n := range s.prefill {
		r.applyPrefill(u, n, now)
	}
	for _, u := range s.decode {
		r.applyDecode(u)
	}
	r.sampleLocked()
}

func (r *Runner) applyPrefill(u *run, n int, now time.Time) {
	if u.over {
		return
	}
	u.prefillLeft -= n
	if u.prefillLeft > 0 {
		return
	}
	r.cache.insert(u.prefixes, now, &r.faults.DropCacheEvents)
	if u.prefillOnly {
		u.handle = r.keepExport(u, now)
		r.retire(u, "stop")
	}
}

func (r *Runner) applyDecode(u *run) {
	if u.over {
		return
	}
	if u.produced < u.gen.total {
		u.produced++
		r.ledger.stats.OutputTokens++
	}
	if u.produced < u.gen.total {
		u.wake()
		return
	}
	r.ledger.stats.Finished++
	r.retire(u, u.gen.reason())
}
