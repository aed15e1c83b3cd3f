package runner

import (
	"strings"
	"time"
)

// Faults configures fault injection. A counter decreases each time its fault occurs.
type Faults struct {
	ReportDelayMS      int `json:"report_delay_ms"`    // load reports are this much older than Config.ReportLag says
	DropCacheEvents    int `json:"drop_cache_events"`  // the next N cache events are left out of the log
	CutStreams         int `json:"cut_streams"`        // the next N streams are cut after CutAfterTokens tokens
	CutAfterTokens     int `json:"cut_after_tokens"`   // tokens of a stream before it is cut by CutStreams
	ForeignTokens      int `json:"cross_tokens"`       // the next N tokens are replaced by tokens of another run
	DuplicateTokens    int `json:"duplicate_tokens"`   // the next N tokens are sent twice
	DropTokens         int `json:"drop_tokens"`        // the next N tokens are not sent
	WrongEnds          int `json:"wrong_ends"`         // the last items of the next N streams report one token too few
	ForeignRunIDs      int `json:"cross_answers"`      // the next N streams carry the run id of another run in their header
	RefuseRuns         int `json:"refuse_runs"`        // the next N runs are refused as overloaded
	LoseRunResponses   int `json:"lose_run_answers"`   // the next N runs start, then the connection is dropped
	Plain503Runs       int `json:"plain_503_runs"`     // the next N runs start, but get status 503 without a refusal body
	LoseOrderResponses int `json:"lose_order_answers"` // the next N orders are accepted, then the connection is dropped
	CrashInOrders      int `json:"crash_in_orders"`    // the engine crashes in the middle of the next N orders

	CrashPrompt string `json:"crash_prompt"`  // the engine crashes when it starts a run whose prompt contains this; empty: none
	CrashDownMS int    `json:"crash_down_ms"` // time until the engine listens again after such a crash
}

// SetFaults replaces the injected faults.
func (r *Runner) SetFaults(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Faults returns the injected faults with the remaining counts.
func (r *Runner) Faults() Faults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

// triggerFault reports whether a fault occurs now, and if so decrements its counter in
// r.faults.
func (r *Runner) triggerFault(counter *int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return triggerFaultLocked(counter)
}

// triggerFaultLocked does the same as triggerFault. It requires the lock that guards counter.
func triggerFaultLocked(counter *int) bool {
	if *counter <= 0 {
		return false
	}
	*counter--
	return true
}

// promptCrashes reports whether a prompt crashes the engine, and for how long the engine is down
// after that.
func (r *Runner) promptCrashes(prompt string) (down time.Duration, crashes bool) {
	f := r.Faults()
	return time.Duration(f.CrashDownMS) * time.Millisecond, f.CrashPrompt != "" && strings.Contains(prompt, f.CrashPrompt)
}

// Crash cuts every connection and starts a new incarnation. It has the state of a new engine and is
// not frozen. For tests, some state survives: the counts of runs and the order log (see ledger), the
// injected faults, and whether the engine is leaving. The highest fencing number survives, too, unless
// Config.LosesFenceOnCrash is set. The engine refuses connections for the duration down.
func (r *Runner) Crash(down time.Duration) {
	r.mu.Lock()
	r.crashLocked()
	r.thawLocked()
	r.downUntil = time.Now().Add(down)
	server := r.server
	r.mu.Unlock()
	if server != nil {
		server.restart(down)
	}
}

// crashLocked counts the lost runs and starts a new incarnation. It requires r.mu.
func (r *Runner) crashLocked() {
	r.ledger.stats.Crashes++
	for _, u := range r.runs {
		if !u.finished {
			r.ledger.stats.Lost++
		}
	}
	close(r.incarnationDone)
	r.startIncarnation()
}

// Freeze pauses the engine like a stopped process: connections stay open, but requests
// get no response and runs make no progress until Thaw.
func (r *Runner) Freeze() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.thawed == nil {
		r.thawed = make(chan struct{})
	}
}

// Thaw ends a Freeze.
func (r *Runner) Thaw() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.thawLocked()
}

// thawLocked ends a freeze, if there is one. It requires r.mu.
func (r *Runner) thawLocked() {
	if r.thawed != nil {
		close(r.thawed)
		r.thawed = nil
	}
}

// waitThawed blocks while the engine is frozen. It ignores whether the client has gone:
// a paused process doesn't notice it and handles the request when it continues.
func (r *Runner) waitThawed() {
	for {
		r.mu.Lock()
		thawed := r.thawed
		r.mu.Unlock()
		if thawed == nil {
			return
		}
		select {
		case <-thawed:
		case <-r.closed:
			return
		}
	}
}

// SetLeaving sets whether load reports and state say that the engine is leaving. A leaving engine
// still accepts runs and counts them, so that a test can see whether it still gets work.
func (r *Runner) SetLeaving(leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = leaving
	r.leavingSince = time.Now()
	r.sampleLocked()
}
