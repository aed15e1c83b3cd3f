package place

import (
	"maps"
	"math"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
)

const (
	// initialBackoff is how long nothing is sent to an upstream that rejected a request
	// without requesting a backoff. It is shorter than a request takes, since the upstream
	// may be full only briefly.
	initialBackoff = 20 * time.Millisecond
	// backoffsBeforeDoubling is the number of such backoffs without an accepted request
	// after which each further one is twice as long as the one before, up to maxBackoff.
	backoffsBeforeDoubling = 3
	maxBackoff             = time.Second
	// jitterShare is the longest extension of a requested backoff, as a share of it. Each
	// process extends the backoff by a different time, at most maxJitter, so that processes
	// don't resume sending together.
	jitterShare = 0.25
	maxJitter   = time.Second
	// maxBackoffs bounds the number of upstreams in backoff or slow start.
	maxBackoffs = 4096
	// backoffTTL is how long the state of a backoff is kept after the end of the backoff.
	backoffTTL = 10 * time.Second
)

// backoff is the state of an upstream that rejected requests. After the backoff it gets few
// requests at first (slow start), and more as it accepts them.
type backoff struct {
	upstream       string    // id, which later incarnations may share; empty: the upstream wasn't listed
	rejectedAt     time.Time // last rejection
	requestedUntil time.Time // end of the backoff that the upstream requested
	until          time.Time // end of the backoff; not before requestedUntil
	consecutive    int       // backoffs since it last accepted a request
	limit          int       // most requests in flight
	inFlight       int       // requests in flight that were sent since the state was created
	slowStartLimit int       // while limit is below this, each accepted request raises limit by one
	accepted       int       // requests accepted since limit was last raised
}

// Rejected records that an upstream rejected a request. requested is the time for which the
// upstream asked to get no requests; 0 means that it named none. Rejected starts a backoff,
// or extends the one in progress if requested ends later, and reports whether it started one.
func (t *Tracker) Rejected(now time.Time, id fleet.Incarnation, requested time.Duration) (started bool) {
	b, ok := t.backoffs[id]
	if !ok {
		if len(t.backoffs) >= maxBackoffs {
			return false
		}
		b = &backoff{}
		if u, listed := t.byIncarnation[id]; listed {
			b.upstream = u.up.ID
		}
		t.backoffs[id] = b
	}
	b.rejectedAt = now
	if until := now.Add(requested); requested > 0 && until.After(b.requestedUntil) {
		b.requestedUntil = until
	}
	if started = !now.Before(b.until); started {
		b.until = now.Add(b.nextDelay())
		b.slowStartLimit = t.acceptedInFlight(id)
		b.limit, b.accepted = b.slowStartLimit, 0
	}
	if requested > 0 {
		b.limit, b.slowStartLimit = 1, math.MaxInt
	}
	if !b.until.After(b.requestedUntil) {
		b.until = b.requestedUntil.Add(t.backoffJitter(id, requested))
	}
	return started
}

// inheritBackoff gives an upstream that is newly listed the backoff of an earlier incarnation, if the process started
// before that rejected a request: the list was late, and this process asked for the backoff.
func (t *Tracker) inheritBackoff(u *fleet.Upstream) {
	if u.StartedMS == 0 {
		return
	}
	var latest *backoff
	for _, b := range t.backoffs {
		if b.upstream == u.ID && b.rejectedAt.UnixMilli() >= u.StartedMS && (latest == nil || b.rejectedAt.After(latest.rejectedAt)) {
			latest = b
		}
	}
	if latest == nil || len(t.backoffs) >= maxBackoffs {
		return
	}
	inherited := *latest
	inherited.inFlight = 0
	t.backoffs[u.Incarnation()] = &inherited
}

// nextDelay returns the length of the next backoff if the upstream requests none.
func (b *backoff) nextDelay() time.Duration {
	b.consecutive++
	delay := initialBackoff
	for range b.consecutive - backoffsBeforeDoubling {
		if delay *= 2; delay >= maxBackoff {
			return maxBackoff
		}
	}
	return delay
}

// acceptedInFlight returns the number of requests that this process has in flight at an
// upstream, without the one that was just rejected, and at least 1.
func (t *Tracker) acceptedInFlight(id fleet.Incarnation) int {
	if u, ok := t.byIncarnation[id]; ok {
		return max(u.ownRequests-1, 1)
	}
	return 1
}

// backoffJitter returns by how much this process extends a requested backoff.
func (t *Tracker) backoffJitter(id fleet.Incarnation, requested time.Duration) time.Duration {
	limit := min(time.Duration(jitterShare*float64(requested)), maxJitter)
	return time.Duration(t.hashFraction(KeyOf(id)) * float64(limit))
}

// BackoffLeft returns the rest of the backoff that an upstream requested; 0 means none.
func (t *Tracker) BackoffLeft(now time.Time, id fleet.Incarnation) time.Duration {
	if b, ok := t.backoffs[id]; ok {
		return max(b.requestedUntil.Sub(now), 0)
	}
	return 0
}

// BackingOff returns the number of upstreams with a requested backoff in progress.
func (t *Tracker) BackingOff(now time.Time) int {
	n := 0
	for _, b := range t.backoffs {
		if now.Before(b.requestedUntil) {
			n++
		}
	}
	return n
}

// backoffOf returns the backoff state of an upstream, or nil if it has none.
func (t *Tracker) backoffOf(id fleet.Incarnation) *backoff {
	if len(t.backoffs) == 0 {
		return nil // the usual case
	}
	return t.backoffs[id]
}

// remaining returns the rest of the backoff; 0 means that the upstream may get requests.
func (b *backoff) remaining(now time.Time) time.Duration {
	if b == nil {
		return 0
	}
	return max(b.until.Sub(now), 0)
}

// blocked reports whether the upstream gets no requests now: its backoff is in progress, or
// in slow start as many requests are in flight as its limit allows.
func (b *backoff) blocked(now time.Time) bool {
	return b != nil && (now.Before(b.until) || b.inFlight >= b.limit)
}

// beginTrial counts a request as in flight if its upstream is in slow start.
func (t *Tracker) beginTrial(c *Choice) {
	if b := t.backoffOf(c.Upstream.Incarnation()); b != nil {
		b.inFlight++
		c.backoffTrial = true
	}
}

// endTrial counts the end of a request that beginTrial counted. It does nothing for others.
func (t *Tracker) endTrial(c *Choice) {
	if b := t.backoffOf(c.Upstream.Incarnation()); b != nil && c.backoffTrial {
		b.inFlight = max(b.inFlight-1, 0)
	}
	c.backoffTrial = false
}

// trialAccepted records that an upstream accepted a request in slow start, and raises the
// limit of requests in flight there. In the time that one request takes, the limit doubles
// while it is below slowStartLimit, and rises by one when it is above. Once the limit exceeds
// the upstream's slots, the backoff state is removed.
func (t *Tracker) trialAccepted(now time.Time, c *Choice) {
	id := c.Upstream.Incarnation()
	b := t.backoffOf(id)
	if b == nil || !c.backoffTrial || now.Before(b.until) {
		return
	}
	b.consecutive = 0
	if b.accepted++; b.limit < b.slowStartLimit || b.accepted >= b.limit {
		b.limit++
		b.accepted = 0
	}
	if u, ok := t.byIncarnation[id]; ok && b.limit > int(u.slots()) {
		delete(t.backoffs, id)
	}
}

// ForgetBackoffs removes the state of backoffs that ended backoffTTL ago. For upstreams that
// are no longer known, it removes the state as soon as the requested backoff has ended,
// unless no upstream is known at all.
func (t *Tracker) ForgetBackoffs(now time.Time) {
	maps.DeleteFunc(t.backoffs, func(id fleet.Incarnation, b *backoff) bool {
		_, known := t.byIncarnation[id]
		return now.Sub(b.until) >= backoffTTL || (!known && len(t.byIncarnation) > 0 && !now.Before(b.requestedUntil))
	})
}
