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

const (
	// drainSettleTime is the age at which a drain mark counts as in force even if
	// gateways have not confirmed that they applied it. New work at a leaving upstream
	// has to stop within the same time.
	drainSettleTime = 3 * time.Second
	// inFlightTime is how long a request that a gateway sent before it applied the drain
	// mark may take to arrive at the engine.
	inFlightTime                   = time.Second
	drainListInterval              = 10 * time.Second // between lists of the marks
	drainListIntervalWhileDraining = time.Second      // the same while a mark is known
)

// drainMark is a stored Drain object. While it exists, gateways send no new work to the
// runner that it is named after.
type drainMark struct {
	version   uint64
	spec      resource.Drain
	seenAt    boottime.Time // when this process first saw this version
	appliedAt boottime.Time // when all gateways were first seen to have applied it; 0: not yet
}

// drainMarks tracks the drain marks of all zones. It learns them from lists of the
// store and from the writes of this process. The keys of its maps are runners.
type drainMarks struct {
	known           map[string]*drainMark
	writing         map[string]bool          // a write or delete is under way
	uncertainWrites map[string]boottime.Time // when a write failed that may have taken effect
	listing         bool                     // a list is under way
	listedAt        boottime.Time            // start of the last successful list
	listNow         bool                     // list without waiting for the interval
}

// requestList makes the next call of listMarks list the marks.
func (m *drainMarks) requestList() { m.listNow = true }

// has reports whether the runner has a drain mark or one is being written or removed.
func (m *drainMarks) has(runner string) bool {
	_, ok := m.known[runner]
	return ok || m.writing[runner]
}

// listMarks lists the drain marks if the interval has passed or requestList was called.
func (c *Controller) listMarks(now boottime.Time) {
	m := &c.drains
	interval := drainListInterval
	if len(m.known) > 0 {
		interval = drainListIntervalWhileDraining
	}
	if m.listing || (!m.listNow && now.Sub(m.listedAt) < interval) {
		return
	}
	m.listing, m.listNow = true, false
	c.runIO(func(ctx context.Context) func() {
		listed, ok := listObjects[resource.Drain](ctx, c, resource.KindDrain)
		return func() {
			m.listing = false
			if ok {
				m.merge(now, listed)
			}
		}
	})
}

// merge replaces the known marks by those of a list that was started at startedAt. A
// known mark is kept if its version is not older than the listed one, or if it is not
// listed but was written after startedAt. Uncertain writes that failed before startedAt
// are forgotten, since the list shows whether they took effect.
func (m *drainMarks) merge(startedAt boottime.Time, listed map[string]storedObject[resource.Drain]) {
	known := map[string]*drainMark{}
	for name, s := range listed {
		current := &drainMark{version: s.object.Version, spec: s.spec, seenAt: boottime.Now()}
		if old, ok := m.known[name]; ok && old.version >= current.version {
			current = old
		}
		known[name] = current
	}
	for name, old := range m.known {
		if _, ok := known[name]; !ok && old.seenAt > startedAt {
			known[name] = old
		}
	}
	m.known, m.listedAt = known, startedAt
	for name, failed := range m.uncertainWrites {
		if failed <= startedAt {
			delete(m.uncertainWrites, name)
		}
	}
}

// drains returns the drain marks of all zones as input for the reconciler, by runner.
// If no mark is known for a runner of this zone, but one is being written or the outcome
// of its write is uncertain, drains returns a mark that is not in force and has the
// highest version: the runner may be draining already, so no other runner may be drained
// in addition.
func (z *zone) drains(now boottime.Time) map[string]reconcile.Drain {
	c := z.c
	out := make(map[string]reconcile.Drain, len(c.drains.known)+len(c.drains.writing)+len(c.drains.uncertainWrites))
	pending := reconcile.Drain{Zone: z.name, Epoch: z.grant.Epoch, Version: math.MaxUint64}
	for _, e := range z.engines() {
		_, uncertain := c.drains.uncertainWrites[e.name]
		if uncertain || c.drains.writing[e.name] {
			out[e.name] = pending
		}
	}
	applied := c.lowestGatewayVersion()
	for name, m := range c.drains.known {
		out[name] = reconcile.Drain{
			Zone: m.spec.Zone, Epoch: m.spec.Epoch, Version: m.version,
			Confirmed: c.inForce(now, m, applied),
		}
	}
	return out
}

// inForce reports whether new work for the runner of a mark has stopped. This requires
// that the marks were listed after this one was first seen, and that drainSettleTime
// has passed since then or inFlightTime since all gateways applied it. applied is the
// result of lowestGatewayVersion.
func (c *Controller) inForce(now boottime.Time, m *drainMark, applied uint64) bool {
	if c.drains.listedAt <= m.seenAt {
		return false
	}
	if now.Sub(m.seenAt) >= drainSettleTime {
		return true
	}
	if applied < m.version {
		return false
	}
	if m.appliedAt == 0 {
		m.appliedAt = now
	}
	return now.Sub(m.appliedAt) >= inFlightTime
}

// lowestGatewayVersion returns the lowest configuration version in force at any
// gateway that may be running, or the highest possible version if there is none.
// Suspected gateways count, since they may still send requests.
func (c *Controller) lowestGatewayVersion() uint64 {
	lowest := ^uint64(0)
	for _, m := range c.members.Members() {
		if m.Role == member.RoleGateway && m.State != member.Gone {
			lowest = min(lowest, m.Applied)
		}
	}
	return lowest
}

// startDrain writes the drain mark of a runner unless a write for it is under way.
func (z *zone) startDrain(runner, reason string) {
	c := z.c
	m := &c.drains
	if m.writing[runner] {
		return
	}
	m.writing[runner] = true
	spec := resource.Drain{Zone: z.name, Epoch: z.grant.Epoch, Holder: c.self.Name, Reason: reason}
	var base uint64
	if old := m.known[runner]; old != nil {
		base = old.version
	}
	c.runIO(func(ctx context.Context) func() {
		o, err := resource.Encode(resource.KindDrain, runner, spec)
		if err == nil {
			o.Version, o.Writer = base, c.self.Name
			c.meters.storeCalls.Inc(1)
			o, err = platform.Write(ctx, c.store, o)
		}
		return func() { z.drainWritten(runner, spec, o.Version, err) }
	})
}

// drainWritten handles the result of writing a drain mark. Any error counts as
// uncertain: the mark may have been written.
func (z *zone) drainWritten(runner string, spec resource.Drain, version uint64, err error) {
	c := z.c
	delete(c.drains.writing, runner)
	if err != nil {
		logline.Info("drain mark not written", "runner", runner, "error", err)
		c.drains.uncertainWrites[runner] = boottime.Now()
		c.drains.requestList()
		return
	}
	c.drains.known[runner] = &drainMark{version: version, spec: spec, seenAt: boottime.Now()}
	c.drains.requestList()
	if e := c.engines[runner]; e != nil {
		e.pollAt = 0
	}
	c.record(runner, audit.Entry{
		Kind: audit.ChangeDrain, Object: "Runner/" + runner, To: "no new work",
		Why: spec.Reason, Epoch: spec.Epoch, Outcome: "begun",
	})
}

// endDrain deletes the drain mark of a runner unless it was changed meanwhile.
func (z *zone) endDrain(runner, reason string) {
	c := z.c
	m := &c.drains
	old, ok := m.known[runner]
	if !ok || m.writing[runner] {
		return
	}
	m.writing[runner] = true
	c.runIO(func(ctx context.Context) func() {
		c.meters.storeCalls.Inc(1)
		err := platform.ResolveDelete(ctx, c.store, resource.KindDrain, runner, old.version, c.self.Name)
		return func() {
			delete(m.writing, runner)
			m.requestList()
			if err != nil {
				logline.Info("drain mark not removed", "runner", runner, "error", err)
				return
			}
			delete(m.known, runner)
			c.record(runner, audit.Entry{
				Kind: audit.ChangeDrain, Object: "Runner/" + runner, To: "work",
				Why: reason, Epoch: old.spec.Epoch, Outcome: "ended",
			})
		}
	})
}
