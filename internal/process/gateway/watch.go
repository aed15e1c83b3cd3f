package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

const (
	// stallAfter is how long an attempt at an unreachable runner may receive nothing before it
	// is canceled. A runner whose polls fail but whose streams make progress is only slow to
	// answer polls, so its attempts continue.
	stallAfter = time.Second
	// resumeWindow is how long resumes of a run at an unreachable runner continue, counted from
	// when the attempt last received something. It is longer than the time without data after
	// which a stream counts as broken.
	resumeWindow = 30 * time.Second
)

// Causes with which the contexts of attempts are canceled.
var (
	errUnreachable       = errors.New("the runner is unreachable and the request may run elsewhere")
	errResumeWindowEnded = errors.New("nothing was received from the runner within the resume window")
)

// watchedAttempt is one attempt of a request at a runner. The connections to a paused or disconnected runner
// stay open, so only failed polls and the time without data show that the runner is gone.
type watchedAttempt struct {
	dispatcher   *dispatcher
	runner       string
	ctx          context.Context // context of this attempt's requests to the runner
	cancel       context.CancelCauseFunc
	lastReceived atomic.Int64 // when something was last received or the attempt began, in Unix nanoseconds
}

// cancelIfUnreachable cancels the attempt if its runner doesn't answer polls.
func (a *watchedAttempt) cancelIfUnreachable() {
	if a.dispatcher.isUnreachable(a.runner) {
		a.cancel(errResumeWindowEnded)
	}
}

// sinceLastReceived returns the time since the attempt last received something or began.
func (a *watchedAttempt) sinceLastReceived(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - a.lastReceived.Load())
}

// watchedAttempts holds the attempts whose request may also run elsewhere, by runner.
type watchedAttempts map[string]map[*watchedAttempt]struct{}

// abandonStalled cancels the attempts at a runner that have received nothing for longer than stallAfter.
func (w watchedAttempts) abandonStalled(now time.Time, runner string) {
	for a := range w[runner] {
		if a.sinceLastReceived(now) > stallAfter {
			a.cancel(errUnreachable)
		}
	}
}

// watchAttempt returns a new attempt at a runner. If its request can run elsewhere, the attempt is canceled
// when it stalls while its runner is unreachable. The caller must call unwatchAttempt at its end.
func (d *dispatcher) watchAttempt(ctx context.Context, runner string, canRunElsewhere bool) *watchedAttempt {
	a := &watchedAttempt{dispatcher: d, runner: runner}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	a.lastReceived.Store(time.Now().UnixNano())
	if !canRunElsewhere {
		return a
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.watched[runner] == nil {
		d.watched[runner] = make(map[*watchedAttempt]struct{})
	}
	d.watched[runner][a] = struct{}{}
	return a
}

// isUnreachable reports whether the polls of a runner fail.
func (d *dispatcher) isUnreachable(runner string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.unreachable[runner]
}

// unwatchAttempt cancels an attempt's context and stops watching it.
func (d *dispatcher) unwatchAttempt(a *watchedAttempt) {
	a.cancel(context.Canceled)
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.watched[a.runner], a)
	if len(d.watched[a.runner]) == 0 {
		delete(d.watched, a.runner)
	}
}

// watchedEngine is the engine client of an attempt. Its Resume fails when the attempt is canceled or the
// resume window of an unreachable runner ends.
type watchedEngine struct {
	upstream.Engine
	attempt *watchedAttempt
}

// Resume implements upstream.Engine. For a canceled attempt it returns upstream.ErrUnknownRun, which ends the
// resumes.
func (e watchedEngine) Resume(_ context.Context, runID string, from int) (upstream.Stream, error) {
	left := resumeWindow - e.attempt.sinceLastReceived(time.Now())
	if left <= 0 {
		e.attempt.cancelIfUnreachable()
	}
	if cause := context.Cause(e.attempt.ctx); cause != nil {
		return nil, errors.Wrap(upstream.ErrUnknownRun, cause.Error())
	}
	windowEnd := time.AfterFunc(max(left, 0), e.attempt.cancelIfUnreachable)
	s, err := e.Engine.Resume(e.attempt.ctx, runID, from)
	windowEnd.Stop()
	if err != nil {
		return nil, err
	}
	return watchedStream{s, e.attempt}, nil
}

// watchedStream is a stream of an attempt that records when the attempt last received something.
type watchedStream struct {
	upstream.Stream
	attempt *watchedAttempt
}

// Recv implements upstream.Stream. It uses the attempt's context, which also ends when the request's context
// ends.
func (s watchedStream) Recv(context.Context) (upstream.Item, error) {
	item, err := s.Stream.Recv(s.attempt.ctx)
	if err == nil {
		s.attempt.lastReceived.Store(time.Now().UnixNano())
	}
	return item, err
}
