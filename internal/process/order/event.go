package order

import (
	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// Event is an input of Core.Step; see the types below.
type Event interface{ orderEvent() }

// Tick reports that time has passed; send one at the time that Wake returns.
type Tick struct{}

// Granted reports that this process may send orders under Epoch, and has been allowed to
// since At. The windows of all former holders had ended by At.
type Granted struct {
	Epoch uint64
	At    boottime.Time
}

// Revoked reports that this process may no longer send orders.
type Revoked struct{}

// Engine reports whether the runner's engine class checks fencing numbers.
type Engine struct{ ChecksFencing bool }

// Request requests an order, whose ID and Fence are set by the core. A Request is ignored
// while Busy returns true.
type Request struct {
	Order  upstream.Order
	Reason string
}

// Abandon requests that the order be rolled back unless the engine has started it.
type Abandon struct{ Reason string }

// SlotRead answers ReadSlot.
type SlotRead struct {
	Found   bool
	Version uint64
	Nonce   string
	Slot    resource.OrderSlot
}

// SlotSeen reports the slot as it was seen in a list of slots. It answers no call. A
// delayed write of a former holder can take effect after this holder has read the slot;
// without this event the core would notice that write only at its next order.
type SlotSeen struct{ SlotRead }

// SlotReadFailed answers ReadSlot when the platform did not answer.
type SlotReadFailed struct{}

// SlotWritten answers WriteSlot if the write took effect.
type SlotWritten struct{ Version uint64 }

// Failure is the way in which a write of the slot failed.
type Failure int

// Failures of a write.
const (
	FailedConflict    Failure = iota // the stored version differs
	FailedUnavailable                // the write certainly had no effect
	FailedUnknown                    // the write may have taken effect, or may still do so
)

// SlotWriteFailed answers WriteSlot.
type SlotWriteFailed struct{ Failure Failure }

// SendResult is the result of a send.
type SendResult int

// Results of a send.
const (
	SendAnswered   SendResult = iota // the engine answered with its state
	SendNotSent                      // no byte was sent: CanSendOrders was false, or there was no connection
	SendBroken                       // the order may have arrived, or may still arrive
	SendStaleFence                   // the engine has seen a higher fencing number; no effect
	SendBusy                         // the engine executes another order; no effect
	SendRefused                      // the engine cannot execute it; no effect
)

// Sent answers SendOrder. State is set for SendAnswered.
type Sent struct {
	Result SendResult
	State  upstream.State
	Detail string
}

// StateRead answers ReadState.
type StateRead struct{ State upstream.State }

// StateFailed answers ReadState when the engine did not answer.
type StateFailed struct{}

func (Tick) orderEvent()            {}
func (Granted) orderEvent()         {}
func (Revoked) orderEvent()         {}
func (Engine) orderEvent()          {}
func (Request) orderEvent()         {}
func (Abandon) orderEvent()         {}
func (SlotRead) orderEvent()        {}
func (SlotSeen) orderEvent()        {}
func (SlotReadFailed) orderEvent()  {}
func (SlotWritten) orderEvent()     {}
func (SlotWriteFailed) orderEvent() {}
func (Sent) orderEvent()            {}
func (StateRead) orderEvent()       {}
func (StateFailed) orderEvent()     {}

// Action is an output of Core.Step; see the types below. ReadSlot, WriteSlot,
// SendOrder and ReadState are calls: at most one is pending, and each is answered by
// exactly one event.
type Action interface{ orderAction() }

// ReadSlot requests a read of the slot.
type ReadSlot struct{}

// WriteSlot requests a write of the slot if its version is still Base (0: create it).
type WriteSlot struct {
	Base  uint64
	Slot  resource.OrderSlot
	Nonce string
}

// SendOrder requests that the order be sent to the engine within OrderLifetime, after
// another check of authority.CanSendOrders for the same epoch (Order.Fence).
type SendOrder struct{ Order upstream.Order }

// ReadState requests a read of the engine's state.
type ReadState struct{}

// Opened reports that the slot was opened for a requested order.
type Opened struct {
	Order  upstream.Order
	Reason string
}

// Adopted reports that an open slot of a former holder is being taken over.
type Adopted struct {
	Order          upstream.Order
	PreviousHolder string
	Epoch          uint64 // of the former holder
}

// Outcome is the outcome of a requested order.
type Outcome string

// Outcomes.
const (
	OutcomeDone       Outcome = "done"
	OutcomeFailed     Outcome = "failed"
	OutcomeRolledBack Outcome = "rolled-back" // never started, and can no longer start
	OutcomeRefused    Outcome = "refused"     // slot not opened: the engine was not free
)

// Finished reports the outcome of an order.
type Finished struct {
	Order   upstream.Order
	Outcome Outcome
	Reason  string
}

func (ReadSlot) orderAction()  {}
func (WriteSlot) orderAction() {}
func (SendOrder) orderAction() {}
func (ReadState) orderAction() {}
func (Opened) orderAction()    {}
func (Adopted) orderAction()   {}
func (Finished) orderAction()  {}
