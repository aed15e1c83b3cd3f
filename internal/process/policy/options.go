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
	refusedOtherChange = "another engine of the model is away"
	refusedFloor       = "below the floor of its present role"
	refusedNoLease     = "this controller does not hold its zone's lease"
	refusedNoGain      = "gains no more than it costs"
)

// enginesPerChange is the number of engines of a model for each one that may be draining or
// changing at the same time. With fewer engines, one at a time may.
const enginesPerChange = 12

// evaluation holds the inputs that the options of one model have in common.
type evaluation struct {
	cfg       Config
	in        *Input
	model     string
	runners   []Runner // all runners of the model, including those not serving
	available []Runner // the runners that serve for most of the horizon
	demand    []Demand
	loads     []load   // forecast; loads[i] belongs to demand[i]
	useful    float64  // expected useful answers per second with the roles kept
	recent    []Change // within reversalWindow, oldest first
}

func newEvaluation(cfg Config, in *Input, model string, runners []Runner, demand []Demand, recent []Change) *evaluation {
	e := &evaluation{cfg: cfg, in: in, model: model, runners: runners, demand: demand, recent: recent}
	e.loads = loadsOf(demand, in.Routes, model)
	for i := range runners {
		if availableOver(&runners[i], cfg.Horizon) {
			e.available = append(e.available, runners[i])
		}
	}
	e.useful = e.value(e.available)
	return e
}

// availableOver reports whether a runner is expected to serve for most of the horizon. Runners that
// are draining or changing are, since they serve again after the change.
func availableOver(r *Runner, horizon time.Duration) bool {
	switch r.Phase {
	case PhaseServing, PhaseDraining, PhaseChanging:
		return true
	case PhaseLost:
		return r.BackIn > 0 && r.BackIn < horizon/2
	}
	return false
}

// value returns the expected useful answers per second of a set of runners.
func (e *evaluation) value(runners []Runner) float64 {
	c := capacityOf(runners, e.cfg.Ablation)
	return expectedUseful(&c, e.loads, e.demand, e.cfg.Ablation)
}

// options returns one evaluated change for each pair of present and new role for which there is a
// runner. Those that may be made come first, then the refused ones, each by descending Net.
func (e *evaluation) options() []Option {
	var out []Option
	for _, from := range sourceRoles {
		i := e.nextRunner(from)
		if i < 0 {
			continue
		}
		for _, to := range targetRoles[from] {
			out = append(out, e.evaluate(i, to))
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

// sourceRoles are the roles that a runner may be changed from, targetRoles the roles that it may be
// changed to. An engine of role both may become a prefill engine but not a decode engine: in a pool
// with prefill engines, it decodes as well as a decode engine does, and computes prompts faster when
// the prefill engines are overloaded. No engine is changed to role both.
var (
	sourceRoles = []upstream.Role{upstream.RoleBoth, upstream.RolePrefill, upstream.RoleDecode}
	targetRoles = map[upstream.Role][]upstream.Role{
		upstream.RoleBoth:    {upstream.RolePrefill},
		upstream.RolePrefill: {upstream.RoleDecode},
		upstream.RoleDecode:  {upstream.RolePrefill},
	}
)

// nextRunner returns the index in available of the serving runner of a role to change next, or -1 if
// there is none whose role may be changed. It prefers runners in zones whose lease this controller
// holds, then those with the fewest streams to drain.
func (e *evaluation) nextRunner(role upstream.Role) int {
	best := -1
	for i := range e.available {
		r := &e.available[i]
		if r.Role != role || !r.Auto || r.Phase != PhaseServing {
			continue
		}
		if best < 0 || e.preferred(r, &e.available[best]) {
			best = i
		}
	}
	return best
}

// preferred reports whether runner a should be changed rather than b.
func (e *evaluation) preferred(a, b *Runner) bool {
	if e.held(a.Zone) != e.held(b.Zone) {
		return e.held(a.Zone)
	}
	if a.Streams != b.Streams {
		return a.Streams < b.Streams
	}
	return a.Name < b.Name
}

// held reports whether this controller holds the lease of a zone.
func (e *evaluation) held(zone string) bool { return e.in.Held == nil || e.in.Held[zone] }

// modelError is the relative error of the useful answers that the capacity model computes, even
// where the model is accurate. A smaller gain can't be told from no gain.
const modelError = 0.02

// evaluate returns the option of changing the role of available runner i. For an engine of role both
// it considers changing further engines of role both after it, and returns the best number of
// changes as one option.
func (e *evaluation) evaluate(i int, to upstream.Role) Option {
	p := plan{changed: append([]Runner(nil), e.available...)}
	e.addStep(&p, i, to)
	best := e.evaluatePlan(i, to, &p)
	if e.available[i].Role != upstream.RoleBoth {
		return best
	}
	for k := range e.available {
		r := &e.available[k]
		if k == i || r.Role != upstream.RoleBoth || !r.Auto || r.Phase != PhaseServing {
			continue
		}
		e.addStep(&p, k, to)
		if o := e.evaluatePlan(i, to, &p); o.Net() > best.Net() {
			best = o
		}
	}
	return best
}

// plan is a sequence of changes of runners to one role, made one after the other.
type plan struct {
	changed  []Runner // the available runners after all steps
	steps    int
	loss     float64       // useful answers lost until the last runner is back
	downtime time.Duration // of the last step
}

// addStep adds the change of available runner i to a plan. While the runner is out of service, the
// difference in useful answers from keeping the roles counts as loss. It may be negative after the
// first step.
func (e *evaluation) addStep(p *plan, i int, to upstream.Role) {
	remaining := append(append([]Runner(nil), p.changed[:i]...), p.changed[i+1:]...)
	p.downtime = e.downtime(&e.available[i])
	p.loss += (e.useful - e.value(remaining)) * p.downtime.Seconds()
	p.changed[i].Role = to
	p.steps++
}

// evaluatePlan returns the option of a plan whose first step changes available runner first. The
// horizon begins with the last step, so the gain counts from the end of that step's downtime.
func (e *evaluation) evaluatePlan(first int, to upstream.Role, p *plan) Option {
	r := e.available[first]
	o := Option{Change: Change{Model: e.model, Runner: r.Name, From: r.Role, To: to}, Steps: p.steps, Loss: p.loss}
	o.Price = e.cfg.RoleChangePrice * float64(p.steps)
	remaining := max(0, e.cfg.Horizon-p.downtime).Seconds()
	o.Gain = (e.value(p.changed) - e.useful) * remaining
	if !e.cfg.Ablation.Uncertainty {
		o.Doubt = modelError * e.useful * e.cfg.Horizon.Seconds()
	}
	if !e.cfg.Ablation.Reversals {
		factor := math.Pow(2, float64(e.reversals(o.Change)))
		o.Price *= factor
		o.Doubt *= factor
	}
	if e.cfg.Ablation.Loss {
		o.Loss = 0
	}
	if e.cfg.Ablation.Price {
		o.Price = 0
	}
	o.Refused = e.refusal(&r, to, o)
	return o
}

// reversals returns how often the new role differs between consecutive changes of the recent ones
// followed by c. Each such reversal shows that an expected gain did not last, so each one doubles
// the price and the doubt of the next change. Several changes to the same role are no reversal.
func (e *evaluation) reversals(c Change) int {
	n := 0
	for i := range e.recent {
		next := c
		if i+1 < len(e.recent) {
			next = e.recent[i+1]
		}
		if e.recent[i].To != next.To {
			n++
		}
	}
	return n
}

// maxDrain is the upper limit of the estimated drain time.
const maxDrain = 30 * time.Second

// downtime returns the time for which a change takes a runner out of service: the change itself and
// half of the drain. Only half of the drain counts because the runner still finishes its requests
// during it.
func (e *evaluation) downtime(r *Runner) time.Duration {
	change := seconds(r.Class.RoleChangeSeconds)
	if r.Streams == 0 {
		return change
	}
	if r.Role == upstream.RolePrefill {
		return change + time.Second/2
	}
	var requests, decode float64
	for i := range e.demand {
		requests += e.demand[i].Requests.Fast
		decode += e.demand[i].Decode.Fast
	}
	if requests == 0 {
		return change
	}
	fixed, perStream := stepTime(r.Class)
	drain := seconds(decode / requests * (fixed + perStream*float64(r.Streams)))
	return change + min(drain, maxDrain)/2
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// refusal returns why a change may not be made, or an empty string if it may.
func (e *evaluation) refusal(r *Runner, to upstream.Role, o Option) string {
	if e.changingCount() >= max(1, len(e.runners)/enginesPerChange) {
		return refusedOtherChange
	}
	if e.violatesFloor(r, to) {
		return refusedFloor
	}
	if !e.held(r.Zone) {
		return refusedNoLease
	}
	if o.Net() <= 0 {
		return refusedNoGain
	}
	return ""
}

// changingCount returns the number of runners that are draining or changing.
func (e *evaluation) changingCount() int {
	n := 0
	for i := range e.runners {
		if p := e.runners[i].Phase; p == PhaseDraining || p == PhaseChanging {
			n++
		}
	}
	return n
}

// violatesFloor reports whether a change leaves fewer serving runners of a role than the model's
// minimum. A runner of role both counts for both roles. At least one engine that decodes must stay
// even if the minimum is 0, since without one no request is answered.
func (e *evaluation) violatesFloor(r *Runner, to upstream.Role) bool {
	floor := e.in.Models[e.model]
	prefill, decode := 0, 0
	for i := range e.available {
		p := &e.available[i]
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

// groupByModel returns the runners of each model.
func groupByModel(runners []Runner) map[string][]Runner {
	out := map[string][]Runner{}
	for i := range runners {
		out[runners[i].Model] = append(out[runners[i].Model], runners[i])
	}
	return out
}

// sortedModels returns the sorted names of the configured models that have runners.
func sortedModels(byModel map[string][]Runner, models map[string]resource.Model) []string {
	var names []string
	for name := range byModel {
		if _, ok := models[name]; ok {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}
