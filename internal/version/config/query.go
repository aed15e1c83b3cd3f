package config

import (
	"slices"

	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// RunnersOf returns the names of the runners that are configured to load the model, sorted.
func (s *Snapshot) RunnersOf(model string) []string {
	var names []string
	for name, r := range s.Runners {
		if r.Model == model {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// RunnersIn returns the names of the runners in an availability zone, sorted.
func (s *Snapshot) RunnersIn(zone string) []string {
	var names []string
	for name, r := range s.Runners {
		if r.Zone == zone {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// EngineOf returns the engine class of a runner. The result is false if the runner or its
// engine class does not exist.
func (s *Snapshot) EngineOf(runner string) (resource.Engine, bool) {
	r, ok := s.Runners[runner]
	if !ok {
		return resource.Engine{}, false
	}
	e, ok := s.Engines[r.Engine]
	return e, ok
}

// Leaving reports whether the runner must get no new work: an operator has set its state
// to drained or withdrawn, a controller drains it for a planned change, or the platform
// lists its instance as leaving.
func (s *Snapshot) Leaving(runner string) bool {
	if _, drained := s.Drains[runner]; drained {
		return true
	}
	if i, ok := s.Instances[runner]; ok && i.State == resource.InstanceLeaving {
		return true
	}
	r, ok := s.Runners[runner]
	return ok && r.State != resource.RunnerServing && r.State != ""
}

// AccountByKeyHash returns the client account that an API key belongs to, and the account's
// name. hash is the hex SHA-256 of the key. The result is false if no account has the key.
func (s *Snapshot) AccountByKeyHash(hash string) (string, resource.ClientAccount, bool) {
	name, ok := s.ByKeyHash[hash]
	if !ok {
		return "", resource.ClientAccount{}, false
	}
	return name, s.Accounts[name], true
}
