package policy

import (
	"fmt"
	"sort"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
)

const (
	warmUpTime     = 15 * time.Second // no change until demand was observed for this long
	rankDelay      = 3 * time.Second  // a change is made only after it has been the best one for Input.Rank times this
	reversalWindow = 10 * time.Minute // changes within this time raise the costs of changes that reverse them
	maxHistory     = 512              // notable decisions kept for Find and History
)

// Core decides role changes. It is not safe for concurrent use.
type Core struct {
	cfg            Config
	models         map[string]*modelState
	estimatedUntil time.Time // end of the demand included in the estimates
	started        time.Time
	seq            int        // number of the last decision
	history        []Decision // oldest first, only notable ones
}

// modelState is the state of one model between decisions.
type modelState struct {
	routes      map[string]*routeDemand // by route name
	lastReason  string                  // of the last decision
	changes     []pastChange            // within reversalWindow, oldest first
	wantedSince time.Time               // since when the best option has been acceptable but not made; zero: it was refused, or a change was made
}

// pastChange is a change that was decided.
type pastChange struct {
	at     time.Time
	change Change
}

// recentChanges removes the changes older than reversalWindow and returns the others, oldest first.
func (m *modelState) recentChanges(now time.Time) []Change {
	for len(m.changes) > 0 && now.Sub(m.changes[0].at) > reversalWindow {
		m.changes = m.changes[1:]
	}
	var out []Change
	for _, c := range m.changes {
		out = append(out, c.change)
	}
	return out
}

// New returns a Core that has observed no demand.
func New(cfg Config) *Core {
	return &Core{cfg: cfg, models: map[string]*modelState{}}
}

// Observe adds the demand that a gateway admitted or refused since its previous report. The demand
// that several gateways report for a route is added up.
func (c *Core) Observe(now time.Time, rows []peer.DemandRow) {
	c.updateEstimates(now)
	for i := range rows {
		row := &rows[i]
		pending := &c.route(row.Model, row.Route).pending
		pending.requests += float64(row.Arrived)
		pending.prefill += float64(row.Prefill)
		pending.decode += float64(row.Decode)
		pending.late += float64(row.Late)
	}
}

// model returns the state of a model, which it creates if there is none.
func (c *Core) model(name string) *modelState {
	m := c.models[name]
	if m == nil {
		m = &modelState{routes: map[string]*routeDemand{}}
		c.models[name] = m
	}
	return m
}

// route returns the demand of a route on a model, which it creates if there is none.
func (c *Core) route(model, route string) *routeDemand {
	m := c.model(model)
	r := m.routes[route]
	if r == nil {
		r = newRouteDemand(route, c.cfg)
		m.routes[route] = r
	}
	return r
}

// updateEstimates adds the demand reported since the last update to the estimates, unless the
// last update was less than bucketTime ago. The first call only starts the observation.
func (c *Core) updateEstimates(now time.Time) {
	if c.estimatedUntil.IsZero() {
		c.estimatedUntil, c.started = now, now
		return
	}
	span := now.Sub(c.estimatedUntil)
	if span < bucketTime {
		return
	}
	for _, m := range c.models {
		for _, r := range m.routes {
			r.updateEstimates(span.Seconds())
		}
	}
	c.estimatedUntil = now
}

// Decide returns one decision for each configured model that has runners, sorted by model name. Call
// it about once a second, and immediately after a crash or withdrawal. The caller carries out the
// change: it drains the runner, orders the change and reads the new role back. If it can't start the
// change, it need not report that, because the next call evaluates the options again.
func (c *Core) Decide(now time.Time, in Input) []Decision {
	c.updateEstimates(now)
	byModel := groupByModel(in.Runners)
	var out []Decision
	for _, name := range sortedModels(byModel, in.Models) {
		out = append(out, c.decide(now, &in, name, byModel[name]))
	}
	c.dropUnusedModels(byModel)
	return out
}

// dropUnusedModels removes the state of models without runners.
func (c *Core) dropUnusedModels(byModel map[string][]Runner) {
	for name := range c.models {
		if len(byModel[name]) == 0 {
			delete(c.models, name)
		}
	}
}

// decide returns the decision for one model and updates its state.
func (c *Core) decide(now time.Time, in *Input, name string, runners []Runner) Decision {
	m := c.model(name)
	e := newEvaluation(c.cfg, in, name, runners, m.demand(), m.recentChanges(now))
	d := Decision{At: now, Model: name, Demand: e.demand, Useful: e.useful, Options: e.options()}
	c.choose(now, m, in.Rank, &d)
	d.NeedsAudit = d.Change != nil || d.Reason != m.lastReason
	m.lastReason = d.Reason
	c.recordDecision(&d)
	return d
}

// demand returns the estimated demand on the model, sorted by route.
func (m *modelState) demand() []Demand {
	var out []Demand
	for _, r := range m.routes {
		out = append(out, r.demand())
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Route < out[k].Route })
	return out
}

// choose completes a decision. If there is a reason against any change, it sets only that reason.
// Otherwise it sets the best option as the change. A controller waits for its rank times rankDelay
// before it makes a change. So the controller with rank 0 acts first, and the others only if those
// with a lower rank don't.
func (c *Core) choose(now time.Time, m *modelState, rank int, d *Decision) {
	if now.Sub(c.started) < warmUpTime {
		d.Reason = "kept: demand has not been seen for long enough"
		return
	}
	if len(d.Options) == 0 {
		d.Reason = "kept: no serving runner's role may be changed (fixed or away)"
		return
	}
	best := d.Options[0]
	if best.Refused != "" {
		m.wantedSince = time.Time{}
		d.Reason = "kept: the best change is refused: " + best.Refused
		return
	}
	if m.wantedSince.IsZero() {
		m.wantedSince = now
	}
	if now.Sub(m.wantedSince) < time.Duration(rank)*rankDelay {
		d.Reason = "kept: left to a controller of lower rank"
		return
	}
	m.wantedSince = time.Time{}
	d.Change = &best.Change
	m.changes = append(m.changes, pastChange{now, best.Change})
	d.Reason = fmt.Sprintf("changed: gains %.1f useful answers over %s, loses %.1f, price %.1f, doubt %.1f",
		best.Gain, c.cfg.Horizon, best.Loss, best.Price, best.Doubt)
}

// recordDecision assigns an ID to a decision. It keeps the decision for Find and History if the
// decision is notable. If there are more than maxHistory decisions, it drops the oldest one.
func (c *Core) recordDecision(d *Decision) {
	c.seq++
	d.ID = fmt.Sprintf("%s-%s-%d", c.cfg.Origin, d.Model, c.seq)
	if !d.NeedsAudit {
		return
	}
	if len(c.history) >= maxHistory {
		c.history = append(c.history[:0], c.history[1:]...)
	}
	c.history = append(c.history, *d)
}

// Find returns the kept decision with an ID, or false if there is none.
func (c *Core) Find(id string) (Decision, bool) {
	for i := range c.history {
		if c.history[i].ID == id {
			return c.history[i], true
		}
	}
	return Decision{}, false
}

// History returns the kept decisions on a model (empty: on all models), oldest first.
func (c *Core) History(model string) []Decision {
	var out []Decision
	for i := range c.history {
		if model == "" || c.history[i].Model == model {
			out = append(out, c.history[i])
		}
	}
	return out
}
