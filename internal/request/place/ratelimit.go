package place

import (
	"maps"
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/request/exchange"
)

const (
	// minRate is the lowest limit that is enforced, in requests per second of all instances
	// together. Some requests are sent even if the reported limit is lower, since only an
	// answer can report that the limit has ended.
	minRate = 0.1
	// unreadableRate is the limit, in requests per second, that is assumed if a reported limit
	// can't be parsed and none was known before.
	unreadableRate = 1.0
	// minRateChange is the least relative change of a limit that is reported to peers.
	minRateChange = 0.05
	// maxRateLimits bounds the number of limits in memory.
	maxRateLimits = 4096
	// burstWindow is the time for which unused credit may accumulate (see burst). Credit in
	// excess of that expires, so that instances don't accumulate it and send bursts together.
	burstWindow = 250 * time.Millisecond
	// endedLimitTTL is how long the end of a limit is reported to peers.
	endedLimitTTL = 10 * time.Second
	// unlistedLimitTTL is how long the limit of an upstream that is not known here is
	// kept: the list of upstreams may be out of date.
	unlistedLimitTTL = time.Minute
	// minNewerBy applies to a peer's report that has the same limit as the known one. Such a
	// report is accepted only if it is newer than the known one by at least minNewerBy. The
	// time of a report is computed from its age on arrival. Without the margin, a report that
	// peers pass around would therefore count as newer each time.
	minNewerBy = 100 * time.Millisecond
)

// rateLimit is the known rate limit of one upstream and the credit of this process
// against it, like a token bucket.
type rateLimit struct {
	upstream   string    // id, which later incarnations may share; empty: the upstream wasn't listed
	perSecond  float64   // requests per second that all instances together may send
	ended      bool      // the upstream has no limit any more
	reportedAt time.Time // when an answer reported the limit or its end
	credit     float64   // requests that this process may send
	refilledAt time.Time // when credit was last refilled
	blockedAt  time.Time // when it last blocked a request; zero: never
}

// PeerRateLimit is the rate limit of an upstream as instances report it to each other.
type PeerRateLimit struct {
	Upstream  UpstreamKey
	PerSecond float64
	Ended     bool
	Age       time.Duration // time since an answer reported it
}

// SetRateShare sets the share of each rate limit that this process may use, from 0 to 1. The
// shares of all processes add up to at most 1.
func (t *Tracker) SetRateShare(now time.Time, share float64) {
	for _, l := range t.rateLimits {
		l.refill(now, t.rateShare)
	}
	t.rateShare = share
}

// SetSalt sets the seed of the offsets at which this process sends against rate limits and
// after backoffs. It should differ between processes, so that they don't send together.
func (t *Tracker) SetSalt(salt uint64) { t.salt = salt }

// rate returns the number of requests per second that all instances together may send.
func (l *rateLimit) rate() float64 { return max(l.perSecond, minRate) }

// burst returns by how much the credit of a process may exceed the credit for one request. share
// is the process's share of the limit.
func (l *rateLimit) burst(share float64) float64 {
	return max(share, l.rate()*share*burstWindow.Seconds())
}

// refill adds the credit for a share of the limit up to now. Unused credit beyond burst expires
// in whole requests.
func (l *rateLimit) refill(now time.Time, share float64) {
	if elapsed := now.Sub(l.refilledAt); elapsed > 0 {
		l.credit += l.rate() * share * elapsed.Seconds()
		l.refilledAt = now
	}
	if over := l.credit - 1 - l.burst(share); over >= 0 {
		l.credit -= math.Floor(over) + 1
	}
}

// newRateLimit returns a new limit. Its initial credit differs between processes and
// upstreams, so that not all processes have credit for the next request at the same time.
func (t *Tracker) newRateLimit(now time.Time, key UpstreamKey, perSecond float64, at time.Time) *rateLimit {
	l := &rateLimit{perSecond: perSecond, reportedAt: at, refilledAt: now}
	l.credit = l.burst(t.rateShare) + t.hashFraction(key)
	if u, listed := t.byKey[key]; listed {
		l.upstream = u.up.ID
	}
	return l
}

// inheritRateLimit gives an upstream that is newly listed the limit of an earlier incarnation, if the process started
// before that limit was reported: the list was late, and this process has the limit.
func (t *Tracker) inheritRateLimit(u *fleet.Upstream) {
	key := KeyOf(u.Incarnation())
	if u.StartedMS == 0 || t.rateLimits[key] != nil || len(t.rateLimits) >= maxRateLimits {
		return
	}
	var latest *rateLimit
	for _, l := range t.rateLimits {
		if l.upstream == u.ID && l.reportedAt.UnixMilli() >= u.StartedMS && (latest == nil || l.reportedAt.After(latest.reportedAt)) {
			latest = l
		}
	}
	if latest != nil && !latest.ended {
		inherited := *latest
		t.rateLimits[key] = &inherited
	}
}

// hashFraction returns a pseudorandom value from 0 to 1 for this process (see SetSalt) and an
// upstream.
func (t *Tracker) hashFraction(key UpstreamKey) float64 {
	var d xxhash.Digest
	d.ResetWithSeed(t.salt)
	_, _ = d.WriteString(strconv.FormatUint(uint64(key), 10)) // writes to a digest never fail
	return float64(d.Sum64()>>11) / (1 << 53)
}

// effectiveRate returns the requests per second that a reported limit allows. known is the
// limit known so far, which stays in force if the reported one can't be parsed; nil: none.
func effectiveRate(reported exchange.RateLimit, known *rateLimit) float64 {
	switch {
	case reported.Valid:
		return reported.PerSecond
	case known != nil && !known.ended:
		return known.perSecond
	}
	return unreadableRate
}

// RateLimited records that an answer of an upstream reported its rate limit. It reports
// whether the limit is new or changed.
func (t *Tracker) RateLimited(now time.Time, id fleet.Incarnation, reported exchange.RateLimit) (changed bool) {
	key := KeyOf(id)
	return t.setRateLimit(now, key, effectiveRate(reported, t.rateLimits[key]), now)
}

// setRateLimit records a limit. at is the time at which an answer reported it. setRateLimit
// reports whether the limit is new or changed.
func (t *Tracker) setRateLimit(now time.Time, key UpstreamKey, perSecond float64, at time.Time) (changed bool) {
	l := t.rateLimits[key]
	switch {
	case l != nil:
	case len(t.rateLimits) >= maxRateLimits:
		return false
	default:
		t.rateLimits[key] = t.newRateLimit(now, key, perSecond, at)
		return true
	}
	l.refill(now, t.rateShare)
	changed = l.changes(perSecond)
	l.perSecond, l.ended, l.reportedAt = perSecond, false, at
	return changed
}

// changes reports whether a rate differs enough from the known limit to be a change.
func (l *rateLimit) changes(perSecond float64) bool {
	return l.ended || math.Abs(perSecond-l.perSecond) > minRateChange*l.perSecond
}

// NotRateLimited records that an answer of an upstream reported no rate limit. sent is when the
// request was sent. If that was before the limit became known, the answer is ignored, since it
// may be older than the limit. NotRateLimited reports whether the answer ended a limit.
func (t *Tracker) NotRateLimited(sent time.Time, id fleet.Incarnation) (changed bool) {
	l := t.rateLimits[KeyOf(id)]
	if l == nil || l.ended || !sent.After(l.reportedAt) {
		return false
	}
	l.ended, l.reportedAt = true, sent
	return true
}

// MergeRateLimit records a limit reported by a peer. It reports whether the limit is new,
// changed or ended.
func (t *Tracker) MergeRateLimit(now time.Time, report PeerRateLimit) (changed bool) {
	at := now.Add(-report.Age)
	l := t.rateLimits[report.Upstream]
	switch {
	case l == nil && report.Ended:
		return false
	case l == nil:
		return t.setRateLimit(now, report.Upstream, report.PerSecond, at)
	case !at.After(l.reportedAt), l.matches(report) && at.Sub(l.reportedAt) < minNewerBy:
		return false
	case report.Ended:
		changed = !l.ended
		l.ended, l.reportedAt = true, at
		return changed
	}
	return t.setRateLimit(now, report.Upstream, report.PerSecond, at)
}

// matches reports whether the limit equals a report.
func (l *rateLimit) matches(report PeerRateLimit) bool {
	return l.ended == report.Ended && l.perSecond == report.PerSecond
}

// RateLimits returns the limits to report to peers.
func (t *Tracker) RateLimits(now time.Time) []PeerRateLimit {
	var out []PeerRateLimit
	for key, l := range t.rateLimits {
		out = append(out, l.report(now, key))
	}
	return out
}

// ForgetRateLimits removes the limits of upstreams that are no longer known and limits that
// ended some time ago.
func (t *Tracker) ForgetRateLimits(now time.Time) {
	maps.DeleteFunc(t.rateLimits, func(key UpstreamKey, l *rateLimit) bool {
		age := now.Sub(l.reportedAt)
		_, known := t.byKey[key]
		return (l.ended && age >= endedLimitTTL) || (!known && age >= unlistedLimitTTL)
	})
}

// report returns the limit in the form that is reported to peers.
func (l *rateLimit) report(now time.Time, key UpstreamKey) PeerRateLimit {
	return PeerRateLimit{Upstream: key, PerSecond: l.perSecond, Ended: l.ended, Age: now.Sub(l.reportedAt)}
}

// RateLimitOf returns the known limit of one upstream; ok is false if there is none.
func (t *Tracker) RateLimitOf(now time.Time, key UpstreamKey) (report PeerRateLimit, ok bool) {
	l, ok := t.rateLimits[key]
	if !ok {
		return report, false
	}
	return l.report(now, key), true
}

// never is the wait of a request that can't be sent at all.
const never = time.Duration(math.MaxInt64)

// rateWait returns for how long the rate limit of an upstream blocks a request of this process;
// never if it blocks the request for more than an hour. limited is false if the upstream has no
// limit.
func (t *Tracker) rateWait(now time.Time, key UpstreamKey) (wait time.Duration, limited bool) {
	l := t.rateLimits[key]
	if l == nil || l.ended {
		return 0, false
	}
	l.refill(now, t.rateShare)
	if l.credit >= 1 {
		return 0, true
	}
	l.blockedAt = now
	return timeToSend(1-l.credit, l.rate()*t.rateShare), true
}

// rateBlocked reports whether an upstream's rate limit blocks requests of this process now.
func (t *Tracker) rateBlocked(now time.Time, u *upstreamState) bool {
	if len(t.rateLimits) == 0 {
		return false
	}
	wait, _ := t.rateWait(now, u.key)
	return wait > 0
}

// blockedWindow is the time after a limit blocked a request during which RateLimitsBind returns
// true.
const blockedWindow = 2 * time.Second

// RateLimitsBind reports whether rate limits have recently blocked requests.
func (t *Tracker) RateLimitsBind(now time.Time) bool {
	for _, l := range t.rateLimits {
		if !l.ended && !l.blockedAt.IsZero() && now.Sub(l.blockedAt) < blockedWindow {
			return true
		}
	}
	return false
}

// timeToSend returns how long it takes to send a number of requests at a rate of perSecond,
// or never if that is more than an hour.
func timeToSend(requests, perSecond float64) time.Duration {
	seconds := requests / perSecond
	if perSecond <= 0 || seconds > time.Hour.Seconds() {
		return never
	}
	return time.Duration(seconds * float64(time.Second))
}

// charge charges a request against the rate limit of the chosen upstream.
func (t *Tracker) charge(now time.Time, c *Choice) {
	l := t.rateLimits[KeyOf(c.Upstream.Incarnation())]
	if l == nil || l.ended {
		return
	}
	l.refill(now, t.rateShare)
	l.credit--
	c.rateCharged = true
}

// refund takes back the charge for a place at which nothing was sent.
func (t *Tracker) refund(c *Choice) {
	if l := t.rateLimits[KeyOf(c.Upstream.Incarnation())]; l != nil && c.rateCharged {
		l.credit++
	}
}

// throttling summarizes the rate limits and backoffs of the upstreams that could serve a
// request.
type throttling struct {
	all         bool          // each of these upstreams has a rate limit or is backing off
	rateLimited int           // upstreams with a rate limit
	backingOff  int           // upstreams that are backing off
	firstReady  time.Duration // time until the first of them may get a request
	perSecond   float64       // requests per second that this process may send to those with a rate limit
	ready       int           // requests that this process may send now to those with a rate limit
}

// throttling returns the state of the rate limits and backoffs of the upstreams that could
// serve a request.
func (t *Tracker) throttling(now time.Time, q *Query) throttling {
	if len(t.rateLimits)+len(t.backoffs) == 0 {
		return throttling{}
	}
	limits, eligible := throttling{firstReady: never}, 0
	for _, u := range t.services[q.Service] {
		if !u.eligible(now, q) {
			continue
		}
		eligible++
		if left := t.backoffOf(u.incarnation).remaining(now); left > 0 {
			limits.backingOff++
			limits.firstReady = min(limits.firstReady, left)
			continue
		}
		wait, limited := t.rateWait(now, u.key)
		if !limited {
			continue
		}
		l := t.rateLimits[u.key]
		limits.rateLimited++
		limits.firstReady = min(limits.firstReady, wait)
		limits.perSecond += l.rate() * t.rateShare
		limits.ready += int(max(l.credit, 0))
	}
	limits.all = eligible > 0 && limits.rateLimited+limits.backingOff == eligible
	return limits
}

// waitBehind returns how long a request must wait because of the limits if n other requests go
// first. It ignores n if no upstream has a rate limit, since it is unknown how many requests
// upstreams accept after a backoff.
func (limits *throttling) waitBehind(n int) time.Duration {
	if n == 0 || limits.firstReady == never || limits.rateLimited == 0 {
		return limits.firstReady
	}
	wait := timeToSend(float64(n), limits.perSecond)
	if wait == never {
		return never
	}
	return limits.firstReady + wait
}
