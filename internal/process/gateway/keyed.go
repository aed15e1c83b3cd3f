package gateway

import (
	"context"
	"net/http"
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

// keyedExecution executes a call to a model with an idempotency key; it implements claimSteps. Its run is
// never canceled, not even when the caller disconnects, because a retry with the same key may ask for the
// answer.
type keyedExecution struct {
	*execution
	chosen      route.Choice      // the runner for the next send
	assembler   *stream.Assembler // of the current run
	stream      upstream.Stream   // opened by send or resume and not relayed yet; else nil
	ownRunID    string            // run ID of this request's own claim
	sends       []claim.Send      // sends that may have reached a runner
	sendSkipped bool              // the last send was skipped: the runner is leaving or the content is held
}

// runKeyed executes a call with an Idempotency-Key at the chosen runner. refusal is the error of admission
// or nil. A refused call may still be answered, because its key may have run before.
func (x *execution) runKeyed(ctx context.Context, choice route.Choice, refusal *errkind.Error) *errkind.Error {
	k := &keyedExecution{execution: x, ownRunID: claim.NewRunID()}
	d := &claimDriver{
		claims:   x.g.claims,
		steps:    k,
		explain:  x.explain,
		deadline: x.call.deadline,
		session: claim.NewSession(claim.SessionConfig{
			Gateway:   x.g.cfg.Settings.Instance.Name,
			Account:   x.call.account,
			Key:       claim.KeyOf(x.call.account, x.call.key),
			Body:      claim.HashOf(http.MethodPost, x.call.body.endpoint.path(), x.call.raw),
			RunID:     k.ownRunID,
			FirstSend: x.call.firstSend,
			Traits:    x.traits,
		}),
	}
	if refusal != nil {
		return d.drive(ctx, claim.ChooseFailed{Err: refusal})
	}
	return d.drive(ctx, k.chosenEvent(choice))
}

// chosenEvent records a choice and returns the event that reports it to the session.
func (k *keyedExecution) chosenEvent(choice route.Choice) claim.Event {
	k.chosen = choice
	incarnation := k.g.dispatcher.incarnation(time.Now(), k.call.route.Model, choice.Runner)
	return claim.Chosen{Runner: choice.Runner, Incarnation: incarnation}
}

// traits returns the capabilities of a runner that a claim names.
func (x *execution) traits(runner string) claim.UpstreamTraits {
	engine, ok := x.call.snapshot.EngineOf(runner)
	if !ok {
		engine, _ = x.g.snapshot().EngineOf(runner)
	}
	return claim.UpstreamTraits{Resumes: true, Deduplicates: engine.DeduplicatesRuns}
}

// choose implements claimSteps. It takes a retry from the budget, unless the last send was skipped.
func (k *keyedExecution) choose(exclude []string) claim.Event {
	now := time.Now()
	if refusal := k.holdRefusal(); refusal != nil {
		return claim.ChooseFailed{Err: refusal}
	}
	k.request.Excluded = append(k.request.Excluded, exclude...)
	if !k.sendSkipped && !k.g.dispatcher.consumeRetry(now) {
		return claim.ChooseFailed{Err: errkind.New(errkind.UpstreamRefused, errkind.NotRun,
			"the upstream refused and the retry budget is used up").WithRetryAfter(retryAfterRefusal)}
	}
	choice := k.g.dispatcher.reroute(now, k.request)
	if choice.Runner == "" {
		return claim.ChooseFailed{Err: errkind.New(errkind.NoUpstream, errkind.NotRun,
			"no other upstream can serve the request").WithRetryAfter(retryAfterRefusal)}
	}
	k.g.metrics.retries.Inc(1)
	return k.chosenEvent(choice)
}

// setCurrentRun makes a run at a runner the current run. It keeps the tokens received so far if the run ID
// stays the same.
func (k *keyedExecution) setCurrentRun(runner, runID string) {
	if k.assembler == nil || runID != k.runID {
		k.assembler = stream.New(runID)
	}
	if runner != k.chosen.Runner {
		k.chosen = route.Choice{Runner: runner}
		k.g.dispatcher.recordSend(time.Now(), k.request, runner)
	}
	k.runner, k.runID = runner, runID
}

// send implements claimSteps.
func (k *keyedExecution) send(ctx context.Context, a claim.Send, maySend func() bool) claim.Event {
	k.setCurrentRun(a.Runner, a.RunID)
	if !maySend() {
		return claim.SendWindowClosed{}
	}
	s, err := k.startUnlessHeld(ctx, a)
	now := time.Now()
	k.sendSkipped = errors.Is(err, errUpstreamLeaving) || errors.Is(err, errContentHeld)
	if k.sendSkipped {
		k.explain.add(now, "not sent to %s: %v", a.Runner, err)
		return k.skippedSendEvent(a, err)
	}
	k.sends = append(k.sends, a)
	if err == nil {
		k.explain.add(now, "sent to %s as run %s", a.Runner, a.RunID)
		k.stream = s
		k.runState = errkind.Ran
		return claim.Started{}
	}
	k.explain.add(now, "send to %s failed: %v", a.Runner, err)
	if ctx.Err() == nil {
		k.g.upstreamFailed(a.Runner, err)
		k.reportBrokenRun(err)
	}
	if provesNotRun(err) {
		return claim.SendRefused{
			Restarted: errors.Is(err, upstream.ErrRestarted),
			Err: errkind.Wrap(err, errkind.UpstreamRefused, errkind.NotRun,
				"the upstream refused before running").WithRetryAfter(retryAfterRefusal),
		}
	}
	k.runState = retry.CombineRunStates(k.runState, errkind.RunUnknown)
	return claim.SendAmbiguous{}
}

// startUnlessHeld starts a run. If the call's content is held, it sends nothing and returns
// errContentHeld.
func (k *keyedExecution) startUnlessHeld(ctx context.Context, a claim.Send) (upstream.Stream, error) {
	if k.holdRefusal() != nil {
		return nil, errContentHeld
	}
	return k.start(ctx, k.chosen, a.RunID, a.Incarnation)
}

// skippedSendEvent returns the event for a send that was skipped because of err. If this would have been
// the first send of the run that this request itself claimed, the send counts as refused, and the claim (the
// stored record of the runner and the run id) moves to another runner. In all other cases the run may already
// exist at the runner, because another gateway or an earlier send may have started it. The event
// SendWindowClosed then says that nothing was sent: the run may be resumed but not started.
func (k *keyedExecution) skippedSendEvent(a claim.Send, err error) claim.Event {
	if a.RunID != k.ownRunID || slices.Contains(k.sends, a) {
		return claim.SendWindowClosed{}
	}
	return claim.SendRefused{Err: notRunError(err)}
}

// resume implements claimSteps. It asks for the answer from the first token that was not received yet.
func (k *keyedExecution) resume(ctx context.Context, a claim.Resume) claim.Event {
	k.setCurrentRun(a.Runner, a.RunID)
	k.resumes++
	k.g.metrics.resumes.Inc(1)
	engine, _, ok := k.engine(a.Runner)
	if !ok {
		return claim.ResumeUnknownRun{}
	}
	from := k.assembler.Next()
	s, err := engine.Resume(ctx, a.RunID, from)
	if err == nil {
		k.explain.add(time.Now(), "resumed run %s at %s from token %d", a.RunID, a.Runner, from)
		k.stream = s
		k.runState = errkind.Ran
		return claim.Started{}
	}
	k.explain.add(time.Now(), "resume at %s failed: %v", a.Runner, err)
	k.reportBrokenRun(err)
	if errors.Is(err, upstream.ErrUnknownRun) {
		return claim.ResumeUnknownRun{}
	}
	return claim.ResumeFailed{}
}

// follow implements claimSteps.
func (k *keyedExecution) follow(ctx context.Context) claim.Event {
	s := k.stream
	k.stream = nil
	if s == nil {
		return claim.StreamBroken{}
	}
	err := k.relay(ctx, s)
	if err == nil {
		k.g.dispatcher.upstreamSucceeded(time.Now(), k.runner)
		return claim.Finished{}
	}
	k.explain.add(time.Now(), "stream of run %s at %s broke at token %d: %v", k.runID, k.runner, k.assembler.Next(), err)
	switch {
	case errkind.Is(err, errkind.Canceled):
		return claim.Canceled{}
	case errors.Is(err, stream.ErrCanceled):
		return claim.ResumeUnknownRun{} // a canceled run can't be resumed
	}
	k.reportBrokenRun(err)
	return claim.StreamBroken{}
}

// relay passes the items of an open stream to the caller. It returns nil once the answer is complete. The
// assembler checks the items and discards tokens that were received before.
func (k *keyedExecution) relay(ctx context.Context, s upstream.Stream) error {
	defer s.Close()
	defer k.reportProgress()
	for {
		item, err := s.Recv(ctx)
		if err != nil {
			return err
		}
		tokens, complete, err := k.assembler.Feed(item)
		if err != nil {
			return err
		}
		for i := range tokens {
			if _, err := k.deliver(upstream.Item{Token: &tokens[i]}); err != nil {
				return err
			}
		}
		if complete {
			_, err := k.deliver(upstream.Item{End: k.assembler.End()})
			return err
		}
	}
}
