// Package trial runs the whole system in one process on the loopback address:
// stand-ins for the platform, four runners and a plain service in two
// availability zones, and two gateways and two controllers made from the same
// packages as the real binaries. It is what `make run` starts.
package trial
