package route

import (
	"math"
	"time"
)

// Bounds on what is estimated of peers.
const (
	peerRateHalfLife = 3 * time.Second
	longestUnseen    = 3 * time.Second // a peer that is silent for longer is taken as gone
)

// peerRate is the fading rate of prompt tokens that peers sent to one runner.
type peerRate struct {
	tokens float64
	at     time.Time
}

func (p *peerRate) fade(now time.Time) {
	if !p.at.IsZero() && now.After(p.at) {
		p.tokens *= math.Exp2(-now.Sub(p.at).Seconds() / peerRateHalfLife.Seconds())
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

// unseen is what this gateway cannot know of its peers' sends at one moment.
type unseen struct {
	peers int           // gateways that were heard lately, without this one
	age   time.Duration // mean time since their last reports
	draw  uint64        // differs between report periods
}

// hear notes a use report of a peer and gives the time from which on it speaks.
func (t *Tracker) hear(now time.Time, origin string) time.Time {
	const weight = 0.1
	last, ok := t.heard[origin]
	t.heard[origin] = now
	if !ok || now.Sub(last) > longestUnseen {
		return now.Add(-t.period)
	}
	t.period += time.Duration(weight * float64(now.Sub(last)-t.period))
	return last
}

// lookUnseen sums up the peers and forgets silent ones.
func (t *Tracker) lookUnseen(now time.Time) unseen {
	total := time.Duration(0)
	for origin, at := range t.heard {
		if silent := now.Sub(at); silent <= longestUnseen {
			total += silent
			continue
		}
		delete(t.heard, origin)
	}
	u := unseen{peers: len(t.heard), draw: t.self}
	if u.peers > 0 {
		u.age = total / time.Duration(u.peers)
	}
	if t.period > 0 {
		u.draw ^= mix(uint64(now.UnixNano() / int64(t.period)))
	}
	return u
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
		peers := float64(u.peers)
		out.Mirrored = peers
		out.Running += peers * max(requests, 0)
		out.Crowd = peers * part
		out.CrowdPrefill = max(peers*(sent+part*r.meanPrompt)-hidden, 0)
	}
	out.QueuedPrefill += hidden
	recent := prefill + hidden/rateWindow.Seconds()
	out.PrefillShare = min(recent/out.prefillRate(), maxPrefillShare)
}
