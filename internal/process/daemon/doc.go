// Package daemon holds what ragwort-gateway and ragwort-controller have in common
// as processes: flags, start and end by signal, listening ports, keys, and the
// connection to the platform.
package daemon
