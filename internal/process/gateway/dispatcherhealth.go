package gateway

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// upstreamFailed counts a failure of an upstream towards its ejection as an outlier. It reports whether
// this failure led to the ejection.
func (d *dispatcher) upstreamFailed(now time.Time, name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	ejected := d.outliers.Failed(now, name)
	d.refreshSuspect(now, name)
	return ejected
}

// upstreamSucceeded counts a successful answer of an upstream.
func (d *dispatcher) upstreamSucceeded(now time.Time, name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outliers.Succeeded(now, name)
	d.refreshSuspect(now, name)
}

// refreshSuspect marks a runner as suspected if its polls fail or it is ejected as an outlier, and
// removes the mark otherwise. It ignores names that are not runners. It must be called with mu held.
func (d *dispatcher) refreshSuspect(now time.Time, name string) {
	if d.snapshot == nil {
		return
	}
	if _, ok := d.snapshot.Runners[name]; ok {
		d.tracker.SetSuspected(name, d.unreachable[name] || d.outliers.Ejected(now, name))
	}
}

// refreshSuspects calls refreshSuspect for all runners, because an ejection expires without an event.
func (d *dispatcher) refreshSuspects(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.snapshot == nil {
		return
	}
	for name := range d.snapshot.Runners {
		d.refreshSuspect(now, name)
	}
}

// recordState records the state that a poll of a runner returned.
func (d *dispatcher) recordState(name string, state upstream.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	state.Runner = name
	d.tracker.StateReported(state)
}

// recordLoad records the load report that a poll of a runner returned. The runner counts as reachable
// from then on, and the queue is rechecked.
func (d *dispatcher) recordLoad(now time.Time, name string, load upstream.LoadReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	load.Runner = name
	d.tracker.LoadReported(now, load)
	delete(d.unreachable, name)
	d.refreshSuspect(now, name)
	d.recheckQueueLocked(now)
}

// pollFailed marks a runner as unreachable and cancels the stalled attempts at it.
func (d *dispatcher) pollFailed(now time.Time, name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unreachable[name] = true
	d.refreshSuspect(now, name)
	d.watched.abandonStalled(now, name)
}

// cacheSequence returns the sequence number from which a runner's cache events are to
// be read.
func (d *dispatcher) cacheSequence(name string) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.Prefixes.Since(name)
}

// applyCacheEvents applies a batch of cache events of a runner. since is the sequence number from which
// the batch was read.
func (d *dispatcher) applyCacheEvents(name string, since uint64, batch upstream.CacheEvents) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracker.Prefixes.Apply(name, since, batch)
}

// incarnation returns the last known incarnation of a runner, or "" if there is none.
func (d *dispatcher) incarnation(now time.Time, model, runner string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.snapshot == nil {
		return ""
	}
	for _, r := range d.tracker.ViewModel(now, d.snapshot, model) {
		if r.Name == runner {
			return r.Incarnation
		}
	}
	return ""
}
