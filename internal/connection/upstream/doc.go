// Package upstream is the client of model engines and plain services. For engines it
// has a Go interface, typed errors, and one implementation over HTTP with server-sent
// events, so another wire protocol would change this package only.
//
// An implementation of Engine must keep these invariants:
//   - an error that matches ErrNotRun is returned only if the request provably
//     did not start (no connection was made, no byte was written, or the engine
//     itself refused);
//   - a Token carries the RunID and Index that the engine sent, so that the caller
//     can detect answers that are late, duplicated or belong to another run.
package upstream
