package controller

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/audit"
	"github.com/ragworttrestle/ragworttrestle/internal/process/authority"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/order"
	"github.com/ragworttrestle/ragworttrestle/internal/version/config"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// zone holds the core of an availability zone's lease, and the state that this process
// needs while it leads the zone. A process leads a zone while the zone's lease permits it
// to send orders there.
type zone struct {
	c             *Controller
	name          string
	lease         *authority.Core
	grant         *order.Granted  // nil unless this process leads the zone
	loadStarts    []boottime.Time // when recent loads of models and adapters were requested
	slotsListedAt boottime.Time   // when all slots were last listed
	engineList    []*engine       // cache of the method engines; nil: to be rebuilt
}

// updateZones adds a zone for this process's own availability zone and for each one that
// has runners. Zones are never removed.
func (c *Controller) updateZones(s *config.Snapshot) {
	names := map[string]bool{c.self.Zone: true}
	for _, r := range s.Runners {
		names[r.Zone] = true
	}
	for name := range names {
		if c.zones[name] == nil {
			c.zones[name] = c.newZone(name)
		}
	}
}

func (c *Controller) newZone(name string) *zone {
	l := c.cfg.Settings.Lease
	return &zone{c: c, name: name, lease: authority.New(authority.Config{
		Holder:      c.self.Name,
		Incarnation: c.incarnation,
		TTL:         time.Duration(l.TTLMS) * time.Millisecond,
		Margin:      time.Duration(l.MarginMS) * time.Millisecond,
	})}
}

// updateRanks passes the rank of this process among the candidates for each lease to the
// lease cores.
func (c *Controller) updateRanks() {
	live := c.candidates()
	for _, z := range c.zones {
		z.step(authority.Rank(c.self.Name, c.self.Zone, z.name, live))
	}
}

// leads reports whether this process may send orders in the zone now.
func (z *zone) leads() bool {
	_, _, ok := z.lease.CanSendOrders(boottime.Now())
	return ok && z.grant != nil
}

// tick steps the cores of the zone whose wake time has come and starts the polls that are
// due.
func (z *zone) tick(now boottime.Time) {
	if z.lease.Wake() <= now {
		z.step(authority.Tick{})
	}
	for _, e := range z.engines() {
		if e.core.Wake() <= now {
			e.step(order.Tick{})
		}
	}
	z.poll(now)
}

// nextWake returns the earliest wake time of the zone's cores.
func (z *zone) nextWake() boottime.Time {
	wake := z.lease.Wake()
	for _, e := range z.engines() {
		wake = min(wake, e.core.Wake())
	}
	return wake
}

// step passes an event to the lease core and performs the actions that it returns.
func (z *zone) step(e authority.Event) {
	for _, action := range z.lease.Step(boottime.Now(), e) {
		switch a := action.(type) {
		case authority.ReadLease:
			z.readLease()
		case authority.WriteLease:
			z.writeLease(a)
		case authority.Gained:
			z.leaseGained(a)
		case authority.Renewed:
			z.startLeading(order.Granted{Epoch: a.Epoch, At: boottime.Now()})
		case authority.Lapsed:
			z.stopLeading("the window ran out without a renewal")
		case authority.Lost:
			z.leaseLost(a)
		}
	}
}

func (z *zone) readLease() {
	z.c.runIO(func(ctx context.Context) func() {
		r := readObject[resource.Lease](ctx, z.c, resource.KindLease, z.name)
		return func() {
			if !r.ok {
				z.step(authority.ReadFailed{})
				return
			}
			z.step(authority.Read{
				Found: r.found, Version: r.object.Version, Nonce: r.object.Nonce,
				Lease: r.spec, StoreVersion: r.storeVersion,
			})
		}
	})
}

func (z *zone) writeLease(a authority.WriteLease) {
	z.c.runIO(func(ctx context.Context) func() {
		version, res := z.c.writeObject(ctx, resource.KindLease, z.name, a.Base, a.Nonce, a.Lease)
		return func() { z.handleLeaseWrite(version, res) }
	})
}

func (z *zone) handleLeaseWrite(version uint64, res writeResult) {
	switch res {
	case writeSucceeded:
		z.step(authority.LeaseWritten{Version: version})
	case writeConflicted:
		z.step(authority.WriteFailed{Failure: authority.FailedConflict})
	case writeUnavailable:
		z.step(authority.WriteFailed{Failure: authority.FailedUnavailable})
	case writeUnknown:
		z.step(authority.WriteFailed{Failure: authority.FailedUnknown})
	}
}

// leaseGained records the new lease and starts to lead the zone.
func (z *zone) leaseGained(a authority.Gained) {
	c := z.c
	c.meters.leaseChanges.Inc(1)
	logline.Info("lease taken", "zone", z.name, "epoch", a.Epoch, "why", a.Reason)
	c.record("Lease/"+z.name, audit.Entry{
		Kind: audit.ChangeLease, Object: "Lease/" + z.name, To: c.self.Name,
		Why: a.Reason, Epoch: a.Epoch, Outcome: "taken",
	})
	z.startLeading(order.Granted{Epoch: a.Epoch, At: a.At})
}

// startLeading makes the order cores start from the stored slots, and has the drain marks
// and statuses listed before the zone is reconciled. It is also called when a lease that
// had lapsed is renewed.
func (z *zone) startLeading(g order.Granted) {
	z.grant = &g
	z.c.drains.requestList()
	z.c.drains.listedAt = 0
	z.c.statuses.requestList()
	if s := z.c.config.Current(); s != nil {
		z.c.updateEngines(s)
	}
	for _, e := range z.engines() {
		e.polled, e.pollAt = false, 0
		e.step(g)
	}
	z.c.reconcileAt = 0
}

// stopLeading makes the order cores stop sending orders and drops the desired statuses of
// the zone's runners. It does nothing if this process does not lead the zone.
func (z *zone) stopLeading(reason string) {
	if z.grant == nil {
		return
	}
	logline.Info("ordering stops", "zone", z.name, "epoch", z.grant.Epoch, "why", reason)
	z.c.explain.add("Lease/"+z.name, "ordering stops: "+reason)
	z.grant = nil
	for _, e := range z.engines() {
		e.step(order.Revoked{})
		z.c.statuses.forget(statusName(resource.KindRunner, e.name))
	}
}

// leaseLost stops leading the zone and records that the lease was lost or released.
func (z *zone) leaseLost(a authority.Lost) {
	c := z.c
	z.stopLeading(a.Reason)
	c.meters.leaseChanges.Inc(1)
	c.record("Lease/"+z.name, audit.Entry{
		Kind: audit.ChangeLease, Object: "Lease/" + z.name, From: c.self.Name,
		Why: a.Reason, Epoch: a.Epoch, Outcome: "given up",
	})
}

// engines returns the engines of the zone. The loop calls it after every event, so the
// list is cached until updateEngines resets it.
func (z *zone) engines() []*engine {
	if z.engineList == nil {
		z.engineList = []*engine{}
		for _, e := range z.c.engines {
			if e.zone == z.name {
				z.engineList = append(z.engineList, e)
			}
		}
	}
	return z.engineList
}

// describe returns one line about the lease for explain requests.
func (z *zone) describe() string {
	return fmt.Sprintf("lease of %s: holder %s epoch %s, this process orders: %v",
		z.name, z.lease.Holder(), strconv.FormatUint(z.lease.Epoch(), 10), z.leads())
}
