package controller

import (
	"context"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/process/order"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// slotRead is an engine whose slot has to be read.
type slotRead struct{ e *engine }

// slotsOneByOne is up to how many slots are read one by one; more take one list.
const slotsOneByOne = 3

// readSlots reads the slots that the last steps asked for.
func (c *Controller) readSlots() {
	reads := c.slotReads
	c.slotReads = nil
	switch {
	case len(reads) == 0:
	case len(reads) <= slotsOneByOne:
		for _, r := range reads {
			r.e.readSlot()
		}
	default:
		c.do(func(ctx context.Context) func() {
			slots, ok := list[resource.OrderSlot](ctx, c, resource.KindOrderSlot)
			return func() {
				for _, r := range reads {
					r.e.slotListed(slots, ok)
				}
			}
		})
	}
}

func (e *engine) readSlot() {
	e.c.do(func(ctx context.Context) func() {
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
		return func() { e.step(slotOf(o, slot)) }
	})
}

func (e *engine) slotListed(slots map[string]stored[resource.OrderSlot], ok bool) {
	if !ok {
		e.step(order.SlotReadFailed{})
		return
	}
	s, present := slots[e.name]
	if !present {
		e.step(order.SlotRead{})
		return
	}
	e.step(slotOf(s.object, s.spec))
}

func slotOf(o platform.Object, s resource.OrderSlot) order.SlotRead {
	return order.SlotRead{Found: true, Version: o.Version, Nonce: o.Nonce, Slot: s}
}

// lookAtSlots lists all slots now and then: a slot that a former holder's late
// write opened would else be found only at the next order.
func (z *zone) lookAtSlots(now boottime.Time) {
	if now.Sub(z.slotAt) < listEvery {
		return
	}
	z.slotAt = now
	z.c.do(func(ctx context.Context) func() {
		slots, ok := list[resource.OrderSlot](ctx, z.c, resource.KindOrderSlot)
		return func() {
			for name, s := range slots {
				if e := z.c.engines[name]; ok && e != nil && e.zone == z.name {
					e.step(order.SlotSeen{SlotRead: slotOf(s.object, s.spec)})
				}
			}
		}
	})
}
