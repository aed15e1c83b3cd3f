package controller

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/reconcile"
)

// Engines that are being changed are polled often. Settled engines, which are those that
// the plan leaves as they are, are polled rarely: a process polls all its settled
// engines together settledPollsPerSecond times per second, or more often if the interval
// of each engine would otherwise exceed maxSettledPollInterval.
//
// The state of a settled engine may therefore be old. It is still safe to plan with it:
// the order core reads the state again before it opens an order, and the phases drained
// and withdrawn are published only after a read that was started after the first plan
// with that phase.
const (
	minPollInterval          = time.Second
	pollIntervalPerRunner    = 100 * time.Millisecond // multiplied by the number of engines of the zone for unsettled engines
	drainingPollInterval     = 250 * time.Millisecond // while the runner has a drain mark
	pollTimeout              = 2 * time.Second
	unreachableAfterFailures = 2 // consecutive failed polls

	settledPollsPerSecond  = 4
	maxSettledPollInterval = time.Minute
)

// settledPollInterval returns the time between two polls of a settled engine if this
// process leads the given number of engines.
func settledPollInterval(engines int) time.Duration {
	return min(max(time.Duration(engines)*time.Second/settledPollsPerSecond, minPollInterval), maxSettledPollInterval)
}

// nextSettledPoll returns when the settled engine of the named runner is polled next
// after now. A hash of the name sets the engine's offset in the interval, which spreads
// the polls of all engines evenly.
func nextSettledPoll(now boottime.Time, interval time.Duration, name string) boottime.Time {
	offset := time.Duration(xxhash.Sum64String(name) % uint64(interval))
	elapsed := (now.Sub(0) - offset) % interval
	if elapsed < 0 {
		elapsed += interval
	}
	return now.Add(interval - elapsed)
}

// poll starts the polls of the zone's engines that are due, if this process leads the
// zone.
func (z *zone) poll(now boottime.Time) {
	if z.grant == nil {
		return
	}
	engines := z.engines()
	interval := max(minPollInterval, time.Duration(len(engines))*pollIntervalPerRunner)
	settledInterval := settledPollInterval(z.c.engineCount())
	for _, e := range engines {
		if e.polling || now.Before(e.pollAt) {
			continue
		}
		switch {
		case z.c.drains.has(e.name):
			e.pollAt = now.Add(drainingPollInterval)
		case e.isSettled():
			e.pollAt = nextSettledPoll(now, settledInterval, e.name)
		default:
			e.pollAt = now.Add(interval)
		}
		e.poll()
	}
}

// engineCount returns the number of engines in the zones that this process leads.
func (c *Controller) engineCount() int {
	n := 0
	for _, z := range c.zones {
		if z.grant != nil {
			n += len(z.engines())
		}
	}
	return n
}

// isSettled reports whether the engine's state is known and nothing is changing it.
func (e *engine) isSettled() bool {
	return e.settled && e.polled && e.failedPolls == 0 && !e.core.Busy()
}

// setPhase records the engine's phase in the current plan, and now as the start of the
// phase if it differs from the one in the previous plan.
func (e *engine) setPhase(phase reconcile.Phase, now boottime.Time) {
	if phase != e.phase {
		e.phase, e.phaseAt = phase, now
	}
}

// setSettled records whether the current plan leaves the engine as it is. An engine
// that is no longer settled is polled within minPollInterval.
func (e *engine) setSettled(settled bool, now boottime.Time) {
	if e.settled && !settled {
		e.pollAt = min(e.pollAt, now.Add(minPollInterval))
	}
	e.settled = settled
}

// phaseUnconfirmed reports whether the current plan has the engine as drained or
// withdrawn based on a state whose read was started before the first plan with that
// phase. The status must not be published until a newer read, since an operator may
// switch the engine off once it is published. An unreachable engine is never
// unconfirmed.
func (e *engine) phaseUnconfirmed() bool {
	idle := e.phase == reconcile.PhaseDrained || e.phase == reconcile.PhaseWithdrawn
	return idle && e.polled && e.failedPolls < unreachableAfterFailures && e.readAt < e.phaseAt
}

// poll starts a read of the engine's state.
func (e *engine) poll() {
	e.polling = true
	client := e.client
	e.c.runIO(func(ctx context.Context) func() {
		state, startedAt, err := e.c.pollState(ctx, client)
		return func() {
			e.polling = false
			if err != nil {
				e.pollFailed(err)
				return
			}
			e.setState(state, startedAt)
		}
	})
}

// pollState reads an engine's state and also returns when the read was started. It
// waits while maxConcurrentPolls other polls are running.
func (c *Controller) pollState(ctx context.Context, client upstream.Engine) (upstream.State, boottime.Time, error) {
	if err := c.polls.Acquire(ctx, 1); err != nil {
		return upstream.State{}, 0, err
	}
	defer c.polls.Release(1)
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	c.meters.enginePolls.Inc(1)
	startedAt := boottime.Now()
	state, err := client.State(ctx)
	return state, startedAt, err
}

// setState records a state unless a read that was started later has already set it.
func (e *engine) setState(state upstream.State, startedAt boottime.Time) {
	e.polled, e.failedPolls = true, 0
	if startedAt >= e.readAt {
		e.state, e.readAt = state, startedAt
	}
}

// pollFailed counts a failed poll. The first failure in a row has the engine polled
// again soon, so that an unreachable engine is noticed within seconds even if its polls
// are rare.
func (e *engine) pollFailed(err error) {
	e.c.meters.pollErrors.Inc(1)
	e.failedPolls++
	if e.failedPolls == 1 {
		e.pollAt = min(e.pollAt, boottime.Now().Add(minPollInterval))
	}
	if e.failedPolls == unreachableAfterFailures {
		logline.Info("runner unreachable", "runner", e.name, "error", err)
	}
}
