package reconcile

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// planner holds one computation of a plan.
type planner struct {
	desired Desired
	actual  Actual
	pools   map[string]*pool
	loads   int // weight loads that may begin now
	steps   []Step
}

// Plan computes the next steps for the runners of Actual.Zone. All steps may be
// taken at once; each depends only on what is there already.
func Plan(d Desired, a Actual) []Step {
	p := &planner{desired: d, actual: a}
	p.pools = countPools(d, a, func(string, Drain) bool { return true })
	p.loads = loadsLeft(d, a)
	for _, name := range p.order() {
		p.runner(name)
	}
	return p.steps
}

// order lists the zone's runners: first those in the middle of a change, then those
// that serve nothing, then the others, each by name.
func (p *planner) order() []string {
	var names []string
	for name, w := range p.desired.Runners {
		if w.Zone == p.actual.Zone {
			names = append(names, name)
		}
	}
	for name, drain := range p.actual.Drains {
		if _, wanted := p.desired.Runners[name]; !wanted && drain.Zone == p.actual.Zone {
			names = append(names, name) // its Runner was deleted
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		if c := cmp.Compare(p.class(a), p.class(b)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return names
}

func (p *planner) class(name string) int {
	if _, drained := p.actual.Drains[name]; drained || p.actual.Runners[name].Order != "" {
		return 0
	}
	if !serves(name, p.desired.Runners[name], p.actual) {
		return 1
	}
	return 2
}

func (p *planner) add(s Step) { p.steps = append(p.steps, s) }

// mark publishes the runner's phase.
func (p *planner) mark(name string, phase Phase, reason string) {
	role := p.actual.Runners[name].State.Role
	p.add(Step{Kind: MarkStatus, Runner: name, Phase: phase, Role: role, Reason: reason})
}

// runner plans for one runner.
func (p *planner) runner(name string) {
	w, wanted := p.desired.Runners[name]
	if !wanted {
		p.allow(name, "the runner is not configured any more")
		return
	}
	o := p.actual.Runners[name]
	if o.Order != "" {
		p.underWay(name, w, o)
		return
	}
	if w.State == resource.RunnerWithdrawn {
		p.allow(name, "an operator withdrew the runner")
		p.withdrawn(name, o)
		return
	}
	if !o.Reachable {
		p.mark(name, PhaseLost, "the engine does not answer")
		return
	}
	if list := needs(w, o.State); len(list) > 0 {
		p.change(name, w, o, list[0])
		return
	}
	p.settled(name, w, o)
}

// underWay goes on with an open order.
func (p *planner) underWay(name string, w Want, o Observed) {
	if w.State == resource.RunnerWithdrawn {
		p.add(Step{Kind: Abandon, Runner: name, Reason: "an operator withdrew the runner"})
	}
	if drain, drained := p.actual.Drains[name]; !drained || drain.Epoch != p.actual.Epoch || drain.Zone != p.actual.Zone {
		p.add(Step{Kind: StopNewWork, Runner: name, Reason: "order " + o.Order + " is under way"})
	}
	p.add(Step{Kind: AwaitOrder, Runner: name, Reason: "order " + o.Order + " is under way"})
	p.mark(name, PhaseChanging, "order "+o.Order+" is under way")
}

func (p *planner) withdrawn(name string, o Observed) {
	if o.Reachable && o.State.Streams > 0 {
		p.mark(name, PhaseDraining, fmt.Sprintf("withdrawn by an operator; %d requests still run", o.State.Streams))
		return
	}
	p.mark(name, PhaseWithdrawn, "withdrawn by an operator")
}

// settled handles a runner that is as wanted.
func (p *planner) settled(name string, w Want, o Observed) {
	p.allow(name, "the runner is as wanted")
	switch {
	case w.State == resource.RunnerServing && !w.Leaving && !o.State.Leaving:
		p.mark(name, PhaseServing, "")
	case o.State.Streams > 0:
		p.mark(name, PhaseDraining, fmt.Sprintf("%s; %d requests still run", leavingReason(w), o.State.Streams))
	default:
		p.mark(name, PhaseDrained, leavingReason(w))
	}
}

func leavingReason(w Want) string {
	if w.State == resource.RunnerDrained {
		return "drained by an operator"
	}
	return "its instance is leaving"
}

// allow removes the drain mark if there is one.
func (p *planner) allow(name, reason string) {
	if _, drained := p.actual.Drains[name]; drained {
		p.add(Step{Kind: AllowWork, Runner: name, Reason: reason})
	}
}

// change plans the next need of a runner.
func (p *planner) change(name string, w Want, o Observed, n Need) {
	if why := p.blocked(name, w, o, n); why != "" {
		p.allow(name, why)
		p.hold(name, w, o, why)
		return
	}
	drain, drained := p.actual.Drains[name]
	switch {
	case !drained || drain.Epoch != p.actual.Epoch || drain.Zone != p.actual.Zone:
		p.stop(name, w, o, n, drained)
	case !drain.InForce:
		p.wait(name, n, "gateways are being told")
	case o.State.Streams > 0:
		p.wait(name, n, fmt.Sprintf("%d requests still run", o.State.Streams))
	case o.State.OrderStatus == upstream.OrderRunning:
		p.wait(name, n, "the engine executes order "+o.State.OrderID)
	default:
		p.add(Step{Kind: GiveOrder, Runner: name, Order: n.Order, Reason: n.Reason})
		p.mark(name, PhaseChanging, n.Reason)
	}
	if loadsWeights(n.Order) {
		p.loads--
	}
}

// stop begins the drain, or renews a mark of a former holder.
func (p *planner) stop(name string, w Want, o Observed, n Need, drained bool) {
	if !drained && serves(name, w, p.actual) && w.State == resource.RunnerServing && !w.Leaving {
		p.pools[w.Model].take(o.State.Role)
	}
	p.add(Step{Kind: StopNewWork, Runner: name, Reason: n.Reason})
	p.mark(name, PhaseDraining, n.Reason)
}

func (p *planner) wait(name string, n Need, what string) {
	p.add(Step{Kind: WaitDrained, Runner: name, Reason: what + "; then " + n.Reason})
	p.mark(name, PhaseDraining, what+"; then "+n.Reason)
}

// hold notes that a wanted change has to wait, and publishes what the runner does
// meanwhile.
func (p *planner) hold(name string, w Want, o Observed, why string) {
	p.add(Step{Kind: Hold, Runner: name, Reason: why})
	phase := PhaseServing
	if w.State != resource.RunnerServing || w.Leaving || !serves(name, w, p.actual) {
		phase = PhaseDrained
	}
	p.mark(name, phase, "held: "+why)
}

// blocked says why a need has to wait; empty: it has not.
func (p *planner) blocked(name string, w Want, o Observed, n Need) string {
	if p.actual.Now.Before(o.RetryAt) && o.Failed == n.Order {
		return "the order failed and is tried again later: " + o.FailedWhy
	}
	if why := p.failedElsewhere(name, n); why != "" {
		return why
	}
	if loadsWeights(n.Order) && p.loads <= 0 {
		return "the weight store's rate is used up"
	}
	if w.State != resource.RunnerServing || w.Leaving {
		return "" // it serves nothing that would be missed
	}
	drain, drained := p.actual.Drains[name]
	if drained {
		return p.yields(name, w, o, drain)
	}
	if !serves(name, w, p.actual) {
		return ""
	}
	ok, why := p.pools[w.Model].mayLeave(o.State.Role)
	if !ok {
		return why
	}
	return ""
}

// failedElsewhere holds back a load that failed at another runner, so that a bad
// version takes one runner and not all.
func (p *planner) failedElsewhere(name string, n Need) string {
	if !loadsWeights(n.Order) {
		return ""
	}
	for other, o := range p.actual.Runners {
		if other != name && o.Reachable && o.Failed == n.Order && o.FailedWhy != "" {
			return "the same load failed at another runner"
		}
	}
	return ""
}

// yields says why a drained runner must go back to work; empty: it need not. Two
// zones that drain runners of one model at the same moment see it only afterwards:
// the mark with the lower version goes on, the other yields.
func (p *planner) yields(name string, w Want, o Observed, own Drain) string {
	if !holdsModel(o.State.Loaded, w.Model) {
		return ""
	}
	earlier := func(runner string, d Drain) bool {
		return runner != name && d.Version < own.Version
	}
	pools := countPools(p.desired, p.actual, func(runner string, d Drain) bool {
		return runner == name || earlier(runner, d)
	})
	before := pools[w.Model]
	before.away--
	before.all = before.all.add(o.State.Role, 1)
	if ok, why := before.mayLeave(o.State.Role); !ok {
		return "another runner's change came first: " + why
	}
	return ""
}

// loadsLeft is how many weight loads may begin now.
func loadsLeft(d Desired, a Actual) int {
	const unlimited = 1 << 20
	if d.LoadsPerMinute <= 0 {
		return unlimited
	}
	window := time.Minute
	burst := int(d.LoadsPerMinute)
	if burst < 1 {
		burst = 1
		window = time.Duration(float64(time.Minute) / d.LoadsPerMinute)
	}
	for _, at := range a.Loads {
		if a.Now.Sub(at) < window {
			burst--
		}
	}
	return burst
}
