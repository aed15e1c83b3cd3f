package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/request/route"
)

// bodyTimeout bounds how long a caller may take to send a body that is read into memory, and each read of a
// streamed body.
const bodyTimeout = 30 * time.Second

// completionHandler returns the handler of one of the two endpoints for requests to models.
func (g *Gateway) completionHandler(ep endpoint) echo.HandlerFunc {
	return func(e echo.Context) error {
		arrived := time.Now()
		id := uuid.NewString()
		e.Response().Header().Set(headerRequestID, id)
		setReadDeadline(e.Response(), arrived.Add(bodyTimeout))
		c, err := g.prepare(id, arrived, ep, e.Response(), e.Request())
		if err != nil {
			g.recordEarlyRefusal(id, err)
			return err
		}
		setReadDeadline(e.Response(), time.Time{})
		return g.serve(e.Request().Context(), c, e.Response())
	}
}

// setReadDeadline sets the deadline for reading the body; the zero time removes it.
func setReadDeadline(w http.ResponseWriter, at time.Time) {
	// Not every writer supports deadlines (httptest.ResponseRecorder doesn't).
	_ = http.NewResponseController(w).SetReadDeadline(at)
}

// serve executes a prepared call and records its end. It returns an error only if no part of the answer was
// written; a failure after that is reported within the answer.
func (g *Gateway) serve(ctx context.Context, c *call, w http.ResponseWriter) error {
	ctx, cancel := g.callContext(ctx, c)
	defer cancel()
	explain := g.explain.begin(c.id, c.arrived)
	explain.add(c.arrived, "account %s route %s configuration %d version %q priority %d deadline %v prompt %d tokens, %d expected out",
		c.account, c.routeName, c.snapshot.Version, c.version, c.priority, c.remaining(c.arrived), c.promptTokens, c.expectedOut)
	if err := g.dispatcher.reserve(c.arrived, c.account, c.accountSpec, c.reservedTokens()); err != nil {
		explain.add(time.Now(), "refused by the account's limits: %v", err)
		g.finish(c, nil, explain, errkind.From(err))
		return err
	}
	defer func() { g.dispatcher.releaseReservation(time.Now(), c.account, c.reservedTokens()) }()
	x := newExecution(g, c, newResponse(ctx, c, w), explain, c.request(g.cfg.Settings.Instance.Zone))
	final := x.run(ctx)
	g.finish(c, x, explain, final)
	if final == nil {
		x.reportSuccess()
		return nil
	}
	if x.out.Started() {
		x.out.Fail(final)
		return nil
	}
	return final
}

// callContext returns a context that ends when ctx ends (the caller disconnects), when the deadline set by
// the caller passes, or when draining times out. Its cause tells which.
func (g *Gateway) callContext(ctx context.Context, c *call) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(g.abortCtx, func() { cancel(errDrainTimeout) })
	end := func() {
		stop()
		cancel(context.Canceled)
	}
	if !c.explicitDeadline {
		return ctx, end
	}
	timer := time.AfterFunc(time.Until(c.deadline), func() { cancel(errDeadlinePassed) })
	return ctx, func() {
		timer.Stop()
		end()
	}
}

// run waits for admission and executes the call. It returns nil if the answer is complete.
func (x *execution) run(ctx context.Context) *errkind.Error {
	choice, refusal := route.Choice{}, x.holdRefusal()
	if refusal == nil {
		choice, refusal = x.awaitAdmission(ctx)
	}
	if x.call.key != "" {
		return x.runKeyed(ctx, choice, refusal)
	}
	if refusal != nil {
		return refusal
	}
	u := &unkeyedExecution{execution: x}
	return u.run(ctx, choice)
}

// awaitAdmission waits for the admission decision or the end of ctx. It returns the choice of a runner, or
// an error with run state not-run, because nothing was sent.
func (x *execution) awaitAdmission(ctx context.Context) (route.Choice, *errkind.Error) {
	g := x.g
	now := time.Now()
	decision := g.dispatcher.requestAdmission(now, x.request)
	select {
	case a := <-decision:
		return x.recordDecision(a.Choice, a.Err)
	default:
	}
	x.explain.add(now, "waits in the queue")
	select {
	case a := <-decision:
		return x.recordDecision(a.Choice, a.Err)
	case <-ctx.Done():
	}
	if !g.dispatcher.leaveQueue(time.Now(), x.call.id) {
		a := <-decision // the decision came first; if it admitted the call, finish removes the counted send
		if a.Err != nil {
			return x.recordDecision(nil, a.Err)
		}
	}
	return route.Choice{}, x.interruption(ctx)
}

// recordDecision adds the admission decision to the explanation and returns it. Exactly one of its arguments
// is nil.
func (x *execution) recordDecision(choice *route.Choice, refusal *errkind.Error) (route.Choice, *errkind.Error) {
	now := time.Now()
	if refusal != nil {
		x.explain.add(now, "refused: %v; %s", refusal, x.g.dispatcher.explain(now, x.request))
		return route.Choice{}, refusal
	}
	p := choice.Predicted
	x.explain.add(now, "chose %s prefill %q: %s; predicted first token %v, whole %v, %d tokens cached",
		choice.Runner, choice.Prefill, choice.Reason, p.FirstToken, p.Total, p.CachedTokens)
	return *choice, nil
}
