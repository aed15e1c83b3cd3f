package gateway

import (
	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// errUpstreamLeaving is returned instead of sending a request to an upstream that was marked as leaving
// (to be taken out of service) after it was chosen.
var errUpstreamLeaving = errors.Wrap(upstream.ErrNotRun, "the upstream started to leave after it was chosen")

// errContentHeld is returned instead of sending a request whose content is held, because upstreams
// crashed while they ran requests with the same content.
var errContentHeld = errors.Wrap(upstream.ErrNotRun, "requests with the same content crashed upstreams")

// checkNotLeaving returns errUpstreamLeaving if an upstream is leaving. It must be called right
// before a request is sent. Between the choice of the upstream and the send, the request may have waited
// for its claim or for a prefill at another runner. Meanwhile the upstream may have been taken out of
// service for a planned change, during which no request may arrive. The check therefore uses the current
// configuration and not the request's snapshot.
func (g *Gateway) checkNotLeaving(name string) error {
	if g.snapshot().Leaving(name) {
		return errUpstreamLeaving
	}
	return nil
}

// checkServiceNotLeaving is checkNotLeaving for an upstream of a plain service. It also checks the state
// that the service's specification gives the upstream.
func (g *Gateway) checkServiceNotLeaving(service, name string) error {
	s := g.snapshot()
	u, ok := findUpstream(s.Services[service], name)
	if ok && u.State != "" && u.State != resource.RunnerServing {
		return errUpstreamLeaving
	}
	return g.checkNotLeaving(name)
}
