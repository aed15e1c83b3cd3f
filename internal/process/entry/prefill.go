package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/request/exchange"
	"github.com/ragworttrestle/ragworttrestle/internal/request/place"
)

const (
	// minPrefillTokens is the least number of tokens in a prompt's own part (the tokens that it doesn't
	// share with other requests) for which another engine than the decoding one prefills the prompt. For
	// fewer tokens, the decoding engine needs one or two steps, which take less time than an additional
	// send.
	minPrefillTokens = 512
	// maxPrefillAttempts limits the number of engines that are asked to prefill one prompt.
	maxPrefillAttempts = 2
	// maxPrefillResponseBytes limits the response to a prefill, which has some hundred bytes.
	maxPrefillResponseBytes = 64 << 10
)

// remoteKV is the KV cache of a prompt at the engine that prefilled it, for another engine to
// fetch.
type remoteKV struct {
	engine fleet.Upstream
	handle string
}

// release tells the engine in the background to release the KV cache. It does nothing if kv is nil.
func (kv *remoteKV) release(e *Entry) {
	if kv == nil {
		return
	}
	e.spawn(func() {
		if err := e.cfg.Engines.Release(e.hardStopCtx, kv.engine, kv.handle); err != nil {
			logline.Info("prompt not released", "upstream", kv.engine.ID, "error", err)
		}
	})
}

// kvLossMemory is the time after a KV cache was found to be gone during which any other KV cache that an
// engine refuses to fetch is assumed to be gone, too.
const kvLossMemory = 2 * time.Second

// runWithKV runs the request at an engine that fetches the KV cache of its prompt from kv, or prefills
// the prompt if kv is nil. If the engine rejects the request, the KV cache is kept for one more attempt
// at another engine. If that engine rejects the request, too, the KV cache is assumed to be gone.
func (q *request) runWithKV(ctx context.Context, held *heldPlace, kv *remoteKV) sendOutcome {
	out := q.send(ctx, held, kv)
	ended := ctx.Err() != nil
	switch {
	case kv == nil:
	case out.runState == errkind.NotRun && !ended && (!out.maybeSent || q.mayKeepKV()):
		q.keptKV, q.kvWasKept = kv, q.kvWasKept || out.maybeSent
		q.excludedBeforeKV = len(q.excluded)
	case out.runState == errkind.NotRun:
		if q.kvWasKept && !ended {
			now := time.Now()
			q.e.kvLostAt.Store(&now)
			q.excluded = q.excluded[:q.excludedBeforeKV] // the removed engines couldn't fetch the KV cache, but may have a free slot
		}
		kv.release(q.e)
		q.decoderPrefills = true // another separate prefill would count as a retry
	case ended && !q.response.core.Started():
		kv.release(q.e)
	}
	return out
}

// mayKeepKV reports whether a KV cache that an engine refused to fetch may still exist.
func (q *request) mayKeepKV() bool {
	lostAt := q.e.kvLostAt.Load()
	return !q.kvWasKept && (lostAt == nil || time.Since(*lostAt) >= kvLossMemory)
}

// needsPrefill reports whether the prompt should be prefilled by a prefilling engine.
func (q *request) needsPrefill() bool {
	if q.work() != place.Decode || q.response.core.Started() || q.info.LastEvent != "" {
		return false
	}
	if q.prompt.UnsharedTokens < minPrefillTokens || q.decoderPrefills || q.keptKV != nil {
		return false
	}
	if !q.e.state.upstreamsListed() {
		return true // the placer knows whether there is a prefilling engine
	}
	query := q.query(place.Prefill)
	return q.e.state.eligible(time.Now(), &query) > 0
}

// prefillQuery returns the query for a place for the prefill. allowLocalPrefill: if all prefilling
// engines are busy, a decoding engine with time for the prefill may be chosen.
func (q *request) prefillQuery(allowLocalPrefill bool) place.Query {
	query := q.query(place.Prefill)
	query.AllowLocalPrefill = allowLocalPrefill
	return query
}

// prefillResult is the result of a prefill at another engine than the decoding one. The request has not
// run by then, and no part of its response exists.
type prefillResult struct {
	kv      *remoteKV      // nil: no engine prefilled the prompt; the decoding one can, unless refusal is set
	refusal *errkind.Error // set if the request is to be refused
}

// runPrefill has the prompt prefilled, first at the place held. refusal says why there is no such place;
// nil: there is one.
func (q *request) runPrefill(ctx context.Context, held *heldPlace, refusal *errkind.Error) prefillResult {
	for attempt := range maxPrefillAttempts {
		if attempt > 0 {
			held, refusal = q.acquirePlace(ctx, q.prefillQuery(false))
		}
		if refusal != nil && (refusal.Kind == errkind.NoUpstream || attempt > 0) {
			// The decoding engine can prefill the prompt. A request whose prefill failed at another engine
			// has waited long enough, and isn't refused because there is no place for a second prefill.
			return prefillResult{}
		}
		if refusal != nil {
			return prefillResult{refusal: refusal}
		}
		if attempt == 0 && q.prefilled && !q.reserveRetry() {
			// The retry limit allowed one further arrival, which is that of the decode.
			q.e.recordEvents(held, place.Event{Kind: place.Abandoned})
			q.e.release(held)
			return prefillResult{}
		}
		kv, sent, err := q.sendPrefill(ctx, held)
		q.e.release(held)
		if err == nil {
			q.prefilled = true
			return prefillResult{kv: kv}
		}
		choice := &held.grant.Choice
		if !errors.Is(err, errStalePlace) {
			q.excluded = append(q.excluded, choice.Upstream.Incarnation())
		}
		logline.Info("prefill failed", "request", q.info.ID, "upstream", choice.Upstream.ID, "try", attempt,
			"load", choice.Load, "load_age_ms", choice.Age.Milliseconds(), "why", err,
			"kept_connection", q.keptConnection, "sent_there_before", q.sentToBefore, "content", q.content())
		if ctx.Err() != nil {
			break
		}
		if sent && !q.reserveRetry() {
			return q.prefillNotRetried(err)
		}
	}
	return prefillResult{}
}

// prefillNotRetried returns the result of a failed prefill if the retry limit allows no further send. The
// request is refused: the failed prefill, rejected or broken off, counts as the first arrival of the request, so
// that running the request would be a retry, too. A prefill runs nothing, so the request provably did not run
// because of it.
func (q *request) prefillNotRetried(err error) prefillResult {
	return prefillResult{refusal: errkind.Wrap(err, errkind.UpstreamRefused, q.runState, "no engine prefilled the prompt").WithRetryAfter(defaultRetryAfter)}
}

// sendPrefill has one engine prefill the prompt. sent: a byte may have reached the engine.
func (q *request) sendPrefill(ctx context.Context, held *heldPlace) (kv *remoteKV, sent bool, err error) {
	e, u := q.e, held.upstream()
	e.state.awaitConfirmation(ctx)
	if err := e.checkUsable(held); err != nil {
		e.recordEvents(held, place.Event{Kind: place.Abandoned})
		return nil, false, err
	}
	if q.workHeld() {
		e.recordEvents(held, place.Event{Kind: place.Abandoned})
		return nil, false, errWorkHeld
	}
	s := q.startSend(ctx, u)
	defer s.closeLivenessConn()
	startedAt := s.startedAt
	resp, err := q.forward(ctx, held, exchange.SendOptions{PrefillOnly: true, CopyFrom: held.grant.Choice.CopyFrom.Address})
	duration := time.Since(startedAt)
	q.prefillTime += duration
	if err != nil {
		out := q.handleSendError(ctx, held, s, err)
		if out.maybeSent {
			q.prefills++
			q.countArrival()
		}
		return nil, out.maybeSent, out.err
	}
	q.prefills++
	defer resp.Body.Close()
	e.recordAnswer(u, startedAt)
	info := q.e.cfg.Dialect.ResponseInfo(resp.Status, resp.Header)
	e.recordRateLimit(u, startedAt, resp.Status, info, q.info.ID)
	q.handleNotices(held, startedAt, info)
	e.recordEvents(held, responseEvents(resp.Status, info, false)...)
	kv, err = q.parsePrefillResponse(*u, resp, info)
	if err != nil || q.prefilled {
		q.countArrival() // the first accepted prefill of a request isn't a retry
	}
	q.recordHealth(ctx, held, err == nil, info)
	if endedEarly(ctx, err) {
		q.reportBrokenSend(u, s)
	}
	if err == nil {
		e.recordEvents(held, place.Event{Kind: place.Prefilled, Duration: duration})
	}
	return kv, true, err
}

// parsePrefillResponse returns where the KV cache is, according to the response to a prefill. It returns
// an error if the response belongs to another request, rejects the prefill, reports a failure, or can't
// be read to its end.
func (q *request) parsePrefillResponse(u fleet.Upstream, resp upstream.ServiceResponse, info exchange.ResponseInfo) (*remoteKV, error) {
	if err := q.checkOwner(&resp, info); err != nil {
		return nil, err
	}
	if info.NotRun {
		return nil, errUpstreamRefused
	}
	if resp.Status != http.StatusOK {
		return nil, errors.Wrapf(errServerError, "status %d", resp.Status)
	}
	body, err := readWithin(resp.Body, shortBodyTime, func() ([]byte, error) {
		return io.ReadAll(io.LimitReader(resp.Body, maxPrefillResponseBytes))
	})
	switch {
	case errors.Is(err, errBodyTimeout):
		return nil, err
	case err != nil:
		return nil, errors.Wrap(errIncomplete, err.Error())
	}
	prefilled, err := q.e.cfg.Dialect.ParsePrefillResult(body)
	if err != nil {
		return nil, err
	}
	return &remoteKV{engine: u, handle: prefilled.Handle}, nil
}
