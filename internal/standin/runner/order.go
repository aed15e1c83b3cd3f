package runner

import (
	"slices"
	"strconv"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// acceptOrder accepts or refuses an order. An order whose id this incarnation has accepted before
// is accepted again without effect. received is the incarnation that received the request.
func (r *Runner) acceptOrder(received incarnation, o upstream.Order) (upstream.State, *upstream.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.abortIfRestarted(received)
	refuse := refusal(o.ID)
	if message := invalidOrder(o); message != "" {
		return upstream.State{}, refuse(upstream.RefusedInvalid, message)
	}
	if r.config.ChecksFencing && o.Fence < r.fence {
		return upstream.State{}, refuse(upstream.RefusedStaleFence, "fence is "+strconv.FormatUint(r.fence, 10))
	}
	if r.orders[o.ID] {
		r.fence = max(r.fence, o.Fence)
		return r.stateLocked(), nil
	}
	if r.orderStatus == upstream.OrderRunning {
		return upstream.State{}, refuse(upstream.RefusedBusy, "order "+r.lastOrder+" is in progress")
	}
	r.beginOrder(o)
	return r.stateLocked(), nil
}

// invalidOrder returns the reason why an order is invalid, or an empty string if it is valid.
func invalidOrder(o upstream.Order) string {
	if o.ID == "" {
		return "id is empty"
	}
	switch o.Action {
	case upstream.SetRole:
		if !validRole(o.Role) {
			return "role is " + strconv.Quote(string(o.Role)) + ", want prefill, decode or both"
		}
	case upstream.LoadModel, upstream.UnloadModel:
		if o.Model == "" {
			return "model is empty"
		}
	case upstream.LoadAdapter, upstream.UnloadAdapter:
		if o.Adapter == "" {
			return "adapter is empty"
		}
	default:
		return "action is " + strconv.Quote(string(o.Action)) + ", which is not known"
	}
	return ""
}

// beginOrder starts an accepted order and schedules its end. An order that makes the engine
// unavailable drops the engine's runs. A correct controller drains the engine first; if it did
// not, a test finds the number of dropped runs in the order log. It requires r.mu.
func (r *Runner) beginOrder(o upstream.Order) {
	duration, unavailable := r.orderCost(o)
	record := OrderRecord{
		Order: o, At: time.Now(), Incarnation: r.incarnation,
		Stale: o.Fence < r.ledger.highestFence, Outcome: upstream.OrderRunning,
	}
	r.ledger.highestFence = max(r.ledger.highestFence, o.Fence)
	r.fence = max(r.fence, o.Fence)
	r.orders[o.ID] = true
	r.lastOrder = o.ID
	r.orderStatus = upstream.OrderRunning
	r.unavailable = unavailable
	if unavailable {
		record.Streams = r.cutRuns()
		r.ledger.stats.UnavailableTime += duration
	}
	r.ledger.orders = append(r.ledger.orders, record)
	index := len(r.ledger.orders) - 1
	incarnationDone := r.incarnationDone
	if triggerFaultLocked(&r.faults.CrashInOrders) {
		time.AfterFunc(duration/2, func() { r.crashInOrder(incarnationDone) })
		return
	}
	time.AfterFunc(duration, func() { r.finishOrder(o, index, incarnationDone) })
}

// orderCost returns the duration of an order and whether the engine is unavailable
// meanwhile.
func (r *Runner) orderCost(o upstream.Order) (time.Duration, bool) {
	switch o.Action {
	case upstream.SetRole:
		return r.config.scaled(r.config.Cost.RoleChange), true
	case upstream.LoadModel, upstream.UnloadModel:
		return r.config.scaled(r.config.Cost.LoadModel), true
	}
	return r.config.scaled(r.config.Cost.LoadAdapter), false
}

// cutRuns drops all unfinished runs and prefills and clears the prefix cache, as a restart of the
// engine's worker process would. It returns the number of dropped runs and prefills.
func (r *Runner) cutRuns() int {
	n := len(r.waiting) + len(r.batch)
	for _, u := range slices.Concat(r.waiting, r.batch) {
		u.finished = true
		u.reason = reasonCut
		delete(r.runs, u.id)
		u.notify()
	}
	r.waiting = nil
	r.batch = nil
	r.ledger.stats.CutByOrders += n
	r.cache.clear(time.Now(), &r.faults.DropCacheEvents)
	r.sampleLocked()
	return n
}

// reasonCut marks a run that was dropped by an order; its stream has no End.
const reasonCut = "cut"

// crashInOrder crashes the engine unless a new incarnation has started since the order.
func (r *Runner) crashInOrder(incarnationDone chan struct{}) {
	r.waitThawed()
	r.mu.Lock()
	same := incarnationDone == r.incarnationDone
	r.mu.Unlock()
	if same {
		r.Crash(0)
	}
}

// finishOrder applies an order and records its outcome, unless the engine has crashed since the
// order was accepted. index is that of the order in the order log.
func (r *Runner) finishOrder(o upstream.Order, index int, incarnationDone chan struct{}) {
	r.waitThawed()
	r.mu.Lock()
	defer r.mu.Unlock()
	if incarnationDone != r.incarnationDone {
		return
	}
	r.unavailable = false
	r.orderStatus = upstream.OrderDone
	if !r.applyOrder(o) {
		r.orderStatus = upstream.OrderFailed
	}
	r.ledger.orders[index].Outcome = r.orderStatus
	r.sampleLocked()
	r.wakeRunSteps()
}

// applyOrder changes the role or the loaded models and reports whether it succeeded.
func (r *Runner) applyOrder(o upstream.Order) bool {
	switch o.Action {
	case upstream.SetRole:
		if r.role != o.Role {
			r.ledger.stats.RoleChanges++
		}
		r.role = o.Role
		return true
	case upstream.LoadModel:
		return r.loadModel(o)
	case upstream.UnloadModel:
		r.loaded = slices.DeleteFunc(r.loaded, func(l upstream.Loaded) bool { return matchesModel(l, o) })
		return true
	case upstream.LoadAdapter:
		return r.loadAdapter(o)
	case upstream.UnloadAdapter:
		for i := range r.loaded {
			if matchesModel(r.loaded[i], o) {
				r.loaded[i].Adapters = slices.DeleteFunc(r.loaded[i].Adapters, func(a string) bool { return a == o.Adapter })
			}
		}
		return true
	}
	return false
}

// matchesModel reports whether an order applies to a loaded model. An empty field of the
// order matches any value.
func matchesModel(l upstream.Loaded, o upstream.Order) bool {
	return (o.Model == "" || l.Model == o.Model) && (o.Version == "" || l.Version == o.Version)
}

// canLoad reports whether a model or adapter can be loaded according to Config.CanLoad.
func (r *Runner) canLoad(name string) bool {
	return len(r.config.CanLoad) == 0 || slices.Contains(r.config.CanLoad, name)
}

// loadModel loads a model without adapters, if it is not loaded yet.
func (r *Runner) loadModel(o upstream.Order) bool {
	if !r.canLoad(o.Model) {
		return false
	}
	for _, l := range r.loaded {
		if l.Model == o.Model && l.Version == o.Version {
			return true
		}
	}
	r.loaded = append(r.loaded, upstream.Loaded{Model: o.Model, Version: o.Version})
	return true
}

// loadAdapter loads an adapter for every loaded model that the order applies to. It fails if there
// is none.
func (r *Runner) loadAdapter(o upstream.Order) bool {
	if !r.canLoad(o.Adapter) {
		return false
	}
	found := false
	for i := range r.loaded {
		if !matchesModel(r.loaded[i], o) {
			continue
		}
		found = true
		if !slices.Contains(r.loaded[i].Adapters, o.Adapter) {
			r.loaded[i].Adapters = append(r.loaded[i].Adapters, o.Adapter)
		}
	}
	return found
}
