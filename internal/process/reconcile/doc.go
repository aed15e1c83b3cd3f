// Package reconcile computes from desired and actual state a plan of steps with a
// reason for each. Pure.
//
// Plan keeps no memory: it is computed anew from what is wanted and what is there,
// so a plan that a newer desired state overtakes is revised, not run to its end.
// Invariants of each plan:
//
//   - An order goes only to an engine that gets no new work, as far as the gateways
//     have confirmed it, and that runs no request.
//   - Planned changes leave at least MinServing runners of a model, and never take
//     all of them; nor do they go below MinPrefill and MinDecode.
//   - Of a model with few runners one is away at a time.
//   - Weights are loaded within the rate of the weight store, and a load that failed
//     at one runner is not tried at the others.
package reconcile
