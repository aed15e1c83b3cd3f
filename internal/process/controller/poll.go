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

// Polling of engines' states. An engine with a change under way is read often, every
// other one (a quiet one) slowly: all quiet engines of a holder together cost at most
// quietPolls a second, until quietMost bounds how old a state may become.
//
// A state that is read seldom is safe to plan from: the order core reads the state
// afresh before it opens an order, and "drained" and "withdrawn" are published only
// from a read that began after the plan that first said so.
const (
	pollLeast     = time.Second
	pollPerRunner = 100 * time.Millisecond // of a zone: grows the pause of engines that are not quiet
	pollChanging  = 250 * time.Millisecond // while a drain mark stands
	pollTimeout   = 2 * time.Second
	pollFailures  = 2 // in a row, before a runner counts as unreachable

	quietPolls = 4 // a second, of all quiet engines that this process leads
	quietMost  = time.Minute
)

// quietPause is the time between two polls of a quiet engine where so many engines
// are led.
func quietPause(led int) time.Duration {
	return min(max(time.Duration(led)*time.Second/quietPolls, pollLeast), quietMost)
}

// quietPollAt is the next time after now at which a quiet engine is read. Each engine
// has its own place in the pause, so that engines read together do not stay together.
func quietPollAt(now boottime.Time, pause time.Duration, name string) boottime.Time {
	place := time.Duration(xxhash.Sum64String(name) % uint64(pause))
	since := (now.Sub(0) - place) % pause
	if since < 0 {
		since += pause
	}
	return now.Add(pause - since)
}

// poll reads the states that are due.
func (z *zone) poll(now boottime.Time) {
	if z.grant == nil {
		return
	}
	engines := z.engines()
	often := max(pollLeast, time.Duration(len(engines))*pollPerRunner)
	seldom := quietPause(z.c.led())
	for _, e := range engines {
		if e.polling || now.Before(e.pollAt) {
			continue
		}
		switch {
		case z.c.marks.has(e.name):
			e.pollAt = now.Add(pollChanging)
		case e.isQuiet():
			e.pollAt = quietPollAt(now, seldom, e.name)
		default:
			e.pollAt = now.Add(often)
		}
		e.poll()
	}
}

// led counts the engines of the zones that this process leads.
func (c *Controller) led() int {
	n := 0
	for _, z := range c.zones {
		if z.grant != nil {
			n += len(z.engines())
		}
	}
	return n
}

// isQuiet reports whether nothing is under way at the engine and its state is known.
func (e *engine) isQuiet() bool {
	return e.quiet && e.polled && e.failures == 0 && !e.core.Busy()
}

// setPhase notes the phase that the newest plan gives.
func (e *engine) setPhase(phase reconcile.Phase, now boottime.Time) {
	if phase != e.phase {
		e.phase, e.phaseAt = phase, now
	}
}

// setQuiet notes whether the newest plan is content with the engine. The first poll
// after quiet is not left to the long pause.
func (e *engine) setQuiet(quiet bool, now boottime.Time) {
	if e.quiet && !quiet {
		e.pollAt = min(e.pollAt, now.Add(pollLeast))
	}
	e.quiet = quiet
}

// unconfirmed reports whether the plan says that nothing runs at the engine, but from
// a state that was read before. Who waits for that may then switch the engine off.
func (e *engine) unconfirmed() bool {
	empty := e.phase == reconcile.PhaseDrained || e.phase == reconcile.PhaseWithdrawn
	return empty && e.polled && e.failures < pollFailures && e.readAt < e.phaseAt
}

func (e *engine) poll() {
	e.polling = true
	client := e.client
	e.c.do(func(ctx context.Context) func() {
		state, begun, err := e.c.pollState(ctx, client)
		return func() {
			e.polling = false
			if err != nil {
				e.missed(err)
				return
			}
			e.saw(state, begun)
		}
	})
}

// pollState reads a state, and tells when the read was begun.
func (c *Controller) pollState(ctx context.Context, client upstream.Engine) (upstream.State, boottime.Time, error) {
	if err := c.polls.Acquire(ctx, 1); err != nil {
		return upstream.State{}, 0, err
	}
	defer c.polls.Release(1)
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	c.meters.enginePolls.Inc(1)
	begun := boottime.Now()
	state, err := client.State(ctx)
	return state, begun, err
}

// saw takes in a state. One whose read was begun before the present one's is old.
func (e *engine) saw(s upstream.State, begun boottime.Time) {
	e.polled, e.failures = true, 0
	if begun >= e.readAt {
		e.state, e.readAt = s, begun
	}
}

func (e *engine) missed(err error) {
	e.c.meters.pollErrors.Inc(1)
	e.failures++
	if e.failures == 1 {
		e.pollAt = min(e.pollAt, boottime.Now().Add(pollLeast))
	}
	if e.failures == pollFailures {
		logline.Info("runner unreachable", "runner", e.name, "error", err)
	}
}
