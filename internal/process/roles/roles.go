package roles

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// Demand is the load that requests, including refused ones, put on the engines of a
// service. Each field is a mean number of busy engines or engine slots. The zero value
// means that no demand is known.
type Demand struct {
	Reading  float64 // engines computing prompts (prefill)
	Fetching float64 // engines fetching KV caches of prompts and starting answers; an engine does this for one request at a time
	Holding  float64 // slots occupied by answers
}

// Add returns the sum of two demands.
func (d Demand) Add(o Demand) Demand {
	return Demand{Reading: d.Reading + o.Reading, Fetching: d.Fetching + o.Fetching, Holding: d.Holding + o.Holding}
}

// Scale returns the demand multiplied by a factor.
func (d Demand) Scale(by float64) Demand {
	return Demand{Reading: d.Reading * by, Fetching: d.Fetching * by, Holding: d.Holding * by}
}

// known reports whether the demand is known, that is, not zero.
func (d Demand) known() bool { return d != Demand{} }

// Engine is the state of one engine as the lease holder knows it.
type Engine struct {
	ID       string
	Zone     string
	Role     upstream.Role // the new role while Changing
	Slots    int
	Changing bool
	Load     float64 // number of requests at the engine
}

// Change is a role change to order.
type Change struct {
	ID string
	To upstream.Role
}

// Decision is the result of Core.Decide and the values it was based on.
type Decision struct {
	Changes           []Change
	Prefill           int     // prefill engines now, including those changing to prefill
	TargetPrefill     int     // desired number of prefill engines
	Utilization       float64 // utilization of the busier role now
	TargetUtilization float64 // utilization of the busier role with TargetPrefill
	Reason            string  // for the log
}

const (
	// minRoundInterval is the minimum time between two rounds, which are the changes of one
	// decision. A change has an effect only once the engine is back in service.
	minRoundInterval = 1500 * time.Millisecond
	// minUtilization is the utilization of the busier role below which no role is changed:
	// few requests wait, and the next surge may need the other role before the changed
	// engines are back.
	minUtilization = 0.7
	// minImprovement is the factor by which the utilization of the busier role now must
	// exceed that with the best split for roles to be changed. A changing engine is out
	// of service for seconds, and the measured demand is off by about ten percent.
	minImprovement = 1.2
	// maxRoundShare is the fraction of the engines that may change in one round (rounded up
	// to a whole engine), so that most of a service stays available.
	maxRoundShare = 0.25
	// imbalanceDelay is how long the split must be off its target before engines in use are
	// changed. A rolling release adds each new engine, with either role, before an old one
	// leaves, so the split is off its target only until then. A change would take an engine
	// out of service for longer than that.
	imbalanceDelay = 4 * time.Second
	// largeDeficit is the deficit of a role, relative to the engines it has, above which a
	// rolling release can't be the cause: engines of the role crashed or were removed.
	// With a share set by the operator, largeDeficitDelay then replaces imbalanceDelay.
	largeDeficit      = 0.3
	largeDeficitDelay = 1500 * time.Millisecond
	// toleratedDeficit is the deficit of a role, relative to the engines it has, up to which
	// roles are not changed while engines are in use: to take an engine out of service for
	// some seconds costs more than one engine in ten too many or too few.
	toleratedDeficit = 0.1
	// idleLoad is the load, in requests, below which an engine counts as idle and loses
	// nothing by a role change.
	idleLoad = 0.5
	// decodePrefillSpeed is the speed at which a decode engine computes prompts while it also
	// computes answers, relative to a prefill engine, as stated by the platform.
	decodePrefillSpeed = 0.5
	// usableDecodeShare is the fraction of a decode engine's time beyond which it has no time
	// left for prompts.
	usableDecodeShare = 0.8
	// initialPrefillShare is the fraction of prefill engines while there is no demand yet
	// and neither role is known to need more.
	initialPrefillShare = 0.5
)

// Core decides the split of one service, that is, how its engines are divided between the
// roles. It is not safe for concurrent use.
type Core struct {
	fixedShare      float64   // see SetShare
	changedAt       time.Time // last round of changes
	imbalance       int       // prefill engines missing; negative: too many
	imbalancedSince time.Time // start of the imbalance in this direction
}

// New returns a Core that has decided nothing and follows the demand.
func New() *Core { return &Core{} }

// SetShare sets the fraction of the engines that the operator wants to run prefill. With 0
// the split follows the demand.
func (c *Core) SetShare(share float64) { c.fixedShare = share }

// Decide compares the current split of the engines with the best one and returns the
// changes to order now. Call it about once a second.
func (c *Core) Decide(now time.Time, engines []Engine, d Demand) Decision {
	s := newSplit(engines, d)
	out := Decision{Prefill: s.prefill, TargetPrefill: s.prefill, Utilization: s.utilizationWith(s.prefill)}
	out.TargetUtilization = out.Utilization
	switch {
	case len(engines) < 2:
		out.Reason = "fewer than two engines"
		return out
	case s.changing:
		out.Reason = "a role change is in progress"
		return out
	case !c.changedAt.IsZero() && now.Sub(c.changedAt) < minRoundInterval:
		out.Reason = "the last change is too recent"
		return out
	}
	var reason string
	out.TargetPrefill, reason = c.target(&s)
	out.TargetUtilization = s.utilizationWith(out.TargetPrefill)
	c.trackImbalance(now, out.TargetPrefill-s.prefill)
	switch {
	case out.TargetPrefill == s.prefill:
		out.Reason = reason
	case !s.idle() && s.deficit(c.imbalance) <= toleratedDeficit:
		out.Reason = "the split is close to the target"
	case c.mayBeTransient(now, &s):
		out.Reason = "the imbalance may be transient"
	default:
		out.Changes = s.planRound(out.TargetPrefill)
		out.Reason = reason
		c.changedAt = now
	}
	return out
}

// trackImbalance records how many prefill engines are missing; if negative, there are too
// many. The imbalance starts anew if it is zero or changes its sign.
func (c *Core) trackImbalance(now time.Time, missing int) {
	if missing == 0 || (missing > 0) != (c.imbalance > 0) || c.imbalance == 0 {
		c.imbalancedSince = now
	}
	c.imbalance = missing
}

// mayBeTransient reports whether the imbalance is so recent that it may disappear without a
// change. It returns false while all engines are idle, as before the first requests, because
// a change costs nothing then.
func (c *Core) mayBeTransient(now time.Time, s *split) bool {
	if s.idle() {
		return false
	}
	elapsed := now.Sub(c.imbalancedSince)
	if c.fixedShare > 0 && s.deficit(c.imbalance) > largeDeficit {
		return elapsed < largeDeficitDelay
	}
	return elapsed < imbalanceDelay
}

// target returns the desired number of prefill engines and, for the log, the reason for it.
func (c *Core) target(s *split) (int, string) {
	switch {
	case c.fixedShare > 0:
		return s.prefillFor(c.fixedShare), "share set by the operator"
	case !s.demand.known():
		if s.idle() {
			return s.initialPrefill(), "no demand yet"
		}
		return s.prefill, "the demand is unknown"
	}
	best := s.best()
	current, improved := s.utilizationWith(s.prefill), s.utilizationWith(best)
	switch {
	case best == s.prefill:
		return best, "the split is already the best"
	case current < minUtilization:
		return s.prefill, "utilization is low"
	case current < minImprovement*improved:
		return s.prefill, "a better split would improve utilization too little"
	}
	return best, fmt.Sprintf("utilization of the busier role from %.2f to %.2f", current, improved)
}

// initialPrefill returns the number of prefill engines while there is no demand yet: half of
// the engines. If their number is odd, there is one more decode engine than prefill engines,
// because a decode engine can also compute prompts but a prefill engine can't decode.
func (s *split) initialPrefill() int {
	return min(max(int(initialPrefillShare*float64(len(s.engines))), 1), len(s.engines)-1)
}

// prefillFor returns the number of prefill engines that is closest to a share of all engines
// and leaves at least one engine in each role.
func (s *split) prefillFor(share float64) int {
	n := int(math.Round(share * float64(len(s.engines))))
	return min(max(n, 1), len(s.engines)-1)
}

// split is the current division of the engines between the roles, with the demand on them.
type split struct {
	engines        []Engine
	demand         Demand
	prefill        int     // number of prefill engines, including those changing to prefill
	slotsPerEngine float64 // mean; an engine without slots counts as having one
	changing       bool    // at least one engine is changing its role
}

// newSplit returns the current split of the engines.
func newSplit(engines []Engine, d Demand) split {
	s := split{engines: engines, demand: d}
	for _, e := range engines {
		if e.Role == upstream.RolePrefill {
			s.prefill++
		}
		s.changing = s.changing || e.Changing
		s.slotsPerEngine += float64(max(e.Slots, 1))
	}
	s.slotsPerEngine /= float64(max(len(engines), 1))
	return s
}

// utilizationWith returns the utilization of the busier role with a given number of prefill
// engines: demand divided by capacity, which may exceed 1. Decode engines are limited either
// by KV cache fetches and the start of answers or by their slots. In the remaining time they
// compute prompts too.
func (s *split) utilizationWith(prefill int) float64 {
	decode := float64(len(s.engines) - prefill)
	busy := max(s.demand.Fetching, s.demand.Holding/s.slotsPerEngine)
	spare := max(decode-busy/usableDecodeShare, 0)
	return max(ratio(s.demand.Reading, float64(prefill)+decodePrefillSpeed*spare), ratio(busy, decode))
}

// deficit returns how many engines the role with too few lacks, relative to the engines it has.
// missing is the number of missing prefill engines; if negative, that of missing decode
// engines.
func (s *split) deficit(missing int) float64 {
	present := s.prefill
	if missing < 0 {
		present, missing = len(s.engines)-s.prefill, -missing
	}
	return float64(missing) / float64(max(present, 1))
}

// idle reports whether all engines are idle.
func (s *split) idle() bool {
	return !slices.ContainsFunc(s.engines, func(e Engine) bool { return e.Load >= idleLoad })
}

// ratio returns demand/capacity: 0 without demand, +Inf with demand but no capacity.
func ratio(demand, capacity float64) float64 {
	switch {
	case demand <= 0:
		return 0
	case capacity <= 0:
		return math.Inf(1)
	}
	return demand / capacity
}

// best returns the number of prefill engines that minimizes the utilization of the
// busier role. Each role keeps at least one engine.
func (s *split) best() int {
	best, lowest := s.prefill, math.Inf(1)
	for k := 1; k < len(s.engines); k++ {
		if u := s.utilizationWith(k); u < lowest {
			best, lowest = k, u
		}
	}
	return best
}

// planRound returns the changes of one round toward the wanted number of prefill engines. Of
// the engines of the role with too many, it selects idle ones before busy ones, then those in
// the zones with the most engines of the role, then the least loaded ones. At least one engine
// keeps the role.
func (s *split) planRound(want int) []Change {
	from, to, n := upstream.RoleDecode, upstream.RolePrefill, want-s.prefill
	if n < 0 {
		from, to, n = to, from, -n
	}
	n = min(n, int(math.Ceil(float64(len(s.engines))*maxRoundShare)))
	inZone := make(map[string]int)
	var candidates []Engine
	for _, e := range s.engines {
		if (e.Role == upstream.RolePrefill) == (from == upstream.RolePrefill) {
			inZone[e.Zone]++
			candidates = append(candidates, e)
		}
	}
	var out []Change
	for ; n > 0 && len(candidates) > 1; n-- {
		i := nextCandidate(candidates, inZone)
		out = append(out, Change{ID: candidates[i].ID, To: to})
		inZone[candidates[i].Zone]--
		candidates = slices.Delete(candidates, i, i+1)
	}
	return out
}

// loadRank returns 0 for an idle engine and 1 for a busy one.
func loadRank(e *Engine) int {
	if e.Load < idleLoad {
		return 0
	}
	return 1
}

// nextCandidate returns the index of the engine to change next, in the order that planRound
// describes.
func nextCandidate(candidates []Engine, inZone map[string]int) int {
	best := 0
	for i := range candidates {
		a, b := &candidates[i], &candidates[best]
		order := cmp.Or(cmp.Compare(loadRank(a), loadRank(b)), cmp.Compare(inZone[b.Zone], inZone[a.Zone]), cmp.Compare(a.Load, b.Load), cmp.Compare(a.ID, b.ID))
		if order < 0 {
			best = i
		}
	}
	return best
}
