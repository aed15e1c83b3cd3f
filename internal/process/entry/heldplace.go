package entry

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/request/place"
)

// heldPlace is a place, the permission to send one request to a certain upstream, from the time at which
// a request gets it until it is released. It is used by one goroutine at a time. This is the goroutine of
// the request or, for a request of another instance, the goroutine that holds the lock of
// placementServer.
type heldPlace struct {
	grant            place.Grant
	placer           string    // address of the instance that decided on the place; empty: this instance did
	placeRequestID   uint64    // id of the place request with which the placer was asked for the place
	sole             bool      // the placer's answer: see peers.PlaceResponse.Sole
	stalls           uint64    // result of stallCount when the placer was asked
	streamReportedAt time.Time // when a stream event was last reported to the placer
}

func (h *heldPlace) upstream() *fleet.Upstream { return &h.grant.Choice.Upstream }

func (h *heldPlace) work() place.Work { return h.grant.Choice.Work }

// checkUsable returns nil if the request may now be sent to the upstream of the place h. Otherwise it
// returns the reason: errLeaving, errBackingOff or errStalePlace. A process without a list of upstreams
// can't check by itself whether the upstream is listed. It relies on the decision of the placer, made
// milliseconds ago or before a prefill but not before a stall of this process, and on what responses of the
// upstream said.
func (e *Entry) checkUsable(h *heldPlace) error {
	incarnation := h.upstream().Incarnation()
	chosenByPeer := h.placer != "" && !e.state.upstreamsListed()
	switch {
	case chosenByPeer && h.stalls != e.state.stallCount():
		return errStalePlace
	case !e.state.usable(incarnation) && (!chosenByPeer || e.state.isLeaving(incarnation)):
		return errLeaving
	case e.state.backoffLeft(time.Now(), incarnation) > 0:
		return errBackingOff
	}
	return nil
}

// recordEvents records what happened to the request at its place, in this process. If another instance
// gave the place, recordEvents also reports the events to that instance.
func (e *Entry) recordEvents(h *heldPlace, events ...place.Event) {
	e.recordEventsOf(e.cfg.Settings.Instance.Name, h, events...)
	if h.placer != "" {
		e.peers.reportEvents(h, events)
	}
}

// recordEventsOf records events in this process. reporter is the name or address of the instance at which
// they happened.
func (e *Entry) recordEventsOf(reporter string, h *heldPlace, events ...place.Event) {
	now, incarnation := time.Now(), h.upstream().Incarnation()
	suspected := false
	e.state.withTracker(now, func(t *place.Tracker) {
		was := t.AwaitsProbe(incarnation)
		for _, ev := range events {
			t.Apply(now, &h.grant, ev)
		}
		suspected = !was && t.AwaitsProbe(incarnation)
	})
	if suspected {
		logline.Info("upstream suspected", "upstream", incarnation, "reported_by", reporter)
	}
}

// release records that a place is no longer needed.
func (e *Entry) release(h *heldPlace) { e.recordEvents(h, place.Event{Kind: place.Released}) }
