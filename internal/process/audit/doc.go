// Package audit keeps the audit trail of changes in objects of kind Audit at the
// platform.
//
// A Trail is the writing end in one process. Record never blocks: entries wait in
// a bounded buffer, through an outage too, and are written in batches. Each trail
// writes its own segments, so that trails never conflict with each other and any
// number of processes may write at once. A segment is an object of bounded size
// that is replaced, grown by a batch, by conditional update; a full one is left
// alone and another begun.
//
// Entries of a trail are numbered without gaps. When the fate of a write is not
// known, the batch goes into a new segment as well, and the reader drops what it
// sees twice by trail and number: at least once in the store, once in what Read
// returns. When the buffer is full, newer entries are dropped and counted, and an
// entry that says how many stands in their place.
//
// Programs that run for a moment use Append in place of a Trail: it adds to a
// segment of the hour that all of them share, so that a day of many small runs
// leaves a few segments and not one for each run.
//
// buffer is the pure part: which entries wait and what the next write is.
package audit
