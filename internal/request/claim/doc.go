// Package claim makes sure that a request with an Idempotency-Key runs at most
// once, whichever gateways receive it.
//
// A run is one execution of a request at a runner. Before the run of a key is sent,
// its claim records the runner, the runner's incarnation and the run id. Claims are
// stored in bucket objects in the platform's store, which are written by conditional
// update only. Session handles one request at a gateway and
// Keeper reads and writes buckets; both are pure state machines without I/O.
// KeeperService and Client perform the I/O for the keeper and for the sessions.
//
// Terms of this package:
//   - A claim is the record, for one Idempotency-Key, of which gateway may send the run and to
//     which runner. Its holder is the gateway that created it or last took it over. A claim is
//     exclusive while only its holder uses it, and shared once a second caller has joined.
//   - A bucket is the object in the store that holds the claims of many keys.
//   - A keeper is the part of a gateway that reads and writes buckets for the sessions of all
//     gateways. Normally each bucket has one keeper (see RankKeepers).
//   - An incarnation of a runner is one run of its process, from its start to its end.
//   - The send window is the time after a session's first claim operation in which the session
//     may send the run.
//   - A generation is a period in the life of a bucket. The keeper counts generations instead of
//     storing times, so that clocks of different instances are never compared. A claim is
//     removed once as many generations have passed since its last grant as the constant
//     Generations says.
//
// Invariants:
//   - A run is sent only under a claim that the store holds.
//   - A claim moves to another runner only while it is exclusive (used by its
//     holder alone) and none of the holder's sends ran.
//   - Once a second caller has joined, the claim is shared and never moves, and the
//     run is sent again only if the engine deduplicates runs by their id.
//   - A refusal states not-run only if the key had not run at some moment since the
//     request arrived, and nothing that this request wrote can still make it run.
package claim
