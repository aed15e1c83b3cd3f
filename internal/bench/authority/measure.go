package authority

import (
	"slices"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// Ending is how a holder of the lease goes away.
type Ending string

// The endings that are measured.
const (
	KilledIdle     Ending = "killed, no order open"
	KilledInOrder  Ending = "killed, an order open and lost"
	StoppedByPlan  Ending = "stopped by plan"
	CutOffFromIt   Ending = "cut off from the platform"
	measuredBefore        = 20 * time.Second
	measuredAfter         = 2 * time.Minute
)

// Endings lists them.
var Endings = []Ending{StoppedByPlan, KilledIdle, KilledInOrder, CutOffFromIt}

// Failover measures the time from the holder's end to the next order that an engine
// begins, over seeds. Runs without such an order are counted as missing.
func Failover(ending Ending, checksFencing bool, seeds int) (times []time.Duration, missing int) {
	for seed := range uint64(seeds) {
		took, ok := failover(ending, checksFencing, seed)
		if !ok {
			missing++
			continue
		}
		times = append(times, took)
	}
	slices.Sort(times)
	return times, missing
}

func failover(ending Ending, checksFencing bool, seed uint64) (time.Duration, bool) {
	o := DefaultOptions()
	o.Seed, o.ChecksFencing, o.Runners = seed, checksFencing, 1
	w := NewWorld(o)
	w.Run(measuredBefore + w.upTo(o.TTL))
	holder := w.leader()
	if holder == nil {
		return 0, false
	}
	engine := w.Engines[0]
	end := func() {
		switch ending {
		case StoppedByPlan:
			holder.Stop()
		case CutOffFromIt:
			holder.CutOff(true)
		default:
			holder.Kill()
		}
	}
	if ending == KilledInOrder {
		w.Want(upstream.RoleDecode)
		w.loseNextSend = true
		sends := holder.Orders
		if !w.RunUntil(w.Now()+measuredAfter, func() bool { return holder.Orders > sends }) {
			return 0, false
		}
	}
	at := w.Now()
	end()
	before := len(engine.Executions)
	w.Want(upstream.RoleDecode)
	by := func() bool {
		return len(engine.Executions) > before && engine.Executions[len(engine.Executions)-1].Sender != holder.Name
	}
	if ending == CutOffFromIt {
		// It may order until its window ends; what counts is the successor's first.
		w.toggleUntil(by)
	}
	if !w.RunUntil(at+measuredAfter, by) {
		return 0, false
	}
	return engine.Executions[len(engine.Executions)-1].At - at, true
}

// toggleUntil keeps changes coming, so that there is always an order to give.
func (w *World) toggleUntil(done func() bool) {
	if done() {
		return
	}
	for _, e := range w.Engines {
		if e.Role == e.Wanted && e.running == "" {
			e.Wanted = other(e.Role)
		}
	}
	w.After(decideEvery, func() { w.toggleUntil(done) })
}

func other(r upstream.Role) upstream.Role {
	if r == upstream.RoleDecode {
		return upstream.RolePrefill
	}
	return upstream.RoleDecode
}

// leader gives the node that may order now; nil: none.
func (w *World) leader() *Node {
	for _, n := range w.Nodes {
		if n.Leads() {
			return n
		}
	}
	return nil
}

// LeaseCalls is what one lease costs at the platform, in calls a second.
type LeaseCalls struct {
	Candidates int     // controllers of the zone
	Holder     float64 // by the holder
	Watcher    float64 // by each of the first candidates that hold no lease
	Slow       float64 // by each of the others
	Total      float64
}

// callsOver is the span that calls are counted over.
const callsOver = 20 * time.Minute

// CountCalls measures the calls for the lease of a quiet zone.
func CountCalls(candidates int) LeaseCalls {
	o := DefaultOptions()
	o.Nodes, o.Runners = candidates, 0
	w := NewWorld(o)
	w.Run(measuredBefore)
	for _, n := range w.Nodes {
		n.Calls = 0
	}
	w.Run(measuredBefore + callsOver)
	out := LeaseCalls{Candidates: candidates}
	watchers, slow := 0, 0
	for _, n := range w.Nodes {
		rate := float64(n.Calls) / callsOver.Seconds()
		out.Total += rate
		switch {
		case n.Leads():
			out.Holder = rate
		case n.rank < fastWatchers:
			out.Watcher += rate
			watchers++
		default:
			out.Slow += rate
			slow++
		}
	}
	out.Watcher /= float64(max(1, watchers))
	out.Slow /= float64(max(1, slow))
	return out
}
