package order

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settle"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// maxRestarts is how often one order is sent again after the engine restarted in
// the middle of it, before it counts as failed.
const maxRestarts = 3

// Config configures a Core. Zero durations take the values in brackets.
type Config struct {
	Runner      string
	Holder      string        // instance name of this process
	Incarnation string        // differs between two lives of the process; part of nonces
	OrderLife   time.Duration // longest time from the begin of a send until it can arrive no more
	PollEvery   time.Duration // how often the state of a busy engine is read [500 ms]
	RetryEvery  time.Duration // after a failure [1 s]
	RetryMost   time.Duration // retries grow further apart up to this [30 s]
}

// Default durations.
const (
	defaultPollEvery  = 500 * time.Millisecond
	defaultRetryEvery = time.Second
	defaultRetryMost  = 30 * time.Second
)

func (c Config) withDefaults() Config {
	setDefault(&c.PollEvery, defaultPollEvery)
	setDefault(&c.RetryEvery, defaultRetryEvery)
	setDefault(&c.RetryMost, defaultRetryMost)
	return c
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// phase is where the core stands.
type phase int

const (
	phaseOff        phase = iota // no authority
	phaseReadSlot                // the slot has to be read
	phaseIdle                    // the slot is closed or missing
	phaseCheck                   // an order is wanted; the engine's state has to be read
	phaseOpen                    // the open slot has to be written
	phaseAdopt                   // a former holder's open slot has to be taken over
	phaseSend                    // the order has to be sent
	phaseObserve                 // the state has to be read back
	phaseClose                   // the closed slot has to be written
	phaseSuperseded              // a newer epoch has written the slot
)

// slotWrite is a write of the slot whose outcome is not known yet.
type slotWrite struct {
	WriteSlot
	uncertain bool // a copy of it may take effect yet
}

// Core is the state machine of one slot. It is not safe for concurrent use.
type Core struct {
	cfg     Config
	fencing bool

	phase   phase
	granted Granted

	slot    resource.OrderSlot
	version uint64 // of the stored slot; 0: missing
	pending *slotWrite

	want    *Want
	abandon string // reason to roll back; empty: none

	adopted   bool          // the open slot comes from a former holder
	raised    bool          // the engine answered a send of this epoch
	accepted  string        // incarnation that began the open order; empty: none known
	sends     int           // of the open order, by this process
	restarts  int           // times that the open order was lost to a restart
	doubtful  boottime.Time // until when a copy of an own broken send may arrive
	sentAt    boottime.Time
	calling   bool
	nextAt    boottime.Time
	retryWait time.Duration
	nonces    uint64
}

// New makes a core without authority.
func New(cfg Config) *Core {
	return &Core{cfg: cfg.withDefaults()}
}

// Busy reports whether a Want would be passed over.
func (c *Core) Busy() bool { return c.phase != phaseIdle }

// Open gives the order of the slot if it is open as far as is known.
func (c *Core) Open() (upstream.Order, bool) {
	return c.slot.Order, c.slot.State == resource.SlotOpen
}

// Phase names where the core stands, for explain.
func (c *Core) Phase() string {
	return [...]string{
		"no authority", "reading the slot", "idle", "checking the engine", "opening the slot",
		"taking over the slot", "sending", "reading the state back", "closing the slot", "superseded",
	}[c.phase]
}

// never is a time that does not come.
const never = boottime.Time(1<<63 - 1)

// Wake gives when the next Tick is due.
func (c *Core) Wake() boottime.Time {
	if c.calling || c.phase == phaseOff || c.phase == phaseIdle || c.phase == phaseSuperseded {
		return never
	}
	return c.nextAt
}

// Step takes an event and gives the actions to carry out.
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
	case Want:
		c.wanted(e)
	case Abandon:
		c.abandon = e.Reason
	case SlotSeen:
		if c.phase == phaseIdle && e.Version > c.version {
			out = c.begin(e.SlotRead)
		}
	default:
		c.calling = false
		out = c.answered(now, e)
	}
	return append(out, c.next(now)...)
}

// grant starts from the stored slot, whatever was known before.
func (c *Core) grant(g Granted) {
	if c.phase != phaseOff && c.granted.Epoch == g.Epoch {
		return
	}
	c.granted = g
	c.phase = phaseReadSlot
	c.pending = nil
	c.want = nil
	c.abandon = ""
	c.nextAt = 0
	c.retryWait = 0
}

func (c *Core) wanted(w Want) {
	if c.phase != phaseIdle {
		return
	}
	c.want = &w
	c.abandon = ""
	c.phase = phaseCheck
	c.nextAt = 0
}

// answered takes in the answer of a call. An answer that comes after a Revoked or
// a new Granted still counts for what it proves about sends, and for nothing else.
func (c *Core) answered(now boottime.Time, event Event) []Action {
	if sent, ok := event.(Sent); ok {
		c.noteSend(sent)
	}
	if c.phase == phaseOff || c.phase == phaseSuperseded {
		return nil
	}
	switch e := event.(type) {
	case SlotRead:
		return c.slotRead(now, e)
	case SlotWrote:
		return c.slotWrote(now, e.Version)
	case SlotReadFailed, StateFailed:
		c.backOff(now)
	case SlotWriteFailed:
		c.slotWriteFailed(now, e.Failure)
	case Sent:
		return c.sent(now, e)
	case StateRead:
		return c.stateRead(now, e.State)
	}
	return nil
}

// next starts the next call if one is due and none is under way.
func (c *Core) next(now boottime.Time) []Action {
	if c.calling || now.Before(c.nextAt) {
		return nil
	}
	switch c.phase {
	case phaseOff, phaseIdle, phaseSuperseded:
		return nil
	}
	c.calling = true
	if c.pending != nil {
		return []Action{ReadSlot{}}
	}
	switch c.phase {
	case phaseReadSlot:
		return []Action{ReadSlot{}}
	case phaseOpen, phaseAdopt, phaseClose:
		return c.write()
	case phaseSend:
		c.sentAt = now
		c.sends++
		return []Action{SendOrder{Order: c.slot.Order}}
	}
	return []Action{ReadState{}}
}

// write sends the slot as it stands in c.slot.
func (c *Core) write() []Action {
	c.nonces++
	nonce := fmt.Sprintf("%s-%s-%s-%d", c.cfg.Runner, c.cfg.Holder, c.cfg.Incarnation, c.nonces)
	c.pending = &slotWrite{WriteSlot: WriteSlot{Base: c.version, Slot: c.slot, Nonce: nonce}}
	return []Action{c.pending.WriteSlot}
}

// backOff puts the next call off, further each time.
func (c *Core) backOff(now boottime.Time) {
	c.retryWait = min(max(2*c.retryWait, c.cfg.RetryEvery), c.cfg.RetryMost)
	c.nextAt = now.Add(c.retryWait)
}

// goTo enters a phase whose call is due at once.
func (c *Core) goTo(p phase) {
	c.phase = p
	c.nextAt = 0
	c.retryWait = 0
}

// slotRead takes in the stored slot.
func (c *Core) slotRead(now boottime.Time, r SlotRead) []Action {
	if c.pending != nil {
		return c.resolve(now, r)
	}
	if c.phase != phaseReadSlot {
		return nil
	}
	return c.begin(r)
}

// begin starts from a slot that was read.
func (c *Core) begin(r SlotRead) []Action {
	c.version, c.slot = 0, resource.OrderSlot{State: resource.SlotClosed}
	if r.Found {
		c.version, c.slot = r.Version, r.Slot
	}
	c.accepted, c.restarts, c.raised = "", 0, false
	c.want, c.abandon = nil, ""
	switch {
	case c.slot.Epoch > c.granted.Epoch:
		c.phase = phaseSuperseded
		return nil
	case c.slot.State != resource.SlotOpen:
		c.goTo(phaseIdle)
		return nil
	}
	former, epoch := c.slot.Holder, c.slot.Epoch
	c.adopted = true
	c.slot.Epoch, c.slot.Holder = c.granted.Epoch, c.cfg.Holder
	c.slot.Order.Fence = c.granted.Epoch
	c.goTo(phaseAdopt)
	return []Action{Adopted{Order: c.slot.Order, Former: former, Epoch: epoch}}
}

// resolve settles a write of the slot whose answer was lost.
func (c *Core) resolve(now boottime.Time, r SlotRead) []Action {
	p := c.pending
	write := settle.Write{Base: p.Base, Nonce: p.Nonce}
	switch settle.Judge(write, settle.Read{Found: r.Found, Version: r.Version, Nonce: r.Nonce}) {
	case settle.TookEffect:
		return c.slotWrote(now, r.Version)
	case settle.Repeat:
		c.calling = true
		return []Action{p.WriteSlot}
	}
	c.pending = nil
	return c.begin(r)
}

func (c *Core) slotWriteFailed(now boottime.Time, f Failure) {
	p := c.pending
	if p == nil {
		return
	}
	switch f {
	case FailedUnknown:
		if p.uncertain {
			c.backOff(now)
		}
		p.uncertain = true
	case FailedUnavailable:
		if !p.uncertain {
			c.pending = nil
		}
		c.backOff(now)
	case FailedConflict:
		if p.uncertain {
			return // perhaps an earlier copy of it took effect: read and compare
		}
		c.pending = nil
		c.goTo(phaseReadSlot)
	}
}

// slotWrote takes in a write of the slot.
func (c *Core) slotWrote(now boottime.Time, version uint64) []Action {
	p := c.pending
	c.pending = nil
	if p == nil {
		return nil
	}
	c.version, c.slot = version, p.Slot
	switch c.phase {
	case phaseOpen:
		// Read the state once more: a request may have come in while the slot was written.
		c.adopted, c.sends = false, 0
		c.goTo(phaseObserve)
		return []Action{Opened{Order: c.slot.Order, Reason: c.slot.Reason}}
	case phaseAdopt:
		c.goTo(phaseObserve)
		if !c.fencing {
			c.nextAt = c.formerEnds()
		}
	case phaseClose:
		c.goTo(phaseIdle)
		c.want, c.abandon = nil, ""
		return []Action{Finished{Order: c.slot.Order, Outcome: Outcome(c.slot.Outcome), Reason: c.slot.Reason}}
	}
	return nil
}

// formerEnds is when the last copy of a former holder's order can have arrived.
func (c *Core) formerEnds() boottime.Time {
	return c.granted.At.Add(c.cfg.OrderLife)
}

// noteSend remembers until when a copy of a broken send may arrive.
func (c *Core) noteSend(s Sent) {
	if s.Result == SendBroken {
		c.doubtful = max(c.doubtful, c.sentAt.Add(c.cfg.OrderLife))
	}
}

// sent takes in the result of a send.
func (c *Core) sent(now boottime.Time, s Sent) []Action {
	if c.phase != phaseSend {
		return nil
	}
	switch s.Result {
	case SendAnswered:
		c.raised = true
		c.goTo(phaseObserve)
		out := c.stateRead(now, s.State)
		if c.phase == phaseSend {
			c.backOff(now) // answered, and yet not taken on
		}
		return out
	case SendNotSent:
		c.backOff(now)
	case SendBroken:
		c.goTo(phaseObserve)
		c.nextAt = now.Add(c.cfg.PollEvery)
	case SendStaleFence:
		c.phase = phaseSuperseded
	case SendBusy:
		c.goTo(phaseObserve)
		c.nextAt = now.Add(c.cfg.PollEvery)
	case SendRefused:
		c.raised = true // a copy of it is refused as well
		return c.close(now, OutcomeFailed, "the engine refused the order: "+s.Detail)
	}
	return nil
}

// stateRead takes in the engine's state.
func (c *Core) stateRead(now boottime.Time, s upstream.State) []Action {
	switch c.phase {
	case phaseCheck:
		return c.check(s)
	case phaseObserve:
		return c.observe(now, s)
	}
	return nil
}

// check opens the slot for the wanted order if the engine is free.
func (c *Core) check(s upstream.State) []Action {
	busy := ""
	switch {
	case c.abandon != "":
		busy = c.abandon
	case s.OrderStatus == upstream.OrderRunning:
		busy = "the engine executes order " + s.OrderID
	case s.Streams > 0:
		busy = fmt.Sprintf("%d requests are queued or running", s.Streams)
	}
	w := c.want
	if busy != "" {
		c.goTo(phaseIdle)
		c.want = nil
		return []Action{Finished{Order: w.Order, Outcome: OutcomeRefused, Reason: busy}}
	}
	order := w.Order
	serial := max(c.slot.Serial, serialOf(c.cfg.Runner, s.OrderID)) + 1
	order.ID = c.cfg.Runner + "-" + strconv.FormatUint(serial, 10)
	order.Fence = c.granted.Epoch
	c.slot = resource.OrderSlot{
		State: resource.SlotOpen, Epoch: c.granted.Epoch, Holder: c.cfg.Holder,
		Order: order, Reason: w.Reason, Serial: serial,
	}
	c.accepted, c.restarts, c.raised = "", 0, false
	c.goTo(phaseOpen)
	return nil
}

// serialOf gives the serial of an order id of the runner; zero: not one.
func serialOf(runner, id string) uint64 {
	digits, ok := strings.CutPrefix(id, runner+"-")
	if !ok {
		return 0
	}
	serial, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return 0
	}
	return serial
}

// observe judges the open order by the state read back.
func (c *Core) observe(now boottime.Time, s upstream.State) []Action {
	c.retryWait = 0
	c.nextAt = now.Add(c.cfg.PollEvery)
	c.raised = c.raised || s.Fence >= c.granted.Epoch
	if s.OrderID == c.slot.Order.ID {
		c.accepted = s.Incarnation
		switch s.OrderStatus {
		case upstream.OrderDone:
			return c.close(now, OutcomeDone, c.slot.Reason)
		case upstream.OrderFailed:
			return c.close(now, OutcomeFailed, "the engine failed the order")
		}
		return nil
	}
	if s.OrderStatus == upstream.OrderRunning {
		return nil // another order has to end first
	}
	if c.accepted != "" && c.accepted != s.Incarnation {
		c.accepted = ""
		c.restarts++
	}
	if c.restarts >= maxRestarts {
		return c.close(now, OutcomeFailed, fmt.Sprintf("the engine restarted %d times in the middle of the order", c.restarts))
	}
	if c.abandon != "" && c.settled(now) {
		return c.close(now, OutcomeRolledBack, c.abandon)
	}
	if !c.fencing && c.adopted && now.Before(c.formerEnds()) {
		c.nextAt = c.formerEnds()
		return nil
	}
	if s.Streams > 0 {
		return c.inTheWay(now, s.Streams)
	}
	c.goTo(phaseSend)
	return nil
}

// inTheWay handles requests that came in after the slot was opened: an order would
// cut them. An order that nobody sent yet is rolled back; another one waits.
func (c *Core) inTheWay(now boottime.Time, requests int) []Action {
	if c.sends == 0 && !c.adopted {
		return c.close(now, OutcomeRolledBack, fmt.Sprintf("%d requests came in before the order was sent", requests))
	}
	return nil
}

// settled reports whether no copy of the open order can arrive any more.
func (c *Core) settled(now boottime.Time) bool {
	if now.Before(c.doubtful) {
		return false
	}
	if !c.adopted {
		return true
	}
	if c.fencing {
		return c.raised
	}
	return !now.Before(c.formerEnds())
}

// close ends the open order, as soon as no copy of it can arrive any more.
func (c *Core) close(now boottime.Time, outcome Outcome, reason string) []Action {
	if c.adopted && c.fencing && !c.raised {
		// Sending again raises the engine's fencing number, which makes it refuse
		// the former holder's copies; the id makes it harmless.
		c.goTo(phaseSend)
		return nil
	}
	if !c.settled(now) {
		c.phase = phaseObserve
		c.nextAt = c.settles(now)
		return nil
	}
	c.slot.State = resource.SlotClosed
	c.slot.Outcome = string(outcome)
	c.slot.Reason = reason
	c.goTo(phaseClose)
	return nil
}

// settles is when to look again at an order that is not settled.
func (c *Core) settles(now boottime.Time) boottime.Time {
	at := max(c.doubtful, now.Add(c.cfg.PollEvery))
	if c.adopted && !c.fencing {
		at = max(at, c.formerEnds())
	}
	return at
}
