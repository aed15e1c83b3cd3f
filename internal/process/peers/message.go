package peers

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/roles"
	"github.com/ragworttrestle/ragworttrestle/internal/process/usage"
	"github.com/ragworttrestle/ragworttrestle/internal/request/place"
	"github.com/ragworttrestle/ragworttrestle/internal/request/quarantine"
)

// MaxMessageBytes is the maximum size of an encoded message in bytes. Common links transmit datagrams
// of this size without fragmentation.
const MaxMessageBytes = 1400

// Maximum numbers of rows, reads and services in one load report. A row states what the sender has in
// flight at one upstream. If it is left out, receivers don't know that load, except for receivers that
// use the load reports of upstreams instead (place.Tracker.SetPeersReporting). A read reports that an
// upstream prefilled a prompt or fetched its KV cache. If it is left out, receivers don't know that this
// upstream has the prompt cached; at worst, the prompt is prefilled again.
const (
	maxRows           = 36
	maxReads          = 16
	maxDemandServices = 4
)

// Message is a datagram between instances. A message with a Sequence is a load report: its rows hold
// all that the sender has in flight, so each report replaces the earlier ones. Each read is sent in
// several reports, because datagrams may be lost. Place requests, their answers and event reports
// are not sent in load reports.
type Message struct {
	Sequence    uint64          `cbor:"1,keyasint,omitempty"` // number of the load report, greater than all earlier ones, also across restarts; a report with 0 or an older number is ignored
	Sender      *Peer           `cbor:"2,keyasint,omitempty"`
	Rows        []Row           `cbor:"3,keyasint,omitempty"`
	FirstRead   uint64          `cbor:"4,keyasint,omitempty"` // number of the first element of Reads; the others follow without gaps; it grows like Sequence
	Reads       []Read          `cbor:"5,keyasint,omitempty"`
	Demand      []ServiceDemand `cbor:"6,keyasint,omitempty"` // with Sender
	ReplyWanted bool            `cbor:"7,keyasint,omitempty"` // the receiver is to send a message with its own Sender

	Unready  bool `cbor:"11,keyasint,omitempty"` // the sender is stopping or doesn't know the upstreams yet, so it must not be asked for places
	Starting bool `cbor:"30,keyasint,omitempty"` // with Unready: the sender is reading the platform and will be ready after that

	PlaceRequests  []PlaceRequest  `cbor:"8,keyasint,omitempty"`
	PlaceResponses []PlaceResponse `cbor:"9,keyasint,omitempty"`
	EventReports   []EventReport   `cbor:"10,keyasint,omitempty"`

	Crashes []quarantine.CrashReport `cbor:"12,keyasint,omitempty"` // at most quarantine.MaxCrashReports

	PartCrashes []quarantine.CrashReport `cbor:"29,keyasint,omitempty"` // those of parts of prompts, which older instances pass over; counted with Crashes

	Config uint64 `cbor:"16,keyasint,omitempty"` // configuration version in force at the sender; 0: none

	SenderIncarnation uint64       `cbor:"13,keyasint,omitempty"` // incarnation of the sender; set together with Usage
	Usage             []usage.Part `cbor:"14,keyasint,omitempty"` // usage of the sender's callers
	UsageWanted       []int64      `cbor:"15,keyasint,omitempty"` // windows for which the receiver is to send its usage

	RateLimits   []RateLimit `cbor:"17,keyasint,omitempty"` // at most MaxRateLimits
	ShareRequest uint64      `cbor:"18,keyasint,omitempty"` // serial of a request to borrow the receiver's share of rate limits; 0: none
	ShareLoan    *ShareLoan  `cbor:"19,keyasint,omitempty"`

	PlatformLost bool `cbor:"20,keyasint,omitempty"` // the sender can't read the platform: its list of upstreams is out of date
	Instances    int  `cbor:"21,keyasint,omitempty"` // number of instances that the sender knows, itself included; set together with Sender

	IncarnationsWanted []fleet.Incarnation `cbor:"22,keyasint,omitempty"` // incarnations whose states the receiver is to send; at most MaxIncarnations
	Incarnations       []IncarnationState  `cbor:"23,keyasint,omitempty"` // at most MaxIncarnations

	Restarts []Restart `cbor:"31,keyasint,omitempty"` // of those of Incarnations that are gone

	StreamRows       []StreamRow        `cbor:"24,keyasint,omitempty"` // at most MaxStreamRows
	StreamQueries    []StreamQuery      `cbor:"25,keyasint,omitempty"`
	StreamAnswers    []StreamAnswer     `cbor:"26,keyasint,omitempty"`
	RequiredSoftware []RequiredSoftware `cbor:"27,keyasint,omitempty"` // of PlaceRequests
	GrantedSoftware  []GrantedSoftware  `cbor:"28,keyasint,omitempty"` // of PlaceResponses

	DurableRows  []StreamRow `cbor:"40,keyasint,omitempty"` // that the receiver is to keep in the platform's store; at most MaxStreamRows
	EndedStreams []uint64    `cbor:"41,keyasint,omitempty"` // streams.Key of those of earlier DurableRows that needn't be kept; at most MaxEndedStreams
}

// MaxIncarnations is how many incarnations of upstreams one message asks for or reports.
const MaxIncarnations = 16

// IncarnationState is the state of one incarnation of an upstream.
type IncarnationState struct {
	_           struct{} `cbor:",toarray"`
	Incarnation fleet.Incarnation
	Leaving     bool // it reported that it is leaving
	Gone        bool // the platform listed it earlier and no longer does
}

// Restart says which incarnation of an upstream replaced an earlier one.
type Restart struct {
	_             struct{} `cbor:",toarray"`
	Incarnation   fleet.Incarnation
	Next          fleet.Incarnation
	NextStartedMS int64 // ms since the Unix epoch
}

// MaxRateLimits is how many rate limits one message holds.
const MaxRateLimits = 40

// RateLimit encodes a place.PeerRateLimit: what the sender knows of the rate limit that an upstream
// announced.
type RateLimit struct {
	_         struct{} `cbor:",toarray"`
	Upstream  uint32   // place.UpstreamKey
	PerSecond float64  // requests per second
	Ended     bool     // the limit no longer applies
	AgeMS     int64    // time since the response that announced it, in milliseconds
}

// ShareLoan lends a share of all rate limits to the receiver.
type ShareLoan struct {
	_      struct{} `cbor:",toarray"`
	Serial uint64   // of the request for it
	Share  float64  // from 0 to 1
	TermMS int64    // Loan.Term in milliseconds
}

// Loan converts l to a Loan.
func (l *ShareLoan) Loan() Loan {
	return Loan{Share: l.Share, Term: time.Duration(l.TermMS) * time.Millisecond}
}

// RateLimitOf encodes a rate limit.
func RateLimitOf(l place.PeerRateLimit) RateLimit {
	return RateLimit{Upstream: uint32(l.Upstream), PerSecond: l.PerSecond, Ended: l.Ended, AgeMS: l.Age.Milliseconds()}
}

// PeerRateLimit converts l to a place.PeerRateLimit.
func (l RateLimit) PeerRateLimit() place.PeerRateLimit {
	return place.PeerRateLimit{
		Upstream: place.UpstreamKey(l.Upstream), PerSecond: l.PerSecond, Ended: l.Ended,
		Age: time.Duration(l.AgeMS) * time.Millisecond,
	}
}

// maxInstances bounds the number of instances that a peer may report.
const maxInstances = 1 << 20

// maxRateLimitAgeMS is the maximum age of a reported rate limit in milliseconds: one day.
const maxRateLimitAgeMS = 24 * 60 * 60 * 1000

// check returns an error if the rate is negative, infinite or NaN, or if the age is negative or
// exceeds maxRateLimitAgeMS.
func (l RateLimit) check() error {
	if !(l.PerSecond >= 0) || math.IsInf(l.PerSecond, 1) || l.AgeMS < 0 || l.AgeMS > maxRateLimitAgeMS {
		return errors.Errorf("rate limit of %g/s of upstream %d, %d ms old", l.PerSecond, l.Upstream, l.AgeMS)
	}
	return nil
}

// ServiceDemand encodes the demand of the sender's callers for the engines of one service. The
// numbers are those of roles.Demand.
type ServiceDemand struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Reading  float32
	Fetching float32
	Holding  float32
}

// demand converts d to a roles.Demand.
func (d *ServiceDemand) demand() roles.Demand {
	return roles.Demand{Reading: float64(d.Reading), Fetching: float64(d.Fetching), Holding: float64(d.Holding)}
}

// demandOf encodes the demand by service. If there are more than maxDemandServices services, it
// leaves out arbitrary ones.
func demandOf(demand map[string]roles.Demand) []ServiceDemand {
	out := make([]ServiceDemand, 0, len(demand))
	for service, d := range demand {
		if len(out) == maxDemandServices {
			break
		}
		out = append(out, ServiceDemand{Service: service, Reading: float32(d.Reading), Fetching: float32(d.Fetching), Holding: float32(d.Holding)})
	}
	return out
}

// Row is what the sender has in flight at one upstream.
type Row struct {
	_        struct{} `cbor:",toarray"`
	Upstream uint32   // place.UpstreamKey
	Requests int      // sent and not ended
	Reserved int      // will decode there once their prompts are prefilled elsewhere
	Tokens   int      // prompt tokens that the upstream has yet to prefill
}

// Read reports a prompt that an upstream prefilled or fetched for the sender.
type Read struct {
	_        struct{} `cbor:",toarray"`
	Upstream uint32   // place.UpstreamKey
	Written  int      // number of tokens, as in place.CacheUpdate
	Parts    []uint32 // place.PartKey
}

// rowsOf encodes what is in flight at each upstream. If there are more than maxRows upstreams, it
// keeps those with the most outstanding prompt tokens, and of equal ones those with the most
// requests.
func rowsOf(inFlight map[place.UpstreamKey]place.InFlight) []Row {
	out := make([]Row, 0, len(inFlight))
	for key, f := range inFlight {
		out = append(out, Row{Upstream: uint32(key), Requests: f.Requests, Reserved: f.Reserved, Tokens: f.Tokens})
	}
	if len(out) > maxRows {
		slices.SortFunc(out, func(a, b Row) int {
			return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(b.Requests, a.Requests))
		})
		out = out[:maxRows]
	}
	return out
}

// readOf encodes a read.
func readOf(r place.CacheUpdate) Read {
	out := Read{Upstream: uint32(r.Upstream), Written: r.Written, Parts: make([]uint32, len(r.Parts))}
	for i, key := range r.Parts {
		out.Parts[i] = uint32(key)
	}
	return out
}

// CacheUpdate converts r to a place.CacheUpdate.
func (r *Read) CacheUpdate() place.CacheUpdate {
	out := place.CacheUpdate{Upstream: place.UpstreamKey(r.Upstream), Written: r.Written, Parts: make([]place.PartKey, len(r.Parts))}
	for i, key := range r.Parts {
		out.Parts[i] = place.PartKey(key)
	}
	return out
}

// Work returns what the sender has in flight, by upstream.
func (m *Message) Work() map[place.UpstreamKey]place.InFlight {
	out := make(map[place.UpstreamKey]place.InFlight, len(m.Rows))
	for _, r := range m.Rows {
		out[place.UpstreamKey(r.Upstream)] = place.InFlight{Requests: r.Requests, Reserved: r.Reserved, Tokens: r.Tokens}
	}
	return out
}

// Encode encodes a message as CBOR.
func Encode(m Message) ([]byte, error) {
	m.RequiredSoftware, m.GrantedSoftware = softwareOf(&m)
	data, err := cbor.Marshal(m)
	return data, errors.Wrap(err, "encode message to peer")
}

// Decode decodes a message. It returns an error if the data is no message, if a list that is bounded
// here is too long, or if a value is out of range.
func Decode(data []byte) (Message, error) {
	var m Message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return m, errors.Wrap(err, "decode message from peer")
	}
	for _, r := range m.Rows {
		if r.Requests < 0 || r.Reserved < 0 || r.Tokens < 0 {
			return m, errors.Errorf("invalid message from peer: negative count for upstream %d", r.Upstream)
		}
	}
	for i := range m.Demand {
		if d := m.Demand[i].demand(); !(d.Reading >= 0 && d.Fetching >= 0 && d.Holding >= 0) {
			return m, errors.Errorf("invalid message from peer: demand %+v of service %q", d, m.Demand[i].Service)
		}
	}
	for _, r := range m.Reads {
		if r.Written < 0 {
			return m, errors.Errorf("invalid message from peer: negative token count of a read at upstream %d", r.Upstream)
		}
	}
	for i := range m.PlaceRequests {
		if err := m.PlaceRequests[i].check(); err != nil {
			return m, errors.Wrap(err, "invalid message from peer")
		}
	}
	for i := range m.EventReports {
		if err := m.EventReports[i].check(); err != nil {
			return m, errors.Wrap(err, "invalid message from peer")
		}
	}
	for i := range m.Usage {
		if err := m.Usage[i].Validate(); err != nil {
			return m, errors.Wrap(err, "invalid message from peer")
		}
	}
	if len(m.RateLimits) > MaxRateLimits {
		return m, errors.Errorf("invalid message from peer: %d rate limits", len(m.RateLimits))
	}
	for i := range m.RateLimits {
		if err := m.RateLimits[i].check(); err != nil {
			return m, errors.Wrap(err, "invalid message from peer")
		}
	}
	if l := m.ShareLoan; l != nil && !(l.Share >= 0 && l.Share <= 1 && l.TermMS >= 0 && l.TermMS <= loanTerm.Milliseconds()) {
		return m, errors.Errorf("invalid message from peer: loan of share %g for %d ms", l.Share, l.TermMS)
	}
	if m.Instances < 0 || m.Instances > maxInstances {
		return m, errors.Errorf("invalid message from peer: %d instances", m.Instances)
	}
	if len(m.IncarnationsWanted) > MaxIncarnations || len(m.Incarnations) > MaxIncarnations || len(m.Restarts) > MaxIncarnations {
		return m, errors.Errorf("invalid message from peer: %d incarnations asked for, %d reported, %d restarted", len(m.IncarnationsWanted), len(m.Incarnations), len(m.Restarts))
	}
	if err := m.checkStreams(); err != nil {
		return m, errors.Wrap(err, "invalid message from peer")
	}
	m.applySoftware()
	if len(m.UsageWanted) > usage.RetainedWindows {
		return m, errors.Errorf("invalid message from peer: usage of %d windows requested", len(m.UsageWanted))
	}
	return m, nil
}
