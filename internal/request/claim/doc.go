// Package claim makes a request with an Idempotency-Key run at most once across
// gateways.
//
// A claim names the runner, its incarnation and the run id before anything is
// sent. Claims live in bucket objects at the platform, written by conditional
// update only. Session is the gateway's side of one request, Keeper the side that
// reads and writes buckets; both are pure state machines. KeeperService and
// Client are the thin shells around them.
//
// Invariants:
//   - a run is only sent under a claim that the store holds;
//   - a claim moves to another runner only while its holder is alone with it and
//     its own sends provably did not run;
//   - once a second caller has joined, the claim never moves, and the run is only
//     started again where the engine deduplicates it;
//   - not-run is said only when, at some moment since the request arrived, the key
//     had not run, and nothing that this request wrote can make it run.
package claim
