package platform

import "github.com/ragworttrestle/ragworttrestle/internal/connection/platform"

// history keeps the newest events, limited by their number and by the total size of their specs.
// The newest event is kept even if it is larger. The versions of events have no gaps, because
// every change increases the store's version by one.
type history struct {
	maxEvents int
	maxBytes  int
	events    []platform.Event
	bytes     int    // of the specs of events
	dropped   uint64 // version of the newest event that is no longer kept; 0: all are kept
}

// add appends an event and drops the oldest ones over the limits.
func (h *history) add(e platform.Event) {
	h.events = append(h.events, e)
	h.bytes += len(e.Object.Spec)
	for len(h.events) > h.maxEvents || (h.bytes > h.maxBytes && len(h.events) > 1) {
		oldest := h.events[0]
		h.dropped = oldest.Object.Version
		h.bytes -= len(oldest.Object.Spec)
		h.events[0] = platform.Event{} // lets the value be garbage collected
		h.events = h.events[1:]
	}
}

// covers reports whether all events after version are still kept.
func (h *history) covers(version uint64) bool { return version >= h.dropped }

// after returns the events after version, for which covers must be true.
func (h *history) after(version uint64) []platform.Event {
	skip := version - h.dropped
	if skip >= uint64(len(h.events)) {
		return nil
	}
	return h.events[skip:]
}
