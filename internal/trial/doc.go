// Package trial runs the whole system in one process on the loopback address, in two
// availability zones: stand-ins for the platform, four runners and a plain service, and
// two gateways and two controllers from the same packages as the real binaries.
// `make run` starts it.
package trial
