// Package e2e tests the real binaries as separate processes on the loopback address:
// the stand-ins for the platform, runners and a plain service, the gateways and the
// controllers. The tests restart, kill and pause processes under load.
package e2e
