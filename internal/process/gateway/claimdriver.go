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

// claimAskTimeout bounds one question to the keepers of a bucket.
const claimAskTimeout = 10 * time.Second

// claimOpNames are the words for explanations.
var claimOpNames = map[peer.ClaimOp]string{
	peer.ClaimCreate:   "create",
	peer.ClaimTakeover: "takeover",
	peer.ClaimMove:     "move",
	peer.ClaimRelease:  "release",
	peer.ClaimLookup:   "lookup",
}

// claimSteps is the I/O of one kind of request under a claim. Each step tells
// how it went.
type claimSteps interface {
	// choose finds another upstream.
	choose(exclude []string) claim.Event
	// send starts the run if maySend still allows it right before the first byte.
	send(ctx context.Context, a claim.Send, maySend func() bool) claim.Event
	// resume joins the run and never starts it.
	resume(ctx context.Context, a claim.Resume) claim.Event
	// follow relays the answer that send or resume opened.
	follow(ctx context.Context) claim.Event
	// interrupted gives the final answer if the context has ended.
	interrupted(ctx context.Context) *errkind.Error
}

// claimDriver gives events to a claim's session and carries out its actions.
type claimDriver struct {
	claims   claim.Asker
	session  *claim.Session
	steps    claimSteps
	why      *explanation
	deadline time.Time // waiting ends here, also if the caller stated none
	told     bool      // the session knows that the request's context has ended
	ended    *errkind.Error
}

// drive runs the session to its end. The answer is whole if it returns nil.
func (d *claimDriver) drive(ctx context.Context, event claim.Event) *errkind.Error {
	for {
		switch a := d.step(ctx, event).(type) {
		case claim.Done:
			return nil
		case claim.Refuse:
			return d.refusal(a.Err)
		case nil:
			event = d.steps.follow(ctx) // the session waits for the end of the answer
		default:
			event = d.perform(ctx, a)
		}
	}
}

// step gives the session an event. If the request's context has ended, the
// session is told too: before an answer of the keeper, which otherwise would lead
// to a send, and after any other event, which tells how a send went.
func (d *claimDriver) step(ctx context.Context, event claim.Event) claim.Action {
	ending := d.ending(ctx)
	_, answered := event.(claim.ClaimAnswered)
	if ending != nil && answered {
		if a := d.session.Step(boottime.Now(), ending); a != nil {
			return a
		}
		ending = nil
	}
	a := d.session.Step(boottime.Now(), event)
	if ending == nil || d.session.Over() {
		return a
	}
	if b := d.session.Step(boottime.Now(), ending); b != nil {
		return b
	}
	return a
}

// ending tells once that the request's context has ended.
func (d *claimDriver) ending(ctx context.Context) claim.Event {
	if d.told || ctx.Err() == nil {
		return nil
	}
	d.told = true
	d.ended = d.steps.interrupted(ctx)
	if errors.Is(context.Cause(ctx), errDeadline) {
		return claim.DeadlinePassed{}
	}
	return claim.Canceled{}
}

// refusal gives the session's final answer its cause: a planned stop ends a
// session in the same way as a caller who leaves.
func (d *claimDriver) refusal(e *errkind.Error) *errkind.Error {
	if d.ended == nil || e.Kind != errkind.Canceled {
		return e
	}
	final := *d.ended
	final.Run = e.Run
	return &final
}

func (d *claimDriver) perform(ctx context.Context, action claim.Action) claim.Event {
	switch a := action.(type) {
	case claim.Choose:
		return d.steps.choose(a.Exclude)
	case claim.Ask:
		return d.ask(a)
	case claim.Send:
		return d.steps.send(ctx, a, func() bool { return d.session.MaySend(boottime.Now()) })
	case claim.Resume:
		return d.steps.resume(ctx, a)
	case claim.Wait:
		return d.wait(ctx, a)
	}
	return nil
}

// ask is not ended by the request's context: an ask under way may take effect,
// so its answer is needed to say truly whether the request ran.
func (d *claimDriver) ask(a claim.Ask) claim.Event {
	ctx, cancel := context.WithTimeout(context.Background(), claimAskTimeout)
	defer cancel()
	answer := d.claims.Ask(ctx, a.Ask)
	d.why.add(time.Now(), "claim %s: granted %v, holder %s, upstream %s, run %s, attempt %d, kind %q",
		claimOpNames[a.Ask.Op], answer.Granted, answer.Holder, answer.Runner, answer.RunID, answer.Attempt, answer.Kind)
	return claim.ClaimAnswered{Answer: answer}
}

// wait also ends with the request's context, of which step tells the session.
func (d *claimDriver) wait(ctx context.Context, a claim.Wait) claim.Event {
	_ = sleep(ctx, a.For)
	if time.Now().After(d.deadline) {
		return claim.DeadlinePassed{}
	}
	return claim.WaitOver{}
}
