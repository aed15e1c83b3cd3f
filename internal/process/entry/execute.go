package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/holds"
	"github.com/ragworttrestle/ragworttrestle/internal/process/peers"
	"github.com/ragworttrestle/ragworttrestle/internal/request/exchange"
	"github.com/ragworttrestle/ragworttrestle/internal/request/place"
	"github.com/ragworttrestle/ragworttrestle/internal/request/response"
	"github.com/ragworttrestle/ragworttrestle/internal/request/retry"
)

// maxExtraRefusals is how many more sends than its route's MaxAttempts a request may have if upstreams
// refuse it. A refused request has not run, but each send takes time and counts against the retry
// limit.
const maxExtraRefusals = 2

// Reasons for not sending to an upstream at which a place is held.
var (
	errLeaving    = errors.New("the upstream is leaving")
	errBackingOff = errors.New("the upstream asked for a backoff")
	// errStalePlace: the upstream may have left meanwhile. It isn't excluded from the next choice.
	errStalePlace = errors.New("the place is from before a stall of this process")
	// errOtherSoftware: what the upstream writes doesn't fit to the part of the stream that the caller has.
	errOtherSoftware = errors.New("the upstream has another version of software than the one that began the stream")
)

// sendOutcome is the outcome of one send that is to run a request. The zero value is a failure:
// only completed says that the caller has the response.
type sendOutcome struct {
	completed bool // the whole response was written to the caller
	runState  errkind.RunState
	err       error // nil if and only if completed
	maybeSent bool  // a byte may have reached the upstream
}

// completedOutcome returns the outcome of a send whose whole response reached the caller.
func completedOutcome() sendOutcome { return sendOutcome{completed: true, runState: errkind.Ran} }

// execute runs a request: it acquires a place (a slot at an upstream), has the prompt prefilled by
// another engine if that is better, sends the request, and retries where that is allowed. It
// returns why the request ended, and the error for its caller if no response of an upstream can be.
func (q *request) execute(ctx context.Context) (response.Reason, *errkind.Error) {
	q.e.state.countRequest(boottime.Now(), q.service)
	defer func() { q.keptKV.release(q.e) }() // no engine will fetch the KV cache any more
	defer q.returnRetries()
	defer q.withdrawOrigin()
	q.response.core.ResumeAfter(q.info.LastEvent)
	if q.continuesStream() {
		if refusal := q.resolveOrigin(ctx); refusal != nil {
			return response.NotServed, refusal
		}
	}
	for {
		// Callers retry work that crashed an upstream, with new request ids and at other instances.
		// Without this check, each attempt would crash one more upstream and fail the requests that
		// it serves.
		if refusal := q.holdRefusal(); refusal != nil {
			return q.refused(refusal)
		}
		held, refusal := q.acquirePlace(ctx, q.firstQuery())
		if refusal != nil {
			return q.refused(refusal)
		}
		used, out, refusal := q.attempt(ctx, held)
		if refusal != nil {
			return q.refused(refusal)
		}
		if out.completed {
			q.recordStreamEnd()
			return response.Completed, nil
		}
		q.runState = retry.CombineRunStates(q.runState, out.runState)
		if final := q.contextError(ctx); final != nil {
			return response.Interrupted, final
		}
		if !errors.Is(out.err, errStalePlace) {
			q.excluded = append(q.excluded, used.upstream().Incarnation())
		}
		action := q.decideRetry(out)
		q.logFailedSend(&used.grant.Choice, out, action)
		if action != retry.SendElsewhere && action != retry.RunAgain {
			return response.NotServed, q.finalError(out)
		}
	}
}

// attempt runs the request at the upstream of held, the place that the request got. A place of the kind
// Reserve is at a decoding engine and is reserved for the time after the prefill: attempt then has
// another engine prefill the prompt first. It returns the place that was used, or a refusal if no engine
// had a place for the prefill.
func (q *request) attempt(ctx context.Context, held *heldPlace) (*heldPlace, sendOutcome, *errkind.Error) {
	switch {
	case held.work() == place.Reserve:
		return q.attemptWithPrefill(ctx, held)
	case q.keptKV != nil:
		kv := q.keptKV
		q.keptKV = nil
		defer q.e.release(held)
		return held, q.runWithKV(ctx, held, kv), nil
	}
	return held, q.runAtPlace(ctx, held), nil
}

// runAtPlace runs the request, prefill included, at one place and releases it.
func (q *request) runAtPlace(ctx context.Context, held *heldPlace) sendOutcome {
	defer q.e.release(held)
	return q.send(ctx, held, nil)
}

// attemptWithPrefill has the prompt prefilled by another engine and then runs the request at the
// reserved place. If the place that was found for the prefill is at a decoding engine that has time for
// it, that engine runs the whole request, and the reserved place is released.
func (q *request) attemptWithPrefill(ctx context.Context, reserved *heldPlace) (*heldPlace, sendOutcome, *errkind.Error) {
	e, reservedAt := q.e, time.Now()
	held, refusal := q.acquirePlace(ctx, q.prefillQuery(true))
	if refusal == nil && held.work() == place.LocalPrefill {
		e.release(reserved)
		q.decoderPrefills = true
		return held, q.runAtPlace(ctx, held), nil
	}
	defer func() { e.release(reserved) }()
	if err := q.announceOrigin(ctx, reserved); err != nil {
		if held != nil {
			e.recordEvents(held, place.Event{Kind: place.Abandoned})
			e.release(held)
		}
		return reserved, sendOutcome{runState: errkind.NotRun, err: err}, nil
	}
	prefill := q.runPrefill(ctx, held, refusal)
	if prefill.refusal != nil {
		return reserved, sendOutcome{}, prefill.refusal
	}
	if ctx.Err() != nil {
		prefill.kv.release(e)
		return reserved, sendOutcome{runState: errkind.NotRun, err: context.Cause(ctx)}, nil
	}
	q.reservedFor = time.Since(reservedAt)
	if reserved = q.replaceIfUnusable(ctx, reserved, prefill.kv); reserved.work() == place.Reserve {
		e.recordEvents(reserved, place.Event{Kind: place.Claimed})
	}
	q.decoderPrefills = prefill.kv == nil // the decoding engine can prefill the prompt, too, but takes longer
	return reserved, q.runWithKV(ctx, reserved, prefill.kv), nil
}

// replaceIfUnusable returns the place for the decode. This is the reserved place, or another one if the
// upstream of the reserved place began to leave or to back off during the prefill. Any decoding engine
// can fetch the KV cache, which is still at the engine that prefilled the prompt. If there is no KV cache
// or no other place, replaceIfUnusable returns the reserved place even if its upstream can't be used. The
// function send then sends nothing to that upstream.
func (q *request) replaceIfUnusable(ctx context.Context, reserved *heldPlace, kv *remoteKV) *heldPlace {
	if kv == nil {
		return reserved
	}
	q.e.state.awaitConfirmation(ctx)
	err := q.e.checkUsable(reserved)
	if err == nil {
		return reserved
	}
	if !errors.Is(err, errStalePlace) {
		q.excluded = append(q.excluded, reserved.upstream().Incarnation())
	}
	other, refusal := q.acquirePlace(ctx, q.query(place.Decode))
	if refusal != nil {
		return reserved
	}
	q.e.release(reserved)
	return other
}

// firstQuery returns the query for a place to run the request, or to reserve for the decode if
// another engine prefills the prompt first.
func (q *request) firstQuery() place.Query {
	if q.needsPrefill() {
		return q.query(place.Reserve)
	}
	return q.query(q.work())
}

// recordDemand counts the engine time that a request needs. query is its first query for a place; a
// request to a plain service needs no engine time.
func (e *Entry) recordDemand(now time.Time, query place.Query, route string) {
	if query.Work == place.Serve {
		return
	}
	st := e.state
	st.withTracker(now, func(t *place.Tracker) { t.RecordLongPrompt(now, query.Service) })
	var prefillTime, decoderTime time.Duration
	if query.Prompt.UnsharedTokens >= minPrefillTokens {
		query.Work = place.Prefill
		prefillTime = st.engineTime(now, &query)
	} else {
		query.Work = place.LocalPrefill
		decoderTime = st.engineTime(now, &query)
	}
	e.demand.recordArrival(now, query.Service, route, prefillTime, decoderTime)
}

// acquirePlace waits for a place, the permission to send one request to a chosen upstream. The error says
// that the request was refused or that ctx ended.
func (q *request) acquirePlace(ctx context.Context, query place.Query) (*heldPlace, *errkind.Error) {
	now := time.Now()
	d, held, err := q.findPlaceUntilClosing(ctx, query)
	q.placeWait += time.Since(now)
	if err != nil {
		return nil, err
	}
	if d.Refused != "" {
		q.refusal = &d
		kind := errkind.Overloaded
		switch {
		case d.Refused == peers.SoftwareGone, query.Continues() && !q.e.state.hasSoftware(query.Service, query.Software):
			return nil, errkind.New(errkind.CannotContinue, q.runState, string(peers.SoftwareGone))
		case d.Refused == place.NoUpstream:
			kind = errkind.NoUpstream
		}
		return nil, errkind.New(kind, q.runState, string(d.Refused)).WithRetryAfter(q.retryAfter(now, d.RetryAfter))
	}
	q.e.startup.recordPlace(held.placer)
	return held, nil
}

// findPlaceUntilClosing is findPlace, but refuses a request that hasn't begun when a graceful shutdown reaches stageClosing:
// a response that begins later might be aborted. The error is that of the shutdown or of ctx.
func (q *request) findPlaceUntilClosing(ctx context.Context, query place.Query) (place.Decision, *heldPlace, *errkind.Error) {
	if q.begun() {
		d, held, err := q.findPlace(ctx, query)
		return q.placeOrError(ctx, d, held, err)
	}
	if q.e.closingCtx.Err() != nil {
		return place.Decision{}, nil, drainingRefusal()
	}
	findCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(q.e.closingCtx, cancel)()
	d, held, err := q.findPlace(findCtx, query)
	if err == nil && held != nil && ctx.Err() == nil {
		err = findCtx.Err() // the port may have closed just now
	}
	return q.placeOrError(ctx, d, held, err)
}

// begun reports whether an upstream may have run the request or prefilled its prompt. Upstreams that refused it didn't.
func (q *request) begun() bool { return q.runState != errkind.NotRun || q.prefills > 0 }

// placeOrError returns what findPlace returned, with the final error in place of err, the error of a context. It releases a
// place that came with an error.
func (q *request) placeOrError(ctx context.Context, d place.Decision, held *heldPlace, err error) (place.Decision, *heldPlace, *errkind.Error) {
	if err == nil {
		return d, held, nil
	}
	if held != nil {
		q.e.recordEvents(held, place.Event{Kind: place.Abandoned})
		q.e.release(held)
	}
	if final := q.contextError(ctx); final != nil {
		return d, nil, final
	}
	return d, nil, drainingRefusal()
}

// retryAfter returns the Retry-After of a refused request. expected is the time after which a place is
// likely to be free. If the request has no deadline, or can still meet its objective after that time,
// retryAfter returns expected. Any other request loses nothing by waiting longer, and is more likely to
// find a place later. Its Retry-After is a share of the time left until its deadline. The share differs
// between requests, so that they don't return together.
func (q *request) retryAfter(now time.Time, expected time.Duration) time.Duration {
	left, limited := q.timeLeft(now)
	if !limited || (q.route.Objective > 0 && now.Add(expected).Sub(q.arrived)+q.spentBefore < q.route.Objective) {
		return expected
	}
	spread := float64(xxhash.Sum64String(q.queueID)%1000) / 1000
	share := minRetryAfterShare + (maxRetryAfterShare-minRetryAfterShare)*spread
	return max(expected, min(time.Duration(share*float64(left)), maxRetryAfter))
}

// Limits of the Retry-After of a request that misses its objective. The shares are shares of the
// request's time left: callers wait for a third of it at most, and the other two thirds are enough for
// any response. maxRetryAfter is about as long as a burst lasts; without it, requests with long time
// limits would wait longer than that.
const (
	minRetryAfterShare = 0.2
	maxRetryAfterShare = 0.33
	maxRetryAfter      = 2 * time.Second
)

// refused returns how a request ends that found no place. If it may have run in an earlier send, the error says so; a
// server error with which an upstream responded to that send says more.
func (q *request) refused(refusal *errkind.Error) (response.Reason, *errkind.Error) {
	switch {
	case refusal.Kind == errkind.Canceled:
		return response.Interrupted, refusal
	case q.response.core.Started():
		return response.NotServed, errkind.Wrap(refusal, errkind.AnswerIncomplete, errkind.Ran, "the answer broke off and no other upstream can continue it")
	case q.runState == errkind.NotRun:
		return response.NotServed, refusal
	}
	return response.NotServed, errkind.Wrap(refusal, errkind.OutcomeUnknown, q.runState, "the request may have run and no other upstream can serve it")
}

// send sends a request to one upstream and relays the response. kv is where the upstream fetches
// the prompt's KV cache; nil: it prefills the prompt itself.
func (q *request) send(ctx context.Context, held *heldPlace, kv *remoteKV) sendOutcome {
	e, u := q.e, held.upstream()
	e.state.awaitConfirmation(ctx)
	if err := e.checkUsable(held); err != nil {
		e.recordEvents(held, place.Event{Kind: place.Abandoned})
		return sendOutcome{runState: errkind.NotRun, err: err}
	}
	if q.origin != nil && q.origin.Software != u.Software {
		e.recordEvents(held, place.Event{Kind: place.Abandoned})
		return sendOutcome{runState: errkind.NotRun, err: errOtherSoftware}
	}
	if q.workHeld() { // a hold may have begun since the place was requested
		e.recordEvents(held, place.Event{Kind: place.Abandoned})
		return sendOutcome{runState: errkind.NotRun, err: errWorkHeld}
	}
	if err := q.announceOrigin(ctx, held); err != nil {
		e.recordEvents(held, place.Event{Kind: place.Abandoned})
		return sendOutcome{runState: errkind.NotRun, err: err}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // makes the upstream stop if it still works on a response that was abandoned
	q.lastUpstream = u.ID
	q.sends++
	q.response.core.BeginSend()
	if gap := q.eventGap(); gap > 0 {
		e.recordEvents(held, place.Event{Kind: place.LongStreamStarted, Duration: gap})
		defer e.recordEvents(held, place.Event{Kind: place.LongStreamEnded, Duration: gap})
	}
	s := q.startSend(ctx, u)
	defer s.closeLivenessConn()
	startedAt := s.startedAt
	q.sentAt, q.fetchingKV = startedAt, kv != nil
	send := q.sendOptions(&held.grant.Choice, kv)
	q.logContinuedStream(u, send.LastEvent)
	resp, err := q.forward(ctx, held, send)
	if err != nil {
		out := q.handleSendError(ctx, held, s, err)
		if out.maybeSent {
			q.possibleRuns++
			q.countArrival()
		}
		return out
	}
	q.countArrival()
	defer resp.Body.Close()
	e.recordAnswer(u, startedAt)
	info := q.e.cfg.Dialect.ResponseInfo(resp.Status, resp.Header)
	e.recordRateLimit(u, startedAt, resp.Status, info, q.info.ID)
	q.handleNotices(held, startedAt, info)
	events := responseEvents(resp.Status, info, kv != nil)
	if kv != nil && resp.Status == http.StatusOK {
		events = append(events, place.Event{Kind: place.KVFetched})
	}
	e.recordEvents(held, events...)
	out := q.response.copyResponse(ctx, held, resp, info)
	if out.completed && q.work() == place.Decode {
		q.e.demand.recordDecode(q.route.Name, time.Since(startedAt)+time.Duration(place.ReservedShare*float64(q.reservedFor)))
	}
	q.recordHealth(ctx, held, out.completed, info)
	switch {
	case out.completed:
		q.clearSuspicion()
	case endedEarly(ctx, out.err):
		q.reportBrokenSend(u, s)
	}
	return out
}

// responseEvents returns what the status and headers of a response say about its upstream. fetching
// says that the upstream was asked to fetch the prompt's KV cache.
func responseEvents(status int, info exchange.ResponseInfo, fetching bool) []place.Event {
	var events []place.Event
	switch rejected, backoff := rejection(status, info); {
	case rejected && fetching && backoff == 0:
		events = append(events, place.Event{Kind: place.KVFetchFailed})
	case rejected:
		events = append(events, place.Event{Kind: place.Rejected, Duration: backoff})
	}
	events = append(events, place.Event{Kind: place.Answered})
	if l := info.Load; l != nil {
		events = append(events, place.Event{Kind: place.LoadReported, Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, SlowdownPercent: l.SlowdownPercent})
	}
	if status == http.StatusMisdirectedRequest {
		events = append(events, place.Event{Kind: place.Misdirected})
	}
	return events
}

// sendOptions returns what the headers of a send that runs the request have to say: where to copy cached
// parts of the prompt from, the last event that the caller got, and where the KV cache is.
func (q *request) sendOptions(choice *place.Choice, kv *remoteKV) exchange.SendOptions {
	send := exchange.SendOptions{CopyFrom: choice.CopyFrom.Address}
	if last, ok := q.response.core.LastEvent(); ok {
		send.LastEvent = last
	}
	if kv != nil {
		send.KVFrom = q.e.cfg.Dialect.KVSource(kv.engine.Address, kv.handle)
	}
	return send
}

// serviceCall builds the HTTP request to an upstream.
func (q *request) serviceCall(u *fleet.Upstream, send exchange.SendOptions) upstream.ServiceCall {
	send.ExpectedIncarnation = u.ID
	send.StripAPIKey = q.config.NeedsKeys()
	send.Account = q.account.NameOrNone()
	if left, ok := q.timeLeft(time.Now()); ok {
		send.TimeLeft = max(left, time.Millisecond)
	}
	return upstream.ServiceCall{
		Address:       "http://" + u.Address,
		Method:        q.r.Method,
		Path:          q.r.URL.EscapedPath(),
		RawQuery:      q.r.URL.RawQuery,
		Host:          q.r.Host,
		Header:        q.e.cfg.Dialect.Outbound(q.r.Header, send),
		Body:          q.body.Reader(),
		ContentLength: q.body.Len(),
	}
}

// handleSendError records the failure of a send without a response and returns its outcome.
func (q *request) handleSendError(ctx context.Context, held *heldPlace, s *upstreamSend, err error) sendOutcome {
	out := sendOutcome{runState: errkind.RunUnknown, err: err, maybeSent: true}
	if errors.Is(err, upstream.ErrNotRun) {
		out.runState, out.maybeSent = errkind.NotRun, false
	}
	e := place.Event{Kind: place.FailedUnanswered}
	if ctx.Err() != nil || q.isPathFailure(err) {
		e.Kind = place.Abandoned
	}
	q.e.recordEvents(held, e)
	switch {
	case ctx.Err() != nil:
	case out.maybeSent:
		q.reportBrokenSend(held.upstream(), s)
	case holds.IsConnectionRefused(err):
		u := held.upstream()
		q.e.holds.CheckUpstream(incarnationOf(u), u.Address)
	}
	return out
}

// isPathFailure reports whether a send without a response may have failed on the path to the upstream: nothing was sent, the
// own link went silent, or the send went through another instance. If the upstream is down, it answers nobody, which
// the tracker notices without this failure.
func (q *request) isPathFailure(err error) bool {
	if !errors.Is(err, upstream.ErrNotRun) {
		return q.relay != "" || isLinkFailure(err)
	}
	for _, cause := range []error{errNoRelay, errLeaving, errBackingOff, errStalePlace} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// recordHealth records the outcome of a send that got a response, for the upstream's health.
func (q *request) recordHealth(ctx context.Context, held *heldPlace, succeeded bool, info exchange.ResponseInfo) {
	switch {
	case succeeded:
		q.e.recordEvents(held, place.Event{Kind: place.Succeeded})
	case info.NotRun || ctx.Err() != nil:
		// A refused or canceled request says nothing about the upstream's health.
	default:
		q.e.recordEvents(held, place.Event{Kind: place.FailedAfterAnswer})
	}
}

// decideRetry decides what follows a failed send: another send or the end of the request.
func (q *request) decideRetry(out sendOutcome) retry.Action {
	f := retry.Failure{
		Run:            q.runState,
		Idempotent:     q.route.Repeatable() && q.response.core.CanContinue() && (q.origin == nil || q.origin.Software != ""),
		Budget:         true,
		TimeLeft:       true, // the context ends at the deadline
		HasAlternative: q.possibleRuns < q.route.MaxAttempts && q.sends < q.route.MaxAttempts+maxExtraRefusals,
	}
	if q.workHeld() {
		f.HasAlternative = false
	}
	if q.response.core.Started() {
		f.TokensSent = 1
	}
	action := retry.Decide(f)
	if action != retry.SendElsewhere && action != retry.RunAgain {
		return action
	}
	if out.maybeSent && !q.reserveRetry() {
		f.Budget = false
		return retry.Decide(f)
	}
	return action
}

// finalError returns the error of a request whose last send failed. A server error with which an upstream responded says
// more.
func (q *request) finalError(out sendOutcome) *errkind.Error {
	switch {
	case q.response.core.Started():
		return errkind.Wrap(out.err, errkind.AnswerIncomplete, errkind.Ran, "the answer broke off")
	case q.runState == errkind.NotRun:
		if refusal := q.holdRefusal(); refusal != nil {
			return refusal
		}
		return errkind.Wrap(out.err, errkind.UpstreamRefused, errkind.NotRun, "no upstream took the request").WithRetryAfter(defaultRetryAfter)
	case q.runState == errkind.Ran:
		return errkind.Wrap(out.err, errkind.UpstreamFailed, errkind.Ran, "the upstream failed while the request ran")
	}
	return errkind.Wrap(out.err, errkind.OutcomeUnknown, errkind.RunUnknown, "the request may or may not have run")
}

// work returns the kind of work that an upstream does to serve the request: Decode for a service of
// engines, Serve for a plain service.
func (q *request) work() place.Work {
	if s, ok := q.config.Services[q.service]; ok && s.Engine != nil {
		return place.Decode
	}
	return place.Serve
}
