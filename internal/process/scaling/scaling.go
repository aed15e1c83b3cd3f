package scaling

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Kind tells whether the platform may take an engine back.
type Kind string

// The kinds of engines.
const (
	Lasting   Kind = "lasting"
	Revocable Kind = "revocable" // cheaper; the platform may take back all in a zone at once
)

// Config are the conditions under which engines of a service can be ordered.
type Config struct {
	Min, Max       int           // number of engines of both kinds together in an availability zone
	BootTime       time.Duration // from an order until a new engine serves
	RevocablePrice float64       // price of a revocable engine relative to a lasting one
}

// Policy holds the operator's settings.
type Policy struct {
	// LastingShare is the fraction of the baseline fleet that stays lasting.
	LastingShare float64
	// CostShare is the fraction of the baseline fleet's price to spend. The cheaper revocable
	// engines are, the more of them are ordered. There are never fewer engines than in the
	// baseline, even if that costs more, except if Config.Max is smaller than the baseline.
	CostShare float64
}

// Engine is one engine as the lease holder knows it.
type Engine struct {
	Zone string
	Kind Kind
}

// Counts is the number of engines of each kind. In Plan.Desired, -1 stands for an unknown number,
// which is the case after a failed order.
type Counts struct {
	Lasting   int `json:"lasting"`
	Revocable int `json:"revocable"`
}

// of returns the number of engines of a kind.
func (c Counts) of(kind Kind) int {
	if kind == Revocable {
		return c.Revocable
	}
	return c.Lasting
}

// with returns the counts with the number of engines of a kind replaced by n.
func (c Counts) with(kind Kind, n int) Counts {
	if kind == Revocable {
		c.Revocable = n
	} else {
		c.Lasting = n
	}
	return c
}

// Plan is the baseline and the last orders of a service. It is stored, so that the next lease
// holder can continue from it.
type Plan struct {
	Baseline map[string]int    `json:"found"`   // engines of both kinds, by zone, before anything was ordered
	Desired  map[string]Counts `json:"desired"` // numbers last ordered, by zone; after the baseline is recorded, those present
}

// Order asks the platform to have a number of engines of a kind in a zone.
type Order struct {
	Zone    string
	Kind    Kind
	Desired int    // in total, not in addition
	Reason  string // for the log
}

const (
	// unavailableBackoff is how long to wait before ordering engines of a kind again in a zone
	// that had none available.
	unavailableBackoff = 2 * time.Second
	// baselineStableTime is how long the fleet must stay unchanged before it becomes the baseline.
	baselineStableTime = 4 * time.Second
	// missingGrace is how long after their boot time (Config.BootTime) ordered engines may be missing
	// before they count as taken back by the platform and are ordered again.
	missingGrace = time.Second
	// maxOrderStep is the maximum number of engines that one order adds to or removes from a zone.
	// Each engine added or removed causes work at every instance. When the list of engines changes by
	// hundreds at a time, small instances fall behind and keep using engines that have left.
	maxOrderStep = 24
	// maxRevocablePrice is a price relative to that of a lasting engine. Revocable engines that cost
	// this much or more are not ordered, because they are not worth the risk of losing them.
	maxRevocablePrice = 0.7
	// minEffectivePrice is the lower bound of the price in the calculation of the fleet size, which
	// divides by it.
	minEffectivePrice = 0.05
)

// zoneState is the state of one availability zone between decisions.
type zoneState struct {
	shortSince       time.Time          // since when there are fewer revocable engines than wanted; zero: there are enough
	orderedAt        map[Kind]time.Time // last order
	unavailableUntil map[Kind]time.Time // no order before this time, because the last one failed
}

// Core decides the orders of one service. It is not safe for concurrent use.
type Core struct {
	plan  Plan
	zones map[string]*zoneState

	// The following are used only while there is no baseline.
	lastSeen       map[string]Counts // engines by zone at the last call of Decide
	unchangedSince time.Time         // since when lastSeen is the same
}

// New returns a Core that continues from a stored plan. If the plan has no baseline, Decide first
// records one from the engines that are present.
func New(plan Plan) *Core {
	if plan.Desired == nil {
		plan.Desired = make(map[string]Counts)
	}
	return &Core{plan: plan, zones: make(map[string]*zoneState)}
}

// Plan returns the plan that the caller must store before it sends an order.
func (c *Core) Plan() Plan { return c.plan }

// OrderFailed records that an order failed, as when the zone has no engine of the kind available.
func (c *Core) OrderFailed(now time.Time, o Order) {
	c.zone(o.Zone).unavailableUntil[o.Kind] = now.Add(unavailableBackoff)
	c.plan.Desired[o.Zone] = c.plan.Desired[o.Zone].with(o.Kind, -1) // unknown
}

// zone returns the state of a zone, which it creates if there is none.
func (c *Core) zone(name string) *zoneState {
	z, ok := c.zones[name]
	if !ok {
		z = &zoneState{orderedAt: make(map[Kind]time.Time), unavailableUntil: make(map[Kind]time.Time)}
		c.zones[name] = z
	}
	return z
}

// Decide returns the orders to send now, or none while there is no baseline. engines must hold all
// present engines except those that are leaving. Call Plan and store the result before sending the
// orders.
func (c *Core) Decide(now time.Time, terms Config, policy Policy, engines []Engine) []Order {
	have := countByZone(engines)
	if len(c.plan.Baseline) == 0 && !c.recordBaseline(now, have) {
		return nil
	}
	surplus := 0 // engines in all zones beyond the baseline
	for name, baseline := range c.plan.Baseline {
		surplus += remaining(have[name], c.plan.Desired[name]) - baseline
	}
	var out []Order
	for _, name := range slices.Sorted(maps.Keys(c.plan.Baseline)) {
		lasting := c.plan.Desired[name].Lasting
		out = append(out, c.decideZone(now, name, terms, policy, have[name], surplus)...)
		surplus -= lasting - c.plan.Desired[name].Lasting // engines removed here must not be removed in another zone too
	}
	return out
}

// remaining returns how many of the engines that a zone has will stay. Engines that are to be removed
// are still listed for a while, so at most as many of a kind stay as were ordered last. If the number
// ordered last is unknown, it doesn't limit the result.
func remaining(have, desired Counts) int {
	n := have.Revocable
	if desired.Revocable >= 0 {
		n = min(n, desired.Revocable)
	}
	if desired.Lasting >= 0 {
		return n + min(have.Lasting, desired.Lasting)
	}
	return n + have.Lasting
}

// recordBaseline makes the present fleet the baseline once it has been unchanged for
// baselineStableTime, since the engines of a starting deployment appear one by one. It reports
// whether there is a baseline now.
func (c *Core) recordBaseline(now time.Time, have map[string]Counts) bool {
	if !maps.Equal(have, c.lastSeen) {
		c.lastSeen, c.unchangedSince = have, now
	}
	if len(have) == 0 || now.Sub(c.unchangedSince) < baselineStableTime {
		return false
	}
	c.plan = Plan{Baseline: make(map[string]int), Desired: make(map[string]Counts)}
	for name, n := range have {
		c.plan.Baseline[name] = n.Lasting + n.Revocable
		c.plan.Desired[name] = n
	}
	return true
}

// decideZone returns the orders for one availability zone. surplus is how many engines all zones
// together have beyond the baseline; negative: how many they lack.
func (c *Core) decideZone(now time.Time, name string, terms Config, policy Policy, have Counts, surplus int) []Order {
	baseline, z := c.plan.Baseline[name], c.zone(name)
	want := targetCounts(baseline, terms, policy)
	short := have.Revocable < want.Revocable
	switch {
	case !short:
		z.shortSince = time.Time{}
	case z.shortSince.IsZero():
		z.shortSince = now
	}
	var out []Order
	if o, ok := c.order(now, z, name, Revocable, want, have, terms); ok {
		out = append(out, o)
	}
	// Lasting engines are removed once engines in any zone replace them, and added as substitutes
	// while revocable ones are unavailable.
	want.Lasting = max(want.Lasting, c.plan.Desired[name].Lasting-max(surplus, 0))
	unavailable := now.Before(z.unavailableUntil[Revocable]) || now.Sub(z.shortSince) >= terms.BootTime+missingGrace
	if short && unavailable && surplus < 0 {
		want.Lasting = max(want.Lasting, min(have.Lasting-surplus, baseline, terms.Max-have.Revocable))
	}
	if o, ok := c.order(now, z, name, Lasting, want, have, terms); ok {
		out = append(out, o)
	}
	return out
}

// targetCounts returns the wanted engines of a zone if all kinds are available.
func targetCounts(baseline int, terms Config, policy Policy) Counts {
	if terms.RevocablePrice >= maxRevocablePrice {
		return Counts{Lasting: baseline}
	}
	growth := policy.LastingShare + (policy.CostShare-policy.LastingShare)/max(terms.RevocablePrice, minEffectivePrice)
	total := min(max(int(math.Ceil(max(growth, 1)*float64(baseline))), terms.Min), terms.Max)
	lasting := min(int(math.Ceil(policy.LastingShare*float64(baseline))), total)
	return Counts{Lasting: lasting, Revocable: total - lasting}
}

// order returns an order for a kind of engines. The ordered number differs from the number present by at
// most maxOrderStep. The second result is false if no order is needed or none may be sent yet. An order
// is needed if the number differs from that of the last order, or if engines that were ordered have not
// appeared in time. An order for fewer engines than the last order waits until the engines of the last
// order should have appeared.
func (c *Core) order(now time.Time, z *zoneState, name string, kind Kind, want, have Counts, terms Config) (Order, bool) {
	if now.Before(z.unavailableUntil[kind]) {
		return Order{}, false
	}
	desired := c.plan.Desired[name]
	target := min(max(want.of(kind), have.of(kind)-maxOrderStep), have.of(kind)+maxOrderStep)
	settled := now.Sub(z.orderedAt[kind]) >= terms.BootTime+missingGrace
	reason := ""
	switch {
	case desired.of(kind) != target && (settled || target > desired.of(kind)):
		reason = fmt.Sprintf("last order was %d, %d are present", desired.of(kind), have.of(kind))
	case have.of(kind) < target && settled:
		reason = fmt.Sprintf("%d of %d are missing", target-have.of(kind), target)
	default:
		return Order{}, false
	}
	z.orderedAt[kind] = now
	c.plan.Desired[name] = desired.with(kind, target)
	return Order{Zone: name, Kind: kind, Desired: target, Reason: reason}, true
}

// countByZone counts the engines of each zone.
func countByZone(engines []Engine) map[string]Counts {
	out := make(map[string]Counts)
	for _, e := range engines {
		n := out[e.Zone]
		out[e.Zone] = n.with(e.Kind, n.of(e.Kind)+1)
	}
	return out
}
