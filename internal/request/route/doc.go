// Package route chooses the upstream of a request: small named filters, scorers
// and one picker over a view of the fleet. It is pure: no goroutine, clock,
// random source or I/O; time and seeds come in with the call.
package route
