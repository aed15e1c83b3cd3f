package runner

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// Runner is one stand-in engine. Use New.
type Runner struct {
	config Config
	closed chan struct{}
	work   chan struct{} // capacity 1: there may be something to do
	done   sync.WaitGroup

	mu           sync.Mutex
	ledger       ledger
	faults       Faults
	server       *server       // nil: only embedded by Handler
	thawed       chan struct{} // not nil: frozen
	downUntil    time.Time
	leaving      bool
	leavingSince time.Time

	// What follows is lost in a crash.
	incarnation string
	gone        chan struct{} // closed when the incarnation ends
	role        upstream.Role
	loaded      []upstream.Loaded
	fence       uint64
	orders      map[string]bool // accepted
	lastOrder   string
	orderStatus upstream.OrderStatus
	away        bool
	runs        map[string]*run
	started     map[string]bool // run ids, if runs are deduplicated; kept as long as the incarnation
	finished    []string        // ids, oldest first
	waiting     []*run
	batch       []*run
	arrivals    uint64
	cache       *prefixCache
	exports     map[string]export
	samples     []sample
	meter       meter
}

// New starts a stand-in. It panics on a config that makes no sense, since only
// tests and the stand-in's own command, which checks it before, write one.
func New(c Config) *Runner {
	c = c.withDefaults()
	if err := c.validate(); err != nil {
		panic("runner: " + err.Error())
	}
	r := &Runner{
		config: c,
		closed: make(chan struct{}),
		work:   make(chan struct{}, 1),
		ledger: newLedger(),
	}
	r.begin()
	r.done.Add(1)
	go r.loop()
	return r
}

// Close stops the stand-in and its listener.
func (r *Runner) Close() {
	r.mu.Lock()
	select {
	case <-r.closed:
	default:
		close(r.closed)
		close(r.gone)
	}
	server := r.server
	r.mu.Unlock()
	if server != nil {
		server.stop()
	}
	r.done.Wait()
}

// Incarnation names the current life of the engine.
func (r *Runner) Incarnation() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.incarnation
}

// begin starts an incarnation with the state of a fresh process.
func (r *Runner) begin() {
	r.incarnation = r.config.Name + "-" + uuid.NewString()
	r.gone = make(chan struct{})
	r.role = r.config.Role
	r.loaded = cloneLoaded(r.config.Loaded)
	if r.config.ForgetsFence {
		r.fence = 0
	}
	r.orders = map[string]bool{}
	r.lastOrder = ""
	r.orderStatus = upstream.OrderNone
	r.away = false
	r.runs = map[string]*run{}
	r.started = map[string]bool{}
	r.finished = nil
	r.waiting = nil
	r.batch = nil
	r.cache = newPrefixCache(r.config.CacheBlocks)
	r.exports = map[string]export{}
	r.samples = nil
	r.meter = meter{}
	r.sampleLocked()
}

func cloneLoaded(in []upstream.Loaded) []upstream.Loaded {
	out := make([]upstream.Loaded, 0, len(in))
	for _, l := range in {
		l.Adapters = slices.Clone(l.Adapters)
		out = append(out, l)
	}
	return out
}

// accept admits a run or prefill, attaches to an existing run, or refuses.
func (r *Runner) accept(l life, req upstream.RunRequest, prefillOnly bool) (*run, *upstream.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.abortIfOver(l)
	if refusal := r.refuse(req, prefillOnly); refusal != nil {
		return nil, refusal
	}
	if old := r.runs[req.RunID]; old != nil && r.config.DeduplicatesRuns && !prefillOnly {
		return old, nil
	}
	if r.started[req.RunID] && !prefillOnly {
		// Not "not run": it ran, and must not run again.
		return nil, refusal(req.RunID)(upstream.RefusedUnknownRun, "the run ended and its answer is no longer kept")
	}
	if refusal := r.refuseNew(req); refusal != nil {
		return nil, refusal
	}
	return r.enqueue(req, prefillOnly), nil
}

// refuse checks what holds for a new run and for attaching.
func (r *Runner) refuse(req upstream.RunRequest, prefillOnly bool) *upstream.Refusal {
	no := refusal(req.RunID)
	switch {
	case req.RunID == "":
		return no(upstream.RefusedInvalid, "run_id is empty")
	case req.MaxTokens <= 0 && !prefillOnly:
		return no(upstream.RefusedInvalid, "max_tokens is "+strconv.Itoa(req.MaxTokens)+", want at least 1")
	case req.Incarnation != "" && req.Incarnation != r.incarnation:
		return no(upstream.RefusedRestarted, "incarnation is "+r.incarnation)
	}
	return nil
}

// refuseNew checks what holds for a new run only.
func (r *Runner) refuseNew(req upstream.RunRequest) *upstream.Refusal {
	no := refusal(req.RunID)
	switch {
	case strikeLocked(&r.faults.RefuseRuns):
		return no(upstream.RefusedOverloaded, "fault switched on")
	case r.away:
		return no(upstream.RefusedBusy, "away for order "+r.lastOrder)
	case !r.holds(req):
		return no(upstream.RefusedNotLoaded, "model "+req.Model+" version "+req.Version+" adapter "+req.Adapter)
	case len(r.waiting) >= r.config.MaxQueue:
		return no(upstream.RefusedOverloaded, "queue holds "+strconv.Itoa(len(r.waiting)))
	case promptTokens(req)+req.MaxTokens > r.config.Cost.KVTokens:
		return no(upstream.RefusedInvalid, "prompt and output exceed the KV memory")
	}
	return nil
}

func refusal(subject string) func(upstream.RefusalCode, string) *upstream.Refusal {
	return func(code upstream.RefusalCode, message string) *upstream.Refusal {
		return &upstream.Refusal{Code: code, Subject: subject, Message: message}
	}
}

// holds reports whether what the request asks for is loaded.
func (r *Runner) holds(req upstream.RunRequest) bool {
	for _, l := range r.loaded {
		if l.Model != req.Model || (req.Version != "" && l.Version != req.Version) {
			continue
		}
		if req.Adapter == "" || slices.Contains(l.Adapters, req.Adapter) {
			return true
		}
	}
	return false
}

// promptTokens takes the gateway's estimate, or else four bytes a token.
func promptTokens(req upstream.RunRequest) int {
	if req.PromptTokens > 0 {
		return req.PromptTokens
	}
	return max(len(req.Prompt)/4, 1)
}

func (r *Runner) enqueue(req upstream.RunRequest, prefillOnly bool) *run {
	r.arrivals++
	u := &run{
		id: req.RunID, gen: newGenerator(r.config, req), kvSeed: newGenerator(Config{}, req).seed, order: r.arrivals,
		priority: req.Priority, prompt: promptTokens(req), prefixes: req.PrefixHashes,
		prefillOnly: prefillOnly,
	}
	u.prefillLeft = u.prompt
	r.countLeaving()
	if !prefillOnly {
		r.ledger.begun(req)
		r.runs[u.id] = u
		r.started[u.id] = r.config.DeduplicatesRuns
	}
	r.waiting = append(r.waiting, u)
	if req.KVFrom != "" && !prefillOnly {
		u.importing = true
		r.done.Add(1)
		go r.importKV(u, req, r.gone)
	}
	r.sampleLocked()
	r.nudge()
	return u
}

// countLeaving counts work that is taken while leaving.
func (r *Runner) countLeaving() {
	s := &r.ledger.stats
	if r.leaving {
		s.AcceptedWhileLeaving++
		s.LastWhileLeaving = time.Since(r.leavingSince)
	}
}

// nudge wakes the batch loop.
func (r *Runner) nudge() {
	select {
	case r.work <- struct{}{}:
	default:
	}
}

// cancel ends a run early.
func (r *Runner) cancel(id string) *upstream.Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.runs[id]
	if u == nil {
		return refusal(id)(upstream.RefusedUnknownRun, "")
	}
	if u.over {
		return nil
	}
	r.ledger.stats.Canceled++
	r.retire(u, "canceled")
	return nil
}

// retire takes a run out of the queue and the batch and keeps it for a while.
func (r *Runner) retire(u *run, reason string) {
	now := time.Now()
	same := func(x *run) bool { return x == u }
	r.waiting = slices.DeleteFunc(r.waiting, same)
	r.batch = slices.DeleteFunc(r.batch, same)
	u.finish(reason, now)
	if !u.prefillOnly {
		r.finished = append(r.finished, u.id)
	}
	r.forgetOld(now)
	r.sampleLocked()
}

// forgetOld drops finished runs that are past their time or too many.
func (r *Runner) forgetOld(now time.Time) {
	for len(r.finished) > 0 {
		id := r.finished[0]
		u := r.runs[id]
		if u != nil && u.over && len(r.finished) <= maxFinished && now.Sub(u.finishedAt) < r.config.KeepFinished {
			return
		}
		if u != nil && u.over {
			delete(r.runs, id)
		}
		r.finished = r.finished[1:]
	}
}

// State gives the actual state.
func (r *Runner) State() upstream.State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stateLocked()
}

func (r *Runner) stateLocked() upstream.State {
	s := upstream.State{
		Runner: r.config.Name, Incarnation: r.incarnation, Role: r.role,
		Loaded: cloneLoaded(r.loaded), OrderID: r.lastOrder, OrderStatus: r.orderStatus,
		Streams: len(r.waiting) + len(r.batch), Leaving: r.leaving,
	}
	if r.config.ChecksFencing {
		s.Fence = r.fence
	}
	return s
}
