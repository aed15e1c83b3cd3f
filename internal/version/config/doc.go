// Package config holds what lives as long as one version of the configuration:
// the immutable Snapshot, and the pure state machine that moves a daemon from one
// version to a newer one and never back.
package config
