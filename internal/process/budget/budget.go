package budget

import "time"

// Phase is what a connection is in the middle of.
type Phase uint8

// The phases of a connection.
const (
	Unused    Phase = iota // no byte has arrived on it yet
	Head                   // the head of a request is arriving
	Body                   // the body of a request is arriving
	Running                // a request has arrived as far as it is needed, and runs or is being answered
	Idle                   // a request was answered, and the next one hasn't begun
	Lingering              // the last answer was sent, and what the caller still sends is discarded
	Phases
)

// String returns the name of the phase in metrics.
func (p Phase) String() string {
	return [Phases]string{"unused", "head", "body", "running", "idle", "lingering"}[p]
}

// Purpose is what bytes are booked for.
type Purpose uint8

// The purposes.
const (
	Heads     Purpose = iota // heads of requests, beyond what a connection costs anyway
	Bodies                   // bodies of requests
	Responses                // responses that are read to their end before any byte is sent on
	Purposes
)

// String returns the name of the purpose in metrics.
func (p Purpose) String() string { return [Purposes]string{"heads", "bodies", "responses"}[p] }

// Reason is why a connection is closed, or why what it asked for is refused.
type Reason string

// The reasons.
const (
	NoReason         Reason = ""
	HeadTooLarge     Reason = "head_too_large"    // the head exceeds the limit on heads
	HeadTimeout      Reason = "head_timeout"      // the head took longer than it may
	IdleTimeout      Reason = "idle_timeout"      // nothing arrived for longer than a connection may be idle
	BytesShort       Reason = "bytes_short"       // it made no progress while others needed its bytes
	ConnectionsShort Reason = "connections_short" // it made no progress while another connection needed its place
	NoRoom           Reason = "no_room"           // there was no room, and no other connection could be closed for it
)

const (
	// ConnectionBytes is what an open connection costs: its buffers, goroutines and bookkeeping, and a head
	// of ordinary size.
	ConnectionBytes = 16 << 10
	// freeHeadBytes and freeHeadLines are covered by ConnectionBytes.
	freeHeadBytes = 4 << 10
	freeHeadLines = 64
	// headByteCost and headLineCost are the bytes that a byte and a line of a head cost: a line is copied when
	// it is parsed, and its name and value are entries of a map.
	headByteCost = 2
	headLineCost = 192
	// readBufferBytes is how far a read of a head may reach beyond its end.
	readBufferBytes = 4 << 10

	// minStall is how long a connection must have made no progress before it may be closed for others. It is
	// longer than a lost packet takes to be sent again.
	minStall = 500 * time.Millisecond
	// progressShare and minProgress are how much has to arrive to count as progress: this share of what
	// arrived before, and this many bytes. A byte now and then is none.
	progressShare = 16
	minProgress   = 512

	// smallBytes is how much a connection may hold to count as a small one, for which a part of the bytes is
	// kept: large bodies can use largeShare of the bytes.
	smallBytes = 64 << 10
	largeShare = 0.75
	// accountShare is the share of the bytes that one client account can use once more than that share is used.
	accountShare = 0.5
	// connectionShare is the share of the bytes that connections can cost by themselves.
	connectionShare = 0.5
	// enoughShare is the share of the bytes or connections below which they are no longer short.
	enoughShare = 0.7
)

// Limits are the limits on all connections together.
type Limits struct {
	Bytes       int64 // held for callers, the cost of connections included
	Connections int
}

// NewLimits returns limits for connections that may use a number of bytes and of descriptors.
func NewLimits(bytes int64, descriptors int) Limits {
	affordable := int(connectionShare * float64(bytes) / ConnectionBytes)
	return Limits{Bytes: bytes, Connections: max(1, min(descriptors, affordable))}
}

// LargestBody returns the size of the largest body that has room in calm, beside a few connections.
func (l Limits) LargestBody() int64 { return int64(largeShare * float64(l.Bytes)) }

// CallerLimits are the limits that a single caller has to keep to.
type CallerLimits struct {
	HeadBytes   int           // of the head of a request
	HeadTimeout time.Duration // from the first byte of a head to its end
	IdleTimeout time.Duration // without a byte, before a request and in the middle of its body
}

// Holder is the record of one connection. Only a Core changes it.
type Holder struct {
	phase      Phase
	since      time.Time // when the phase began
	lastAt     time.Time // when the last bytes arrived
	received   int64     // bytes of the head or body that is arriving
	lines      int64     // lines of the head that is arriving
	progressAt time.Time // when progress was last made
	progressed int64     // what had arrived then
	held       [Purposes]int64
	account    string // client account of the request; empty: none
	closing    bool   // it was decided to close it
}

// total returns the booked bytes without the cost of the connection.
func (h *Holder) total() int64 {
	sum := int64(0)
	for _, n := range h.held {
		sum += n
	}
	return sum
}

// enter begins a phase.
func (h *Holder) enter(now time.Time, p Phase) {
	h.phase, h.since, h.lastAt, h.progressAt = p, now, now, now
	h.received, h.progressed, h.lines = 0, 0, 0
}

// receive records bytes that have arrived.
func (h *Holder) receive(now time.Time, n int) {
	h.lastAt = now
	h.received += int64(n)
	if h.received-h.progressed >= max(minProgress, h.progressed/progressShare) {
		h.progressAt, h.progressed = now, h.received
	}
}

// stalledFor returns how long the connection has made no progress; 0: it doesn't have to, as its request runs.
func (h *Holder) stalledFor(now time.Time) time.Duration {
	if h.phase == Running {
		return 0
	}
	return now.Sub(h.progressAt)
}

// Closing is the decision to close a connection.
type Closing struct {
	Holder *Holder
	Phase  Phase // in which it was
	Reason Reason
}
