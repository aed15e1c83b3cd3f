package entry

import (
	"context"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/request/place"
)

// probeUpstreams starts the probes of upstreams that are due.
func (e *Entry) probeUpstreams(ctx context.Context) {
	for _, u := range e.state.probesDue(time.Now()) {
		e.spawn(func() { e.probe(ctx, u) })
	}
}

// probe checks whether an upstream accepts connections again, over the own link or another instance's.
func (e *Entry) probe(ctx context.Context, u fleet.Upstream) {
	reached := e.reaches(ctx, &u)
	now := time.Now()
	e.state.withTracker(now, func(t *place.Tracker) { t.Probed(now, u.Incarnation(), reached) })
	if reached {
		logline.Info("upstream reached again", "upstream", u.ID, "address", u.Address)
	}
}

// reaches reports whether an upstream accepts connections over any way that requests may take.
func (e *Entry) reaches(ctx context.Context, u *fleet.Upstream) bool {
	if !e.usesOwnLink(u.Address) {
		// After a cut of all instances, each may still be waiting for its links to prove themselves.
		return e.reachesThroughRelay(ctx, u) || e.links.mayTry(u.Address)
	}
	err := upstream.CheckReachable(ctx, u.Address, upstreamDialTimeout)
	switch {
	case err == nil:
		e.links.worked(u.Address)
		return true
	case ctx.Err() != nil || !isLinkFailure(err):
		return false
	}
	e.links.failed(u.Address)
	if e.reachesThroughRelay(ctx, u) {
		return true
	}
	e.links.unreachable(u.Address) // no other instance reaches it, or none could say
	return false
}
