package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

const (
	// stallAfter is how long an attempt at an unreachable runner may bring nothing
	// before it is given up. A runner whose polls fail but whose streams flow is
	// only slow to answer polls.
	stallAfter = time.Second
	// resumeWindow is how long after an unreachable runner was last heard a run is
	// still resumed. It is longer than the silence after which a stream is broken.
	resumeWindow = 30 * time.Second
)

// Causes of the end of an attempt.
var (
	errUnreachable = errors.New("the runner is unreachable and the request may run elsewhere")
	errSilent      = errors.New("the runner was not heard within the window for resuming")
)

// watchedAttempt is one attempt of a request. A paused or cut-off runner keeps
// its connections open, so that only time and failed polls tell that it is away.
type watchedAttempt struct {
	cores  *cores
	runner string
	ctx    context.Context // of calls to the runner
	end    context.CancelCauseFunc
	heard  atomic.Int64 // when the runner was last heard, Unix nanoseconds
}

// expire ends the attempt unless the runner answers its polls.
func (a *watchedAttempt) expire() {
	if a.cores.isUnreachable(a.runner) {
		a.end(errSilent)
	}
}

func (a *watchedAttempt) sinceHeard(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - a.heard.Load())
}

// watchedAttempts are the attempts that can go elsewhere, by runner.
type watchedAttempts map[string]map[*watchedAttempt]struct{}

// giveUp ends the attempts at a runner that bring nothing.
func (w watchedAttempts) giveUp(now time.Time, runner string) {
	for a := range w[runner] {
		if a.sinceHeard(now) > stallAfter {
			a.end(errUnreachable)
		}
	}
}

// watch begins an attempt. If it can go elsewhere it is given up when its runner
// becomes unreachable.
func (c *cores) watch(ctx context.Context, runner string, elsewhere bool) *watchedAttempt {
	a := &watchedAttempt{cores: c, runner: runner}
	a.ctx, a.end = context.WithCancelCause(ctx)
	a.heard.Store(time.Now().UnixNano())
	if !elsewhere {
		return a
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watched[runner] == nil {
		c.watched[runner] = make(map[*watchedAttempt]struct{})
	}
	c.watched[runner][a] = struct{}{}
	return a
}

func (c *cores) isUnreachable(runner string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unreachable[runner]
}

// unwatch ends an attempt.
func (c *cores) unwatch(a *watchedAttempt) {
	a.end(context.Canceled)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.watched[a.runner], a)
	if len(c.watched[a.runner]) == 0 {
		delete(c.watched, a.runner)
	}
}

// watchedEngine resumes only while that is of use.
type watchedEngine struct {
	upstream.Engine
	attempt *watchedAttempt
}

// Resume implements upstream.Engine. A run that is given up counts as unknown,
// which ends the resuming.
func (e watchedEngine) Resume(_ context.Context, runID string, from int) (upstream.Stream, error) {
	left := resumeWindow - e.attempt.sinceHeard(time.Now())
	if left <= 0 {
		e.attempt.expire()
	}
	if cause := context.Cause(e.attempt.ctx); cause != nil {
		return nil, errors.Wrap(upstream.ErrUnknownRun, cause.Error())
	}
	expire := time.AfterFunc(max(left, 0), e.attempt.expire)
	s, err := e.Engine.Resume(e.attempt.ctx, runID, from)
	expire.Stop()
	if err != nil {
		return nil, err
	}
	return watchedStream{s, e.attempt}, nil
}

// watchedStream notes when the runner was heard.
type watchedStream struct {
	upstream.Stream
	attempt *watchedAttempt
}

// Recv implements upstream.Stream. The attempt's context ends with the request's.
func (s watchedStream) Recv(context.Context) (upstream.Item, error) {
	item, err := s.Stream.Recv(s.attempt.ctx)
	if err == nil {
		s.attempt.heard.Store(time.Now().UnixNano())
	}
	return item, err
}
