package controller

import (
	"context"
	"math"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/process/audit"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/member"
	"github.com/ragworttrestle/ragworttrestle/internal/process/reconcile"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// Times of drain marks.
const (
	// drainSettle is after how long a mark counts as known to gateways that have not
	// confirmed it: the bound on new work at a leaving upstream.
	drainSettle = 3 * time.Second
	// drainOnWay is how long after the mark is in force at every gateway a request
	// may still be on its way that was routed before.
	drainOnWay = time.Second
	marksEvery = 10 * time.Second // how often a holder lists the marks
	marksSoon  = time.Second      // the same while there are some
)

// mark is one drain mark as it stands in the store.
type mark struct {
	version uint64
	spec    resource.Drain
	since   boottime.Time // when this process first knew of this version
	applied boottime.Time // when every gateway had it in force; 0: not yet
}

// marks are the drain marks of all zones, from lists and from this process's writes.
type marks struct {
	known   map[string]*mark
	writing map[string]bool
	unsure  map[string]boottime.Time // when a write failed that may have taken effect
	listing bool
	begun   boottime.Time // of the last list that was answered
	again   bool          // list as soon as possible
}

func (m *marks) stale() { m.again = true }

func (m *marks) has(runner string) bool {
	_, ok := m.known[runner]
	return ok || m.writing[runner]
}

// list reads the marks when that is due.
func (c *Controller) listMarks(now boottime.Time) {
	m := &c.marks
	pause := marksEvery
	if len(m.known) > 0 {
		pause = marksSoon
	}
	if m.listing || (!m.again && now.Sub(m.begun) < pause) {
		return
	}
	m.listing, m.again = true, false
	c.do(func(ctx context.Context) func() {
		listed, ok := list[resource.Drain](ctx, c, resource.KindDrain)
		return func() {
			m.listing = false
			if ok {
				m.listed(now, listed)
			}
		}
	})
}

// listed takes in a list that was begun at the time. Marks that are being written
// keep the form that the write's answer will give them.
func (m *marks) listed(begun boottime.Time, listed map[string]stored[resource.Drain]) {
	known := map[string]*mark{}
	for name, s := range listed {
		next := &mark{version: s.object.Version, spec: s.spec, since: boottime.Now()}
		if old, ok := m.known[name]; ok && old.version >= next.version {
			next = old
		}
		known[name] = next
	}
	for name, old := range m.known {
		if _, ok := known[name]; !ok && old.since > begun {
			known[name] = old // written after the list was begun
		}
	}
	m.known, m.begun = known, begun
	for name, failed := range m.unsure {
		if failed <= begun {
			delete(m.unsure, name)
		}
	}
}

// drains gives the marks of a zone's reconciler. A mark that is being written counts
// as one that is not in force yet, and as the latest: the runner may be away already,
// and another one must not be taken away beside it.
func (z *zone) drains(now boottime.Time) map[string]reconcile.Drain {
	c := z.c
	out := make(map[string]reconcile.Drain, len(c.marks.known)+len(c.marks.writing)+len(c.marks.unsure))
	notKnown := reconcile.Drain{Zone: z.name, Epoch: z.grant.Epoch, Version: math.MaxUint64}
	for _, e := range z.engines() {
		_, unsure := c.marks.unsure[e.name]
		if unsure || c.marks.writing[e.name] {
			out[e.name] = notKnown
		}
	}
	applied := c.gatewaysApplied()
	for name, m := range c.marks.known {
		out[name] = reconcile.Drain{
			Zone: m.spec.Zone, Epoch: m.spec.Epoch, Version: m.version,
			InForce: c.inForce(now, m, applied),
		}
	}
	return out
}

// inForce reports whether new work has stopped: every gateway applied the mark, or
// the bound has passed; and whether marks of other zones were read since.
func (c *Controller) inForce(now boottime.Time, m *mark, applied uint64) bool {
	if c.marks.begun <= m.since {
		return false
	}
	if now.Sub(m.since) >= drainSettle {
		return true
	}
	if applied < m.version {
		return false
	}
	if m.applied == 0 {
		m.applied = now
	}
	return now.Sub(m.applied) >= drainOnWay
}

// gatewaysApplied is the lowest configuration version in force at any gateway that
// may run. A suspected one counts too: it may go on sending.
func (c *Controller) gatewaysApplied() uint64 {
	lowest := ^uint64(0)
	for _, m := range c.members.Members() {
		if m.Role == member.RoleGateway && m.State != member.Gone {
			lowest = min(lowest, m.Applied)
		}
	}
	return lowest
}

// stopNewWork writes the mark of a runner.
func (z *zone) stopNewWork(runner, reason string) {
	c := z.c
	m := &c.marks
	if m.writing[runner] {
		return
	}
	m.writing[runner] = true
	spec := resource.Drain{Zone: z.name, Epoch: z.grant.Epoch, Holder: c.self.Name, Reason: reason}
	var base uint64
	if old := m.known[runner]; old != nil {
		base = old.version
	}
	c.do(func(ctx context.Context) func() {
		o, err := resource.Encode(resource.KindDrain, runner, spec)
		if err == nil {
			o.Version, o.Writer = base, c.self.Name
			c.meters.storeCalls.Inc(1)
			o, err = platform.Write(ctx, c.store, o)
		}
		return func() { z.stopped(runner, spec, o.Version, err) }
	})
}

func (z *zone) stopped(runner string, spec resource.Drain, version uint64, err error) {
	c := z.c
	delete(c.marks.writing, runner)
	if err != nil {
		logline.Info("drain mark not written", "runner", runner, "error", err)
		c.marks.unsure[runner] = boottime.Now()
		c.marks.stale()
		return
	}
	c.marks.known[runner] = &mark{version: version, spec: spec, since: boottime.Now()}
	c.marks.stale()
	if e := c.engines[runner]; e != nil {
		e.pollAt = 0
	}
	c.record(runner, audit.Entry{
		What: audit.WhatDrain, Object: "Runner/" + runner, To: "no new work",
		Why: spec.Reason, Epoch: spec.Epoch, Outcome: "begun",
	})
}

// allowWork removes the mark of a runner, if it is still the one that is known.
func (z *zone) allowWork(runner, reason string) {
	c := z.c
	m := &c.marks
	old, ok := m.known[runner]
	if !ok || m.writing[runner] {
		return
	}
	m.writing[runner] = true
	c.do(func(ctx context.Context) func() {
		c.meters.storeCalls.Inc(1)
		err := platform.ResolveDelete(ctx, c.store, resource.KindDrain, runner, old.version, c.self.Name)
		return func() {
			delete(m.writing, runner)
			m.stale()
			if err != nil {
				logline.Info("drain mark not removed", "runner", runner, "error", err)
				return
			}
			delete(m.known, runner)
			c.record(runner, audit.Entry{
				What: audit.WhatDrain, Object: "Runner/" + runner, To: "work",
				Why: reason, Epoch: old.spec.Epoch, Outcome: "ended",
			})
		}
	})
}
