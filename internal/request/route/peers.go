package route

import (
	"math"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
)

// Bounds on what is estimated of peers.
const (
	peerRateHalfLife = 3 * time.Second
	rateFadeEvery    = 20 * time.Millisecond // finer steps would only cost time
	longestUnseen    = 3 * time.Second       // a peer that is silent for longer is taken as gone
)

// peerRate is a fading rate of tokens.
type peerRate struct {
	tokens float64
	at     time.Time
}

func (p *peerRate) fade(now time.Time) {
	elapsed := now.Sub(p.at)
	if elapsed < rateFadeEvery {
		return
	}
	if p.tokens != 0 {
		p.tokens *= math.Exp2(-elapsed.Seconds() / peerRateHalfLife.Seconds())
	}
	p.at = now
}

func (p *peerRate) add(now time.Time, tokens float64) {
	p.fade(now)
	p.tokens += tokens
}

// perSecond is the rate now: a steady rate settles at rate*halfLife/ln2.
func (p *peerRate) perSecond(now time.Time) float64 {
	p.fade(now)
	return p.tokens * math.Ln2 / peerRateHalfLife.Seconds()
}

// peerState is what is known of one peer.
type peerState struct {
	heard time.Time // last use report
	work  peerRate  // prompt and expected output tokens that it sent to any runner
}

// unseen is what this gateway cannot know of its peers' sends at one moment.
type unseen struct {
	peers float64       // gateways heard lately, without this one, by how busy they are
	age   time.Duration // mean time since their last reports
	draw  uint64        // differs between report periods
}

// hear notes a use report of a peer and gives the time from which on it speaks.
func (t *Tracker) hear(now time.Time, origin string, rows []peer.UseRow) time.Time {
	p, ok := t.peers[origin]
	if !ok {
		p = &peerState{}
		t.peers[origin] = p
	}
	for i := range rows {
		p.work.add(now, float64(rows[i].Prefill+rows[i].Decode))
	}
	last := p.heard
	p.heard = now
	if !ok || now.Sub(last) > longestUnseen {
		return now.Add(-t.period)
	}
	const weight = 0.1
	t.period += time.Duration(weight * float64(now.Sub(last)-t.period))
	return last
}

// lookUnseen sums up the peers and forgets silent ones. A peer counts by its
// work in parts of this gateway's, at most as one: an idle peer does not send alike.
func (t *Tracker) lookUnseen(now time.Time) unseen {
	own := t.work.perSecond(now)
	u := unseen{draw: t.self}
	for origin, p := range t.peers {
		silent := now.Sub(p.heard)
		if silent > longestUnseen {
			delete(t.peers, origin)
			continue
		}
		u.age += silent
		u.peers += p.busy(now, own)
	}
	if n := len(t.peers); n > 0 {
		u.age /= time.Duration(n)
	}
	if t.period > 0 {
		u.draw ^= mix(uint64(now.UnixNano() / int64(t.period)))
	}
	return u
}

// busy is the peer's work in parts of the given rate, at most 1.
func (p *peerState) busy(now time.Time, own float64) float64 {
	work := p.work.perSecond(now)
	if work >= own {
		return min(work, 1) // below a token a second the peer is idle
	}
	return work / own
}

// addUnseen adds an estimate of what peers sent to a runner since their last
// reports. Each is taken to have done as this gateway did, and a random part of
// one request more, drawn anew for each runner and report period: when a runner
// has room for three and eight gateways see it, each of them takes one with the
// chance that lets three in.
func (r *tracked) addUnseen(out *Runner, now time.Time, u unseen) {
	prefill := r.journal.prefillPerSecond(now)
	hidden := r.peers.perSecond(now) * u.age.Seconds()
	if u.peers > 0 {
		requests, sent := r.journal.ownSince(now.Add(-u.age), now)
		part := unit(r.seed ^ u.draw)
		peers := u.peers
		out.Mirrored = peers
		out.Running += peers * max(requests, 0)
		out.Crowd = peers * part
		out.CrowdPrefill = max(peers*(sent+part*r.meanPrompt)-hidden, 0)
	}
	out.QueuedPrefill += hidden
	recent := prefill + hidden/rateWindow.Seconds()
	out.PrefillShare = min(recent/out.prefillRate(), maxPrefillShare)
}
