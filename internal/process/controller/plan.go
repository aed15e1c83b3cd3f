package controller

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/order"
	"github.com/ragworttrestle/ragworttrestle/internal/process/reconcile"
	"github.com/ragworttrestle/ragworttrestle/internal/version/config"
)

// loadRetention is how long the start times of loads of models and adapters are kept
// for the limit on their rate.
const loadRetention = 10 * time.Minute

// changingInterval is the reconcile interval while a drain mark exists or is being
// written, or while a status waits for a newer read of the engine's state.
const changingInterval = 250 * time.Millisecond

// reconcile computes a plan from the desired and the observed state of the zone and
// executes it, if this process leads the zone. Plans do not depend on earlier plans.
func (z *zone) reconcile() {
	c := z.c
	s := c.config.Current()
	if s == nil || c.stopping || !z.leads() {
		return
	}
	now := boottime.Now()
	c.listMarks(now)
	if c.drains.listedAt == 0 {
		return // the marks that previous holders wrote are not known yet
	}
	c.readStatuses(now)
	z.relistSlots(now)
	unconfirmed := z.execute(reconcile.Plan(z.desired(s), z.actual(now)), now)
	if unconfirmed || len(c.drains.known)+len(c.drains.writing) > 0 {
		c.reconcileAt = min(c.reconcileAt, now.Add(changingInterval))
	}
}

// execute executes the steps of a plan and records which engines are settled. It
// returns true if the status of an engine was not set because it has to be confirmed by
// a newer read of the engine's state first, see phaseUnconfirmed.
func (z *zone) execute(plan []reconcile.Step, now boottime.Time) (unconfirmed bool) {
	unsettled := map[string]bool{}
	for _, step := range plan {
		if step.Kind != reconcile.MarkStatus || step.Phase != reconcile.PhaseServing {
			unsettled[step.Runner] = true
		}
		if e := z.c.engines[step.Runner]; e != nil && step.Kind == reconcile.MarkStatus {
			e.setPhase(step.Phase, now)
			if e.phaseUnconfirmed() {
				e.pollAt, unconfirmed = 0, true
				continue
			}
		}
		z.executeStep(step)
	}
	for _, e := range z.engines() {
		e.setSettled(!unsettled[e.name], now)
	}
	return unconfirmed
}

// desired returns the state that the configuration and the role policy require.
func (z *zone) desired(s *config.Snapshot) reconcile.Desired {
	chosen := make(map[string]reconcile.RoleChoice, len(z.c.choices))
	for runner, choice := range z.c.choices {
		chosen[runner] = reconcile.RoleChoice{Role: choice.role, Reason: choice.reason}
	}
	d := reconcile.FromSnapshot(s, chosen)
	zones := map[string]bool{}
	for _, r := range s.Runners {
		zones[r.Zone] = true
	}
	// The limit applies to the fleet, but zones may have different lease holders. Each
	// zone with runners gets an equal share.
	d.LoadsPerMinute = z.c.cfg.Settings.Policy.WeightLoadsPerMinute / float64(max(1, len(zones)))
	return d
}

// actual returns the observed state of the zone. It drops load starts that are older
// than loadRetention.
func (z *zone) actual(now boottime.Time) reconcile.Actual {
	a := reconcile.Actual{
		Zone: z.name, Epoch: z.grant.Epoch, Now: now,
		Runners: map[string]reconcile.Observed{}, Drains: z.drains(now),
	}
	for _, e := range z.engines() {
		a.Runners[e.name] = e.observedState()
	}
	recent := z.loadStarts[:0]
	for _, at := range z.loadStarts {
		if now.Sub(at) < loadRetention {
			recent = append(recent, at)
		}
	}
	z.loadStarts = recent
	a.Loads = recent
	return a
}

// executeStep executes one step of a plan.
func (z *zone) executeStep(s reconcile.Step) {
	c := z.c
	if s.Kind != reconcile.MarkStatus {
		logline.Debug("step", "kind", s.Kind, "runner", s.Runner, "reason", s.Reason)
		c.explain.add(s.Runner, string(s.Kind)+": "+s.Reason)
	}
	switch s.Kind {
	case reconcile.StopNewWork:
		z.startDrain(s.Runner, s.Reason)
	case reconcile.AllowWork:
		z.endDrain(s.Runner, s.Reason)
	case reconcile.SendOrder:
		z.requestOrder(s)
	case reconcile.Abandon:
		c.engines[s.Runner].step(order.Abandon{Reason: s.Reason})
	case reconcile.Hold:
		delete(c.choices, s.Runner) // so that the role policy decides again
	case reconcile.MarkStatus:
		c.setRunnerStatus(s)
	}
}

// requestOrder passes an order to the engine's order core, unless the core is busy with
// another one. It records the start of a load for the limit on the rate.
func (z *zone) requestOrder(s reconcile.Step) {
	e := z.c.engines[s.Runner]
	if e == nil || e.core.Busy() {
		return
	}
	if s.Order.Action == upstream.LoadModel || s.Order.Action == upstream.LoadAdapter {
		z.loadStarts = append(z.loadStarts, boottime.Now())
	}
	e.step(order.Request{Order: s.Order, Reason: s.Reason})
}
