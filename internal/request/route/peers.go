package route

import (
	"math"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
)

// Parameters of the peer estimates.
const (
	rateHalfLife      = 3 * time.Second
	rateDecayInterval = 20 * time.Millisecond // finer steps would only cost CPU time
	maxPeerSilence    = 3 * time.Second       // a peer that is silent for longer counts as gone
)

// decayingRate measures a rate of tokens as a sum that decays exponentially with rateHalfLife.
type decayingRate struct {
	tokens float64   // decayed sum
	at     time.Time // time up to which tokens has decayed
}

func (p *decayingRate) decay(now time.Time) {
	elapsed := now.Sub(p.at)
	if elapsed < rateDecayInterval {
		return
	}
	if p.tokens != 0 {
		p.tokens *= math.Exp2(-elapsed.Seconds() / rateHalfLife.Seconds())
	}
	p.at = now
}

func (p *decayingRate) add(now time.Time, tokens float64) {
	p.decay(now)
	p.tokens += tokens
}

// perSecond returns the current rate in tokens per second. At a steady rate, tokens
// settles at rate*halfLife/ln2.
func (p *decayingRate) perSecond(now time.Time) float64 {
	p.decay(now)
	return p.tokens * math.Ln2 / rateHalfLife.Seconds()
}

// peerState is what is known of one peer.
type peerState struct {
	lastReport time.Time    // arrival of the last use report
	work       decayingRate // prompt and expected output tokens that it sent to any runner
}

// peerEstimate describes the active peers together at one moment. It serves to estimate
// what they sent since their last reports.
type peerEstimate struct {
	peers     float64       // number of active peers, each weighted by its work relative to this gateway's, at most 1
	reportAge time.Duration // mean age of their last reports
	seed      uint64        // differs between gateways and report periods
}

// peerReported records a use report of a peer and returns the start of the period it
// covers.
func (t *Tracker) peerReported(now time.Time, origin string, rows []peer.UseRow) time.Time {
	p, ok := t.peers[origin]
	if !ok {
		p = &peerState{}
		t.peers[origin] = p
	}
	for i := range rows {
		p.work.add(now, float64(rows[i].Prefill+rows[i].Decode))
	}
	last := p.lastReport
	p.lastReport = now
	if !ok || now.Sub(last) > maxPeerSilence {
		return now.Add(-t.reportPeriod)
	}
	const weight = 0.1
	t.reportPeriod += time.Duration(weight * float64(now.Sub(last)-t.reportPeriod))
	return last
}

// estimatePeers returns the estimate for all peers, and drops those that have been silent
// for maxPeerSilence. A peer counts by its work
// relative to this gateway's, at most as 1, because an idle peer does not send as much
// as this gateway does.
func (t *Tracker) estimatePeers(now time.Time) peerEstimate {
	own := t.work.perSecond(now)
	u := peerEstimate{seed: t.seed}
	for origin, p := range t.peers {
		silent := now.Sub(p.lastReport)
		if silent > maxPeerSilence {
			delete(t.peers, origin)
			continue
		}
		u.reportAge += silent
		u.peers += p.relativeWork(now, own)
	}
	if n := len(t.peers); n > 0 {
		u.reportAge /= time.Duration(n)
	}
	if t.reportPeriod > 0 {
		u.seed ^= mix(uint64(now.UnixNano() / int64(t.reportPeriod)))
	}
	return u
}

// relativeWork returns the peer's work relative to own (tokens per second), at most 1.
func (p *peerState) relativeWork(now time.Time, own float64) float64 {
	work := p.work.perSecond(now)
	if work >= own {
		return min(work, 1) // below one token per second the peer is idle
	}
	return work / own
}

// addUnreported adds an estimate of what peers sent to a runner since their last
// reports. Their prompt tokens at the recent mean rate count as queued. Each peer,
// weighted as in peerEstimate, is also assumed to have sent what this gateway sent, plus
// a random fraction of one request; UnreportedPrompt is the part of these prompt tokens
// that exceeds the mean rate. The fraction is drawn for each runner and report period:
// when a runner has room for three requests and eight gateways see it, each of them
// sends one with a probability that lets about three in.
func (r *runnerState) addUnreported(out *Runner, now time.Time, u peerEstimate) {
	prefillRate := r.journal.prefillRate(now)
	expected := r.peerPrefill.perSecond(now) * u.reportAge.Seconds()
	if u.peers > 0 {
		requests, sent := r.journal.ownSince(now.Add(-u.reportAge), now)
		fraction := unitFloat(r.seed ^ u.seed)
		peers := u.peers
		out.MirroredPeers = peers
		out.Running += peers * max(requests, 0)
		out.UnreportedStreams = peers * fraction
		out.UnreportedPrompt = max(peers*(sent+fraction*r.meanPrompt)-expected, 0)
	}
	out.QueuedPrefill += expected
	recent := prefillRate + expected/rateWindow.Seconds()
	out.PrefillShare = min(recent/out.prefillRate(), maxPrefillShare)
}
