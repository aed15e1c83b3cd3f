package peers

import (
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/request/place"
)

const (
	maxParts    = 64  // shared prompt parts of a place request
	maxExcluded = 32  // excluded upstreams of a place request
	maxEvents   = 128 // events of an event report
)

// PlaceRequest asks another instance for a place (see the package comment). It encodes a place.Query. A
// place request that is repeated with the same ID asks what became of the first one.
type PlaceRequest struct {
	_                 struct{} `cbor:",toarray"`
	ID                uint64   // chosen by the sender
	Cancel            bool     // the place is no longer wanted, whether it was granted or not
	Route             string   // route of a request whose demand isn't counted yet; empty: already counted
	Service           string
	Work              string
	Urgency           int
	Key               uint64 // of the prompt's shared parts, as in place.Prompt
	Parts             []PromptPart
	UnsharedTokens    int // place.Prompt.UnsharedTokens, in tokens
	KVCapacity        int
	GapUS             int64 // place.Query.Gap; all times in microseconds
	AgeUS             int64 // time since the request arrived
	StartInUS         int64 // time until its latest start
	LeftUS            int64 // time until its deadline; 0: unknown
	ObjectiveUS       int64
	Excluded          []uint32 // place.UpstreamKey of the upstreams tried before
	Late              bool
	AllowLocalPrefill bool
	Retry             bool

	Software string `cbor:"-"` // place.Query.Software; sent as RequiredSoftware, which older instances pass over
}

// PromptPart is a shared part of a prompt.
type PromptPart struct {
	_      struct{} `cbor:",toarray"`
	Key    uint32   // place.PartKey
	Tokens int
}

// PlaceRequestOf encodes a query. left is the time until its deadline, 0 if unknown. Of the excluded
// upstreams it keeps the last maxExcluded.
func PlaceRequestOf(now time.Time, id uint64, q *place.Query, left time.Duration) PlaceRequest {
	out := PlaceRequest{
		ID: id, Service: q.Service, Work: string(q.Work), Urgency: q.Urgency, Key: q.Prompt.Key, UnsharedTokens: q.Prompt.UnsharedTokens,
		KVCapacity: q.KVCapacity, GapUS: q.Gap.Microseconds(), AgeUS: now.Sub(q.Arrived).Microseconds(),
		StartInUS: q.StartBy.Sub(now).Microseconds(), LeftUS: left.Microseconds(), ObjectiveUS: q.Objective.Microseconds(),
		Late: q.Late, AllowLocalPrefill: q.AllowLocalPrefill, Retry: q.Retry, Software: q.Software,
	}
	for _, p := range q.Prompt.Parts {
		out.Parts = append(out.Parts, PromptPart{Key: uint32(p.Key), Tokens: p.Tokens})
	}
	for _, incarnation := range q.Excluded[max(0, len(q.Excluded)-maxExcluded):] {
		out.Excluded = append(out.Excluded, uint32(place.KeyOf(incarnation)))
	}
	return out
}

// micros converts a number of microseconds to a duration.
func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// Query decodes the place request into a place.Query with the given ID and availability zone.
// incarnationOf looks up an incarnation by its key; excluded upstreams that it doesn't find are
// left out.
func (r *PlaceRequest) Query(now time.Time, id, zone string, incarnationOf func(place.UpstreamKey) (fleet.Incarnation, bool)) place.Query {
	out := place.Query{
		ID: id, Service: r.Service, Zone: zone, Work: place.Work(r.Work), Urgency: r.Urgency, KVCapacity: r.KVCapacity,
		Gap: micros(r.GapUS), Arrived: now.Add(-micros(r.AgeUS)), StartBy: now.Add(micros(r.StartInUS)),
		Objective: micros(r.ObjectiveUS), Late: r.Late, AllowLocalPrefill: r.AllowLocalPrefill, Retry: r.Retry,
		Prompt: place.Prompt{Key: r.Key, UnsharedTokens: r.UnsharedTokens}, Software: r.Software,
	}
	if r.LeftUS > 0 {
		out.Deadline = now.Add(micros(r.LeftUS))
	}
	for _, p := range r.Parts {
		out.Prompt.Parts = append(out.Prompt.Parts, place.Part{Key: place.PartKey(p.Key), Tokens: p.Tokens})
	}
	for _, key := range r.Excluded {
		if incarnation, ok := incarnationOf(place.UpstreamKey(key)); ok {
			out.Excluded = append(out.Excluded, incarnation)
		}
	}
	return out
}

// check returns an error if a list is too long, or if a size, a token count or one of the times other
// than AgeUS and StartInUS is negative. StartInUS is negative after the latest start.
func (r *PlaceRequest) check() error {
	switch {
	case len(r.Parts) > maxParts || len(r.Excluded) > maxExcluded:
		return errors.Errorf("question %d: %d prompt parts, %d excluded upstreams", r.ID, len(r.Parts), len(r.Excluded))
	case r.UnsharedTokens < 0 || r.KVCapacity < 0 || r.GapUS < 0 || r.ObjectiveUS < 0 || r.LeftUS < 0:
		return errors.Errorf("question %d: negative size or time", r.ID)
	}
	for _, p := range r.Parts {
		if p.Tokens < 0 {
			return errors.Errorf("question %d: negative token count", r.ID)
		}
	}
	return nil
}

// NotReady is the reason with which an instance refuses a place request without trying to find an
// upstream for it, because it doesn't know the upstreams or is stopping.
const NotReady place.RefusalReason = "not ready to give places"

// SoftwareGone is the reason with which an instance refuses a place request for a version of software that no listed
// upstream has any more, or only leaving ones.
const SoftwareGone place.RefusalReason = "no upstream has the version of software that began the stream any more"

// PlaceResponse answers a place request.
type PlaceResponse struct {
	_        struct{} `cbor:",toarray"`
	ID       uint64
	Waiting  bool   // no decision yet; the fields below are not set
	Refused  string // place.RefusalReason; empty: placed, or waiting
	RetryUS  int64  // place.Decision.RetryAfter
	Upstream uint32 // place.UpstreamKey; this and the fields up to AgeUS encode a place.Choice
	Work     string
	CopyFrom uint32 // place.UpstreamKey; 0: none
	Tokens   int
	Idle     bool
	Load     float32
	AgeUS    int64
	Details  RefusalDetails
	At       *PlaceUpstream // the chosen upstream; nil: refused, or waiting

	// These are sent as GrantedSoftware, which older instances neither send nor read.
	Software string `cbor:"-"` // version of the chosen upstream's software; empty: unknown
	Sole     bool   `cbor:"-"` // the service had no upstreams of another version for as long as callers resume streams
}

// PlaceUpstream describes the upstream that was chosen for a request, so that an instance that doesn't
// know the upstreams itself can send the request there.
type PlaceUpstream struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	StartedMS   int64
	Address     string // host:port
	Zone        string
	Role        string
	CopyAddress string // of the engine to copy shared parts of the prompt from; empty: none
}

// placeUpstreamOf encodes the upstream of a choice.
func placeUpstreamOf(c *place.Choice) *PlaceUpstream {
	u := &c.Upstream
	return &PlaceUpstream{ID: u.ID, StartedMS: u.StartedMS, Address: u.Address, Zone: u.Zone, Role: string(u.Role), CopyAddress: c.CopyFrom.Address}
}

// CompleteChoice sets the upstream and the copy source of c from the answer. service is that of the
// place request. ok is false, and c unchanged, if the answer has no upstream.
func (a *PlaceResponse) CompleteChoice(service string, c *place.Choice) (ok bool) {
	if a.At == nil {
		return false
	}
	c.Upstream = fleet.Upstream{
		ID: a.At.ID, StartedMS: a.At.StartedMS, Service: service, Address: a.At.Address, Zone: a.At.Zone, Role: upstream.Role(a.At.Role),
		Software: a.Software,
	}
	c.CopyFrom = place.Source{Key: place.UpstreamKey(a.CopyFrom), Address: a.At.CopyAddress}
	return true
}

// Incarnation returns the incarnation of the upstream that was chosen, or "" if the place request was
// refused or not decided yet.
func (a *PlaceResponse) Incarnation() fleet.Incarnation {
	if a.At == nil {
		return ""
	}
	return (&fleet.Upstream{ID: a.At.ID, StartedMS: a.At.StartedMS}).Incarnation()
}

// RefusalDetails encodes place.RefusalDetails.
type RefusalDetails struct {
	_                struct{} `cbor:",toarray"`
	Work             string
	Eligible         int
	Limited          int
	Ahead            int
	WaitUS           int64
	ConcurrencyLimit float32 // place.RefusalDetails.ConcurrencyLimit
	OldestUS         int64
}

// PlaceResponseOf encodes a decision on the place request with the given ID.
func PlaceResponseOf(id uint64, d *place.Decision) PlaceResponse {
	details := d.Details
	out := PlaceResponse{ID: id, Refused: string(d.Refused), RetryUS: d.RetryAfter.Microseconds(), Details: RefusalDetails{
		Work: string(details.Work), Eligible: details.Eligible, Limited: details.Limited, Ahead: details.Ahead, WaitUS: details.Wait.Microseconds(), ConcurrencyLimit: float32(details.ConcurrencyLimit), OldestUS: details.Oldest.Microseconds(),
	}}
	if d.Refused == "" {
		c := &d.Choice
		out.Upstream, out.Work, out.CopyFrom = uint32(place.KeyOf(c.Upstream.Incarnation())), string(c.Work), uint32(c.CopyFrom.Key)
		out.Tokens, out.Idle, out.Load, out.AgeUS = c.Tokens, c.Idle, float32(c.Load), c.Age.Microseconds()
		out.At, out.Software = placeUpstreamOf(c), c.Upstream.Software
	}
	return out
}

// Decision decodes the answer except for the upstream and the copy source, which CompleteChoice sets.
func (a *PlaceResponse) Decision() place.Decision {
	return place.Decision{
		Refused: place.RefusalReason(a.Refused), RetryAfter: micros(a.RetryUS),
		Choice: place.Choice{Work: place.Work(a.Work), Tokens: max(a.Tokens, 0), Idle: a.Idle, Load: float64(a.Load), Age: micros(a.AgeUS)},
		Details: place.RefusalDetails{
			Work: place.Work(a.Details.Work), Eligible: a.Details.Eligible, Limited: a.Details.Limited, Ahead: a.Details.Ahead,
			Wait: micros(a.Details.WaitUS), ConcurrencyLimit: float64(a.Details.ConcurrencyLimit), Oldest: micros(a.Details.OldestUS),
		},
	}
}

// EventReport tells the placer what happened at a place that it granted.
type EventReport struct {
	_      struct{} `cbor:",toarray"`
	ID     uint64   // of the place request
	Events []ReportedEvent
}

// ReportedEvent encodes a place.Event.
type ReportedEvent struct {
	_          struct{} `cbor:",toarray"`
	Kind       uint8
	DurationUS int64
	Running    int
	Waiting    int
	Slots      int
	Percent    int
}

// EventReportOf encodes events at the place that was granted for the place request with the given ID.
func EventReportOf(id uint64, events []place.Event) EventReport {
	out := EventReport{ID: id}
	for _, e := range events {
		out.Events = append(out.Events, ReportedEvent{Kind: uint8(e.Kind), DurationUS: e.Duration.Microseconds(), Running: e.Running, Waiting: e.Waiting, Slots: e.Slots, Percent: e.SlowdownPercent})
	}
	return out
}

// PlaceEvents decodes the events.
func (r *EventReport) PlaceEvents() []place.Event {
	out := make([]place.Event, 0, len(r.Events))
	for _, e := range r.Events {
		out = append(out, place.Event{Kind: place.EventKind(e.Kind), Duration: micros(e.DurationUS), Running: e.Running, Waiting: e.Waiting, Slots: e.Slots, SlowdownPercent: e.Percent})
	}
	return out
}

// check returns an error if there are too many events or if one has a negative number.
func (r *EventReport) check() error {
	if len(r.Events) > maxEvents {
		return errors.Errorf("note %d: %d events", r.ID, len(r.Events))
	}
	for _, e := range r.Events {
		if e.DurationUS < 0 || e.Running < 0 || e.Waiting < 0 || e.Slots < 0 || e.Percent < 0 {
			return errors.Errorf("note %d: negative time or count", r.ID)
		}
	}
	return nil
}
