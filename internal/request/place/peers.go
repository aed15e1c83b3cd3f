package place

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
)

// UpstreamKey is a hash that identifies an incarnation of an upstream in messages
// between instances. If two upstreams have the same key, what peers report of one counts
// for both. That is tolerable, since these reports only guide placement.
type UpstreamKey uint32

// KeyOf returns the key of an incarnation.
func KeyOf(id fleet.Incarnation) UpstreamKey { return UpstreamKey(xxhash.Sum64String(string(id))) }

// InFlight is the load of one instance at an upstream.
type InFlight struct {
	Requests int // requests that were sent and have not ended
	Reserved int // requests that will decode there once their prompts are prefilled elsewhere
	Tokens   int // prompt tokens that are still to be prefilled there
}

func (f InFlight) plus(o InFlight) InFlight {
	return InFlight{f.Requests + o.Requests, f.Reserved + o.Reserved, f.Tokens + o.Tokens}
}

func (f InFlight) minus(o InFlight) InFlight {
	return InFlight{f.Requests - o.Requests, f.Reserved - o.Reserved, f.Tokens - o.Tokens}
}

// peerLoadTTL is how long a load report of a peer stays valid. A peer reports each change
// within about 10 ms, and without a change it repeats its report twice a second.
const peerLoadTTL = 1200 * time.Millisecond

// peerLoad is the newest load report of one peer.
type peerLoad struct {
	receivedAt time.Time
	inFlight   map[UpstreamKey]InFlight
}

// SetPeerLoad replaces what is known about the load of a peer at all upstreams.
func (t *Tracker) SetPeerLoad(now time.Time, peer string, inFlight map[UpstreamKey]InFlight) {
	t.removePeerLoad(peer)
	t.peerLoads[peer] = peerLoad{receivedAt: now, inFlight: inFlight}
	for key, f := range inFlight {
		if u, ok := t.byKey[key]; ok {
			u.peers = u.peers.plus(f)
		}
	}
}

// ForgetStalePeers removes the load of peers that have not reported within peerLoadTTL.
func (t *Tracker) ForgetStalePeers(now time.Time) {
	for peer, reported := range t.peerLoads {
		if now.Sub(reported.receivedAt) >= peerLoadTTL {
			t.removePeerLoad(peer)
		}
	}
}

// removePeerLoad removes the load of a peer from the upstreams.
func (t *Tracker) removePeerLoad(peer string) {
	old, ok := t.peerLoads[peer]
	if !ok {
		return
	}
	for key, f := range old.inFlight {
		if u, ok := t.byKey[key]; ok {
			u.peers = u.peers.minus(f)
		}
	}
	delete(t.peerLoads, peer)
}

// rebuildKeyIndex rebuilds, after a change of the list of upstreams, the index of upstreams by
// key and what the peers' reports say about the load of each upstream.
func (t *Tracker) rebuildKeyIndex() {
	t.byKey = make(map[UpstreamKey]*upstreamState, len(t.byIncarnation))
	for _, u := range t.byIncarnation {
		t.byKey[u.key] = u
		u.peers = InFlight{}
	}
	for _, load := range t.peerLoads {
		for key, f := range load.inFlight {
			if u, ok := t.byKey[key]; ok {
				u.peers = u.peers.plus(f)
			}
		}
	}
}

// SetPeersReporting sets whether most of the peers that place requests report to this process
// each change of their load and the prompts that were prefilled for them. If so, the requests
// of other processes are counted only by the peers' reports, which are newer than the load
// reports of upstreams.
func (t *Tracker) SetPeersReporting(reporting bool) { t.peersReporting = reporting }

// OwnLoad returns the load that this process has in flight at each upstream. Idle upstreams
// are omitted.
func (t *Tracker) OwnLoad() map[UpstreamKey]InFlight {
	out := make(map[UpstreamKey]InFlight)
	for _, u := range t.byIncarnation {
		if f := (InFlight{u.ownRequests, u.ownReserved, u.ownTokens}); f != (InFlight{}) {
			out[u.key] = f
		}
	}
	return out
}

// PrefillStarted counts the tokens of a prompt that an upstream is to prefill.
func (t *Tracker) PrefillStarted(id fleet.Incarnation, tokens int) {
	if u, ok := t.byIncarnation[id]; ok {
		u.ownTokens += tokens
	}
}

// PrefillEnded no longer counts the tokens of a prompt, which was prefilled or won't be.
func (t *Tracker) PrefillEnded(id fleet.Incarnation, tokens int) {
	if u, ok := t.byIncarnation[id]; ok {
		u.ownTokens = max(u.ownTokens-tokens, 0)
	}
}

// CacheUpdate reports that an upstream prefilled or fetched a prompt.
type CacheUpdate struct {
	Upstream UpstreamKey
	Written  int       // tokens written to its KV cache
	Parts    []PartKey // shared parts of the prompt
}

// PeerCacheUpdated records a prompt that an upstream prefilled or fetched for a peer.
func (t *Tracker) PeerCacheUpdated(now time.Time, r CacheUpdate) {
	if u, ok := t.byKey[r.Upstream]; ok {
		u.cache.record(now, r.Parts, r.Written)
	}
}

// maxUnsentCacheUpdates bounds Tracker.unsentCacheUpdates, since TakeCacheUpdates is never
// called if this process reports nothing to peers.
const maxUnsentCacheUpdates = 256

// TakeCacheUpdates returns and clears the prompts that were prefilled or fetched for this
// process since the last call.
func (t *Tracker) TakeCacheUpdates() []CacheUpdate {
	out := t.unsentCacheUpdates
	t.unsentCacheUpdates = nil
	return out
}
