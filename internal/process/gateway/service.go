package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/request/quarantine"
	"github.com/ragworttrestle/ragworttrestle/internal/request/retry"
	"github.com/ragworttrestle/ragworttrestle/internal/request/route"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// maxReplayBytes is the size, in bytes, of the largest body without an idempotency key that
// is kept in memory so that it can be sent again. A larger body, or one of unknown length, is
// streamed and can be sent only once.
const maxReplayBytes = 64 << 10

// relayBufferBytes is the size, in bytes, of the buffer through which a service's answer is
// copied to the caller.
const relayBufferBytes = 32 << 10

// serviceCall is one call of a caller to a plain service. It keeps the route and the service
// as they were configured when the call arrived.
type serviceCall struct {
	g          *Gateway
	id         string
	arrived    time.Time
	account    string
	routeName  string
	route      resource.Route
	service    resource.Service
	idempotent bool   // the route declares the method idempotent
	key        string // Idempotency-Key; "": none
	firstSend  bool   // the caller states that it sends the key for the first time

	w            http.ResponseWriter
	r            *http.Request
	body         []byte      // the whole body, if replayable
	replayable   bool        // the body is buffered and can be sent again
	streamedBody *callerBody // the body, if not replayable; else nil

	explain         *explanation
	excluded        []string               // upstreams that are not to be chosen any more
	upstream        string                 // name of the upstream of the last send; "": none yet
	attempts        int                    // number of sends
	sentAt          time.Time              // time of the last send
	address         string                 // of the upstream of the last send, a base URL
	zone            string                 // of the upstream of the last send
	livenessConn    *upstream.LivenessConn // connection that shows whether the upstream of the last send exits; nil: none
	runState        errkind.RunState       // of all attempts, combined by retry.CombineRunStates
	responseStarted bool                   // the status line was sent to the caller
}

// handleService is the handler for calls to plain services. It serves all paths outside the
// models API. On hosts that a route assigns to a plain service, it also serves the paths of
// the models API.
func (g *Gateway) handleService(e echo.Context) error {
	arrived := time.Now()
	id := uuid.NewString()
	e.Response().Header().Set(headerRequestID, id)
	c, spec, err := g.prepareService(id, arrived, e.Response(), e.Request())
	if err != nil {
		g.recordEarlyRefusal(id, err)
		return err
	}
	c.explain = g.explain.begin(id, arrived)
	c.explain.add(arrived, "account %s route %s service %s method %s idempotent %v", c.account, c.routeName, c.route.Service, c.r.Method, c.idempotent)
	if err := g.dispatcher.reserve(arrived, c.account, spec, 0); err != nil {
		c.finish(errkind.From(err))
		return err
	}
	defer func() { g.dispatcher.releaseReservation(time.Now(), c.account, 0) }()
	return c.serve()
}

// prepareService authenticates and validates a call to a plain service. It returns the call
// and the client account that makes it. Nothing is sent to an upstream before it succeeds.
func (g *Gateway) prepareService(id string, arrived time.Time, w http.ResponseWriter, r *http.Request) (*serviceCall, resource.ClientAccount, error) {
	var account resource.ClientAccount
	s := g.snapshot()
	if s == nil {
		return nil, account, noConfigurationError()
	}
	c := &serviceCall{g: g, id: id, arrived: arrived, w: w, r: r, runState: errkind.NotRun}
	var err error
	if c.account, account, err = authenticate(s, r.Header); err != nil {
		return nil, account, err
	}
	var ok bool
	if c.routeName, c.route, ok = serviceRoute(s, r.Host, r.URL.Path); !ok {
		return nil, account, errkind.Field(errkind.NotFound, "path", "no route serves this host and path")
	}
	if !mayUse(account, c.routeName) {
		return nil, account, errkind.Field(errkind.PermissionDenied, "path", "the client account may not use this route")
	}
	c.service = s.Services[c.route.Service]
	c.idempotent = idempotentMethod(c.route, r.Method)
	if c.key, err = idempotencyKey(r.Header); err != nil {
		return nil, account, err
	}
	if c.firstSend, err = firstSend(r.Header, c.key); err != nil {
		return nil, account, err
	}
	return c, account, c.prepareBody()
}

// prepareBody reads a body of up to maxReplayBytes into memory, so that it can be sent again,
// and sets up a larger body for streaming. The body of a call with an idempotency key is
// always read into memory, because the claim needs its hash. It returns an error if the body
// is larger than the configured limit or can't be read.
func (c *serviceCall) prepareBody() error {
	limit := c.g.cfg.Settings.Limits.BodyBytes
	if c.r.ContentLength > limit {
		return bodyTooLargeError(limit)
	}
	if c.key == "" && (c.r.ContentLength < 0 || c.r.ContentLength > maxReplayBytes) {
		c.streamedBody = newCallerBody(c.w, c.r.Body, limit)
		return nil
	}
	setReadDeadline(c.w, c.arrived.Add(bodyTimeout))
	raw, err := readBody(c.w, c.r, c.account, limit)
	if err != nil {
		return err
	}
	setReadDeadline(c.w, time.Time{})
	c.body, c.replayable = raw, true
	return nil
}

// context returns a context that ends when the caller disconnects, when the deadline set
// by the caller passes, or when draining times out. A call without a deadline from its caller
// has none. It returns an error if the deadline header is invalid.
func (c *serviceCall) context() (context.Context, context.CancelFunc, error) {
	limit, err := deadlineOf(c.r.Header, 0, 0)
	if err != nil {
		return nil, nil, err
	}
	deadlineCall := &call{arrived: c.arrived, deadline: c.arrived.Add(limit), explicitDeadline: limit > 0}
	ctx, cancel := c.g.callContext(c.r.Context(), deadlineCall)
	return ctx, cancel, nil
}

// serve executes a prepared call and records its end. It returns an error only if no part of
// the answer was sent. If the answer broke off, it panics with http.ErrAbortHandler, which
// aborts the connection.
func (c *serviceCall) serve() error {
	ctx, cancel, err := c.context()
	if err != nil {
		c.finish(errkind.From(err))
		return err
	}
	defer cancel()
	var final *errkind.Error
	if c.key != "" {
		final = c.runKeyed(ctx)
	} else {
		final = c.run(ctx)
	}
	c.finish(final)
	if final == nil {
		c.reportSuccess()
		return nil
	}
	if c.responseStarted {
		// The status was sent, so only an aborted transfer shows that the answer is incomplete.
		panic(http.ErrAbortHandler)
	}
	return final
}

// run executes a call without an idempotency key. After a failure it sends the call to another
// upstream if retry.Decide allows it. It returns nil if the answer is complete.
func (c *serviceCall) run(ctx context.Context) *errkind.Error {
	for {
		if refusal := c.holdRefusal(); refusal != nil {
			return c.notSentError(refusal)
		}
		picked, ok := c.g.dispatcher.acquireService(time.Now(), c.service, c.excluded, route.SeedOf(c.id))
		if !ok {
			return c.noUpstreamError()
		}
		err := c.attempt(ctx, picked)
		if err == nil {
			return nil
		}
		if final := c.interruption(ctx); final != nil {
			return final
		}
		now := time.Now()
		c.excluded = append(c.excluded, picked.Name)
		if errors.Is(err, errUpstreamLeaving) {
			c.explain.add(now, "not sent to %s: %v", picked.Name, err)
			continue // not a retry, as nothing was sent
		}
		action := c.nextAction(now)
		c.explain.add(now, "%s after failure at %s: %v", action, picked.Name, err)
		if action != retry.SendElsewhere && action != retry.RunAgain || !c.g.dispatcher.consumeRetry(now) {
			return c.finalError(action, err)
		}
		c.g.metrics.retries.Inc(1)
	}
}

// notSentError returns the final error of a call that is not sent, or not sent again, because
// its content is held. If an earlier attempt may have run, the outcome is unknown.
func (c *serviceCall) notSentError(refusal *errkind.Error) *errkind.Error {
	if c.runState == errkind.NotRun {
		return refusal
	}
	return errkind.Wrap(refusal, errkind.OutcomeUnknown, c.runState, "the call may have run")
}

// noUpstreamError returns the final error of a call for which no usable upstream is left.
func (c *serviceCall) noUpstreamError() *errkind.Error {
	if c.runState == errkind.NotRun {
		return errkind.New(errkind.NoUpstream, errkind.NotRun, "no upstream of the service can serve the call now").WithRetryAfter(retryAfterRefusal)
	}
	return errkind.New(errkind.OutcomeUnknown, c.runState, "the call may have run and no other upstream can serve it")
}

// nextAction decides what to do after a failed attempt. A streamed body can be sent to another
// upstream only if nothing was read from it.
func (c *serviceCall) nextAction(now time.Time) retry.Action {
	f := retry.Failure{
		Run:            c.runState,
		Idempotent:     c.idempotent && !c.responseStarted,
		Budget:         c.g.dispatcher.retryAllowed(now),
		TimeLeft:       true, // the context ends at the deadline
		HasAlternative: c.replayable || !c.streamedBody.started(),
	}
	if c.responseStarted {
		f.TokensSent = 1
	}
	return retry.Decide(f)
}

// finalError returns the caller's error after the last attempt. action is what nextAction
// decided, and err is the error of that attempt.
func (c *serviceCall) finalError(action retry.Action, err error) *errkind.Error {
	switch {
	case isBodyTooLarge(err):
		return errkind.Wrap(err, errkind.RequestTooLarge, c.runState, "the body is too large, which showed only while it was sent")
	case c.runState == errkind.NotRun:
		return errkind.Wrap(err, errkind.NoUpstream, errkind.NotRun, "no upstream of the service could be reached").WithRetryAfter(retryAfterRefusal)
	case c.responseStarted:
		return errkind.Wrap(err, errkind.AnswerIncomplete, errkind.Ran, "the answer broke off")
	case action == retry.AnswerBroken:
		return errkind.Wrap(err, errkind.UpstreamFailed, errkind.Ran, "the upstream failed while the call ran")
	}
	return errkind.Wrap(err, errkind.OutcomeUnknown, errkind.RunUnknown, "the call may or may not have run")
}

// attempt sends the call to one upstream and relays its answer. It releases the upstream that
// acquireService counted.
func (c *serviceCall) attempt(ctx context.Context, u resource.ServiceUpstream) error {
	defer c.g.dispatcher.releaseService(u.Name)
	if err := c.g.checkServiceNotLeaving(c.route.Service, u.Name); err != nil {
		return err
	}
	defer c.closeLivenessConn()
	answer, err := c.forward(ctx, u)
	if err != nil {
		return err
	}
	return c.relay(answer)
}

// forward sends the call to an upstream and records the outcome. If it returns no error, the
// status and header of the answer have arrived and its body can be read.
func (c *serviceCall) forward(ctx context.Context, u resource.ServiceUpstream) (upstream.ServiceResponse, error) {
	c.upstream = u.Name
	c.attempts++
	c.explain.add(time.Now(), "sent to %s", u.Name)
	c.address, c.zone = u.Address, u.Zone
	c.openLivenessConn(ctx)
	c.sentAt = time.Now()
	answer, err := c.g.services.Forward(ctx, c.upstreamRequest(u))
	now := time.Now()
	if err == nil {
		c.runState = errkind.Ran
		c.g.dispatcher.upstreamSucceeded(now, u.Name)
		c.g.holds.UpstreamAlive(quarantine.Incarnation(u.Name), c.sentAt)
		return answer, nil
	}
	if !provesNotRun(err) {
		c.runState = retry.CombineRunStates(c.runState, errkind.RunUnknown)
	}
	if ctx.Err() == nil && !isBodyTooLarge(err) {
		c.g.upstreamFailed(u.Name, err)
		c.reportBrokenSend(err)
	}
	return answer, err
}

// upstreamRequest returns the request for the upstream. It removes the Authorization header,
// because that holds the key of the client account.
func (c *serviceCall) upstreamRequest(u resource.ServiceUpstream) upstream.ServiceCall {
	h := c.r.Header.Clone()
	h.Del("Authorization")
	h.Set(headerRequestID, c.id)
	out := upstream.ServiceCall{
		Address:       u.Address,
		Method:        c.r.Method,
		Path:          c.r.URL.EscapedPath(),
		RawQuery:      c.r.URL.RawQuery,
		Host:          c.r.Host,
		Header:        h,
		ContentLength: c.r.ContentLength,
	}
	if c.replayable {
		out.Body, out.ContentLength = bytes.NewReader(c.body), int64(len(c.body))
		return out
	}
	out.Body = c.streamedBody
	return out
}

// relay copies an answer to the caller and flushes each piece when it arrives. It returns nil
// once the answer is complete.
func (c *serviceCall) relay(a upstream.ServiceResponse) error {
	defer a.Body.Close()
	h := c.w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	h.Set(headerRequestID, c.id)
	c.responseStarted = true
	c.w.WriteHeader(a.Status)
	rc := http.NewResponseController(c.w)
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := a.Body.Read(buf)
		if n > 0 {
			_ = rc.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, werr := c.w.Write(buf[:n]); werr != nil {
				return callerGoneError(c.r.Context(), errkind.Ran)
			}
			if ferr := rc.Flush(); ferr != nil && !errors.Is(ferr, http.ErrNotSupported) {
				return callerGoneError(c.r.Context(), errkind.Ran)
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			if c.r.Context().Err() == nil {
				c.reportBrokenSend(err)
			}
			return err
		}
	}
}

// interruption returns the final error if the context has ended, else nil.
func (c *serviceCall) interruption(ctx context.Context) *errkind.Error {
	return contextError(ctx, c.runState)
}

// finish records the end of the call in the metrics, the log and the explanation. final is nil
// if the answer is complete.
func (c *serviceCall) finish(final *errkind.Error) {
	now := time.Now()
	outcome, run := outcomeWhole, errkind.Ran
	if final != nil {
		outcome, run = string(final.Kind), final.Run
	}
	c.g.metrics.serviceCallFinished(c.routeName, outcome, now.Sub(c.arrived))
	c.explain.add(now, "end: %s run %s", outcome, run)
	logline.Info("request", "request", c.id, "account", c.account, "route", c.routeName, "outcome", outcome, "run", run,
		"ms", now.Sub(c.arrived).Milliseconds(), "upstream", c.upstream, "attempts", c.attempts)
}
