package config

import "github.com/ragworttrestle/ragworttrestle/internal/connection/platform"

// history keeps the latest changes of the configuration, from which fetches of peers are
// answered. When it is full, the oldest changes are dropped.
type history struct {
	base   uint64           // version; events holds every change after it
	events []platform.Event // in version order
	limit  int              // maximum number of events
}

// reset drops all changes. From then on the history holds the changes after base.
func (h *history) reset(base uint64) {
	h.base = base
	h.events = nil
}

// add appends changes, which must be in version order and newer than those in the history.
func (h *history) add(events []platform.Event) {
	h.events = append(h.events, events...)
	if excess := len(h.events) - h.limit; excess > 0 {
		h.base = h.events[excess-1].Object.Version
		h.events = append([]platform.Event(nil), h.events[excess:]...)
	}
}

// since returns every change after version have. It returns false if the history does not
// hold all of them.
func (h *history) since(have uint64) ([]platform.Event, bool) {
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
