package peers

import (
	"math"
	"time"
)

// Bounds of the time to wait for the answer of a placer. Within an availability zone an answer takes
// about 1 ms; an instance whose CPU is throttled answers within 100 ms.
const (
	initialAnswerTimeout = 25 * time.Millisecond
	minAnswerTimeout     = 10 * time.Millisecond
	maxAnswerTimeout     = 100 * time.Millisecond
)

// Weights of a new measurement in the two estimates, and the factor of the variation in the timeout,
// as for the TCP retransmission timeout (RFC 6298).
const (
	srttGain     = 0.125
	rttvarGain   = 0.25
	rttvarFactor = 4
)

// rttEstimator estimates the time that placers take to answer.
type rttEstimator struct {
	srtt, rttvar float64 // smoothed round-trip time and its variation, seconds; 0: unknown
}

// observe updates the estimates with a measured round-trip time.
func (e *rttEstimator) observe(rtt time.Duration) {
	t := rtt.Seconds()
	if e.srtt == 0 {
		e.srtt, e.rttvar = t, t/2
		return
	}
	e.rttvar += rttvarGain * (math.Abs(t-e.srtt) - e.rttvar)
	e.srtt += srttGain * (t - e.srtt)
}

// timeout returns the time to wait for the next answer.
func (e *rttEstimator) timeout() time.Duration {
	if e.srtt == 0 {
		return initialAnswerTimeout
	}
	timeout := time.Duration((e.srtt + rttvarFactor*e.rttvar) * float64(time.Second))
	return min(max(timeout, minAnswerTimeout), maxAnswerTimeout)
}

// AnswerTimeout returns how long to wait for the answer of a placer.
func (c *Core) AnswerTimeout() time.Duration { return c.answerRTT.timeout() }

// AnswerReceived records that the placer at address from answered a place request after rtt. The placer
// counts as available again.
func (c *Core) AnswerReceived(now time.Time, from string, rtt time.Duration) {
	c.answerRTT.observe(rtt)
	if m, ok := c.members[from]; ok {
		m.lastSeen, m.unavailable, m.starting, m.silent, m.heard = now, false, false, false, true
	}
}

// AnswerTimedOut records that the placer at an address left a place request unanswered. It is not asked
// again until it sends a message.
func (c *Core) AnswerTimedOut(address string) {
	// The placer may have answered later than estimated, so the timeout counts as a round-trip time.
	c.answerRTT.observe(c.answerRTT.timeout())
	if m, ok := c.members[address]; ok {
		m.unavailable, m.starting, m.silent, m.heard = true, false, true, false
	}
}
