package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/request/quarantine"
	"github.com/ragworttrestle/ragworttrestle/internal/request/route"
)

// progressInterval is the number of output tokens after which a request's progress is reported to the
// dispatcher. The first token is reported at once, because routing compares its time with the
// prediction.
const progressInterval = 16

// cancelTimeout bounds the cancellation of a run whose answer is no longer needed.
const cancelTimeout = 2 * time.Second

// Causes with which the context of a request is canceled, other than a disconnect of its caller.
var (
	errDeadlinePassed = errors.New("the deadline passed")
	errDrainTimeout   = errors.New("the drain timeout passed")
)

// execution executes one call to a model at one or more runners until its answer is complete or the call
// fails.
type execution struct {
	g       *Gateway
	call    *call
	out     response
	explain *explanation

	request     route.Request          // excludes the runners tried so far
	runID       string                 // of the current run; "": none yet
	runner      string                 // of the current run
	incarnation quarantine.Incarnation // of that runner when the run was sent
	sentAt      time.Time
	runState    errkind.RunState // of all attempts (retry.CombineRunStates); once it differs from not-run, it never becomes not-run again

	attempts   int
	resumes    int
	tokens     int // tokens passed to out
	unreported int // tokens not yet reported to the dispatcher
	firstToken time.Time
	lastToken  time.Time
}

func newExecution(g *Gateway, c *call, out response, explain *explanation, q route.Request) *execution {
	return &execution{g: g, call: c, out: out, explain: explain, request: q, runState: errkind.NotRun}
}

// engine returns the client and address of a runner. The result is false if the runner is neither in the
// call's snapshot nor in the current configuration.
func (x *execution) engine(runner string) (upstream.Engine, string, bool) {
	spec, ok := x.call.snapshot.Runners[runner]
	if !ok {
		// The runner of a claim or of a later choice may be missing in the call's snapshot.
		if spec, ok = x.g.snapshot().Runners[runner]; !ok {
			return nil, "", false
		}
	}
	return x.g.engines.get(runner, spec.Address), spec.Address, true
}

// runRequest returns the request that starts a run.
func (x *execution) runRequest(now time.Time, runID, incarnation string) upstream.RunRequest {
	c := x.call
	r := upstream.RunRequest{
		RunID:        runID,
		Incarnation:  incarnation,
		Model:        c.route.Model,
		Adapter:      c.route.Adapter,
		Version:      c.version,
		Prompt:       c.body.prompt,
		PromptTokens: c.promptTokens,
		MaxTokens:    c.maxTokens,
		Priority:     c.priority,
		PrefixHashes: c.prefixHashes,
	}
	if c.explicitDeadline {
		r.Deadline = max(c.remaining(now), time.Millisecond)
	}
	return r
}

// start sends a run to the chosen runner, after a prefill at another runner if the choice names one. If
// it returns no error, the engine has accepted the run and opened the stream. An empty incarnation
// accepts any incarnation of the runner.
func (x *execution) start(ctx context.Context, choice route.Choice, runID, incarnation string) (upstream.Stream, error) {
	engine, _, ok := x.engine(choice.Runner)
	if !ok {
		return nil, errors.Wrapf(upstream.ErrNotRun, "runner %s is not in the configuration", choice.Runner)
	}
	r := x.runRequest(time.Now(), runID, incarnation)
	x.prefill(ctx, choice.Prefill, &r)
	if err := x.g.checkNotLeaving(choice.Runner); err != nil {
		return nil, err
	}
	x.attempts++
	x.incarnation = incarnationOf(choice.Runner, x.g.dispatcher.incarnation(time.Now(), x.call.route.Model, choice.Runner))
	x.sentAt = time.Now()
	return engine.Run(ctx, r)
}

// deliver passes one item of a stream, a token or the end, to the response. done reports whether the
// answer is complete.
func (x *execution) deliver(item upstream.Item) (done bool, err error) {
	if item.Token != nil {
		return false, x.sendToken(item.Token.Text)
	}
	return true, x.out.End(item.End.Reason, newTokenUsage(x.call.promptTokens, x.tokens))
}

// sendToken passes one token to the response and counts it.
func (x *execution) sendToken(text string) error {
	if err := x.out.Token(text); err != nil {
		return err
	}
	x.lastToken = time.Now()
	if x.tokens == 0 {
		x.firstToken = x.lastToken
	}
	x.tokens++
	x.unreported++
	if x.tokens == 1 || x.unreported >= progressInterval {
		x.reportProgress()
	}
	return nil
}

// reportProgress reports the tokens since the previous report to the dispatcher.
func (x *execution) reportProgress() {
	if x.unreported > 0 {
		x.g.dispatcher.recordProgress(time.Now(), x.call.id, x.unreported)
		x.unreported = 0
	}
}

// interruption returns the final error if the context has ended, else nil: the caller
// disconnected, the deadline passed or draining timed out.
func (x *execution) interruption(ctx context.Context) *errkind.Error {
	return contextError(ctx, x.runState)
}

// contextError returns the caller's error for the cause of a context's end, with the given run state, or
// nil if the context has not ended.
func contextError(ctx context.Context, state errkind.RunState) *errkind.Error {
	if ctx.Err() == nil {
		return nil
	}
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errDeadlinePassed):
		return errkind.New(errkind.DeadlineExceeded, state, "the deadline passed")
	case errors.Is(cause, errDrainTimeout):
		return errkind.New(errkind.Draining, state, "this instance stops and could not wait longer").WithRetryAfter(time.Second)
	}
	return callerGoneError(ctx, state)
}

// cancelRun cancels the current run at its engine in the background. It must only be
// called for a run whose answer no caller will ask for.
func (x *execution) cancelRun() {
	if x.runState == errkind.NotRun || x.runID == "" {
		return
	}
	engine, _, ok := x.engine(x.runner)
	if !ok {
		return
	}
	runner, runID := x.runner, x.runID
	x.g.runBackground(func(context.Context) { // so that shutdown waits for it
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		err := engine.Cancel(ctx, runID)
		x.explain.add(time.Now(), "run %s canceled at %s, error %v", runID, runner, err)
	})
}

// provesNotRun reports whether an error proves that the run never started.
func provesNotRun(err error) bool {
	return errors.Is(err, upstream.ErrNotRun)
}
