package controller

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/process/audit"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/order"
	"github.com/ragworttrestle/ragworttrestle/internal/process/reconcile"
	"github.com/ragworttrestle/ragworttrestle/internal/version/config"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// The delay before a failed order is retried doubles with each failure, from
// initialRetryDelay up to maxRetryDelay.
const (
	initialRetryDelay = 10 * time.Second
	maxRetryDelay     = 10 * time.Minute
)

// engine is the engine of a configured runner in a zone whose lease this process holds
// or has held.
type engine struct {
	c       *Controller
	name    string // of the runner
	zone    string
	address string // that client calls
	client  upstream.Engine
	core    *order.Core

	state       upstream.State
	polled      bool          // state was read since this process last began to lead the zone
	readAt      boottime.Time // start of the read that returned state
	failedPolls int           // consecutive failed polls
	polling     bool
	pollAt      boottime.Time // when the next poll is due

	phase   reconcile.Phase // in the last plan
	phaseAt boottime.Time   // when a plan first had this phase
	settled bool            // the last plan had no step for the engine except the status "serving"

	// The last failed order, without ID and Fence, and when it may be retried. An order
	// that is done clears these fields.
	failedOrder   upstream.Order
	failureReason string
	retryAt       boottime.Time
	retryDelay    time.Duration
}

// updateEngines adds an engine for each runner of the zones that this process leads,
// updates their addresses and properties, and removes the engines whose runners are no
// longer configured.
func (c *Controller) updateEngines(s *config.Snapshot) {
	defer c.resetZoneEngines()
	for name, e := range c.engines {
		if _, ok := s.Runners[name]; !ok {
			e.step(order.Revoked{})
			e.closeClient()
			delete(c.engines, name)
		}
	}
	for name, r := range s.Runners {
		z := c.zones[r.Zone]
		if z == nil || z.grant == nil {
			continue
		}
		e := c.engines[name]
		if e == nil || e.zone != r.Zone {
			e = c.newEngine(name, r.Zone)
			c.engines[name] = e
			e.step(*z.grant)
		}
		e.setClient(r.Address)
		class, _ := s.EngineOf(name)
		e.step(order.Engine{ChecksFencing: class.ChecksFencing})
	}
}

// resetZoneEngines makes each zone rebuild its cached list of engines.
func (c *Controller) resetZoneEngines() {
	for _, z := range c.zones {
		z.engineList = nil
	}
}

func (c *Controller) newEngine(name, zone string) *engine {
	return &engine{c: c, name: name, zone: zone, core: order.New(order.Config{
		Runner:        name,
		Holder:        c.self.Name,
		Incarnation:   c.incarnation,
		OrderLifetime: c.orderLifetime(),
	})}
}

// orderLifetime returns the maximum time that an order may be in flight on a
// connection.
func (c *Controller) orderLifetime() time.Duration {
	return time.Duration(c.cfg.Settings.Lease.OrderLifeMS) * time.Millisecond
}

// setClient creates a client for the address, unless the current client has the same.
func (e *engine) setClient(address string) {
	if e.client != nil && e.address == address {
		return
	}
	e.closeClient()
	e.address = address
	if e.c.cfg.Engine != nil {
		e.client = e.c.cfg.Engine(e.name, address)
		return
	}
	e.client = upstream.NewHTTP(address, upstream.HTTPOptions{
		Name: e.name, OrderLifetime: e.c.orderLifetime(), UserTimeout: e.c.orderLifetime(),
	})
}

// closeClient closes the client if it can be closed.
func (e *engine) closeClient() {
	if closer, ok := e.client.(io.Closer); ok {
		closer.Close()
	}
}

// step passes an event to the order core and performs the actions that it returns.
func (e *engine) step(event order.Event) {
	for _, action := range e.core.Step(boottime.Now(), event) {
		switch a := action.(type) {
		case order.ReadSlot:
			e.c.slotReads = append(e.c.slotReads, slotReadRequest{e})
		case order.WriteSlot:
			e.writeSlot(a)
		case order.ReadState:
			e.readState()
		case order.SendOrder:
			e.sendOrder(a.Order)
		case order.Opened:
			e.recordOpened(a)
		case order.Adopted:
			e.recordAdopted(a)
		case order.Finished:
			e.recordFinished(a)
		}
	}
}

func (e *engine) writeSlot(a order.WriteSlot) {
	e.c.runIO(func(ctx context.Context) func() {
		version, res := e.c.writeObject(ctx, resource.KindOrderSlot, e.name, a.Base, a.Nonce, a.Slot)
		return func() { e.handleSlotWrite(version, res) }
	})
}

func (e *engine) handleSlotWrite(version uint64, res writeResult) {
	switch res {
	case writeSucceeded:
		e.step(order.SlotWritten{Version: version})
	case writeConflicted:
		e.step(order.SlotWriteFailed{Failure: order.FailedConflict})
	case writeUnavailable:
		e.step(order.SlotWriteFailed{Failure: order.FailedUnavailable})
	case writeUnknown:
		e.step(order.SlotWriteFailed{Failure: order.FailedUnknown})
	}
}

func (e *engine) readState() {
	client := e.client
	startedAt := boottime.Now()
	e.c.runIO(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, pollTimeout)
		defer cancel()
		state, err := client.State(ctx)
		return func() {
			if err != nil {
				e.step(order.StateFailed{})
				return
			}
			e.setState(state, startedAt)
			e.step(order.StateRead{State: state})
		}
	})
}

// sendOrder sends an order if this process still holds the lease under whose epoch the
// order was opened. The client must not write to the connection at or after the end of
// the lease or of the order's lifetime, whichever is earlier. Otherwise a process that
// was paused after the check of the lease could send the order late.
func (e *engine) sendOrder(o upstream.Order) {
	now := boottime.Now()
	z := e.c.zones[e.zone]
	epoch, until, ok := z.lease.CanSendOrders(now)
	if !ok || epoch != o.Fence {
		e.step(order.Sent{Result: order.SendNotSent})
		return
	}
	until = min(until, now.Add(e.c.orderLifetime()))
	e.c.meters.ordersSent.Inc(1)
	logline.Info("order sent", "order", o.ID, "runner", e.name, "action", o.Action, "epoch", o.Fence)
	client := e.client
	e.c.runIO(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(upstream.WithOrderDeadline(ctx, until), e.c.orderLifetime())
		defer cancel()
		state, err := client.Order(ctx, o)
		return func() { e.handleSendResult(o, state, err) }
	})
}

func (e *engine) handleSendResult(o upstream.Order, state upstream.State, err error) {
	sent := order.Sent{State: state}
	if err != nil {
		sent = order.Sent{Result: sendResult(err), Detail: err.Error()}
		logline.Info("order not confirmed", "order", o.ID, "runner", e.name, "error", err)
		e.c.explain.add(o.ID, "send: "+err.Error())
	}
	if sent.Result == order.SendBroken {
		e.c.meters.ordersBroken.Inc(1)
	}
	e.step(sent)
}

// sendResult classifies the error of a send. An error that does not prove whether
// the engine got the order counts as broken.
func sendResult(err error) order.SendResult {
	switch {
	case errors.Is(err, upstream.ErrStaleFence):
		return order.SendStaleFence
	case errors.Is(err, upstream.ErrBusy):
		return order.SendBusy
	}
	if _, refused := upstream.RefusalCodeOf(err); refused || errors.Is(err, upstream.ErrUnsupported) {
		return order.SendRefused
	}
	if errors.Is(err, upstream.ErrNotRun) {
		return order.SendNotSent
	}
	return order.SendBroken
}

func (e *engine) recordOpened(a order.Opened) {
	e.c.record(a.Order.ID, audit.Entry{
		Kind: audit.ChangeOrder, Object: "Runner/" + e.name, To: describeOrder(a.Order),
		Why: a.Reason, Epoch: a.Order.Fence, Outcome: "opened",
	})
}

func (e *engine) recordAdopted(a order.Adopted) {
	e.c.record(a.Order.ID, audit.Entry{
		Kind: audit.ChangeOrder, Object: "Runner/" + e.name, From: a.PreviousHolder, To: e.c.self.Name,
		Why: "an order of a former holder is under way", Epoch: a.Order.Fence, Outcome: "taken over",
	})
}

// recordFinished records the outcome of an order and sets or clears its retry time. It
// then has the engine polled and the zones reconciled at once, except for an order that
// was not opened.
func (e *engine) recordFinished(a order.Finished) {
	e.c.meters.countFinished(string(a.Outcome))
	requested := a.Order
	requested.ID, requested.Fence = "", 0
	switch a.Outcome {
	case order.OutcomeFailed:
		e.retryDelay = min(max(2*e.retryDelay, initialRetryDelay), maxRetryDelay)
		e.failedOrder, e.failureReason = requested, a.Reason
		e.retryAt = boottime.Now().Add(e.retryDelay)
	case order.OutcomeDone:
		e.failedOrder, e.failureReason, e.retryAt, e.retryDelay = upstream.Order{}, "", 0, 0
	case order.OutcomeRefused:
		e.c.explain.add(e.name, "order not opened: "+a.Reason)
		return
	}
	logline.Info("order finished", "order", a.Order.ID, "runner", e.name, "outcome", a.Outcome, "reason", a.Reason)
	e.c.record(a.Order.ID, audit.Entry{
		Kind: audit.ChangeOrder, Object: "Runner/" + e.name, To: describeOrder(a.Order),
		Why: a.Reason, Epoch: a.Order.Fence, Outcome: string(a.Outcome),
	})
	e.pollAt = 0
	e.c.reconcileAt = 0
}

// describeOrder returns the action and the arguments of an order for the audit trail.
func describeOrder(o upstream.Order) string {
	s := string(o.Action)
	for _, part := range []string{string(o.Role), o.Model, o.Version, o.Adapter} {
		if part != "" {
			s += " " + part
		}
	}
	return s
}

// observedState returns the engine's state as input for the reconciler.
func (e *engine) observedState() reconcile.Observed {
	o := reconcile.Observed{
		Reachable: e.polled && e.failedPolls < unreachableAfterFailures,
		State:     e.state,
		Failed:    e.failedOrder, FailureReason: e.failureReason, RetryAt: e.retryAt,
	}
	if open, ok := e.core.Open(); ok {
		o.Order = open.ID
	}
	return o
}
