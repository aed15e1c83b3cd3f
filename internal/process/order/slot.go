package order

import (
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settle"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// handleSlotRead processes the stored slot.
func (c *Core) handleSlotRead(now boottime.Time, r SlotRead) []Action {
	if c.pending != nil {
		return c.resolvePendingWrite(now, r)
	}
	if c.phase != phaseReadSlot {
		return nil
	}
	return c.loadSlot(r)
}

// loadSlot starts from the slot as stored: it becomes idle if the slot is closed, takes the
// slot over if a former holder left it open, and stops if the slot has a newer epoch.
func (c *Core) loadSlot(r SlotRead) []Action {
	c.version, c.slot = 0, resource.OrderSlot{State: resource.SlotClosed}
	if r.Found {
		c.version, c.slot = r.Version, r.Slot
	}
	c.startedBy, c.restarts, c.fenceRaised = "", 0, false
	c.requested, c.abandonReason = nil, ""
	switch {
	case c.slot.Epoch > c.granted.Epoch:
		c.phase = phaseSuperseded
		return nil
	case c.slot.State != resource.SlotOpen:
		c.goTo(phaseIdle)
		return nil
	}
	former, epoch := c.slot.Holder, c.slot.Epoch
	c.adopted = true
	c.slot.Epoch, c.slot.Holder = c.granted.Epoch, c.cfg.Holder
	c.slot.Order.Fence = c.granted.Epoch
	c.goTo(phaseAdopt)
	return []Action{Adopted{Order: c.slot.Order, PreviousHolder: former, Epoch: epoch}}
}

// resolvePendingWrite determines the outcome of a slot write whose answer was lost, from a
// later read. If the write has had no effect, it is sent again.
func (c *Core) resolvePendingWrite(now boottime.Time, r SlotRead) []Action {
	p := c.pending
	write := settle.Write{Base: p.Base, Nonce: p.Nonce}
	switch settle.Resolve(write, settle.Read{Found: r.Found, Version: r.Version, Nonce: r.Nonce}) {
	case settle.TookEffect:
		return c.handleSlotWritten(now, r.Version)
	case settle.Resend:
		c.callPending = true
		return []Action{p.WriteSlot}
	}
	c.pending = nil
	return c.loadSlot(r)
}

// handleSlotWriteFailed processes a failed slot write. If the write may have taken effect,
// it stays pending, and nextCall reads the slot to find out: at once after the first such
// failure, after a delay if the write was sent again and that failed too.
func (c *Core) handleSlotWriteFailed(now boottime.Time, f Failure) {
	p := c.pending
	if p == nil {
		return
	}
	switch f {
	case FailedUnknown:
		if p.uncertain {
			c.backOff(now)
		}
		p.uncertain = true
	case FailedUnavailable:
		if !p.uncertain {
			c.pending = nil
		}
		c.backOff(now)
	case FailedConflict:
		if p.uncertain {
			return // an earlier copy may have taken effect: read and compare
		}
		c.pending = nil
		c.goTo(phaseReadSlot)
	}
}

// handleSlotWritten processes a slot write that took effect.
func (c *Core) handleSlotWritten(now boottime.Time, version uint64) []Action {
	p := c.pending
	c.pending = nil
	if p == nil {
		return nil
	}
	c.version, c.slot = version, p.Slot
	switch c.phase {
	case phaseOpen:
		// Read the state again: a request may have arrived while the slot was written.
		c.adopted, c.sends = false, 0
		c.goTo(phaseObserve)
		return []Action{Opened{Order: c.slot.Order, Reason: c.slot.Reason}}
	case phaseAdopt:
		c.goTo(phaseObserve)
		if !c.fencing {
			c.nextAt = c.formerSendsEnd()
		}
	case phaseClose:
		c.goTo(phaseIdle)
		c.requested, c.abandonReason = nil, ""
		return []Action{Finished{Order: c.slot.Order, Outcome: Outcome(c.slot.Outcome), Reason: c.slot.Reason}}
	}
	return nil
}

// formerSendsEnd returns the time from which on no copy of a former holder's order can
// arrive.
func (c *Core) formerSendsEnd() boottime.Time {
	return c.granted.At.Add(c.cfg.OrderLifetime)
}
