package place

import (
	"slices"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/mapentry"
	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
)

// Tracker tracks the state of every upstream and picks upstreams for requests. It is
// not safe for concurrent use.
type Tracker struct {
	services            map[string][]*upstreamState          // upstreams that may get new work, by service
	byIncarnation       map[fleet.Incarnation]*upstreamState // the same, and those with requests in flight
	groupMeans          map[group]*groupMean
	concurrencyLimiters map[workClass]*concurrencyLimiter
	longPrompts         map[string]*eventRate // arrivals of requests with long prompts, by service
	prefillModels       map[group]*prefillModel
	byKey               map[UpstreamKey]*upstreamState // upstreams of byIncarnation, by key
	peerLoads           map[string]peerLoad            // by address of the instance
	unsentCacheUpdates  []CacheUpdate                  // cache updates that TakeCacheUpdates has not returned yet
	peersReporting      bool                           // see SetPeersReporting
	rateLimits          map[UpstreamKey]*rateLimit
	rateShare           float64 // see SetRateShare
	backoffs            map[fleet.Incarnation]*backoff
	salt                uint64 // see SetSalt
	listVersion         uint64 // number of SetUpstreams calls
}

// workClass identifies one kind of work at the upstreams of a service.
type workClass struct {
	service string
	work    Work
}

// groupMean returns the mean untracked load of an upstream's group.
func (t *Tracker) groupMean(u *upstreamState) *groupMean {
	return mapentry.GetOrCreate(t.groupMeans, u.group(), mapentry.Zero[groupMean])
}

// NewTracker returns a Tracker without upstreams. Its process may use the full rate
// limits of upstreams until SetRateShare is called.
func NewTracker() *Tracker {
	return &Tracker{
		services:            make(map[string][]*upstreamState),
		byIncarnation:       make(map[fleet.Incarnation]*upstreamState),
		groupMeans:          make(map[group]*groupMean),
		concurrencyLimiters: make(map[workClass]*concurrencyLimiter),
		longPrompts:         make(map[string]*eventRate),
		peerLoads:           make(map[string]peerLoad),
		prefillModels:       make(map[group]*prefillModel),

		rateLimits: make(map[UpstreamKey]*rateLimit),
		backoffs:   make(map[fleet.Incarnation]*backoff),
		rateShare:  1,
	}
}

// prefillModel returns the model of prefill times of a group's engines.
func (t *Tracker) prefillModel(g group) *prefillModel {
	return mapentry.GetOrCreate(t.prefillModels, g, mapentry.Zero[prefillModel])
}

// SetUpstreams replaces the list of upstreams that may get new work. Upstreams that are
// no longer listed, including earlier incarnations, are kept while they have requests
// of this process in flight, so that the end of these requests is counted. A new
// incarnation starts without any state, but for a backoff and a rate limit that it asked
// for itself (inheritBackoff, inheritRateLimit).
func (t *Tracker) SetUpstreams(services map[string][]fleet.Upstream) {
	t.services = make(map[string][]*upstreamState, len(services))
	t.listVersion++
	kept := make(map[fleet.Incarnation]*upstreamState, len(t.byIncarnation))
	for service, list := range services {
		for _, up := range list {
			id := up.Incarnation()
			u, ok := t.byIncarnation[id]
			if !ok {
				u = &upstreamState{incarnation: id, key: KeyOf(id), hash: hashID(up.ID)}
				t.inheritBackoff(&up)
				t.inheritRateLimit(&up)
			}
			t.moveInFlight(u, up.Service)
			u.up = up
			u.groupMean, u.prefillModel, u.peersReporting = t.groupMean(u), t.prefillModel(u.group()), &t.peersReporting
			u.listVersion = t.listVersion
			kept[id] = u
			t.services[service] = append(t.services[service], u)
		}
	}
	for key, u := range t.byIncarnation {
		if kept[key] == nil && u.ownRequests+u.ownReserved > 0 {
			kept[key] = u
		}
	}
	t.byIncarnation = kept
	t.rebuildKeyIndex()
}

// GapObserved records the gap between two consecutive events of a stream from an upstream.
func (t *Tracker) GapObserved(now time.Time, id fleet.Incarnation, gap time.Duration) {
	if u, ok := t.byIncarnation[id]; ok {
		u.eventGap.add(now, gap)
	}
}

// LongStreamStarted records that a request for a long answer is sent to an upstream. gap is
// the longest mean gap between events with which the answer still ends in time.
func (t *Tracker) LongStreamStarted(id fleet.Incarnation, gap time.Duration) {
	if u, ok := t.byIncarnation[id]; ok {
		u.longStreamGaps = append(u.longStreamGaps, gap)
	}
}

// LongStreamEnded records the end of a request that LongStreamStarted recorded with the same
// gap.
func (t *Tracker) LongStreamEnded(id fleet.Incarnation, gap time.Duration) {
	if u, ok := t.byIncarnation[id]; ok {
		if i := slices.Index(u.longStreamGaps, gap); i >= 0 {
			u.longStreamGaps = slices.Delete(u.longStreamGaps, i, i+1)
		}
	}
}

// concurrencyLimiter returns the limiter of this process's in-flight requests for one
// kind of work of a service.
func (t *Tracker) concurrencyLimiter(service string, work Work) *concurrencyLimiter {
	return mapentry.GetOrCreate(t.concurrencyLimiters, workClass{service, work}, newConcurrencyLimiter)
}

// moveInFlight counts the requests of this process that are in flight at a listed upstream at the limiters of the service
// that its entry names now, where their ends will be counted.
func (t *Tracker) moveInFlight(u *upstreamState, service string) {
	if u.up.Service == service {
		return
	}
	for work, n := range u.ownByWork {
		t.concurrencyLimiter(u.up.Service, work).inFlight -= n
		t.concurrencyLimiter(service, work).inFlight += n
	}
}

// RecordLongPrompt counts the arrival of a request with a long prompt, whether or not
// it is placed.
func (t *Tracker) RecordLongPrompt(now time.Time, service string) {
	t.longPromptRate(service).add(now)
}

// longPromptRate returns the rate of requests counted by RecordLongPrompt.
func (t *Tracker) longPromptRate(service string) *eventRate {
	return mapentry.GetOrCreate(t.longPrompts, service, mapentry.Zero[eventRate])
}

// Misdirected records an answer that says that the address belongs to another upstream, or
// that the upstream no longer does this work. The list of upstreams in this process is then
// out of date.
func (t *Tracker) Misdirected(now time.Time, id fleet.Incarnation) {
	if u, ok := t.byIncarnation[id]; ok {
		u.health.misdirected(now)
	}
}

// Usable reports whether an upstream is on the newest list and may get new work.
func (t *Tracker) Usable(id fleet.Incarnation) bool {
	u, ok := t.byIncarnation[id]
	if !ok {
		return false
	}
	return u.listVersion == t.listVersion
}

// Sent counts a request that is sent to an upstream.
func (t *Tracker) Sent(now time.Time, id fleet.Incarnation, work Work) {
	u, ok := t.byIncarnation[id]
	switch {
	case !ok:
	case work == Reserve:
		u.ownReserved++
	default:
		u.ownRequests++
		u.countInFlight(work, 1)
		u.health.sent(now)
		t.concurrencyLimiter(u.up.Service, work).begin()
	}
}

// Ended counts the end of a request that Sent counted for the same work.
func (t *Tracker) Ended(id fleet.Incarnation, work Work) {
	u, ok := t.byIncarnation[id]
	switch {
	case !ok:
	case work == Reserve:
		u.ownReserved = max(u.ownReserved-1, 0)
	default:
		u.ownRequests = max(u.ownRequests-1, 0)
		u.countInFlight(work, -1)
		t.concurrencyLimiter(u.up.Service, work).end()
	}
}

// Prefilled records that an engine prefilled a prompt, and how long that took with the wait
// there. target is the longest time that the prompt should have waited at the engine; 0 means
// no target.
func (t *Tracker) Prefilled(now time.Time, c *Choice, p *Prompt, elapsed, target time.Duration) {
	u, ok := t.byIncarnation[c.Upstream.Incarnation()]
	if !ok {
		return
	}
	m := u.prefillModel
	t.concurrencyLimiter(u.up.Service, Prefill).observe(elapsed-m.duration(c.Tokens), target, t.longPromptRate(u.up.Service).perSecond(now))
	alone := c.Idle && t.peersReporting
	if expected := m.duration(c.Tokens); alone && expected > 0 {
		u.prefillSlowness.add(float64(elapsed) / float64(expected))
	}
	if alone || !t.peersReporting {
		m.add(c.Tokens, elapsed, alone)
	}
	t.recordCached(now, u, p, c.Tokens)
}

// Fetched records that a decode engine fetched the KV cache of a prompt. kvCapacity is
// the number of tokens that the engine's KV cache holds; 0 means unknown.
func (t *Tracker) Fetched(now time.Time, id fleet.Incarnation, p *Prompt, kvCapacity int) {
	if u, ok := t.byIncarnation[id]; ok {
		t.recordCached(now, u, p, p.UnsharedTokens+u.cache.missingTokens(now, p, kvCapacity))
	}
}

// recordCached records the shared parts that an upstream now caches, and queues the
// update for peers (TakeCacheUpdates).
func (t *Tracker) recordCached(now time.Time, u *upstreamState, p *Prompt, written int) {
	parts := p.partKeys()
	u.cache.record(now, parts, written)
	if len(t.unsentCacheUpdates) < maxUnsentCacheUpdates {
		t.unsentCacheUpdates = append(t.unsentCacheUpdates, CacheUpdate{Upstream: u.key, Written: written, Parts: parts})
	}
}

// PrefillTime returns how long the prefill of a request's prompt keeps an engine of the required
// role busy, if the engine has as many of the prompt's shared parts in its cache as any engine.
func (t *Tracker) PrefillTime(now time.Time, q *Query) time.Duration {
	m, ok := t.prefillModels[group{q.Service, q.Work.requiredRole()}]
	if !ok {
		m = &prefillModel{}
	}
	_, missing := t.sources(now, q)
	return time.Duration(q.Prompt.UnsharedTokens+missing) * m.timePerToken()
}

// PrefilledAndDecoding records that a decode engine prefilled a prompt and started to answer,
// and how long that took with the wait there. target is the longest that it should have taken;
// 0 means no target.
func (t *Tracker) PrefilledAndDecoding(now time.Time, c *Choice, p *Prompt, elapsed, target time.Duration) {
	u, ok := t.byIncarnation[c.Upstream.Incarnation()]
	if !ok {
		return
	}
	if c.Idle || !t.peersReporting {
		u.prefillModel.add(c.Tokens, elapsed, c.Idle && t.peersReporting)
	}
	t.concurrencyLimiter(u.up.Service, LocalPrefill).observe(elapsed, target, t.longPromptRate(u.up.Service).perSecond(now))
	t.recordCached(now, u, p, c.Tokens)
}

// LoadReported processes the load that an upstream reported with an answer: the
// requests of all processes that run and wait there. slots is the number of slots; 0
// means not reported.
func (t *Tracker) LoadReported(now time.Time, id fleet.Incarnation, running, waiting, slots int) {
	u, ok := t.byIncarnation[id]
	if !ok {
		return
	}
	u.untracked = max(0, float64(running+waiting-u.ownRequests-u.peers.Requests))
	u.reportedAt = now
	u.groupMean.add(now, u.untracked)
	if slots > 0 {
		u.up.Slots = slots
	}
}

// SlowdownReported records how long work takes at an upstream at this moment, as the
// upstream reported it, in percent of the usual time; 0 means not reported.
func (t *Tracker) SlowdownReported(now time.Time, id fleet.Incarnation, percent int) {
	if u, ok := t.byIncarnation[id]; ok && percent > 0 {
		u.slowdown.set(now, float64(percent)/100)
	}
}

// Responded records that an upstream sent a part of an answer. answered is true if the part is
// the head, which ends the wait for the answer to one request.
func (t *Tracker) Responded(now time.Time, id fleet.Incarnation, answered bool) {
	if u, ok := t.byIncarnation[id]; ok {
		u.health.responded(now, answered)
	}
}

// Succeeded records an answer that is not a failure.
func (t *Tracker) Succeeded(now time.Time, id fleet.Incarnation) {
	if u, ok := t.byIncarnation[id]; ok {
		u.health.succeeded(now)
	}
}

// Failed records a failure caused by the upstream. unanswered is true if the request failed
// before the head of an answer arrived.
func (t *Tracker) Failed(now time.Time, id fleet.Incarnation, unanswered bool) {
	if u, ok := t.byIncarnation[id]; ok {
		u.health.failed(now, unanswered)
	}
}

// RequestRejected records that an upstream rejected a request. This counts as a failure, so
// that upstreams of the service that accept requests are preferred.
func (t *Tracker) RequestRejected(now time.Time, id fleet.Incarnation) {
	if u, ok := t.byIncarnation[id]; ok {
		u.health.recordOutcome(now, 1)
	}
}

// Abandoned records that this process stopped waiting for the head of an answer.
func (t *Tracker) Abandoned(now time.Time, id fleet.Incarnation) {
	if u, ok := t.byIncarnation[id]; ok {
		u.health.abandoned(now)
	}
}

// Unresolved records that a request ended without a report of whether an answer arrived. This
// says nothing about the upstream's health, but the request no longer counts as unanswered.
func (t *Tracker) Unresolved(id fleet.Incarnation) {
	if u, ok := t.byIncarnation[id]; ok {
		u.health.requestResolved()
	}
}

// ProbesDue returns the upstreams that are suspected to be down and are due for a probe.
// Each of them counts as being probed until Probed is called.
func (t *Tracker) ProbesDue(now time.Time) []fleet.Upstream {
	var out []fleet.Upstream
	for _, list := range t.services {
		for _, u := range list {
			if u.health.probeDue(now) {
				out = append(out, u.up)
			}
		}
	}
	return out
}

// Probed records the result of a probe: whether a connection was established.
func (t *Tracker) Probed(now time.Time, id fleet.Incarnation, reached bool) {
	if u, ok := t.byIncarnation[id]; ok {
		u.health.probed(now, reached)
	}
}

// AwaitsProbe reports whether an upstream is suspected to be down and gets no requests until
// a probe reaches it.
func (t *Tracker) AwaitsProbe(id fleet.Incarnation) bool {
	u, ok := t.byIncarnation[id]
	return ok && u.health.suspected && !u.health.reachable
}

// Loads returns the estimated number of requests at each upstream, those of all
// processes included.
func (t *Tracker) Loads(now time.Time) map[fleet.Incarnation]float64 {
	out := make(map[fleet.Incarnation]float64, len(t.byIncarnation))
	for id, u := range t.byIncarnation {
		out[id] = u.totalRequests(now)
	}
	return out
}
