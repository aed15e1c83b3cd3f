// Package order is the state machine of one runner's order slot. It ensures that an
// engine never holds conflicting orders, and that an interrupted order is finished
// or rolled back. It performs no I/O.
//
// The slot is the object OrderSlot/<runner> in the platform's store. It is opened by a
// conditional update before an order is sent, and closed after the engine's state was
// read back. So every order that may be in progress is recorded in an open slot, and two
// processes that both consider themselves the lease holder cannot both open it.
//
// The epoch of a lease grows with every change of holder. It is the fencing number of the
// holder's orders: an engine that checks fencing refuses an order with a lower number than
// the highest one that it has seen. A holder's window is the time in which it may send
// orders (see package authority).
//
// Invariant: an engine starts only the order that its open slot holds at that moment.
// This depends on the following rules:
//
//   - The caller of Core checks authority.CanSendOrders immediately before it writes an
//     order to the engine.
//   - An order whose send broke off may still arrive, but not later than OrderLifetime
//     after the send started: the write deadline, the TCP user timeout and the closing of
//     the connection ensure that. The slot is not closed before.
//   - A new lease holder that finds an open slot writes its own epoch into it. If the
//     engine checks fencing, the holder then sends the same order with its own epoch,
//     even if the engine has executed it, so that the engine refuses every copy from
//     the former holder. If the engine ignores fencing, the holder first waits until
//     OrderLifetime after its own lease started. The former holder's window had ended
//     when that lease started, so none of its orders can arrive any more. The new holder
//     then reads the state, and only then sends orders.
//   - Order ids are <runner>-<serial>. The serial is above both the slot's and the
//     engine's last one, so that no id is used twice even if the slot is deleted.
//
// One case remains uncovered, only for engines that ignore fencing: a former holder is
// paused between its check of CanSendOrders and the system call that writes the order, or
// the bytes are delayed in transit or in front of the engine, for longer than the rest
// of its window plus the lease margin plus OrderLifetime. If the successor has closed the
// slot by then, the late order takes effect. An engine that checks fencing but loses the
// fencing number when it restarts has the same gap from the restart until the next order.
package order
