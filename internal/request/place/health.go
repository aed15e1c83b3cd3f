package place

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/decay"
)

const (
	// stallTimeout is how long an upstream with unanswered requests may send nothing
	// before it gets no more requests. Prompts are prefilled in some 10 ms, events come
	// every few tens of milliseconds, and even a full upstream sends answers of its other
	// requests meanwhile.
	stallTimeout = 500 * time.Millisecond
	// probeInterval is the time between the suspicion that an upstream is down and the first
	// probe, and between two probes. It is short compared to a restart of one or two seconds
	// and long compared to a round trip.
	probeInterval = 400 * time.Millisecond
	// misdirectedBackoff is how long an upstream whose address belongs to another one gets
	// no requests: about as long as it takes to read a new list of upstreams.
	misdirectedBackoff = 2 * time.Second
	// failureHalfLife is the half-life of the failure rate.
	failureHalfLife = 2 * time.Second
	// failureWeight is the weight of the newest outcome in the failure rate: five failures
	// in a row raise it to about two thirds.
	failureWeight = 0.2
)

// health tracks the health of an upstream by its answers and by probes. An upstream that is
// suspected to be down gets no requests until a probe reaches it, and then one request at a
// time until it answers one, like a circuit breaker that is open and then half-open.
type health struct {
	unanswered       int       // requests without the head of an answer
	lastActivity     time.Time // last response or, if later, the send since which there are unanswered requests
	suspected        bool      // no requests until reachable, then one at a time until an answer
	reachable        bool      // a probe has connected since the upstream became suspected
	probing          bool      // a probe is in progress
	nextProbe        time.Time // no probe before this
	failureShare     float64   // failure rate at failureShareAt
	failureShareAt   time.Time
	misdirectedUntil time.Time // no requests before this
}

// misdirected records that the address of the upstream belongs to another upstream.
func (h *health) misdirected(now time.Time) { h.misdirectedUntil = now.Add(misdirectedBackoff) }

// sent records that a request is sent.
func (h *health) sent(now time.Time) {
	if h.unanswered == 0 {
		h.lastActivity = now
	}
	h.unanswered++
}

// responded records that a part of an answer arrived. answered is true for the head of an
// answer.
func (h *health) responded(now time.Time, answered bool) {
	h.lastActivity = now
	h.suspected = false
	if answered {
		h.requestResolved()
	}
}

// succeeded records an answer that is not a failure.
func (h *health) succeeded(now time.Time) {
	h.suspected = false
	h.recordOutcome(now, 0)
}

// failed records the failure of a request. A failure before any answer, such as a connection
// reset, may mean that the upstream is down.
func (h *health) failed(now time.Time, unanswered bool) {
	h.recordOutcome(now, 1)
	if unanswered {
		h.requestResolved()
		h.suspect(now)
	}
}

// suspect takes the upstream out of service until a probe reaches it. Requests are not used
// as probes, since a request that must not be repeated would be lost.
func (h *health) suspect(now time.Time) {
	if !h.suspected || h.reachable {
		h.nextProbe = now.Add(probeInterval)
	}
	h.suspected, h.reachable = true, false
}

// probeDue reports whether a probe should start now, and marks it as started.
func (h *health) probeDue(now time.Time) bool {
	if !h.suspected || h.reachable || h.probing || now.Before(h.nextProbe) {
		return false
	}
	h.probing = true
	return true
}

// probed records the result of a probe.
func (h *health) probed(now time.Time, reached bool) {
	h.probing, h.reachable = false, reached
	h.nextProbe = now.Add(probeInterval)
}

// requestResolved counts that a request no longer waits for the head of its answer.
func (h *health) requestResolved() { h.unanswered = max(h.unanswered-1, 0) }

// abandoned records that nobody waits for the answer to a request any more. An upstream that
// has sent nothing for stallTimeout is suspected to be down. For any other upstream, this says
// nothing about its health.
func (h *health) abandoned(now time.Time) {
	h.requestResolved()
	if now.Sub(h.lastActivity) > stallTimeout {
		h.suspect(now)
	}
}

// recordOutcome adds the outcome of a request to the failure rate. failure is 1 for a failure
// and 0 for a success.
func (h *health) recordOutcome(now time.Time, failure float64) {
	h.failureShare = h.failureRate(now)*(1-failureWeight) + failure*failureWeight
	h.failureShareAt = now
}

// failureRate returns the share of recent requests that failed. It decays to 0 without further
// failures.
func (h *health) failureRate(now time.Time) float64 {
	if h.failureShare == 0 {
		return 0
	}
	return h.failureShare * decay.Factor(now.Sub(h.failureShareAt), failureHalfLife)
}

// unavailable reports whether the upstream gets no requests at present.
func (h *health) unavailable(now time.Time) bool {
	if now.Before(h.misdirectedUntil) {
		return true
	}
	if h.suspected {
		return h.unanswered > 0 || !h.reachable
	}
	return h.unanswered > 0 && now.Sub(h.lastActivity) > stallTimeout
}
