package policy

import (
	"fmt"
	"sort"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
)

const (
	warmUp        = 15 * time.Second // no change before demand was seen this long
	rankWait      = 3 * time.Second  // a controller of the next rank acts this much later
	recentChanges = 10 * time.Minute // turning back within this time costs more
	keptDecisions = 512              // decisions kept for explain
)

// Core decides role changes. It is not safe for concurrent use.
type Core struct {
	cfg     Config
	models  map[string]*modelState
	folded  time.Time // demand is taken in up to then
	started time.Time
	seq     int
	kept    []Decision // oldest first, only notable ones
}

// modelState is what is remembered of one model.
type modelState struct {
	routes     map[string]*routeDemand
	lastReason string
	changes    []madeChange // within recentChanges
	wanted     time.Time    // since when a change has been wanted without a pause; zero: not
}

// madeChange is a change that was decided.
type madeChange struct {
	at     time.Time
	change Change
}

// recent gives the changes made lately and forgets older ones.
func (m *modelState) recent(now time.Time) []Change {
	for len(m.changes) > 0 && now.Sub(m.changes[0].at) > recentChanges {
		m.changes = m.changes[1:]
	}
	var out []Change
	for _, c := range m.changes {
		out = append(out, c.change)
	}
	return out
}

// New makes a core that has seen no demand.
func New(cfg Config) *Core {
	return &Core{cfg: cfg, models: map[string]*modelState{}}
}

// Observe takes in the demand that a gateway admitted or refused since its
// previous report. Rows of several gateways add up.
func (c *Core) Observe(now time.Time, rows []peer.DemandRow) {
	c.fold(now)
	for i := range rows {
		row := &rows[i]
		g := &c.route(row.Model, row.Route).gathered
		g.requests += float64(row.Arrived)
		g.prefill += float64(row.Prefill)
		g.decode += float64(row.Decode)
		g.late += float64(row.Late)
	}
}

func (c *Core) model(name string) *modelState {
	m := c.models[name]
	if m == nil {
		m = &modelState{routes: map[string]*routeDemand{}}
		c.models[name] = m
	}
	return m
}

func (c *Core) route(model, route string) *routeDemand {
	m := c.model(model)
	r := m.routes[route]
	if r == nil {
		r = newRouteDemand(route, c.cfg)
		m.routes[route] = r
	}
	return r
}

// fold takes gathered demand into the estimates once it spans a bucket.
func (c *Core) fold(now time.Time) {
	if c.folded.IsZero() {
		c.folded, c.started = now, now
		return
	}
	span := now.Sub(c.folded)
	if span < bucket {
		return
	}
	for _, m := range c.models {
		for _, r := range m.routes {
			r.fold(span.Seconds())
		}
	}
	c.folded = now
}

// Decide weighs the roles of every model, one decision each, by model name. Call
// it about once a second, and at once after a crash or withdrawal. The caller
// makes the change: drain, order, read back. A change that the caller could not
// begin needs no word; it is weighed anew at the next call.
func (c *Core) Decide(now time.Time, in Input) []Decision {
	c.fold(now)
	byModel := runnersOf(in.Runners)
	var out []Decision
	for _, name := range modelsOf(byModel, in.Models) {
		out = append(out, c.decide(now, &in, name, byModel[name]))
	}
	c.forget(byModel)
	return out
}

// forget drops models that have no runners any more.
func (c *Core) forget(byModel map[string][]Runner) {
	for name := range c.models {
		if len(byModel[name]) == 0 {
			delete(c.models, name)
		}
	}
}

func (c *Core) decide(now time.Time, in *Input, name string, runners []Runner) Decision {
	m := c.model(name)
	w := newWeighing(c.cfg, in, name, runners, m.demand(), m.recent(now))
	d := Decision{At: now, Model: name, Demand: w.demand, Useful: w.useful, Options: w.options()}
	c.choose(now, m, in.Rank, &d)
	d.Notable = d.Change != nil || d.Reason != m.lastReason
	m.lastReason = d.Reason
	c.keep(&d)
	return d
}

func (m *modelState) demand() []Demand {
	var out []Demand
	for _, r := range m.routes {
		out = append(out, r.demand())
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Route < out[k].Route })
	return out
}

// choose makes the best option the change if nothing speaks against it.
func (c *Core) choose(now time.Time, m *modelState, rank int, d *Decision) {
	if now.Sub(c.started) < warmUp {
		d.Reason = "kept: demand has not been seen for long enough"
		return
	}
	if len(d.Options) == 0 {
		d.Reason = "kept: no serving runner's role may be changed (fixed or away)"
		return
	}
	best := d.Options[0]
	if best.Refused != "" {
		m.wanted = time.Time{}
		d.Reason = "kept: the best change is refused: " + best.Refused
		return
	}
	if m.wanted.IsZero() {
		m.wanted = now
	}
	if now.Sub(m.wanted) < time.Duration(rank)*rankWait {
		d.Reason = "kept: left to a controller of lower rank"
		return
	}
	m.wanted = time.Time{}
	d.Change = &best.Change
	m.changes = append(m.changes, madeChange{now, best.Change})
	d.Reason = fmt.Sprintf("changed: gains %.1f useful answers over %s, loses %.1f, price %.1f, doubt %.1f",
		best.Gain, c.cfg.Horizon, best.Loss, best.Price, best.Doubt)
}

// keep numbers a decision and keeps notable ones for explain.
func (c *Core) keep(d *Decision) {
	c.seq++
	d.ID = fmt.Sprintf("%s-%s-%d", c.cfg.Origin, d.Model, c.seq)
	if !d.Notable {
		return
	}
	if len(c.kept) >= keptDecisions {
		c.kept = append(c.kept[:0], c.kept[1:]...)
	}
	c.kept = append(c.kept, *d)
}

// Find gives a kept decision by its ID.
func (c *Core) Find(id string) (Decision, bool) {
	for i := range c.kept {
		if c.kept[i].ID == id {
			return c.kept[i], true
		}
	}
	return Decision{}, false
}

// Kept lists the kept decisions on a model (empty: on all), oldest first.
func (c *Core) Kept(model string) []Decision {
	var out []Decision
	for i := range c.kept {
		if model == "" || c.kept[i].Model == model {
			out = append(out, c.kept[i])
		}
	}
	return out
}
