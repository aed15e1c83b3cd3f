package gateway

import (
	"context"

	"github.com/ragworttrestle/ragworttrestle/internal/process/ops"
)

// opsSource tells the operators' port about a gateway.
type opsSource struct{ g *Gateway }

// Ready implements ops.Source.
func (s opsSource) Ready() (bool, string) {
	if stage := s.g.stage.Load(); stage != stageServing {
		return false, stageNames[stage]
	}
	if s.g.snapshot() == nil {
		return false, "no configuration yet"
	}
	return true, ""
}

// Drain implements ops.Source.
func (s opsSource) Drain() ops.DrainState {
	return ops.DrainState{State: stageNames[s.g.stage.Load()], Running: s.g.running.count()}
}

// Members implements ops.Source.
func (s opsSource) Members() []ops.Member {
	self := s.g.cfg.Settings.Instance
	m := ops.Member{Name: self.Name, Role: "gateway", Zone: self.Zone, State: "live"}
	if c := s.g.snapshot(); c != nil {
		m.Applied = c.Version
	}
	return []ops.Member{m}
}

// Explain implements ops.Source.
func (s opsSource) Explain(_ context.Context, request, _ string) []string {
	return s.g.explain.lines(request)
}
