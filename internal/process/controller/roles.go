package controller

import (
	"math"
	"slices"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/process/audit"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/member"
	"github.com/ragworttrestle/ragworttrestle/internal/process/policy"
	"github.com/ragworttrestle/ragworttrestle/internal/process/reconcile"
	"github.com/ragworttrestle/ragworttrestle/internal/version/config"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// roleChoice is a role that the role policy chose for a runner and that the runner does
// not have yet.
type roleChoice struct {
	role     upstream.Role
	reason   string
	decision string // id of the policy's decision
}

// decideRoles runs the role policy on the runners of all zones, if this process leads a
// zone, and handles its decisions.
func (c *Controller) decideRoles() {
	s := c.config.Current()
	if s == nil || c.stopping || !c.leadsAny() {
		return
	}
	c.dropChoices(s)
	in := policy.Input{Models: s.Models, Routes: s.Routes, Held: map[string]bool{}}
	for name, r := range s.Runners {
		in.Runners = append(in.Runners, c.policyRunner(s, name, r))
	}
	slices.SortFunc(in.Runners, func(a, b policy.Runner) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	in.Rank = c.setHeldZones(&in)
	for _, d := range c.roles.Decide(time.Now(), in) {
		c.handleDecision(d)
	}
}

// setHeldZones adds the zones that this process leads to in.Held. It returns the rank of
// this process among the lease holders: the index of its first zone among all zones by
// name, or -1 if it leads none.
func (c *Controller) setHeldZones(in *policy.Input) int {
	names := make([]string, 0, len(c.zones))
	for name, z := range c.zones {
		names = append(names, name)
		if z.leads() {
			in.Held[name] = true
		}
	}
	slices.Sort(names)
	return slices.IndexFunc(names, func(name string) bool { return in.Held[name] })
}

// dropChoices removes the choices that have taken effect, and those for runners whose
// role is no longer auto or whose engine is not known to this process.
func (c *Controller) dropChoices(s *config.Snapshot) {
	for runner, ch := range c.choices {
		e := c.engines[runner]
		r := s.Runners[runner]
		if r.Role != resource.RoleAuto || e == nil || e.state.Role == ch.role {
			delete(c.choices, runner)
		}
	}
}

// policyRunner returns a runner as input for the role policy. The state of a runner
// whose engine this process has not polled comes from the runner's published status. A
// role choice that has not taken effect yet counts as the runner's role.
func (c *Controller) policyRunner(s *config.Snapshot, name string, r resource.Runner) policy.Runner {
	class, _ := s.EngineOf(name)
	out := policy.Runner{
		Name: name, Zone: r.Zone, Model: r.Model, Class: class,
		Role: upstream.Role(r.Role), Auto: r.Role == resource.RoleAuto, Phase: policy.PhaseServing,
	}
	status, published := c.statuses.stored[statusName(resource.KindRunner, name)]
	if published {
		out.Role, out.Phase = upstream.Role(status.spec.Role), policy.Phase(status.spec.Phase)
	}
	if e := c.engines[name]; e != nil && e.polled {
		out.Role, out.Streams = e.state.Role, e.state.Streams
		out.Phase = c.phaseOf(e)
	}
	if ch, ok := c.choices[name]; ok {
		out.Role = ch.role
	}
	if out.Role == "" || out.Role == resource.RoleAuto {
		out.Role = upstream.RoleBoth
	}
	switch {
	case r.State == resource.RunnerWithdrawn || s.Instances[name].State == resource.InstanceLeaving:
		out.Phase = policy.PhaseWithdrawn
	case r.State == resource.RunnerDrained:
		out.Phase = policy.PhaseDrained
	}
	return out
}

// phaseOf returns the phase of an engine in a zone that this process leads.
func (c *Controller) phaseOf(e *engine) policy.Phase {
	o := e.observedState()
	switch {
	case o.Order != "":
		return policy.PhaseChanging
	case !o.Reachable:
		return policy.PhaseLost
	case c.drains.has(e.name):
		return policy.PhaseDraining
	}
	if status, ok := c.statuses.desired[statusName(resource.KindRunner, e.name)]; ok && status.Phase == string(reconcile.PhaseDrained) {
		return policy.PhaseDrained
	}
	return policy.PhaseServing
}

// handleDecision records a notable decision of the role policy and, if it changes a
// role, the role choice. Other decisions are ignored.
func (c *Controller) handleDecision(d policy.Decision) {
	if !d.NeedsAudit {
		return
	}
	for _, line := range d.Explanation() {
		c.explain.addAlways(d.ID, line)
	}
	if d.Change == nil {
		c.explain.add("Model/"+d.Model, "role policy: "+d.Reason)
		return
	}
	ch := d.Change
	logline.Info("role change decided", "decision", d.ID, "runner", ch.Runner, "from", ch.From, "to", ch.To, "reason", d.Reason)
	c.choices[ch.Runner] = roleChoice{role: ch.To, reason: d.Reason, decision: d.ID}
	c.record(ch.Runner, audit.Entry{
		Kind: audit.ChangeRole, Object: "Runner/" + ch.Runner, From: string(ch.From), To: string(ch.To),
		Why: d.ID + ": " + d.Reason, Outcome: "decided",
	})
}

// observeDemand passes the demand that a gateway of this zone reported to the role
// policy.
func (c *Controller) observeDemand(rows []peer.DemandRow) {
	c.roles.Observe(time.Now(), scaleDemand(rows, demandScale(c.self.Zone, c.members.Members())))
}

// demandScale returns the factor by which the demand at the gateways of a zone is
// multiplied to estimate the demand of the whole fleet. Gateways report their demand
// only within their zone, but the runners of all zones serve a model together. The load
// balancer spreads callers evenly over the gateways, so the factor is the number of all
// live gateways divided by the number of those in the zone. It is 1 if the zone has none.
func demandScale(zone string, members []member.Member) float64 {
	all, own := 0, 0
	for _, m := range members {
		if m.Role != member.RoleGateway || m.State != member.Live {
			continue
		}
		all++
		if m.Zone == zone {
			own++
		}
	}
	if own == 0 {
		return 1
	}
	return float64(all) / float64(own)
}

// scaleDemand returns rows with their counts multiplied by factor and rounded.
func scaleDemand(rows []peer.DemandRow, factor float64) []peer.DemandRow {
	if factor == 1 {
		return rows
	}
	scale := func(n int) int { return int(math.Round(float64(n) * factor)) }
	out := make([]peer.DemandRow, len(rows))
	for i, r := range rows {
		r.Prefill, r.Decode = scale(r.Prefill), scale(r.Decode)
		r.Arrived, r.Late = scale(r.Arrived), scale(r.Late)
		out[i] = r
	}
	return out
}
