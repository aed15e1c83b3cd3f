package reconcile

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// planner holds the state of one computation of a plan.
type planner struct {
	desired   Desired
	actual    Actual
	pools     map[string]*pool
	loadsLeft int // weight loads that may still start now; draining a runner for a load takes one as well
	steps     []Step
}

// Plan returns the next steps for the runners of Actual.Zone. All steps may be taken
// at once; none depends on the result of another.
func Plan(d Desired, a Actual) []Step {
	p := &planner{desired: d, actual: a}
	p.pools = countPools(d, a, func(string, Drain) bool { return true })
	p.loadsLeft = remainingLoads(d, a)
	for _, name := range p.runnerOrder() {
		p.planRunner(name)
	}
	return p.steps
}

// runnerOrder returns the names of the zone's runners in the order of planning: first
// those being changed, then those that do not serve, then the others, each sorted by
// name.
func (p *planner) runnerOrder() []string {
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
		if c := cmp.Compare(p.priority(a), p.priority(b)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return names
}

// priority returns the group of a runner in runnerOrder; lower groups come first.
func (p *planner) priority(name string) int {
	if _, drained := p.actual.Drains[name]; drained || p.actual.Runners[name].Order != "" {
		return 0
	}
	if !serves(name, p.desired.Runners[name], p.actual) {
		return 1
	}
	return 2
}

func (p *planner) add(s Step) { p.steps = append(p.steps, s) }

// markStatus adds a step that publishes the runner's phase.
func (p *planner) markStatus(name string, phase Phase, reason string) {
	role := p.actual.Runners[name].State.Role
	p.add(Step{Kind: MarkStatus, Runner: name, Phase: phase, Role: role, Reason: reason})
}

// planRunner adds the steps of one runner.
func (p *planner) planRunner(name string) {
	w, wanted := p.desired.Runners[name]
	if !wanted {
		p.allowWork(name, "the runner is not configured any more")
		return
	}
	o := p.actual.Runners[name]
	if o.Order != "" {
		p.awaitOrder(name, w, o)
		return
	}
	if w.State == resource.RunnerWithdrawn {
		p.allowWork(name, "an operator withdrew the runner")
		p.markWithdrawn(name, o)
		return
	}
	if !o.Reachable {
		p.markStatus(name, PhaseLost, "the engine does not answer")
		return
	}
	if changes := pendingChanges(w, o.State); len(changes) > 0 {
		p.planChange(name, w, o, changes[0])
		return
	}
	p.markConverged(name, w, o)
}

// awaitOrder adds the steps of a runner with an open order.
func (p *planner) awaitOrder(name string, w RunnerSpec, o Observed) {
	if w.State == resource.RunnerWithdrawn {
		p.add(Step{Kind: Abandon, Runner: name, Reason: "an operator withdrew the runner"})
	}
	if drain, drained := p.actual.Drains[name]; !drained || drain.Epoch != p.actual.Epoch || drain.Zone != p.actual.Zone {
		p.add(Step{Kind: StopNewWork, Runner: name, Reason: "order " + o.Order + " is under way"})
	}
	p.add(Step{Kind: AwaitOrder, Runner: name, Reason: "order " + o.Order + " is under way"})
	p.markStatus(name, PhaseChanging, "order "+o.Order+" is under way")
}

// markWithdrawn publishes the phase of a runner that an operator withdrew.
func (p *planner) markWithdrawn(name string, o Observed) {
	if o.Reachable && o.State.Streams > 0 {
		p.markStatus(name, PhaseDraining, fmt.Sprintf("withdrawn by an operator; %d requests still run", o.State.Streams))
		return
	}
	p.markStatus(name, PhaseWithdrawn, "withdrawn by an operator")
}

// markConverged adds the steps of a runner that is in its desired state.
func (p *planner) markConverged(name string, w RunnerSpec, o Observed) {
	p.allowWork(name, "the runner is as wanted")
	switch {
	case w.State == resource.RunnerServing && !w.Leaving && !o.State.Leaving:
		p.markStatus(name, PhaseServing, "")
	case o.State.Streams > 0:
		p.markStatus(name, PhaseDraining, fmt.Sprintf("%s; %d requests still run", leavingReason(w), o.State.Streams))
	default:
		p.markStatus(name, PhaseDrained, leavingReason(w))
	}
}

func leavingReason(w RunnerSpec) string {
	if w.State == resource.RunnerDrained {
		return "drained by an operator"
	}
	return "its instance is leaving"
}

// allowWork removes the drain mark if there is one.
func (p *planner) allowWork(name, reason string) {
	if _, drained := p.actual.Drains[name]; drained {
		p.add(Step{Kind: AllowWork, Runner: name, Reason: reason})
	}
}

// planChange adds the steps toward the next change of a runner.
func (p *planner) planChange(name string, w RunnerSpec, o Observed, c Change) {
	if reason := p.blockedBy(name, w, o, c); reason != "" {
		p.allowWork(name, reason)
		p.hold(name, w, o, reason)
		return
	}
	drain, drained := p.actual.Drains[name]
	switch {
	case !drained || drain.Epoch != p.actual.Epoch || drain.Zone != p.actual.Zone:
		p.startDrain(name, w, o, c, drained)
	case !drain.Confirmed:
		p.waitDrained(name, c, "gateways are being told")
	case o.State.Streams > 0:
		p.waitDrained(name, c, fmt.Sprintf("%d requests still run", o.State.Streams))
	case o.State.OrderStatus == upstream.OrderRunning:
		p.waitDrained(name, c, "the engine executes order "+o.State.OrderID)
	default:
		p.add(Step{Kind: SendOrder, Runner: name, Order: c.Order, Reason: c.Reason})
		p.markStatus(name, PhaseChanging, c.Reason)
	}
	if loadsWeights(c.Order) {
		p.loadsLeft--
	}
}

// startDrain starts draining a runner. If drained is true, the runner already has a drain
// mark, written by a former lease holder; startDrain renews that mark.
func (p *planner) startDrain(name string, w RunnerSpec, o Observed, c Change, drained bool) {
	if !drained && serves(name, w, p.actual) && w.State == resource.RunnerServing && !w.Leaving {
		p.pools[w.Model].takeOut(o.State.Role)
	}
	p.add(Step{Kind: StopNewWork, Runner: name, Reason: c.Reason})
	p.markStatus(name, PhaseDraining, c.Reason)
}

// waitDrained adds the steps of a runner that is still draining.
func (p *planner) waitDrained(name string, c Change, reason string) {
	p.add(Step{Kind: WaitDrained, Runner: name, Reason: reason + "; then " + c.Reason})
	p.markStatus(name, PhaseDraining, reason+"; then "+c.Reason)
}

// hold records that a change has to wait and publishes the runner's phase in the
// meantime.
func (p *planner) hold(name string, w RunnerSpec, o Observed, reason string) {
	p.add(Step{Kind: Hold, Runner: name, Reason: reason})
	phase := PhaseServing
	if w.State != resource.RunnerServing || w.Leaving || !serves(name, w, p.actual) {
		phase = PhaseDrained
	}
	p.markStatus(name, phase, "held: "+reason)
}

// blockedBy returns why a change has to wait, or "" if it need not.
func (p *planner) blockedBy(name string, w RunnerSpec, o Observed, c Change) string {
	if p.actual.Now.Before(o.RetryAt) && o.Failed == c.Order {
		return "the order failed and is tried again later: " + o.FailureReason
	}
	if reason := p.failedElsewhere(name, c); reason != "" {
		return reason
	}
	if loadsWeights(c.Order) && p.loadsLeft <= 0 {
		return "the weight store's rate is used up"
	}
	if w.State != resource.RunnerServing || w.Leaving {
		return "" // it is not in service, so the change takes no capacity away
	}
	drain, drained := p.actual.Drains[name]
	if drained {
		return p.yieldReason(name, w, o, drain)
	}
	if !serves(name, w, p.actual) {
		return ""
	}
	ok, reason := p.pools[w.Model].canTakeOut(o.State.Role)
	if !ok {
		return reason
	}
	return ""
}

// failedElsewhere returns the reason not to load model weights at a runner while the same
// order has failed at another runner. It returns "" if there is no such failure. This way
// a bad version of the weights takes one runner out of service instead of all.
func (p *planner) failedElsewhere(name string, c Change) string {
	if !loadsWeights(c.Order) {
		return ""
	}
	for other, o := range p.actual.Runners {
		if other != name && o.Reachable && o.Failed == c.Order && o.FailureReason != "" {
			return "the same load failed at another runner"
		}
	}
	return ""
}

// yieldReason returns why a runner with a drain mark has to go back into service, or "" if
// it need not. (While a runner's drain mark is stored, gateways send it no new requests,
// because a change is due.) Two zones that start draining runners of one model at the same
// time notice each other's marks only afterwards. The mark with the lower version was
// written first and has precedence. So yieldReason checks whether the runner may be taken
// out of service if only the marks written before its own are counted. A runner that has
// not loaded its model serves no requests for it, so it can't go back into service.
func (p *planner) yieldReason(name string, w RunnerSpec, o Observed, own Drain) string {
	if !holdsModel(o.State.Loaded, w.Model) {
		return ""
	}
	earlier := func(runner string, d Drain) bool {
		return runner != name && d.Version < own.Version
	}
	pools := countPools(p.desired, p.actual, func(runner string, d Drain) bool {
		return runner == name || earlier(runner, d)
	})
	beforeDrain := pools[w.Model]
	beforeDrain.away--
	beforeDrain.current = beforeDrain.current.add(o.State.Role, 1)
	if ok, reason := beforeDrain.canTakeOut(o.State.Role); !ok {
		return "another runner's change came first: " + reason
	}
	return ""
}

// remainingLoads returns how many weight loads may start now: LoadsPerMinute, rounded
// down, in each minute, or one load in a longer window if the rate is below one per minute.
// The result is zero or negative if the rate is used up.
func remainingLoads(d Desired, a Actual) int {
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
