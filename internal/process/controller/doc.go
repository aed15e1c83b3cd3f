// Package controller implements the ragwort-controller daemon, which holds the leases
// of availability zones and sends orders to the engines in them.
//
// Decisions are made by cores: state machines that do no I/O, take events and return
// actions. This package performs the actions and turns the results of I/O into events.
// One goroutine, the loop, owns all cores. I/O runs in separate goroutines that post
// their results to the loop.
//
// During an outage of the platform a lease cannot be renewed, so no orders are sent
// once it has lapsed. The engines continue to serve requests.
package controller
