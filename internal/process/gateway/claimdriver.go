package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/request/claim"
)

// claimTimeout bounds one request to the keepers of a claim.
const claimTimeout = 10 * time.Second

// claimOpNames are the names of claim operations in explanations.
var claimOpNames = map[peer.ClaimOp]string{
	peer.ClaimCreate:   "create",
	peer.ClaimTakeover: "takeover",
	peer.ClaimMove:     "move",
	peer.ClaimRelease:  "release",
	peer.ClaimLookup:   "lookup",
}

// claimSteps performs the I/O of a request with an idempotency key. There is one implementation for
// requests to models and one for calls to plain services. Each step returns its outcome as an event
// for the claim's session.
type claimSteps interface {
	// choose selects an upstream that is not in exclude.
	choose(exclude []string) claim.Event
	// send starts the run. It calls maySend right before it sends the first byte, and sends nothing if
	// maySend returns false.
	send(ctx context.Context, a claim.Send, maySend func() bool) claim.Event
	// resume attaches to an existing run and never starts one.
	resume(ctx context.Context, a claim.Resume) claim.Event
	// follow relays the answer that send or resume opened, until it ends or breaks off.
	follow(ctx context.Context) claim.Event
	// interruption returns the final error if the context has ended, else nil.
	interruption(ctx context.Context) *errkind.Error
}

// claimDriver executes one request with an idempotency key. It passes events to the claim's session,
// which decides, and performs the actions that the session returns.
type claimDriver struct {
	claims             claim.Requester
	session            *claim.Session
	steps              claimSteps
	explain            *explanation
	deadline           time.Time      // waiting ends here, even if the caller set no deadline
	contextEndReported bool           // to the session
	contextErr         *errkind.Error // why the request's context ended; nil: it has not ended, or its end was not noticed yet
}

// drive runs the session to its end, beginning with event. It returns nil if the answer is complete.
func (d *claimDriver) drive(ctx context.Context, event claim.Event) *errkind.Error {
	for {
		switch a := d.step(ctx, event).(type) {
		case claim.Done:
			return nil
		case claim.Refuse:
			return d.finalError(a.Err)
		case nil:
			event = d.steps.follow(ctx) // no action: an answer is open and the session waits for its end
		default:
			event = d.perform(ctx, a)
		}
	}
}

// step passes an event to the session and returns the session's next action. If the request's context
// has ended, step also passes that to the session, once. It does so before a keeper's answer, because
// that answer could otherwise lead to a send, and after any other event, because such an event may
// report the outcome of a send.
func (d *claimDriver) step(ctx context.Context, event claim.Event) claim.Action {
	endEvent := d.contextEndEvent(ctx)
	_, answered := event.(claim.ClaimAnswered)
	if endEvent != nil && answered {
		if a := d.session.Step(boottime.Now(), endEvent); a != nil {
			return a
		}
		endEvent = nil
	}
	a := d.session.Step(boottime.Now(), event)
	if endEvent == nil || d.session.Ended() {
		return a
	}
	if next := d.session.Step(boottime.Now(), endEvent); next != nil {
		return next
	}
	return a
}

// contextEndEvent returns an event when it is first called after the end of the request's context,
// else nil.
func (d *claimDriver) contextEndEvent(ctx context.Context) claim.Event {
	if d.contextEndReported || ctx.Err() == nil {
		return nil
	}
	d.contextEndReported = true
	d.contextErr = d.steps.interruption(ctx)
	if errors.Is(context.Cause(ctx), errDeadlinePassed) {
		return claim.DeadlinePassed{}
	}
	return claim.Canceled{}
}

// finalError returns the caller's error for the session's error e. The session treats a shutdown of the
// gateway like a disconnect of the caller and ends with kind canceled; finalError then returns the
// actual reason why the context ended, with the run state of e.
func (d *claimDriver) finalError(e *errkind.Error) *errkind.Error {
	if d.contextErr == nil || e.Kind != errkind.Canceled {
		return e
	}
	final := *d.contextErr
	final.Run = e.Run
	return &final
}

// perform performs an action of the session and returns its outcome.
func (d *claimDriver) perform(ctx context.Context, action claim.Action) claim.Event {
	switch a := action.(type) {
	case claim.Choose:
		return d.steps.choose(a.Exclude)
	case claim.CallKeeper:
		return d.callKeeper(a)
	case claim.Send:
		return d.steps.send(ctx, a, func() bool { return d.session.CanSend(boottime.Now()) })
	case claim.Resume:
		return d.steps.resume(ctx, a)
	case claim.Wait:
		return d.wait(ctx, a)
	}
	return nil
}

// callKeeper sends a request to the claim's keepers and returns their answer. It doesn't use the context of the
// caller's request: a claim request in flight may take effect even if it is canceled, and its answer is
// needed to report correctly whether the caller's request ran.
func (d *claimDriver) callKeeper(a claim.CallKeeper) claim.Event {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	answer := d.claims.Perform(ctx, a.Request)
	d.explain.add(time.Now(), "claim %s: granted %v, holder %s, upstream %s, run %s, attempt %d, kind %q",
		claimOpNames[a.Request.Op], answer.Granted, answer.Holder, answer.Runner, answer.RunID, answer.Attempt, answer.Kind)
	return claim.ClaimAnswered{Answer: answer}
}

// wait waits for the time that the action names. It returns early if the request's context ends, which
// step then passes to the session.
func (d *claimDriver) wait(ctx context.Context, a claim.Wait) claim.Event {
	_ = sleep(ctx, a.Delay)
	if time.Now().After(d.deadline) {
		return claim.DeadlinePassed{}
	}
	return claim.WaitElapsed{}
}
