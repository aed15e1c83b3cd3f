package order

import (
	"fmt"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/defaults"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// maxRestarts is the number of engine restarts during one order after which the order
// counts as failed instead of being sent again.
const maxRestarts = 3

// Config configures a Core. Zero durations are replaced by the defaults in brackets.
type Config struct {
	Runner        string
	Holder        string        // instance name of this process
	Incarnation   string        // unique per start of the process; part of nonces
	OrderLifetime time.Duration // time from the start of a send after which the order can no longer arrive
	PollInterval  time.Duration // interval at which the state of a busy engine is read [500 ms]
	RetryDelay    time.Duration // first delay after a failure [1 s]
	MaxRetryDelay time.Duration // maximum delay; delays double up to it [30 s]
}

// Default durations.
const (
	defaultPollInterval  = 500 * time.Millisecond
	defaultRetryDelay    = time.Second
	defaultMaxRetryDelay = 30 * time.Second
)

func (c Config) withDefaults() Config {
	defaults.Set(&c.PollInterval, defaultPollInterval)
	defaults.Set(&c.RetryDelay, defaultRetryDelay)
	defaults.Set(&c.MaxRetryDelay, defaultMaxRetryDelay)
	return c
}

// phase is the state of the state machine.
type phase int

const (
	phaseOff        phase = iota // no authority
	phaseReadSlot                // the stored slot is unknown (new epoch, or a write conflict) and has to be read
	phaseIdle                    // the slot is closed or missing
	phaseCheck                   // an order is requested; the engine's state has to be read
	phaseOpen                    // the open slot has to be written
	phaseAdopt                   // a former holder's open slot has to be taken over
	phaseSend                    // the order has to be sent
	phaseObserve                 // the state has to be read back
	phaseClose                   // the closed slot has to be written
	phaseSuperseded              // a newer epoch has written the slot
)

// pendingWrite is a write of the slot whose outcome is not known yet.
type pendingWrite struct {
	WriteSlot
	uncertain bool // a copy of it may still take effect
}

// Core is the state machine of one slot. It is not safe for concurrent use.
type Core struct {
	cfg     Config
	fencing bool // the runner's engine class checks fencing numbers

	phase   phase
	granted Granted // the last one

	slot    resource.OrderSlot // as stored, or as it is to be written
	version uint64             // of the stored slot; 0: missing
	pending *pendingWrite

	requested     *Request // not yet in the slot; nil: none
	abandonReason string   // reason to roll the order back; empty: it isn't to be rolled back

	adopted       bool          // the open slot was written by a former holder
	fenceRaised   bool          // the engine answered a send of this epoch or reported its fence
	startedBy     string        // incarnation of the engine that started the open order; empty: unknown
	sends         int           // number of sends of the open order by this process
	restarts      int           // number of times the open order was lost to an engine restart
	brokenSendEnd boottime.Time // until this time, a copy of an order whose send broke off may arrive
	sentAt        boottime.Time // start of the last send
	callPending   bool          // a call has started and is not answered yet
	nextAt        boottime.Time // the next call may start then
	retryWait     time.Duration // delay after the last failure; zero: none since the last success
	nonces        uint64        // number of nonces used
}

// New returns a Core without authority.
func New(cfg Config) *Core {
	return &Core{cfg: cfg.withDefaults()}
}

// Busy reports whether a Request would be ignored.
func (c *Core) Busy() bool { return c.phase != phaseIdle }

// Open returns the order of the slot and whether the slot is open as far as is known.
// A slot that is being closed counts as open until the store has closed it.
func (c *Core) Open() (upstream.Order, bool) {
	return c.slot.Order, c.slot.State == resource.SlotOpen || c.phase == phaseClose
}

// Phase returns the name of the current phase, for the explain output.
func (c *Core) Phase() string {
	return [...]string{
		"no authority", "reading the slot", "idle", "checking the engine", "opening the slot",
		"taking over the slot", "sending", "reading the state back", "closing the slot", "superseded",
	}[c.phase]
}

// never is a time that is never reached.
const never = boottime.Time(1<<63 - 1)

// Wake returns the time at which the next Tick is due, or a time that is never reached
// if no call is to be started.
func (c *Core) Wake() boottime.Time {
	if c.callPending || c.phase == phaseOff || c.phase == phaseIdle || c.phase == phaseSuperseded {
		return never
	}
	return c.nextAt
}

// Step processes an event and returns the actions to execute.
func (c *Core) Step(now boottime.Time, event Event) []Action {
	var out []Action
	switch e := event.(type) {
	case Tick:
	case Granted:
		c.grant(e)
	case Revoked:
		c.phase = phaseOff
	case Engine:
		c.fencing = e.ChecksFencing
	case Request:
		c.request(e)
	case Abandon:
		c.abandonReason = e.Reason
	case SlotSeen:
		if c.phase == phaseIdle && e.Version > c.version {
			out = c.loadSlot(e.SlotRead)
		}
	default:
		c.callPending = false
		out = c.handleAnswer(now, e)
	}
	return append(out, c.nextCall(now)...)
}

// grant restarts from the stored slot, discarding earlier knowledge.
func (c *Core) grant(g Granted) {
	if c.phase != phaseOff && c.granted.Epoch == g.Epoch {
		return
	}
	c.granted = g
	c.phase = phaseReadSlot
	c.pending = nil
	c.requested = nil
	c.abandonReason = ""
	c.nextAt = 0
	c.retryWait = 0
}

// request accepts a requested order if the core is idle.
func (c *Core) request(w Request) {
	if c.phase != phaseIdle {
		return
	}
	c.requested = &w
	c.abandonReason = ""
	c.phase = phaseCheck
	c.nextAt = 0
}

// handleAnswer processes the answer of a call. The call may have started before the last
// Revoked or Granted. After a Revoked, an answer has no effect, but if a send broke off,
// it is recorded until when the order may arrive. After a new Granted the same applies,
// except that the core waits for a read of the slot: a SlotRead is used for that,
// although it was requested earlier, and a failed read delays the next call.
func (c *Core) handleAnswer(now boottime.Time, event Event) []Action {
	if sent, ok := event.(Sent); ok {
		c.recordSend(sent)
	}
	if c.phase == phaseOff || c.phase == phaseSuperseded {
		return nil
	}
	switch e := event.(type) {
	case SlotRead:
		return c.handleSlotRead(now, e)
	case SlotWritten:
		return c.handleSlotWritten(now, e.Version)
	case SlotReadFailed, StateFailed:
		c.backOff(now)
	case SlotWriteFailed:
		c.handleSlotWriteFailed(now, e.Failure)
	case Sent:
		return c.handleSent(now, e)
	case StateRead:
		return c.handleState(now, e.State)
	}
	return nil
}

// nextCall starts the next call if one is due and none is pending.
func (c *Core) nextCall(now boottime.Time) []Action {
	if c.callPending || now.Before(c.nextAt) {
		return nil
	}
	switch c.phase {
	case phaseOff, phaseIdle, phaseSuperseded:
		return nil
	}
	c.callPending = true
	if c.pending != nil {
		return []Action{ReadSlot{}}
	}
	switch c.phase {
	case phaseReadSlot:
		return []Action{ReadSlot{}}
	case phaseOpen, phaseAdopt, phaseClose:
		return c.writeSlot()
	case phaseSend:
		c.sentAt = now
		c.sends++
		return []Action{SendOrder{Order: c.slot.Order}}
	}
	return []Action{ReadState{}}
}

// writeSlot starts a write of c.slot under a new nonce.
func (c *Core) writeSlot() []Action {
	c.nonces++
	nonce := fmt.Sprintf("%s-%s-%s-%d", c.cfg.Runner, c.cfg.Holder, c.cfg.Incarnation, c.nonces)
	c.pending = &pendingWrite{WriteSlot: WriteSlot{Base: c.version, Slot: c.slot, Nonce: nonce}}
	return []Action{c.pending.WriteSlot}
}

// backOff delays the next call, doubling the delay each time.
func (c *Core) backOff(now boottime.Time) {
	c.retryWait = min(max(2*c.retryWait, c.cfg.RetryDelay), c.cfg.MaxRetryDelay)
	c.nextAt = now.Add(c.retryWait)
}

// goTo enters a phase whose call is due immediately.
func (c *Core) goTo(p phase) {
	c.phase = p
	c.nextAt = 0
	c.retryWait = 0
}
