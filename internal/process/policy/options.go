package policy

import (
	"math"
	"sort"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// Reasons why an option is refused.
const (
	refusedAway  = "another engine of the model is away"
	refusedFloor = "below the floor of its present role"
	refusedZone  = "this controller does not hold its zone's lease"
	refusedGain  = "gains no more than it costs"
)

// poolPerAway: a model may have one engine away for each so many that it has.
const poolPerAway = 12

// weighing holds what the options of one model have in common.
type weighing struct {
	cfg     Config
	in      *Input
	model   string
	runners []Runner // of the model, with those that are not serving
	present []Runner // those that count over the horizon
	demand  []Demand
	loads   []load  // forecast
	useful  float64 // with the roles kept
	recent  []Change
}

func newWeighing(cfg Config, in *Input, model string, runners []Runner, demand []Demand, recent []Change) *weighing {
	w := &weighing{cfg: cfg, in: in, model: model, runners: runners, demand: demand, recent: recent}
	w.loads = loadsOf(demand, in.Routes, model)
	for i := range runners {
		if countsOver(&runners[i], cfg.Horizon) {
			w.present = append(w.present, runners[i])
		}
	}
	w.useful = w.value(w.present)
	return w
}

// countsOver tells whether a runner serves for most of the horizon.
func countsOver(r *Runner, horizon time.Duration) bool {
	switch r.Phase {
	case PhaseServing, PhaseDraining, PhaseChanging:
		return true
	case PhaseLost:
		return r.BackIn > 0 && r.BackIn < horizon/2
	}
	return false
}

// value is the expected rate of useful answers of a set of runners.
func (w *weighing) value(runners []Runner) float64 {
	c := countOf(runners, w.cfg.Without)
	return expected(&c, w.loads, w.demand, w.cfg.Without)
}

// options weighs one change for each pair of present and new role, best first.
func (w *weighing) options() []Option {
	var out []Option
	for _, from := range roles {
		i := w.cheapest(from)
		if i < 0 {
			continue
		}
		for _, to := range changes[from] {
			out = append(out, w.weigh(i, to))
		}
	}
	sort.SliceStable(out, func(i, k int) bool {
		if (out[i].Refused == "") != (out[k].Refused == "") {
			return out[i].Refused == ""
		}
		return out[i].Net() > out[k].Net()
	})
	return out
}

// roles are those that a runner may be changed from, changes the roles that each
// may get. An engine of role both becomes a prefill engine, never a decode
// engine: beside prefill engines it decodes as well as one, and computes prompts
// faster if they have too much to do. No engine is changed to role both.
var (
	roles   = []upstream.Role{upstream.RoleBoth, upstream.RolePrefill, upstream.RoleDecode}
	changes = map[upstream.Role][]upstream.Role{
		upstream.RoleBoth:    {upstream.RolePrefill},
		upstream.RolePrefill: {upstream.RoleDecode},
		upstream.RoleDecode:  {upstream.RolePrefill},
	}
)

// cheapest finds the runner of a role that is soonest drained, in a zone that
// this controller holds if there is one; -1: none.
func (w *weighing) cheapest(role upstream.Role) int {
	best := -1
	for i := range w.present {
		r := &w.present[i]
		if r.Role != role || !r.Auto || r.Phase != PhaseServing {
			continue
		}
		if best < 0 || w.cheaper(r, &w.present[best]) {
			best = i
		}
	}
	return best
}

func (w *weighing) cheaper(a, b *Runner) bool {
	if w.held(a.Zone) != w.held(b.Zone) {
		return w.held(a.Zone)
	}
	if a.Streams != b.Streams {
		return a.Streams < b.Streams
	}
	return a.Name < b.Name
}

func (w *weighing) held(zone string) bool { return w.in.Held == nil || w.in.Held[zone] }

// resolution is the share of useful answers that the capacity model is off by
// even where it is good; smaller gains are not told from none.
const resolution = 0.02

// weigh works out gain and loss of changing one present runner. For an engine of
// role both that is the best split that it is the first step of.
func (w *weighing) weigh(i int, to upstream.Role) Option {
	p := plan{changed: append([]Runner(nil), w.present...)}
	w.step(&p, i, to)
	best := w.weighPlan(i, to, &p)
	if w.present[i].Role != upstream.RoleBoth {
		return best
	}
	for k := range w.present {
		r := &w.present[k]
		if k == i || r.Role != upstream.RoleBoth || !r.Auto || r.Phase != PhaseServing {
			continue
		}
		w.step(&p, k, to)
		if o := w.weighPlan(i, to, &p); o.Net() > best.Net() {
			best = o
		}
	}
	return best
}

// plan is a number of changes to the same role, made one after the other.
type plan struct {
	changed []Runner // the present runners with all steps made
	steps   int
	loss    float64       // useful answers until the last runner is back
	away    time.Duration // of the last step
}

// step adds the change of a runner. What the states between lose or gain against
// the roles kept counts as loss.
func (w *weighing) step(p *plan, i int, to upstream.Role) {
	gone := append(append([]Runner(nil), p.changed[:i]...), p.changed[i+1:]...)
	p.away = w.awayFor(&w.present[i])
	p.loss += (w.useful - w.value(gone)) * p.away.Seconds()
	p.changed[i].Role = to
	p.steps++
}

// weighPlan works out gain and loss of a plan whose first step changes a runner.
// The horizon begins with the last step.
func (w *weighing) weighPlan(first int, to upstream.Role, p *plan) Option {
	r := w.present[first]
	o := Option{Change: Change{Model: w.model, Runner: r.Name, From: r.Role, To: to}, Steps: p.steps, Loss: p.loss}
	o.Price = w.cfg.RoleChangePrice * float64(p.steps)
	lasting := max(0, w.cfg.Horizon-p.away).Seconds()
	o.Gain = (w.value(p.changed) - w.useful) * lasting
	if !w.cfg.Without.Uncertainty {
		o.Doubt = resolution * w.useful * w.cfg.Horizon.Seconds()
	}
	if !w.cfg.Without.Reversals {
		dearer := math.Pow(2, float64(w.reversals(o.Change)))
		o.Price *= dearer
		o.Doubt *= dearer
	}
	if w.cfg.Without.Loss {
		o.Loss = 0
	}
	if w.cfg.Without.Price {
		o.Price = 0
	}
	o.Refused = w.refusal(&r, to, o)
	return o
}

// reversals counts how often the recent changes, with c as the last one, turned
// back. Each turn shows that an expected gain did not last, so the next one has
// to be twice as large; several changes in the same direction are no turn.
func (w *weighing) reversals(c Change) int {
	n := 0
	for i := range w.recent {
		next := c
		if i+1 < len(w.recent) {
			next = w.recent[i+1]
		}
		if w.recent[i].To != next.To {
			n++
		}
	}
	return n
}

// longestDrain bounds the drain that is reckoned with.
const longestDrain = 30 * time.Second

// awayFor is the time that a change takes a runner away: the change itself and
// half of the drain, in which the runner still finishes what it has.
func (w *weighing) awayFor(r *Runner) time.Duration {
	change := seconds(r.Class.RoleChangeSeconds)
	if r.Streams == 0 {
		return change
	}
	if r.Role == upstream.RolePrefill {
		return change + time.Second/2
	}
	var requests, decode float64
	for i := range w.demand {
		requests += w.demand[i].Requests.Fast
		decode += w.demand[i].Decode.Fast
	}
	if requests == 0 {
		return change
	}
	fixed, perStream := step(r.Class)
	drain := seconds(decode / requests * (fixed + perStream*float64(r.Streams)))
	return change + min(drain, longestDrain)/2
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// refusal says why a change may not be made; empty: it may.
func (w *weighing) refusal(r *Runner, to upstream.Role, o Option) string {
	if w.away() >= max(1, len(w.runners)/poolPerAway) {
		return refusedAway
	}
	if w.breaksFloor(r, to) {
		return refusedFloor
	}
	if !w.held(r.Zone) {
		return refusedZone
	}
	if o.Net() <= 0 {
		return refusedGain
	}
	return ""
}

// away counts the runners that are away for a change or about to be.
func (w *weighing) away() int {
	n := 0
	for i := range w.runners {
		if p := w.runners[i].Phase; p == PhaseDraining || p == PhaseChanging {
			n++
		}
	}
	return n
}

// breaksFloor tells whether a change takes the runners of a role that serve now
// below the model's floor. One engine that decodes always stays, since without
// it nothing is answered.
func (w *weighing) breaksFloor(r *Runner, to upstream.Role) bool {
	floor := w.in.Models[w.model]
	prefill, decode := 0, 0
	for i := range w.present {
		p := &w.present[i]
		if p.Phase != PhaseServing || p.Name == r.Name {
			continue
		}
		if p.Role != upstream.RoleDecode {
			prefill++
		}
		if p.Role != upstream.RolePrefill {
			decode++
		}
	}
	if r.Role != upstream.RolePrefill && decode < max(1, floor.MinDecode) {
		return true
	}
	return r.Role != upstream.RoleDecode && to == upstream.RoleDecode && prefill < floor.MinPrefill
}

// runnersOf sorts the runners of each model.
func runnersOf(runners []Runner) map[string][]Runner {
	out := map[string][]Runner{}
	for i := range runners {
		out[runners[i].Model] = append(out[runners[i].Model], runners[i])
	}
	return out
}

// modelsOf lists the models that have runners, by name.
func modelsOf(byModel map[string][]Runner, models map[string]resource.Model) []string {
	var names []string
	for name := range byModel {
		if _, ok := models[name]; ok {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}
