// Package order is the state machine of one runner's order slot: an engine never
// holds conflicting orders, and a half-done change is finished or rolled back. Pure.
//
// OrderSlot/<runner> is opened by conditional update before an order is sent, and
// closed after the engine's state was read back. So every order that may be under
// way stands in an open slot, and two processes that both believe that they lead
// cannot both open it.
//
// Invariant: an engine begins to execute only the order that stands in its open
// slot at that moment. It rests on these rules:
//
//   - The shell asks authority.MayOrder right before it writes an order.
//   - An order whose send broke off may arrive until OrderLife after the send began
//     (write deadline, TCP user timeout, connection closed). Its slot is not closed
//     before that.
//   - A new holder that finds an open slot writes its own epoch into it. Of an engine
//     that checks fencing it then sends the same order with its own epoch, even if
//     the engine has executed it, which makes the engine refuse every copy of the
//     former holder. Of an engine that
//     ignores fencing it first waits until OrderLife after its own lease began: the
//     former holder's window had ended by then. It reads the state, and only then
//     orders.
//   - Order ids are <runner>-<serial>. The serial grows beyond both the slot's and the
//     engine's last one, so that an id is not used twice even if the slot is deleted.
//
// What is left uncovered, for engines that ignore fencing only: a former holder
// that is paused between its check of MayOrder and the system call that writes
// the order, or bytes that are held up on the way or in front of the engine, for
// longer than what was left of its window, plus the margin, plus OrderLife. If the
// successor has closed the slot by then, the late order takes effect. An engine that
// checks fencing but forgets the number when it restarts is such an engine from the
// restart until the next order.
package order
