package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// stallAfter is how long an attempt at an unreachable runner may bring nothing
// before it is given up. A runner whose polls fail but whose streams flow is
// only slow to answer polls.
const stallAfter = time.Second

// errUnreachable ends an attempt at a runner that a request need not wait for.
var errUnreachable = errors.New("the runner is unreachable and the request may run elsewhere")

// watchedAttempt is one attempt of an idempotent request. A paused or cut-off
// runner keeps its connections open, so that only polls tell that it is away.
type watchedAttempt struct {
	runner string
	ctx    context.Context // of calls to the runner
	end    context.CancelCauseFunc
	heard  atomic.Int64 // when the runner was last heard, Unix nanoseconds
}

// watchedAttempts are the attempts under way, by runner.
type watchedAttempts map[string]map[*watchedAttempt]struct{}

// giveUp ends the attempts at a runner that bring nothing.
func (w watchedAttempts) giveUp(now time.Time, runner string) {
	for a := range w[runner] {
		if now.UnixNano()-a.heard.Load() > int64(stallAfter) {
			a.end(errUnreachable)
		}
	}
}

// watch begins an attempt that is given up if its runner becomes unreachable.
func (c *cores) watch(ctx context.Context, runner string) *watchedAttempt {
	a := &watchedAttempt{runner: runner}
	a.ctx, a.end = context.WithCancelCause(ctx)
	a.heard.Store(time.Now().UnixNano())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watched[runner] == nil {
		c.watched[runner] = make(map[*watchedAttempt]struct{})
	}
	c.watched[runner][a] = struct{}{}
	return a
}

// unwatch ends an attempt's watch.
func (c *cores) unwatch(a *watchedAttempt) {
	a.end(context.Canceled)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.watched[a.runner], a)
	if len(c.watched[a.runner]) == 0 {
		delete(c.watched, a.runner)
	}
}

// watchedEngine doesn't resume at a runner that was given up.
type watchedEngine struct {
	upstream.Engine
	attempt *watchedAttempt
}

// Resume implements upstream.Engine.
func (e watchedEngine) Resume(_ context.Context, runID string, from int) (upstream.Stream, error) {
	if errors.Is(context.Cause(e.attempt.ctx), errUnreachable) {
		return nil, errors.Wrap(upstream.ErrUnknownRun, errUnreachable.Error())
	}
	s, err := e.Engine.Resume(e.attempt.ctx, runID, from)
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
	s.attempt.heard.Store(time.Now().UnixNano())
	return item, err
}
