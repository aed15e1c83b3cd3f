package config

import "github.com/ragworttrestle/ragworttrestle/internal/connection/platform"

// history keeps the latest changes to answer fetches with. It holds every change
// after base; older ones are dropped when it is full.
type history struct {
	base   uint64
	events []platform.Event
	limit  int
}

// restart forgets everything: changes after base follow.
func (h *history) restart(base uint64) {
	h.base = base
	h.events = nil
}

// add appends changes in version order.
func (h *history) add(events []platform.Event) {
	h.events = append(h.events, events...)
	if drop := len(h.events) - h.limit; drop > 0 {
		h.base = h.events[drop-1].Object.Version
		h.events = append([]platform.Event(nil), h.events[drop:]...)
	}
}

// after gives every change after version have; false if some are no longer kept.
func (h *history) after(have uint64) ([]platform.Event, bool) {
	if have < h.base {
		return nil, false
	}
	for i, e := range h.events {
		if e.Object.Version > have {
			return h.events[i:], true
		}
	}
	return nil, true
}
