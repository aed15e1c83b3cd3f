package controller

import (
	"context"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/ops"
)

// explainTimeout limits how long Explain waits for other controllers and the loop.
const explainTimeout = time.Second

// opsSource provides the state of a controller to the operators' port.
type opsSource struct{ c *Controller }

// Ready implements ops.Source.
func (s opsSource) Ready() (bool, string) {
	if stage := s.c.stage.Load(); stage != stageServing {
		return false, stageNames[stage]
	}
	if s.c.config.Current() == nil {
		return false, "no configuration yet"
	}
	return true, ""
}

// Drain implements ops.Source. Running is the number of open orders.
func (s opsSource) Drain() ops.StopProgress {
	return ops.StopProgress{State: stageNames[s.c.stage.Load()], Running: int(s.c.openOrders.Load())}
}

// Members implements ops.Source.
func (s opsSource) Members() []ops.Member {
	var out []ops.Member
	for _, m := range s.c.members.Members() {
		out = append(out, ops.Member{
			Name: m.Name, Role: m.Role, Zone: m.Zone, State: string(m.State), Applied: m.Applied,
		})
	}
	return out
}

// Explain implements ops.Source. change is the id of an order, the name of a runner,
// Lease/<zone>, Model/<name>, or the id of a decision of the role policy. A controller
// knows nothing about requests, so the other parameter is ignored. The lines of this
// process come first, then the current state, then the lines of other controllers.
func (s opsSource) Explain(ctx context.Context, _, change string) []string {
	if change == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	lines := s.c.explain.lines(change)
	lines = append(lines, s.explainFromLoop(ctx, change)...)
	return append(lines, s.c.explainFromPeers(ctx, change)...)
}

// explainFromLoop calls describe in the loop. It returns nil if ctx ends first.
func (s opsSource) explainFromLoop(ctx context.Context, subject string) []string {
	reply := make(chan []string, 1)
	query := func() { reply <- s.c.describe(subject) }
	select {
	case s.c.events <- query:
	case <-ctx.Done():
		return nil
	}
	select {
	case lines := <-reply:
		return lines
	case <-ctx.Done():
		return nil
	}
}

// describe returns one line about the current state of a runner or lease, or nil if the
// subject is neither or this process has no engine for the runner. It must run in the
// loop.
func (c *Controller) describe(subject string) []string {
	for name, z := range c.zones {
		if subject == "Lease/"+name {
			return []string{"now: " + z.describe()}
		}
	}
	e := c.engines[subject]
	if e == nil {
		return nil
	}
	line := "now: order slot " + e.core.Phase() + ", role " + string(e.state.Role)
	if open, ok := e.core.Open(); ok {
		line += ", order " + open.ID + " open"
	}
	if m, ok := c.drains.known[subject]; ok {
		line += ", gets no new work: " + m.spec.Reason
	}
	return []string{line}
}
