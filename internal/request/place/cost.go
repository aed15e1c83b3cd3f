package place

import (
	"math"
	"slices"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// Weights of the terms of a cost. The cost of a prefill is the time in seconds until it is
// done. The cost of other work is the share of the upstream's slots in use, so that the
// weights hold for any service.
const (
	// crossZoneCost is the cost of an upstream in another availability zone. It only
	// breaks ties between upstreams with about the same load.
	crossZoneCost = 0.15
	// crossZoneShare is how much longer a prompt may wait for an engine in its own
	// availability zone than for one in another zone, as a share of the request's objective:
	// traffic between zones costs money and takes twice the time on the links.
	crossZoneShare = 0.1
	// overloadCost is the cost per request in excess of the slots, divided by the number of
	// slots: such a request has to wait for another one to end.
	overloadCost = 2.0
	// coldCost is the cost of an upstream that is still slow after its start.
	coldCost = 1.0
	// eventGapCost is the cost of an engine whose mean event gap is just short enough for
	// the request's answer to end in time; the cost is proportional to the gap. Long answers
	// go where the gap is shortest, short answers where there is room.
	eventGapCost = 1.0
	// affinityMissCost is the cost of decoding a prompt at an engine other than the
	// affinity target. Engines can copy shared parts from each other while they are cached.
	affinityMissCost = 0.2
	// failureCost is multiplied by the difference between an upstream's failure rate and
	// the lowest failure rate of the service's upstreams. Only the difference counts, since
	// some kinds of requests fail at all upstreams.
	failureCost = 4.0
	// copyCostShare is the cost of copying a token's KV cache from another engine, as a
	// share of the cost of prefilling the token. The copy takes only a tenth of the time of
	// the prefill, but its space in the cache is taken from other parts, which then have to
	// be prefilled again.
	copyCostShare = 0.5
	// engineWaitShare is the longest time that a prompt should wait behind others at the
	// engine that prefills it, as a share of the request's objective. The rest is left for
	// the queue, the prefill itself and the decode.
	engineWaitShare = 0.2
	// minPromptTokens is the number of tokens that a prefill with a smaller own part counts
	// for.
	minPromptTokens = 64
)

// view holds the inputs of one pick.
type view struct {
	tracker          *Tracker
	now              time.Time
	q                *Query
	affinityTarget   *upstreamState   // nil: none
	sources          []*upstreamState // engines with the most of the shared parts in their cache
	missingAtSources int              // tokens of the shared parts that the sources lack
}

// view returns the inputs for a pick for q.
func (t *Tracker) view(now time.Time, q *Query) view {
	v := view{tracker: t, now: now, q: q, affinityTarget: t.affinityTarget(now, q)}
	if q.Work.prefills() {
		v.sources, v.missingAtSources = t.sources(now, q)
	}
	return v
}

// cost returns the cost of the request at an upstream.
func (v *view) cost(u *upstreamState) float64 {
	c := 0.0
	if v.q.Work.prefills() {
		c = v.prefillCost(u)
	} else {
		c = v.slotCost(u)
	}
	if u.up.WarmUp > 0 {
		c += coldCost
	}
	// Break ties deterministically, but differently for each request.
	return c + float64(rendezvousWeight(uint64(v.q.Arrived.UnixNano()), u.hash)%1000)*1e-6
}

// prefillCost returns the time in seconds until the prompt is prefilled, plus penalties.
func (v *view) prefillCost(u *upstreamState) float64 {
	c := (v.engineWait(u) + v.prefillTime(u)).Seconds()
	if u.up.Zone != v.q.Zone {
		c += crossZoneShare * v.q.Objective.Seconds()
	}
	if v.affinityTarget != nil && v.affinityTarget != u && len(v.sources) == 0 {
		// No engine has the shared parts. All processes should send them to the same engine,
		// so that they are prefilled only once.
		c += crossZoneShare * v.q.Objective.Seconds()
	}
	return c
}

// slotCost returns the share of the upstream's slots in use, with this request included,
// plus penalties for what makes the upstream less suitable for the request.
func (v *view) slotCost(u *upstreamState) float64 {
	total := u.totalRequests(v.now)
	c := (total + 1) / u.slots() * u.slowdown.factor(v.now)
	if v.q.Prompt.Key != 0 && u != v.affinityTarget {
		c += affinityMissCost
	}
	if over := total + 1 - u.slots(); over > 0 {
		c += over / u.slots() * overloadCost
	}
	if v.q.Gap > 0 {
		c += eventGapCost * u.eventGap.current(v.now).Seconds() / v.q.Gap.Seconds()
	}
	if v.q.Objective > 0 && u.up.Role != "" {
		// Prompts that the engine prefills itself delay the answers that start there.
		c += v.engineWait(u).Seconds() / v.q.Objective.Seconds()
	}
	if u.up.Zone != v.q.Zone {
		c += crossZoneCost
	}
	return c
}

// tokensToPrefill returns the number of prompt tokens to prefill at an engine. Tokens that
// the engine copies from another one count for copyCostShare of a token.
func (v *view) tokensToPrefill(u *upstreamState) int {
	own := max(v.q.Prompt.UnsharedTokens, minPromptTokens)
	missing := v.missingTokens(u)
	if len(v.sources) == 0 || missing <= v.missingAtSources {
		return own + missing
	}
	return own + v.missingAtSources + int(copyCostShare*float64(missing-v.missingAtSources))
}

// missingTokens returns the number of tokens of the shared parts that an engine is not
// assumed to have cached. If not all peers report what was prefilled for them, the affinity
// target is assumed to have all parts, since other instances will have had them prefilled
// there.
func (v *view) missingTokens(u *upstreamState) int {
	if u == v.affinityTarget && !v.tracker.peersReporting {
		return 0
	}
	return u.cache.missingTokens(v.now, &v.q.Prompt, v.q.KVCapacity)
}

// prefillTime returns the expected time of the prefill itself.
func (v *view) prefillTime(u *upstreamState) time.Duration {
	return time.Duration(u.prefillSlowdown(v.now) * float64(u.prefillModel.duration(v.tokensToPrefill(u))))
}

// engineWait returns how long the prompt would wait at the engine until the prompts ahead of
// it are prefilled. An engine prefills one prompt after the other.
func (v *view) engineWait(u *upstreamState) time.Duration {
	tokens := float64(u.backlogTokens())
	if untracked := u.estimateUntracked(v.now); untracked > 0 {
		tokens += untracked * float64(max(v.q.Prompt.UnsharedTokens, minPromptTokens))
	}
	return time.Duration(u.prefillSlowdown(v.now) * tokens * float64(u.prefillModel.timePerToken()))
}

// backlogTokens returns the number of prompt tokens that the upstream has yet to prefill for
// this process and its peers.
func (u *upstreamState) backlogTokens() int { return max(u.ownTokens+u.peers.Tokens, 0) }

// engineQueueShare is the number of requests that may wait at an upstream before it counts
// as full, as a share of its slots. Some requests should wait there, so that the upstream can
// start the next one as soon as a request ends. More wouldn't help: they would fix the order
// of execution too early, while a request that waits in the Queue of this package can still
// be overtaken by a more urgent one. At decode engines no request may wait, since long
// answers hold their slots for seconds.
const engineQueueShare = 0.25

// localPrefillSlotShare is the share of a decode engine's slots that may be in use if it is
// given a long prompt to prefill, with that request included: during the prefill, each decode
// step of its other requests takes longer.
const localPrefillSlotShare = 0.6

// full reports whether the upstream must not get the request. That is so if the request would
// only wait there. A prefill may wait, but it must neither wait too long nor delay other
// requests for too long. An idle engine is never full for Prefill.
func (v *view) full(u *upstreamState) bool {
	total := u.totalRequests(v.now)
	switch v.q.Work {
	case LocalPrefill:
		return total+1 > u.slots()*localPrefillSlotShare || u.nearEventGapLimit(v.now) || v.delaysDecodes(u)
	case Decode, Reserve:
		return total+1 > u.slots()
	}
	if total+1 > u.slots()+math.Ceil(u.slots()*engineQueueShare) {
		return true
	}
	return v.q.Work == Prefill && total >= maxIdleLoad && v.startsTooLate(u)
}

// startsTooLate reports whether the prompts at an engine would delay this prompt beyond its
// latest start, or for longer than MaxEngineWait. If not all peers report their load, only the
// first is checked, and the concurrency limit takes the place of the second.
func (v *view) startsTooLate(u *upstreamState) bool {
	wait := v.engineWait(u)
	if v.now.Add(wait).After(v.q.StartBy) {
		return true
	}
	return v.tracker.peersReporting && v.q.Objective > 0 && wait > v.q.MaxEngineWait()
}

// delaysDecodes reports whether prefilling the prompt at a decode engine would take so long
// that answers that are to start there meanwhile are delayed too much.
func (v *view) delaysDecodes(u *upstreamState) bool {
	target := v.q.MaxEngineWait()
	if v.q.prefillEnginesLimited {
		target = v.q.localPrefillTarget() // prefill engines may stay unavailable until the limits end
	}
	return v.q.Objective > 0 && v.engineWait(u)+v.prefillTime(u) > target
}

// maxEventGapShare is how close an engine's event gap may come to the longest gap with which
// its long answers still end in time, as a share of that gap. Above it the engine gets no
// prompts to prefill, since each decode step takes several times as long during a prefill.
const maxEventGapShare = 0.6

// nearEventGapLimit reports whether a long answer of this process at a decode engine is close
// to ending too late, judged by the engine's current event gap.
func (u *upstreamState) nearEventGapLimit(now time.Time) bool {
	if u.up.Role == upstream.RolePrefill || len(u.longStreamGaps) == 0 {
		return false
	}
	return float64(u.eventGap.current(now)) > maxEventGapShare*float64(slices.Min(u.longStreamGaps))
}
