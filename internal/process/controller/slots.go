package controller

import (
	"context"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/process/order"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// slotReadRequest is the request of an order core to read the order slot of its engine.
// The slot is the OrderSlot object that records the engine's last order.
type slotReadRequest struct{ engine *engine }

// maxSingleSlotReads is the maximum number of slots that are each read by a Get. If more
// are requested at once, they are read by one List.
const maxSingleSlotReads = 3

// readSlots reads the slots that order cores have requested since the last call.
func (c *Controller) readSlots() {
	reads := c.slotReads
	c.slotReads = nil
	switch {
	case len(reads) == 0:
	case len(reads) <= maxSingleSlotReads:
		for _, r := range reads {
			r.engine.readSlot()
		}
	default:
		c.runIO(func(ctx context.Context) func() {
			slots, ok := listObjects[resource.OrderSlot](ctx, c, resource.KindOrderSlot)
			return func() {
				for _, r := range reads {
					r.engine.handleListedSlot(slots, ok)
				}
			}
		})
	}
}

// readSlot reads the engine's slot and passes it to the order core.
func (e *engine) readSlot() {
	e.c.runIO(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		e.c.meters.storeCalls.Inc(1)
		o, err := e.c.store.Get(ctx, resource.KindOrderSlot, e.name)
		if errors.Is(err, platform.ErrNotFound) {
			return func() { e.step(order.SlotRead{}) }
		}
		slot, decodeErr := resource.Decode[resource.OrderSlot](o)
		if err != nil || decodeErr != nil {
			return func() { e.step(order.SlotReadFailed{}) }
		}
		return func() { e.step(newSlotRead(o, slot)) }
	})
}

// handleListedSlot passes the engine's slot in a list of all slots to the order core. ok
// is false if the list could not be read.
func (e *engine) handleListedSlot(slots map[string]storedObject[resource.OrderSlot], ok bool) {
	if !ok {
		e.step(order.SlotReadFailed{})
		return
	}
	s, present := slots[e.name]
	if !present {
		e.step(order.SlotRead{})
		return
	}
	e.step(newSlotRead(s.object, s.spec))
}

func newSlotRead(o platform.Object, s resource.OrderSlot) order.SlotRead {
	return order.SlotRead{Found: true, Version: o.Version, Nonce: o.Nonce, Slot: s}
}

// relistSlots lists all slots if the last list is at least a relistInterval ago, and
// passes the zone's slots to the order cores. A slot that was opened by a late write of
// a previous holder would otherwise go unnoticed until the next order.
func (z *zone) relistSlots(now boottime.Time) {
	if now.Sub(z.slotsListedAt) < relistInterval {
		return
	}
	z.slotsListedAt = now
	z.c.runIO(func(ctx context.Context) func() {
		slots, ok := listObjects[resource.OrderSlot](ctx, z.c, resource.KindOrderSlot)
		return func() {
			for name, s := range slots {
				if e := z.c.engines[name]; ok && e != nil && e.zone == z.name {
					e.step(order.SlotSeen{SlotRead: newSlotRead(s.object, s.spec)})
				}
			}
		}
	})
}
