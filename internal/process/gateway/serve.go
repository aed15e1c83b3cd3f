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

// bodyTimeout bounds how long a caller may take to send its body.
const bodyTimeout = 30 * time.Second

// callHandler serves one of the two forms of requests to a model.
func (g *Gateway) callHandler(f form) echo.HandlerFunc {
	return func(e echo.Context) error {
		arrived := time.Now()
		id := uuid.NewString()
		e.Response().Header().Set(headerRequestID, id)
		limitBodyTime(e.Response(), arrived.Add(bodyTimeout))
		c, err := g.prepare(id, arrived, f, e.Response(), e.Request())
		if err != nil {
			g.refusedEarly(id, err)
			return err
		}
		limitBodyTime(e.Response(), time.Time{})
		return g.serve(e.Request().Context(), c, e.Response())
	}
}

// limitBodyTime sets the deadline for reading the body; zero lifts it.
func limitBodyTime(w http.ResponseWriter, at time.Time) {
	// Not every writer has deadlines (a test's recorder has none).
	_ = http.NewResponseController(w).SetReadDeadline(at)
}

// serve carries a prepared call to its end and records it. An error is returned
// only while nothing has been written.
func (g *Gateway) serve(ctx context.Context, c *call, w http.ResponseWriter) error {
	ctx, cancel := g.callContext(ctx, c)
	defer cancel()
	why := g.explain.begin(c.id, c.arrived)
	why.add(c.arrived, "account %s route %s configuration %d version %q priority %d deadline %v prompt %d tokens, %d expected out",
		c.account, c.routeName, c.snapshot.Version, c.version, c.priority, c.remaining(c.arrived), c.promptTokens, c.expectedOut)
	if err := g.cores.reserve(c.arrived, c.account, c.accountSpec, c.reserved()); err != nil {
		why.add(time.Now(), "refused by the account's limits: %v", err)
		g.finish(c, nil, why, errkind.From(err))
		return err
	}
	defer func() { g.cores.unreserve(time.Now(), c.account, c.reserved()) }()
	x := newExecution(g, c, newAnswer(ctx, c, w), why, c.request(g.cfg.Settings.Instance.Zone))
	final := x.run(ctx)
	g.finish(c, x, why, final)
	if final == nil {
		x.whole()
		return nil
	}
	if x.out.Begun() {
		x.out.Fail(final)
		return nil
	}
	return final
}

// callContext ends when the caller leaves, when its own deadline passes, and
// when a planned stop reaches its bound.
func (g *Gateway) callContext(ctx context.Context, c *call) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(g.hardStop, func() { cancel(errDrainBound) })
	end := func() {
		stop()
		cancel(context.Canceled)
	}
	if !c.deadlineAsked {
		return ctx, end
	}
	timer := time.AfterFunc(time.Until(c.deadline), func() { cancel(errDeadline) })
	return ctx, func() {
		timer.Stop()
		end()
	}
}

// run admits the call and executes it.
func (x *execution) run(ctx context.Context) *errkind.Error {
	choice, refusal := route.Choice{}, x.held()
	if refusal == nil {
		choice, refusal = x.admitted(ctx)
	}
	if x.call.key != "" {
		return x.runKeyed(ctx, choice, refusal)
	}
	if refusal != nil {
		return refusal
	}
	u := &unkeyed{execution: x}
	return u.run(ctx, choice)
}

// admitted waits for admission. A refusal is truly not-run: nothing was sent.
func (x *execution) admitted(ctx context.Context) (route.Choice, *errkind.Error) {
	g := x.g
	now := time.Now()
	decision := g.cores.arrive(now, x.request)
	select {
	case a := <-decision:
		return x.noted(a.Choice, a.Err)
	default:
	}
	x.why.add(now, "waits in the queue")
	select {
	case a := <-decision:
		return x.noted(a.Choice, a.Err)
	case <-ctx.Done():
	}
	if !g.cores.leave(time.Now(), x.call.id) {
		a := <-decision // it came first; finish ends what it counted
		if a.Err != nil {
			return x.noted(nil, a.Err)
		}
	}
	return route.Choice{}, x.interrupted(ctx)
}

// noted writes the decision down.
func (x *execution) noted(choice *route.Choice, refusal *errkind.Error) (route.Choice, *errkind.Error) {
	now := time.Now()
	if refusal != nil {
		x.why.add(now, "refused: %v; %s", refusal, x.g.cores.explain(now, x.request))
		return route.Choice{}, refusal
	}
	p := choice.Predicted
	x.why.add(now, "chose %s prefill %q: %s; predicted first token %v, whole %v, %d tokens cached",
		choice.Runner, choice.Prefill, choice.Reason, p.FirstToken, p.Whole, p.CachedTokens)
	return *choice, nil
}
