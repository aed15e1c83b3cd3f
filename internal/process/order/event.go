package order

import (
	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// Event is something that happened; see the types below.
type Event interface{ orderEvent() }

// Tick tells that time has passed; send one at the time that Wake gives.
type Tick struct{}

// Granted tells that this process may give orders under Epoch since At. The windows
// of all former holders had ended by At.
type Granted struct {
	Epoch uint64
	At    boottime.Time
}

// Revoked tells that this process may not give orders now.
type Revoked struct{}

// Engine tells what the runner's engine class does with fencing numbers.
type Engine struct{ ChecksFencing bool }

// Want asks for an order. ID and Fence are filled in by the core. It is passed over
// while Busy is true.
type Want struct {
	Order  upstream.Order
	Reason string
}

// Abandon asks to roll back an order that the engine has not begun.
type Abandon struct{ Reason string }

// SlotRead answers ReadSlot.
type SlotRead struct {
	Found   bool
	Version uint64
	Nonce   string
	Slot    resource.OrderSlot
}

// SlotSeen tells of the slot as it was seen in a list. It answers no call. A write of
// a former holder that was held up on the way can land after this holder has read
// the slot; without this event it would be found only at the next order.
type SlotSeen struct{ SlotRead }

// SlotReadFailed answers ReadSlot when the platform did not answer.
type SlotReadFailed struct{}

// SlotWrote answers WriteSlot: it took effect.
type SlotWrote struct{ Version uint64 }

// Failure says how a write of the slot failed.
type Failure int

// The failures of a write.
const (
	FailedConflict    Failure = iota // the stored version differs
	FailedUnavailable                // certainly no effect
	FailedUnknown                    // may have taken effect, now or later
)

// SlotWriteFailed answers WriteSlot.
type SlotWriteFailed struct{ Failure Failure }

// SendResult says what became of a send.
type SendResult int

// The results of a send.
const (
	SendAnswered   SendResult = iota // the engine answered with its state
	SendNotSent                      // no byte of it left: MayOrder was false, or no connection
	SendBroken                       // may have arrived, or may arrive yet
	SendStaleFence                   // the engine saw a newer fencing number; no effect
	SendBusy                         // the engine executes another order; no effect
	SendRefused                      // the engine cannot do it; no effect
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
func (Want) orderEvent()            {}
func (Abandon) orderEvent()         {}
func (SlotRead) orderEvent()        {}
func (SlotSeen) orderEvent()        {}
func (SlotReadFailed) orderEvent()  {}
func (SlotWrote) orderEvent()       {}
func (SlotWriteFailed) orderEvent() {}
func (Sent) orderEvent()            {}
func (StateRead) orderEvent()       {}
func (StateFailed) orderEvent()     {}

// Action is something to do; see the types below. ReadSlot, WriteSlot, SendOrder
// and ReadState are calls: at most one is under way, and each is answered by
// exactly one event.
type Action interface{ orderAction() }

// ReadSlot asks to read the slot.
type ReadSlot struct{}

// WriteSlot asks to write the slot if its version is still Base (0: create it).
type WriteSlot struct {
	Base  uint64
	Slot  resource.OrderSlot
	Nonce string
}

// SendOrder asks to send the order to the engine, within OrderLife, after asking
// authority.MayOrder once more for the same epoch (Order.Fence).
type SendOrder struct{ Order upstream.Order }

// ReadState asks to read the engine's state.
type ReadState struct{}

// Opened tells that the slot was opened for a wanted order.
type Opened struct {
	Order  upstream.Order
	Reason string
}

// Adopted tells that an open slot of a former holder was taken over.
type Adopted struct {
	Order  upstream.Order
	Former string
	Epoch  uint64 // of the former holder
}

// Outcome is what became of a wanted order.
type Outcome string

// The outcomes.
const (
	OutcomeDone       Outcome = "done"
	OutcomeFailed     Outcome = "failed"
	OutcomeRolledBack Outcome = "rolled-back" // never begun, and can't begin any more
	OutcomeRefused    Outcome = "refused"     // not opened: the engine was not free
)

// Finished tells what became of an order.
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
