// Package authority is the lease state machine of one availability zone: who may
// give orders to its engines, and until when. Pure.
//
// The lease is one object of the platform, Lease/<zone>, taken and renewed only by
// conditional update. Its epoch is the fencing number of orders.
//
// Invariants:
//
//   - Of two processes, at most one has MayOrder true at a time. The holder counts
//     its time to live from before the call that renewed the lease and stops a
//     margin early; a candidate counts the same time to live from after it saw the
//     version change. Both use their own boot-time clock and no wall clock. The
//     margin covers the difference in rate of two clocks over one time to live.
//   - The epoch grows with every change of holder, also when an operator deletes the
//     lease: it is at least the store-wide version that the taker replaced.
//   - A process holds the lease only by a write that it knows to have taken effect.
//     After a lost answer it reads the object and compares the nonce; until then the
//     window of its previous write stays in force. A lease that merely carries its
//     name, from an earlier life of the instance, is another's.
//   - While the platform is away nothing can be renewed, so MayOrder turns false at
//     every holder within one time to live.
package authority
