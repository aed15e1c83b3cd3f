package gateway

import (
	"context"

	"github.com/ragworttrestle/ragworttrestle/internal/process/ops"
)

// opsSource implements ops.Source: it provides the state of a gateway to the operators' port.
type opsSource struct{ g *Gateway }

// Ready implements ops.Source. A gateway is ready while it serves, has a configuration and has polled the
// runners of its zone once. The string is the reason why it is not ready.
func (s opsSource) Ready() (bool, string) {
	if stage := s.g.stage.Load(); stage != stageServing {
		return false, stageNames[stage]
	}
	if s.g.snapshot() == nil {
		return false, "no configuration yet"
	}
	if !s.g.poller.firstPollsDone() {
		return false, "not all runners were asked yet"
	}
	return true, ""
}

// Drain implements ops.Source. It returns the shutdown stage and the number of requests in flight.
func (s opsSource) Drain() ops.StopProgress {
	return ops.StopProgress{State: stageNames[s.g.stage.Load()], Running: s.g.inFlight.Count()}
}

// Members implements ops.Source.
func (s opsSource) Members() []ops.Member {
	var out []ops.Member
	for _, m := range s.g.members.Members() {
		out = append(out, ops.Member{Name: m.Name, Role: m.Role, Zone: m.Zone, State: string(m.State), Applied: m.Applied})
	}
	return out
}

// Explain implements ops.Source. It returns the explanation of a request by its ID, which it gets from the
// peers if this gateway doesn't have it. It returns nil if no gateway has one.
func (s opsSource) Explain(ctx context.Context, request, _ string) []string {
	if request == "" {
		return nil
	}
	if lines := s.g.explain.lines(request); lines != nil {
		return lines
	}
	return s.g.explainFromPeers(ctx, request)
}
