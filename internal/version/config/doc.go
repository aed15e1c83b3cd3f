// Package config distributes the configuration to the daemons. A Snapshot is one
// immutable version of it. Core is a state machine without I/O that moves a daemon from
// one version to a newer one and never back. Distributor does the I/O for a Core.
package config
