package order

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// recordSend records, if a send broke off, until when a copy of the order may arrive.
func (c *Core) recordSend(s Sent) {
	if s.Result == SendBroken {
		c.brokenSendEnd = max(c.brokenSendEnd, c.sentAt.Add(c.cfg.OrderLifetime))
	}
}

// handleSent processes the result of a send.
func (c *Core) handleSent(now boottime.Time, s Sent) []Action {
	if c.phase != phaseSend {
		return nil
	}
	switch s.Result {
	case SendAnswered:
		c.fenceRaised = true
		c.goTo(phaseObserve)
		out := c.handleState(now, s.State)
		if c.phase == phaseSend {
			c.backOff(now) // answered, but the order was not accepted
		}
		return out
	case SendNotSent:
		c.backOff(now)
	case SendBroken:
		c.goTo(phaseObserve)
		c.nextAt = now.Add(c.cfg.PollInterval)
	case SendStaleFence:
		c.phase = phaseSuperseded
	case SendBusy:
		c.goTo(phaseObserve)
		c.nextAt = now.Add(c.cfg.PollInterval)
	case SendRefused:
		c.fenceRaised = true // the engine refuses a copy of the order as well
		return c.close(now, OutcomeFailed, "the engine refused the order: "+s.Detail)
	}
	return nil
}

// handleState processes the engine's state.
func (c *Core) handleState(now boottime.Time, s upstream.State) []Action {
	switch c.phase {
	case phaseCheck:
		return c.openIfFree(s)
	case phaseObserve:
		return c.evaluateState(now, s)
	}
	return nil
}

// openIfFree opens the slot for the requested order if the engine is free.
func (c *Core) openIfFree(s upstream.State) []Action {
	reason := ""
	switch {
	case c.abandonReason != "":
		reason = c.abandonReason
	case s.OrderStatus == upstream.OrderRunning:
		reason = "the engine executes order " + s.OrderID
	case s.Streams > 0:
		reason = fmt.Sprintf("%d requests are queued or running", s.Streams)
	}
	w := c.requested
	if reason != "" {
		c.goTo(phaseIdle)
		c.requested = nil
		return []Action{Finished{Order: w.Order, Outcome: OutcomeRefused, Reason: reason}}
	}
	order := w.Order
	serial := max(c.slot.Serial, serialOf(c.cfg.Runner, s.OrderID)) + 1
	order.ID = c.cfg.Runner + "-" + strconv.FormatUint(serial, 10)
	order.Fence = c.granted.Epoch
	c.slot = resource.OrderSlot{
		State: resource.SlotOpen, Epoch: c.granted.Epoch, Holder: c.cfg.Holder,
		Order: order, Reason: w.Reason, Serial: serial,
	}
	c.startedBy, c.restarts, c.fenceRaised = "", 0, false
	c.goTo(phaseOpen)
	return nil
}

// serialOf returns the serial of an order id of the runner, or zero if the id has
// none.
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

// evaluateState decides the next action on the open order from the engine's state.
func (c *Core) evaluateState(now boottime.Time, s upstream.State) []Action {
	c.retryWait = 0
	c.nextAt = now.Add(c.cfg.PollInterval)
	c.fenceRaised = c.fenceRaised || s.Fence >= c.granted.Epoch
	if s.OrderID == c.slot.Order.ID {
		c.startedBy = s.Incarnation
		switch s.OrderStatus {
		case upstream.OrderDone:
			return c.close(now, OutcomeDone, c.slot.Reason)
		case upstream.OrderFailed:
			return c.close(now, OutcomeFailed, "the engine failed the order")
		}
		return nil
	}
	if s.OrderStatus == upstream.OrderRunning {
		return nil // the engine has to end another order first
	}
	if c.startedBy != "" && c.startedBy != s.Incarnation {
		c.startedBy = ""
		c.restarts++
	}
	if c.restarts >= maxRestarts {
		return c.close(now, OutcomeFailed, fmt.Sprintf("the engine restarted %d times in the middle of the order", c.restarts))
	}
	if c.abandonReason != "" && c.sendsEnded(now) {
		return c.close(now, OutcomeRolledBack, c.abandonReason)
	}
	if !c.fencing && c.adopted && now.Before(c.formerSendsEnd()) {
		c.nextAt = c.formerSendsEnd()
		return nil // a former holder's copy may still arrive
	}
	if s.Streams > 0 {
		return c.handleRequests(now, s.Streams)
	}
	c.goTo(phaseSend)
	return nil
}

// handleRequests decides about an open order while the engine runs requests, which
// sending the order would cut off. An order that has certainly not been sent is rolled
// back. Any other order waits until the requests have ended.
func (c *Core) handleRequests(now boottime.Time, requests int) []Action {
	if c.sends == 0 && !c.adopted {
		return c.close(now, OutcomeRolledBack, fmt.Sprintf("%d requests came in before the order was sent", requests))
	}
	return nil
}

// sendsEnded reports whether no copy of the open order can take effect any more: none can
// arrive, or the engine refuses those of a former holder because the fence was raised.
func (c *Core) sendsEnded(now boottime.Time) bool {
	if now.Before(c.brokenSendEnd) {
		return false
	}
	if !c.adopted {
		return true
	}
	if c.fencing {
		return c.fenceRaised
	}
	return !now.Before(c.formerSendsEnd())
}

// close starts closing the slot with an outcome, if no copy of the open order can take
// effect any more. Otherwise the slot stays open: close has the order sent again if that
// is needed to raise the engine's fencing number, or else schedules the next read of the
// state, after which the outcome is decided again.
func (c *Core) close(now boottime.Time, outcome Outcome, reason string) []Action {
	if c.adopted && c.fencing && !c.fenceRaised {
		// Sending again raises the engine's fencing number, so that it refuses the
		// former holder's copies. It is harmless because the order id is the same.
		c.goTo(phaseSend)
		return nil
	}
	if !c.sendsEnded(now) {
		c.phase = phaseObserve
		c.nextAt = c.sendsEndTime(now)
		return nil
	}
	c.slot.State = resource.SlotClosed
	c.slot.Outcome = string(outcome)
	c.slot.Reason = reason
	c.goTo(phaseClose)
	return nil
}

// sendsEndTime returns when to check again whether sendsEnded is true.
func (c *Core) sendsEndTime(now boottime.Time) boottime.Time {
	at := max(c.brokenSendEnd, now.Add(c.cfg.PollInterval))
	if c.adopted && !c.fencing {
		at = max(at, c.formerSendsEnd())
	}
	return at
}
