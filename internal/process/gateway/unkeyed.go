package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/request/claim"
	"github.com/ragworttrestle/ragworttrestle/internal/request/retry"
	"github.com/ragworttrestle/ragworttrestle/internal/request/route"
	"github.com/ragworttrestle/ragworttrestle/internal/request/stream"
)

// Limits on consecutive resumes without a new token. An idempotent request can run again at another runner,
// so it gives up resuming early. Any other request can only be resumed, so this is tried for some seconds.
const (
	maxResumesIdempotent    = 2
	maxResumesNonIdempotent = 12
)

// retryAfterRefusal is the Retry-After time in errors for requests that no upstream accepted.
const retryAfterRefusal = time.Second

// unkeyedExecution executes a call to a model without an idempotency key.
type unkeyedExecution struct {
	*execution
	attempt *watchedAttempt // the current attempt; nil: none
}

// run executes the call, first at the chosen runner. It returns nil if the answer is complete.
func (u *unkeyedExecution) run(ctx context.Context, choice route.Choice) *errkind.Error {
	defer u.stopWatching()
	attempt, final := u.startRun(ctx, choice)
	for final == nil {
		if final = u.follow(ctx, attempt); final == nil {
			u.g.dispatcher.upstreamSucceeded(time.Now(), u.runner)
			return nil
		}
		if !u.canStartOver(ctx, final) {
			break
		}
		u.out.Reset()
		u.tokens = 0
		attempt, final = u.runElsewhere(ctx, final)
	}
	if u.runState != errkind.NotRun {
		u.cancelRun()
	}
	return final
}

// startRun sends the request to the chosen runner, and after failures to others, until a runner has accepted
// it or may have accepted it. In the second case the attempt has no stream and must be resumed.
func (u *unkeyedExecution) startRun(ctx context.Context, choice route.Choice) (stream.Attempt, *errkind.Error) {
	for {
		// The content may become held between two attempts. Without this check, an idempotent
		// request that crashes its runner was retried at every runner that was left: requests
		// with the same content caused 68 crashes in 7 s.
		if u.holdRefusal() != nil {
			return stream.Attempt{}, u.finalError(errContentHeld)
		}
		attempt, err := u.send(ctx, choice)
		if err == nil {
			return attempt, nil
		}
		if final := u.interruption(ctx); final != nil {
			return attempt, final
		}
		now := time.Now()
		if errors.Is(err, errUpstreamLeaving) {
			u.explain.add(now, "not sent to %s: %v", u.runner, err)
			if choice = u.rerouteUnsent(now); choice.Runner == "" {
				return attempt, u.finalError(err)
			}
			continue
		}
		action := u.nextAction(now, !provesNotRun(err))
		u.explain.add(now, "%s after failure at %s: %v", action, u.runner, err)
		switch action {
		case retry.Resume:
			return attempt, nil
		case retry.SendElsewhere, retry.RunAgain:
			choice = u.reroute(now)
		}
		if choice.Runner == "" || action != retry.SendElsewhere && action != retry.RunAgain {
			return attempt, u.finalError(err)
		}
	}
}

// send starts a run with a new run ID at the chosen runner.
func (u *unkeyedExecution) send(ctx context.Context, choice route.Choice) (stream.Attempt, error) {
	u.runID = claim.NewRunID()
	u.runner = choice.Runner
	attempt := stream.Attempt{RunID: u.runID}
	engine, _, ok := u.engine(choice.Runner)
	if !ok {
		return attempt, errors.Wrapf(upstream.ErrNotRun, "runner %s is not in the configuration", choice.Runner)
	}
	u.stopWatching()
	u.attempt = u.g.dispatcher.watchAttempt(ctx, choice.Runner, u.call.route.Idempotent)
	attempt.Engine = watchedEngine{engine, u.attempt}
	u.explain.add(time.Now(), "sent to %s as run %s", choice.Runner, u.runID)
	s, err := u.start(u.attempt.ctx, choice, u.runID, "")
	if err == nil {
		attempt.Stream = watchedStream{s, u.attempt}
		u.runState = errkind.Ran
		return attempt, nil
	}
	if !provesNotRun(err) {
		u.runState = retry.CombineRunStates(u.runState, errkind.RunUnknown)
	}
	if ctx.Err() == nil {
		u.g.upstreamFailed(u.runner, err)
		u.reportBrokenRun(err)
	}
	return attempt, err
}

// stopWatching ends the current attempt, if there is one, and cancels its context.
func (u *unkeyedExecution) stopWatching() {
	if u.attempt != nil {
		u.g.dispatcher.unwatchAttempt(u.attempt)
		u.attempt = nil
	}
}

// follow relays the answer of an attempt. If the stream breaks, it resumes the stream. If the run is lost, an
// idempotent streamed request runs again elsewhere. It returns nil once the answer is complete.
func (u *unkeyedExecution) follow(ctx context.Context, attempt stream.Attempt) *errkind.Error {
	cfg := stream.RelayConfig{Attempt: attempt, MaxStalledResumes: maxResumesNonIdempotent}
	if u.call.route.Idempotent {
		cfg.MaxStalledResumes = maxResumesIdempotent
	}
	if u.call.route.Idempotent && u.call.body.stream {
		cfg.Restart = u.restart
	}
	r := stream.NewRelay(cfg)
	defer r.Close()
	defer u.recordResumes(r)
	defer u.reportProgress()
	for {
		item, err := r.Next(ctx)
		if err != nil {
			return u.brokenAnswerError(ctx, err)
		}
		u.runState = errkind.Ran
		done, err := u.deliver(item)
		if err != nil {
			return errkind.From(err)
		}
		if done {
			return nil
		}
	}
}

// recordResumes records how often a relay resumed its stream.
func (u *unkeyedExecution) recordResumes(r *stream.Relay) {
	n, _ := r.Recoveries()
	u.resumes += n
	u.g.metrics.resumes.Inc(int64(n))
	if n > 0 {
		u.explain.add(time.Now(), "resumed %d times", n)
	}
}

// brokenAnswerError returns the final error of an answer that can't be completed.
func (u *unkeyedExecution) brokenAnswerError(ctx context.Context, err error) *errkind.Error {
	if final := u.interruption(ctx); final != nil {
		return final
	}
	u.explain.add(time.Now(), "answer of run %s at %s broke at token %d: %v", u.runID, u.runner, u.tokens, err)
	u.g.upstreamFailed(u.runner, err)
	u.reportBrokenRun(err)
	final := errkind.From(err)
	if final.Kind != errkind.AnswerIncomplete {
		return final
	}
	return u.finalError(err)
}

// restart starts another run when the stream relay has lost the current one.
func (u *unkeyedExecution) restart(ctx context.Context, cause error) (stream.Attempt, error) {
	u.reportBrokenRun(cause)
	attempt, final := u.runElsewhere(ctx, cause)
	if final != nil {
		return attempt, final
	}
	return attempt, nil
}

// canStartOver reports whether another run may replace a run that failed with final. That requires that the
// request is idempotent and the caller has received nothing. It is false for streamed answers, for which
// follow starts the other run.
func (u *unkeyedExecution) canStartOver(ctx context.Context, final *errkind.Error) bool {
	if ctx.Err() != nil || u.out.Started() || u.call.body.stream {
		return false
	}
	switch final.Kind {
	case errkind.AnswerIncomplete, errkind.UpstreamFailed, errkind.OutcomeUnknown:
		return u.call.route.Idempotent
	}
	return false
}

// runElsewhere starts a run at another runner after the current run was lost because of cause, if
// retry.Decide allows it. It cancels the current run.
func (u *unkeyedExecution) runElsewhere(ctx context.Context, cause error) (stream.Attempt, *errkind.Error) {
	now := time.Now()
	action := u.nextAction(now, false)
	u.explain.add(now, "%s after the run at %s was lost: %v", action, u.runner, cause)
	if action != retry.RunAgain {
		return stream.Attempt{}, u.finalError(cause)
	}
	u.cancelRun() // it may still be running
	choice := u.reroute(now)
	if choice.Runner == "" {
		return stream.Attempt{}, u.finalError(cause)
	}
	return u.startRun(ctx, choice)
}

// nextAction decides what to do after a failure at the current runner. resumable tells whether the run may
// exist and so may be resumed.
func (u *unkeyedExecution) nextAction(now time.Time, resumable bool) retry.Action {
	q := u.request
	q.Excluded = slices.Concat(q.Excluded, []string{u.runner})
	return retry.Decide(retry.Failure{
		Run:            u.runState,
		Idempotent:     u.call.route.Idempotent,
		Resumable:      resumable,
		TokensSent:     u.tokens,
		Budget:         u.g.dispatcher.retryAllowed(now),
		TimeLeft:       u.call.hasTimeLeft(now),
		HasAlternative: u.holdRefusal() == nil && u.g.dispatcher.hasAlternative(now, q),
	})
}

// reroute takes a retry from the budget and chooses another runner. An empty Runner means that the budget is
// used up or that there is no other runner.
func (u *unkeyedExecution) reroute(now time.Time) route.Choice {
	u.request.Excluded = append(u.request.Excluded, u.runner)
	if !u.g.dispatcher.consumeRetry(now) {
		return route.Choice{}
	}
	u.g.metrics.retries.Inc(1)
	return u.g.dispatcher.reroute(now, u.request)
}

// rerouteUnsent chooses another runner for a request that was not sent. Sending it elsewhere is not a retry,
// so it takes nothing from the budget. An empty Runner means that there is no other runner.
func (u *unkeyedExecution) rerouteUnsent(now time.Time) route.Choice {
	u.request.Excluded = append(u.request.Excluded, u.runner)
	return u.g.dispatcher.reroute(now, u.request)
}

// finalError returns the caller's error after the last attempt. err is the error of that attempt.
func (u *unkeyedExecution) finalError(err error) *errkind.Error {
	switch {
	case u.runState == errkind.NotRun:
		if refusal := u.holdRefusal(); refusal != nil {
			return refusal
		}
		return notRunError(err)
	case u.runState == errkind.RunUnknown:
		return errkind.Wrap(err, errkind.OutcomeUnknown, errkind.RunUnknown, "the request may or may not have run")
	case errors.Is(err, upstream.ErrUnknownRun):
		return errkind.Wrap(err, errkind.UpstreamFailed, errkind.Ran, "the upstream failed while the request ran")
	}
	return errkind.Wrap(err, errkind.AnswerIncomplete, errkind.Ran, "the answer broke off and could not be completed")
}

// notRunError returns the caller's error for a request none of whose attempts ran. err is the error of the
// last attempt.
func notRunError(err error) *errkind.Error {
	kind, message := errkind.NoUpstream, "no upstream could be reached"
	if _, refused := upstream.RefusalCodeOf(err); refused {
		kind, message = errkind.UpstreamRefused, "the upstream refused before running"
	}
	return errkind.Wrap(err, kind, errkind.NotRun, message).WithRetryAfter(retryAfterRefusal)
}

// sleep waits for d and returns nil. If ctx ends first, it returns the cause of that.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-t.C:
		return nil
	}
}
