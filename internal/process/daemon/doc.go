// Package daemon contains what the ragwort-gateway and ragwort-controller processes have
// in common: command line flags, stop by signals, listeners, keys, the count of running
// requests, and the creation of the platform client.
package daemon
