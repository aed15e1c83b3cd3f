// Package reconcile computes a plan of steps, each with a reason, from desired and
// actual state. It is pure: it has no I/O and keeps no state.
//
// Each plan is computed from scratch, so a change of the desired state revises a
// plan in progress instead of waiting for its end. Invariants of each plan:
//
//   - An order is sent only to an engine that runs no request and that, as confirmed
//     by the gateways, gets no new ones.
//   - Planned changes leave at least MinServing runners of a model in service, or one
//     if MinServing is zero and the model has more than one runner. They don't reduce
//     the prefill and decode runners below MinPrefill and MinDecode.
//   - At most one in runnersPerAway runners of a model is out of service for planned
//     changes at a time; of a model with fewer runners, at most one is.
//   - Weights are loaded within the rate limit of the weight store. While the last failed
//     order of a reachable runner of the zone is a load, that load is not tried at the
//     zone's other runners.
package reconcile
