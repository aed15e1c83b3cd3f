// Package upstream is the boundary to model engines and plain services: a Go
// interface, typed errors, and one HTTP+SSE implementation. A new wire form
// touches this package only.
//
// Invariants that the interface asks of an implementation:
//   - an error that matches ErrNotRun is only returned when the request provably
//     did not start (connection never made, or the engine's own refusal);
//   - a Token carries the RunID and Index the engine sent, so that crossed, late
//     and duplicated answers can be told apart by the caller.
package upstream
