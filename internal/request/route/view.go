package route

import (
	"slices"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/version/config"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// View returns the view of every configured runner at now. The slice is reused by the
// next call of View or ViewModel.
func (t *Tracker) View(now time.Time, snapshot *config.Snapshot) []Runner {
	t.indexSnapshot(snapshot)
	t.view = t.view[:0]
	estimate := t.estimatePeers(now)
	for _, names := range t.byModel {
		t.appendView(now, estimate, snapshot, names)
	}
	return t.view
}

// ViewModel returns the view of the runners that the configuration assigns to a model.
// The slice is reused by the next call of View or ViewModel.
func (t *Tracker) ViewModel(now time.Time, snapshot *config.Snapshot, model string) []Runner {
	t.indexSnapshot(snapshot)
	t.view = t.view[:0]
	t.appendView(now, t.estimatePeers(now), snapshot, t.byModel[model])
	return t.view
}

// runnerSpec returns the configuration of a runner and whether it has one.
func (t *Tracker) runnerSpec(name string) (resource.Runner, bool) {
	if t.indexed == nil {
		return resource.Runner{}, false
	}
	spec, ok := t.indexed.Runners[name]
	return spec, ok
}

// indexSnapshot groups the runners of a new snapshot by model. It drops the state of
// runners that the snapshot no longer contains, unless this gateway still has requests
// in flight there.
func (t *Tracker) indexSnapshot(snapshot *config.Snapshot) {
	if t.indexed == snapshot {
		return
	}
	t.indexed = snapshot
	t.byModel = make(map[string][]string)
	for name, r := range snapshot.Runners {
		t.byModel[r.Model] = append(t.byModel[r.Model], name)
	}
	for _, names := range t.byModel {
		slices.Sort(names) // so that the same state leads to the same choice
	}
	t.tightestGaps = tightestGaps(snapshot)
	for name, r := range t.runners {
		if _, ok := snapshot.Runners[name]; !ok && r.own.requests <= 0 {
			delete(t.runners, name)
			t.Prefixes.Forget(name)
		}
	}
}

// tightestGaps returns, for each model, the tightest gap between tokens that its
// routes promise.
func tightestGaps(snapshot *config.Snapshot) map[string]time.Duration {
	out := make(map[string]time.Duration)
	for _, r := range snapshot.Routes {
		gap := time.Duration(r.OnTime.InterTokenMS) * time.Millisecond
		if r.Model == "" || gap <= 0 {
			continue
		}
		if old, ok := out[r.Model]; !ok || gap < old {
			out[r.Model] = gap
		}
	}
	return out
}

// appendView appends the views of the named runners to t.view.
func (t *Tracker) appendView(now time.Time, estimate peerEstimate, snapshot *config.Snapshot, names []string) {
	for _, name := range names {
		spec := snapshot.Runners[name]
		t.view = append(t.view, Runner{TightestGap: t.tightestGaps[spec.Model]})
		t.runner(name).fill(&t.view[len(t.view)-1], now, estimate, name, &spec, snapshot)
	}
}

// fill sets the corrected view of one runner.
func (r *runnerState) fill(out *Runner, now time.Time, estimate peerEstimate, name string, spec *resource.Runner, snapshot *config.Snapshot) {
	out.Name = name
	out.Zone = spec.Zone
	out.Engine = snapshot.Engines[spec.Engine]
	out.Role = r.role(spec)
	out.Incarnation = r.state.Incarnation
	out.Loaded = r.state.Loaded
	out.Leaving = r.leaving() || snapshot.Leaving(name)
	out.Suspected = r.suspected || !r.hasState
	out.CachedPrefix = r.cachedPrefix
	r.fillLoad(out, now)
	r.addUnreported(out, now, estimate)
}

// role returns the actual role, or the desired one until a state is reported.
func (r *runnerState) role(spec *resource.Runner) upstream.Role {
	if r.state.Role != "" {
		return r.state.Role
	}
	if spec.Role == resource.RoleAuto || spec.Role == "" {
		return upstream.RoleBoth
	}
	return upstream.Role(spec.Role)
}

// leaving reports whether the runner itself reported that it accepts no new requests:
// it is leaving, or executing an order.
func (r *runnerState) leaving() bool {
	return r.state.Leaving || r.report.Leaving || r.state.OrderStatus == upstream.OrderRunning
}

// fillLoad sets the load of the view: the last report, plus what the journal recorded
// after the report was measured. The load is at least what this gateway itself has in
// flight at the runner.
func (r *runnerState) fillLoad(out *Runner, now time.Time) {
	r.calibration.apply(out, now)
	out.ReportAge = now.Sub(r.measured)
	out.KVTotal = orDefault(float64(r.report.KVTotalTokens), float64(out.Engine.KVTokens))
	reported := float64(r.report.Running + r.report.QueuedRequests)
	out.Running = reported
	c := r.journal.correctionSince(r.measured, now, float64(r.report.QueuedPrefill), out.promptRate())
	out.QueuedPrefill = c.queuedPrefill
	out.Running = max(reported+c.requests, r.own.requests, 0)
	out.DecodeLeft = out.Running * r.meanRemaining()
	out.KVUsed = max(float64(r.report.KVUsedTokens)+c.requests*r.meanKV(), r.own.kv)
}

// meanRemaining returns the mean number of output tokens still expected of a stream,
// from this gateway's own streams; if it has none, half of an answer.
func (r *runnerState) meanRemaining() float64 {
	if r.own.requests > 0 {
		return max(r.own.decode/r.own.requests, 1)
	}
	return orDefault(r.meanOutput, defaultOutputTokens) / 2
}

// meanKV returns the mean KV cache of a stream in tokens, from this gateway's own
// streams or else from the report.
func (r *runnerState) meanKV() float64 {
	if r.own.requests > 0 {
		return r.own.kv / r.own.requests
	}
	if r.report.Running > 0 {
		return float64(r.report.KVUsedTokens) / float64(r.report.Running)
	}
	return 0
}
