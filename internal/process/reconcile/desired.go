package reconcile

import (
	"slices"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/version/config"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// RoleChoice is the role policy's choice for a runner whose role is auto.
type RoleChoice struct {
	Role   upstream.Role
	Reason string
}

// FromSnapshot returns the desired state of a configuration. chosen holds the role
// policy's choices; a runner of role auto without a choice keeps its role.
func FromSnapshot(s *config.Snapshot, chosen map[string]RoleChoice) Desired {
	d := Desired{Runners: make(map[string]RunnerSpec, len(s.Runners)), Models: s.Models}
	weighted := weightedVersions(s)
	for name, r := range s.Runners {
		w := RunnerSpec{Zone: r.Zone, State: r.State, Model: r.Model}
		versions := r.Versions
		if len(versions) == 0 {
			versions = weighted[r.Model]
		}
		if len(versions) == 0 {
			w.AnyVersion = true
			versions = []string{firstVersion(s, r.Model)}
		}
		w.Loaded = desiredLoads(r, versions)
		if w.State == "" {
			w.State = resource.RunnerServing
		}
		if i, ok := s.Instances[name]; ok {
			w.Leaving = i.State == resource.InstanceLeaving
		}
		w.Role = upstream.Role(r.Role)
		if r.Role == resource.RoleAuto || r.Role == "" {
			choice := chosen[name]
			w.Role, w.Reason = choice.Role, choice.Reason
		}
		d.Runners[name] = w
	}
	return d
}

// weightedVersions returns, for each model, the versions that have a positive weight
// in a route.
func weightedVersions(s *config.Snapshot) map[string][]string {
	out := map[string][]string{}
	for _, r := range s.Routes {
		for _, w := range r.Weights {
			if r.Model == "" || w.Weight == 0 || slices.Contains(out[r.Model], w.Version) {
				continue
			}
			out[r.Model] = append(out[r.Model], w.Version)
		}
	}
	for model := range out {
		slices.Sort(out[model])
	}
	return out
}

// firstVersion returns the model's first version by name, or "" if no version of the model
// is configured. The model is then loaded with an empty version.
func firstVersion(s *config.Snapshot, model string) string {
	first := ""
	for name, v := range s.Versions {
		if v.Model == model && (first == "" || name < first) {
			first = name
		}
	}
	return first
}

// desiredLoads returns what a runner should have loaded.
func desiredLoads(r resource.Runner, versions []string) []upstream.Loaded {
	out := make([]upstream.Loaded, 0, len(versions))
	for _, v := range versions {
		out = append(out, upstream.Loaded{Model: r.Model, Version: v, Adapters: r.Adapters})
	}
	return out
}
