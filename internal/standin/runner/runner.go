package runner

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// Runner is a stand-in for one engine. Create it with New.
type Runner struct {
	config    Config
	closed    chan struct{}
	workReady chan struct{} // wakes runSteps; capacity 1
	wg        sync.WaitGroup

	mu           sync.Mutex
	ledger       ledger
	faults       Faults
	server       *server       // nil unless Listen was called
	thawed       chan struct{} // nil unless frozen; closed by a thaw
	downUntil    time.Time     // requests that arrive earlier are dropped
	leaving      bool
	leavingSince time.Time

	// The fields below are reset by a crash, but fence only with Config.LosesFenceOnCrash.
	incarnation     string
	incarnationDone chan struct{} // closed when the incarnation ends
	role            upstream.Role
	loaded          []upstream.Loaded
	fence           uint64          // highest fencing number of an accepted order
	orders          map[string]bool // ids of accepted orders
	lastOrder       string
	orderStatus     upstream.OrderStatus
	unavailable     bool            // because of the order in progress
	runs            map[string]*run // by id; also finished ones that are kept
	started         map[string]bool // ids of started runs, if runs are deduplicated
	finished        []string        // ids of finished runs, oldest first
	waiting         []*run          // not yet in the batch
	batch           []*run
	arrivals        uint64 // number of runs and prefills accepted
	cache           *prefixCache
	exports         map[string]exportedKV // by handle
	samples         []sample              // oldest first; never empty
	meter           meter
}

// New starts a stand-in. It panics if c is invalid, since only tests and the stand-in's
// command create a Config, and the command validates it first.
func New(c Config) *Runner {
	c = c.withDefaults()
	if err := c.validate(); err != nil {
		panic("runner: " + err.Error())
	}
	r := &Runner{
		config:    c,
		closed:    make(chan struct{}),
		workReady: make(chan struct{}, 1),
		ledger:    newLedger(),
	}
	r.startIncarnation()
	r.wg.Add(1)
	go r.runSteps()
	return r
}

// Close stops the stand-in and its listener.
func (r *Runner) Close() {
	r.mu.Lock()
	select {
	case <-r.closed:
	default:
		close(r.closed)
		close(r.incarnationDone)
	}
	server := r.server
	r.mu.Unlock()
	if server != nil {
		server.stop()
	}
	r.wg.Wait()
}

// Incarnation returns the id of the current incarnation.
func (r *Runner) Incarnation() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.incarnation
}

// startIncarnation resets the state to that of a new process. It requires r.mu, except in New.
func (r *Runner) startIncarnation() {
	r.incarnation = r.config.Name + "-" + uuid.NewString()
	r.incarnationDone = make(chan struct{})
	r.role = r.config.Role
	r.loaded = cloneLoaded(r.config.Loaded)
	if r.config.LosesFenceOnCrash {
		r.fence = 0
	}
	r.orders = map[string]bool{}
	r.lastOrder = ""
	r.orderStatus = upstream.OrderNone
	r.unavailable = false
	r.runs = map[string]*run{}
	r.started = map[string]bool{}
	r.finished = nil
	r.waiting = nil
	r.batch = nil
	r.cache = newPrefixCache(r.config.CacheBlocks)
	r.exports = map[string]exportedKV{}
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

// accept queues a run or prefill, attaches to an existing run (Config.DeduplicatesRuns), or refuses the request.
// received is the incarnation that received the request.
func (r *Runner) accept(received incarnation, req upstream.RunRequest, prefillOnly bool) (*run, *upstream.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.abortIfRestarted(received)
	if refusal := r.checkRequest(req, prefillOnly); refusal != nil {
		return nil, refusal
	}
	if old := r.runs[req.RunID]; old != nil && r.config.DeduplicatesRuns && !prefillOnly {
		return old, nil
	}
	if r.started[req.RunID] && !prefillOnly {
		// The code must not mean "not run": the run was executed and must not run again.
		return nil, refusal(req.RunID)(upstream.RefusedUnknownRun, "the run ended and its answer is no longer kept")
	}
	if refusal := r.checkNewRun(req); refusal != nil {
		return nil, refusal
	}
	return r.enqueue(req, prefillOnly), nil
}

// checkRequest returns a refusal of a request that must neither start nor attach to a run, or nil.
func (r *Runner) checkRequest(req upstream.RunRequest, prefillOnly bool) *upstream.Refusal {
	refuse := refusal(req.RunID)
	switch {
	case req.RunID == "":
		return refuse(upstream.RefusedInvalid, "run_id is empty")
	case req.MaxTokens <= 0 && !prefillOnly:
		return refuse(upstream.RefusedInvalid, "max_tokens is "+strconv.Itoa(req.MaxTokens)+", want at least 1")
	case req.Incarnation != "" && req.Incarnation != r.incarnation:
		return refuse(upstream.RefusedRestarted, "incarnation is "+r.incarnation)
	}
	return nil
}

// checkNewRun returns a refusal of a request that must not start a run or prefill, or nil.
func (r *Runner) checkNewRun(req upstream.RunRequest) *upstream.Refusal {
	refuse := refusal(req.RunID)
	switch {
	case triggerFaultLocked(&r.faults.RefuseRuns):
		return refuse(upstream.RefusedOverloaded, "fault switched on")
	case r.unavailable:
		return refuse(upstream.RefusedBusy, "away for order "+r.lastOrder)
	case !r.hasLoaded(req):
		return refuse(upstream.RefusedNotLoaded, "model "+req.Model+" version "+req.Version+" adapter "+req.Adapter)
	case len(r.waiting) >= r.config.MaxQueue:
		return refuse(upstream.RefusedOverloaded, "queue holds "+strconv.Itoa(len(r.waiting)))
	case promptTokens(req)+req.MaxTokens > r.config.Cost.KVTokens:
		return refuse(upstream.RefusedInvalid, "prompt and output exceed the KV memory")
	}
	return nil
}

// refusal returns a function that makes refusals about subject, a run or order id.
func refusal(subject string) func(upstream.RefusalCode, string) *upstream.Refusal {
	return func(code upstream.RefusalCode, message string) *upstream.Refusal {
		return &upstream.Refusal{Code: code, Subject: subject, Message: message}
	}
}

// hasLoaded reports whether the requested model, version and adapter are loaded.
func (r *Runner) hasLoaded(req upstream.RunRequest) bool {
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

// promptTokens returns the gateway's estimate of the prompt's length in tokens. Without one, it
// assumes four bytes per token.
func promptTokens(req upstream.RunRequest) int {
	if req.PromptTokens > 0 {
		return req.PromptTokens
	}
	return max(len(req.Prompt)/4, 1)
}

// enqueue adds a run or prefill to the queue and starts the import of its KV cache, if any. It
// requires r.mu.
func (r *Runner) enqueue(req upstream.RunRequest, prefillOnly bool) *run {
	r.arrivals++
	u := &run{
		id: req.RunID, gen: newGenerator(r.config, req), kvSeed: newGenerator(Config{}, req).seed, arrival: r.arrivals,
		priority: req.Priority, promptTokens: promptTokens(req), prefixes: req.PrefixHashes,
		prefillOnly: prefillOnly,
	}
	u.prefillLeft = u.promptTokens
	r.countWhileLeaving()
	if !prefillOnly {
		r.ledger.recordStart(req)
		r.runs[u.id] = u
		r.started[u.id] = r.config.DeduplicatesRuns
	}
	r.waiting = append(r.waiting, u)
	if req.KVFrom != "" && !prefillOnly {
		u.importing = true
		r.wg.Add(1)
		go r.importKV(u, req, r.incarnationDone)
	}
	r.sampleLocked()
	r.wakeRunSteps()
	return u
}

// countWhileLeaving counts work that is accepted while the engine is leaving.
func (r *Runner) countWhileLeaving() {
	s := &r.ledger.stats
	if r.leaving {
		s.AcceptedWhileLeaving++
		s.LastWhileLeaving = time.Since(r.leavingSince)
	}
}

// wakeRunSteps wakes runSteps if it sleeps because there was no work.
func (r *Runner) wakeRunSteps() {
	select {
	case r.workReady <- struct{}{}:
	default:
	}
}

// cancel ends a run early. A run that has finished is not an error.
func (r *Runner) cancel(id string) *upstream.Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.runs[id]
	if u == nil {
		return refusal(id)(upstream.RefusedUnknownRun, "")
	}
	if u.finished {
		return nil
	}
	r.ledger.stats.Canceled++
	r.finishRun(u, "canceled")
	return nil
}

// finishRun finishes a run and removes it from the queue and the batch. Its output is kept for
// Config.KeepFinished. It requires r.mu.
func (r *Runner) finishRun(u *run, reason string) {
	now := time.Now()
	same := func(x *run) bool { return x == u }
	r.waiting = slices.DeleteFunc(r.waiting, same)
	r.batch = slices.DeleteFunc(r.batch, same)
	u.finish(reason, now)
	if !u.prefillOnly {
		r.finished = append(r.finished, u.id)
	}
	r.expireFinished(now)
	r.sampleLocked()
}

// expireFinished removes runs that finished longer than Config.KeepFinished ago, and the oldest
// ones in excess of maxFinished. It requires r.mu.
func (r *Runner) expireFinished(now time.Time) {
	for len(r.finished) > 0 {
		id := r.finished[0]
		u := r.runs[id]
		if u != nil && u.finished && len(r.finished) <= maxFinished && now.Sub(u.finishedAt) < r.config.KeepFinished {
			return
		}
		if u != nil && u.finished {
			delete(r.runs, id)
		}
		r.finished = r.finished[1:]
	}
}

// State returns the current state.
func (r *Runner) State() upstream.State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stateLocked()
}

// stateLocked returns the current state. It requires r.mu.
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
