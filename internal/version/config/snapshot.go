package config

import (
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// Snapshot is one version of the configuration, decoded and validated. It is
// immutable: a request keeps the snapshot that it began with.
type Snapshot struct {
	Version   uint64 // store version of this snapshot; grows with each one
	Engines   map[string]resource.Engine
	Runners   map[string]resource.Runner
	Models    map[string]resource.Model
	Adapters  map[string]resource.Adapter
	Versions  map[string]resource.Version
	Routes    map[string]resource.Route
	Accounts  map[string]resource.ClientAccount
	Services  map[string]resource.Service
	Instances map[string]resource.Instance // the platform's list, which lags behind the true state
	Drains    map[string]resource.Drain    // runners that controllers drain for planned changes
	ByKeyHash map[string]string            // account names by the hex SHA-256 of an API key
	Rejected  map[string]Rejection         // objects whose newest version is invalid, by "<Kind>/<name>"
}

// Rejection says why the newest version of an object is not in force.
type Rejection struct {
	Version uint64 // the invalid version
	InForce uint64 // the last valid version, which is in force; zero: none
	Message string // the invalid fields and what is allowed
}
