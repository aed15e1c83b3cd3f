// Package authority is the lease state machine of one availability zone. It determines
// which process may send orders to the zone's engines, and until when. The package is
// pure: it has no I/O.
//
// The lease is one object of the platform, Lease/<zone>, acquired and renewed only by
// conditional updates.
//
// Terms:
//
//   - An order tells an engine to change its state, for example its role.
//   - The window is the time in which the holder of the lease may send orders. It ends
//     some time (Config.Margin) before the lease expires.
//   - The epoch is a number that grows with each change of holder. Each order contains it
//     as its fencing token, by which engines can refuse orders of former holders.
//   - The era is a number that grows each time the platform's store is restored from an
//     older copy of its data. It is part of every version of the store (platform.EraOf).
//   - A candidate is a process that may acquire the lease. A home candidate is one in the
//     lease's own zone.
//   - The nonce is an identifier, different for each write, by which a process recognizes
//     its own write in the stored object.
//
// Invariants:
//
//   - At any time, CanSendOrders is true for at most one process. The holder's window
//     starts before the call that renewed the lease, and ends a margin before the lease's
//     time to live is over. A candidate waits for the same time to live from when it saw
//     the version change. Both use their own boot-time clock and no wall clock. The margin
//     covers the difference in rate of two clocks over one time to live.
//   - The epoch grows with every change of holder, even if an operator deletes the
//     lease: it is at least the store-wide version that the new holder replaced.
//   - A process holds the lease only through a write that it knows to have taken
//     effect. If the answer is lost, it reads the object and compares the nonce; until
//     then the window of its previous write applies. A lease that names the instance of
//     this process but was written before the process started belongs to another process.
//   - While the platform is unavailable nothing can be renewed, so CanSendOrders becomes
//     false for every holder within one time to live.
package authority
