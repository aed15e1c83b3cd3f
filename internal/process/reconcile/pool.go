package reconcile

import (
	"fmt"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// runnersPerAway is how many runners a model must have for each one that may be away (out
// of service for a planned change) at the same time. One runner may be away even if the
// model has fewer.
const runnersPerAway = 8

// pool is the set of runners of one model, and what planned changes must leave of it.
type pool struct {
	model   resource.Model
	size    int        // runners that should serve the model
	current roleCounts // runners that serve it now
	away    int        // runners out of service for a planned change
}

// roleCounts counts the runners that serve now. A runner with the role "both" is counted
// twice: in prefill and in decode.
type roleCounts struct {
	serving int
	prefill int
	decode  int
}

// add returns c with n more runners of the role, or fewer if n is negative.
func (c roleCounts) add(role upstream.Role, n int) roleCounts {
	c.serving += n
	if role == upstream.RolePrefill || role == upstream.RoleBoth {
		c.prefill += n
	}
	if role == upstream.RoleDecode || role == upstream.RoleBoth {
		c.decode += n
	}
	return c
}

// countPools counts the runners of each model. A runner with a drain mark counts as away if
// the function counted returns true for the mark. Any other runner counts as serving if it
// serves now.
func countPools(d Desired, a Actual, counted func(runner string, drain Drain) bool) map[string]*pool {
	pools := map[string]*pool{}
	for name, w := range d.Runners {
		if w.State != resource.RunnerServing || w.Leaving {
			continue
		}
		p := pools[w.Model]
		if p == nil {
			p = &pool{model: d.Models[w.Model]}
			pools[w.Model] = p
		}
		p.size++
		drain, drained := a.Drains[name]
		switch {
		case drained && counted(name, drain):
			p.away++
		case serves(name, w, a):
			p.current = p.current.add(currentRole(name, w, a), 1)
		}
	}
	return pools
}

// serves reports whether a runner serves its model now. Runners of other zones are
// only known from the configuration and count as serving.
func serves(name string, w RunnerSpec, a Actual) bool {
	if w.Zone != a.Zone {
		return true
	}
	o := a.Runners[name]
	return o.Reachable && o.Order == "" && !o.State.Leaving && holdsModel(o.State.Loaded, w.Model)
}

// currentRole returns the reported role of a runner, or the desired one for a runner
// of another zone.
func currentRole(name string, w RunnerSpec, a Actual) upstream.Role {
	if w.Zone != a.Zone {
		if w.Role == "" {
			return upstream.RoleBoth
		}
		return w.Role
	}
	return a.Runners[name].State.Role
}

// canTakeOut reports whether a serving runner of the role may be taken out of service for
// a planned change, and if not, why.
func (p *pool) canTakeOut(role upstream.Role) (bool, string) {
	maxAway := max(1, p.size/runnersPerAway)
	if p.away >= maxAway {
		return false, fmt.Sprintf("%d of %d runners of the model are away, at most %d may be", p.away, p.size, maxAway)
	}
	remaining := p.current.add(role, -1)
	minServing := p.minServing()
	if remaining.serving < minServing {
		return false, fmt.Sprintf("%d runners would be left to serve the model, minServing asks for %d", remaining.serving, minServing)
	}
	if remaining.prefill < p.current.prefill && remaining.prefill < p.model.MinPrefill {
		return false, fmt.Sprintf("%d runners would be left to prefill, minPrefill asks for %d", remaining.prefill, p.model.MinPrefill)
	}
	if remaining.decode < p.current.decode && remaining.decode < p.model.MinDecode {
		return false, fmt.Sprintf("%d runners would be left to decode, minDecode asks for %d", remaining.decode, p.model.MinDecode)
	}
	return true, ""
}

// minServing returns the number of runners that have to stay in service. If the model sets
// no minimum, at least one has to. A model that is to have only one runner is an exception:
// no other runner could ever replace that one, so it may be taken out of service for a
// change.
func (p *pool) minServing() int {
	if p.model.MinServing == 0 && p.size > 1 {
		return 1
	}
	return p.model.MinServing
}

// takeOut records that a serving runner of the role is taken out of service.
func (p *pool) takeOut(role upstream.Role) {
	p.away++
	p.current = p.current.add(role, -1)
}
