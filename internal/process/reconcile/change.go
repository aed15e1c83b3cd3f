package reconcile

import (
	"slices"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// Change is one order that brings an engine closer to its desired state.
type Change struct {
	Order  upstream.Order // without ID and Fence
	Reason string
}

// pendingChanges returns the changes of one engine in the order in which they are
// made. A replaced model is unloaded first, to free memory. Another version of the
// same model is loaded before the old one is unloaded, so that a failed load leaves
// the old version in place.
func pendingChanges(w RunnerSpec, s upstream.State) []Change {
	if w.AnyVersion {
		w.Loaded = heldVersions(w, s.Loaded)
	}
	var out []Change
	for _, held := range s.Loaded {
		if !holdsModel(w.Loaded, held.Model) {
			out = append(out, unloadChange(held, "the runner is to hold another model"))
		}
	}
	for _, want := range w.Loaded {
		if findLoaded(s.Loaded, want) == nil {
			out = append(out, loadChange(want))
		}
	}
	for _, held := range s.Loaded {
		if holdsModel(w.Loaded, held.Model) && findLoaded(w.Loaded, held) == nil {
			out = append(out, unloadChange(held, "no route and no operator wants the version any more"))
		}
	}
	for _, want := range w.Loaded {
		out = append(out, adapterChanges(want, findLoaded(s.Loaded, want))...)
	}
	if w.Role != "" && w.Role != s.Role {
		out = append(out, roleChange(w, s.Role))
	}
	return out
}

// heldVersions returns the loads that are desired of an engine for which any version will
// do: the versions of the model that it holds, with the desired adapters, or w.Loaded if
// it holds none.
func heldVersions(w RunnerSpec, held []upstream.Loaded) []upstream.Loaded {
	var out []upstream.Loaded
	for _, l := range held {
		if l.Model == w.Model {
			l.Adapters = w.Loaded[0].Adapters
			out = append(out, l)
		}
	}
	if len(out) == 0 {
		return w.Loaded
	}
	return out
}

func holdsModel(loaded []upstream.Loaded, model string) bool {
	return slices.ContainsFunc(loaded, func(l upstream.Loaded) bool { return l.Model == model })
}

// findLoaded returns the entry with the same model and version, or nil.
func findLoaded(loaded []upstream.Loaded, like upstream.Loaded) *upstream.Loaded {
	for i := range loaded {
		if loaded[i].Model == like.Model && loaded[i].Version == like.Version {
			return &loaded[i]
		}
	}
	return nil
}

func loadChange(l upstream.Loaded) Change {
	return Change{
		Order:  upstream.Order{Action: upstream.LoadModel, Model: l.Model, Version: l.Version},
		Reason: "the runner is to hold " + label(l),
	}
}

func unloadChange(l upstream.Loaded, reason string) Change {
	return Change{
		Order:  upstream.Order{Action: upstream.UnloadModel, Model: l.Model, Version: l.Version},
		Reason: "unload " + label(l) + ": " + reason,
	}
}

func roleChange(w RunnerSpec, from upstream.Role) Change {
	reason := w.Reason
	if reason == "" {
		reason = "an operator set the role"
	}
	return Change{
		Order:  upstream.Order{Action: upstream.SetRole, Role: w.Role},
		Reason: "role " + string(from) + " to " + string(w.Role) + ": " + reason,
	}
}

// adapterChanges returns the changes of adapters of one loaded version. held is nil
// while the version is not loaded yet.
func adapterChanges(want upstream.Loaded, held *upstream.Loaded) []Change {
	var current []string
	if held != nil {
		current = held.Adapters
	}
	var out []Change
	for _, a := range current {
		if !slices.Contains(want.Adapters, a) {
			out = append(out, adapterChange(upstream.UnloadAdapter, want, a, "is wanted no more"))
		}
	}
	for _, a := range want.Adapters {
		if !slices.Contains(current, a) {
			out = append(out, adapterChange(upstream.LoadAdapter, want, a, "is wanted"))
		}
	}
	return out
}

func adapterChange(action upstream.OrderAction, l upstream.Loaded, adapter, reason string) Change {
	return Change{
		Order:  upstream.Order{Action: action, Model: l.Model, Version: l.Version, Adapter: adapter},
		Reason: "adapter " + adapter + " of " + label(l) + " " + reason,
	}
}

func label(l upstream.Loaded) string {
	if l.Version == "" {
		return "model " + l.Model
	}
	return "model " + l.Model + " version " + l.Version
}

// loadsWeights reports whether an order reads from the weight store.
func loadsWeights(o upstream.Order) bool {
	return o.Action == upstream.LoadModel || o.Action == upstream.LoadAdapter
}
