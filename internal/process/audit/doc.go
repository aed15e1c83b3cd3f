// Package audit records changes in an audit trail, which is stored at the platform as
// objects of kind Audit.
//
// A Trail writes the entries of one process. Record never blocks: entries wait in a
// bounded buffer, also during an outage of the platform, and are written in batches. The
// entries are stored in segments. A segment is an object of bounded size, to which batches
// are added by conditional update; when it is full, the trail starts another one. Each trail
// writes its own segments, so trails never conflict and any number of processes may write at
// the same time.
//
// The entries of a trail are numbered without gaps. If it is not known whether a write
// took effect, the batch is written again to a new segment. An entry may therefore be stored
// more than once; Read drops duplicates by trail and number. When the buffer is full, newer
// entries are dropped and counted, and an entry that says how many is written in their place.
//
// Short-lived programs use Append instead of a Trail. It adds entries to a segment that all
// of them share for an hour, so that many short runs in a day leave a few segments rather
// than one for each run.
//
// The type buffer, which does no I/O, decides which entries wait and what the next write
// stores.
package audit
