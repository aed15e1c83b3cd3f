// Package e2e tests the real binaries as separate processes on the loopback
// address: the platform, runners, gateways and controllers, under load and with
// every process restarted in turn.
package e2e
