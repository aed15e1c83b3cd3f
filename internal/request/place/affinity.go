package place

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// affinityTarget returns the upstream that all requests with the same shared prompt parts
// prefer for a kind of work. It returns nil if the prompt has no shared parts, for the work
// Serve, and if no upstream is available. The upstream is chosen by rendezvous hashing: all
// processes agree without communication, and when an upstream leaves, only the prompts that
// preferred it get another target.
func (t *Tracker) affinityTarget(now time.Time, q *Query) *upstreamState {
	if q.Prompt.Key == 0 || q.Work == Serve {
		return nil
	}
	var best *upstreamState
	bestWeight := uint64(0)
	for _, u := range t.services[q.Service] {
		if u.health.unavailable(now) || !roleFits(u.up.Role, q.Work.requiredRole()) {
			continue
		}
		if w := rendezvousWeight(q.Prompt.Key, u.hash); best == nil || w > bestWeight {
			best, bestWeight = u, w
		}
	}
	return best
}

// sources returns the engines that are assumed to have the most of the shared parts of a
// prompt in their cache, and the number of tokens of these parts that each of them lacks.
// An engine that gets the prompt can copy the cached parts from them. This takes a small
// fraction of the time that it takes to prefill them.
func (t *Tracker) sources(now time.Time, q *Query) (list []*upstreamState, fewestMissing int) {
	if q.Prompt.Key == 0 {
		return nil, 0
	}
	total := 0
	for i := range q.Prompt.Parts {
		total += q.Prompt.Parts[i].Tokens
	}
	fewestMissing = total
	for _, u := range t.services[q.Service] {
		if u.health.unavailable(now) {
			continue
		}
		missing := u.cache.missingTokens(now, &q.Prompt, q.KVCapacity)
		if missing == total || missing > fewestMissing {
			continue
		}
		if missing < fewestMissing {
			list, fewestMissing = list[:0], missing
		}
		list = append(list, u)
	}
	return list, fewestMissing
}

// sourceFor picks the engine from which target copies shared parts, or returns nil if there
// is nothing to copy. It prefers the target's availability zone, since links between zones
// take twice the time. Among engines of equal preference, a hash with the request's arrival
// time decides, so that requests use different ones and no engine's link is overloaded.
func (v *view) sourceFor(target *upstreamState) *upstreamState {
	if len(v.sources) == 0 || v.missingTokens(target) <= v.missingAtSources {
		return nil
	}
	var best *upstreamState
	bestSameZone, bestWeight := false, uint64(0)
	for _, u := range v.sources {
		sameZone, weight := u.up.Zone == target.up.Zone, rendezvousWeight(uint64(v.q.Arrived.UnixNano()), u.hash)
		if best == nil || (sameZone && !bestSameZone) || (sameZone == bestSameZone && weight > bestWeight) {
			best, bestSameZone, bestWeight = u, sameZone, weight
		}
	}
	return best
}

// hashID returns the hash of the ID of an upstream or a request.
func hashID(id string) uint64 { return xxhash.Sum64String(id) }

// rendezvousWeight returns the weight, in rendezvous hashing, that an upstream has for a key.
// hash is that of the upstream's ID. The weight is the same in every process.
func rendezvousWeight(key, hash uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], key)
	binary.LittleEndian.PutUint64(b[8:], hash)
	return xxhash.Sum64(b[:])
}
