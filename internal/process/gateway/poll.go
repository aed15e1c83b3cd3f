package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/version/config"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// Polling of runners. The intervals grow with the number of runners, so that a
// gateway's cost for polls has a bound whatever the size of the fleet. Runners of
// other zones only take what the own zone can't serve on time, so they are asked
// more rarely.
const (
	pollOwnLeast   = 500 * time.Millisecond
	pollOwnEach    = 60 * time.Millisecond
	pollOtherLeast = 2 * time.Second
	pollOtherEach  = 250 * time.Millisecond
	pollTimeout    = 2 * time.Second
	// pollIdle keeps the connections of the own zone's polls open in between. Runs
	// drop idle connections much sooner, since a run that meets a dead one may be lost.
	pollIdle        = 30 * time.Second
	pollConcurrency = 16 // for each of own and other zones, so that a cut-off zone holds up nobody else
	pollJitter      = 0.2
	pollFailures    = 2 // in a row, before a runner counts as unreachable
	// pollRare is the interval from which on a connection isn't kept until the next poll.
	pollRare = 10 * time.Second
)

// What is read in which poll. The load is read in each. The state changes by
// orders, of which the configuration tells in advance, and by restarts, which the
// load report shows; cache events are late in any case.
const (
	stateEvery = 4
	cacheEvery = 2
)

// poller reads the load, state and cache events of every runner.
type poller struct {
	g          *Gateway
	engines    *engines // with connections of their own, see pollIdle
	ownSlots   *semaphore.Weighted
	otherSlots *semaphore.Weighted
	limit      time.Duration // of one poll

	mu      sync.Mutex
	running map[string]context.CancelFunc // by runner
	unasked map[string]bool               // runners of the own zone whose first poll has not ended
	lives   map[string]string             // incarnations last seen, by runner
	ready   bool                          // unasked was empty once
	own     int                           // runners of this gateway's zone
	others  int
	done    sync.WaitGroup
}

func newPoller(g *Gateway) *poller {
	return &poller{
		g:          g,
		engines:    newEngines(g.cfg.Engine, pollIdle),
		limit:      pollTimeout,
		ownSlots:   semaphore.NewWeighted(pollConcurrency),
		otherSlots: semaphore.NewWeighted(pollConcurrency),
		running:    make(map[string]context.CancelFunc),
		unasked:    make(map[string]bool),
		lives:      make(map[string]string),
	}
}

// firstAsked reports whether every runner of the own zone that was configured at the start
// was polled once, with or without an answer. Before that, requests would be refused for want
// of runners that are there.
func (p *poller) firstAsked() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ready = p.ready || len(p.unasked) == 0
	return p.ready
}

// asked notes the end of a runner's first poll.
func (p *poller) asked(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.unasked, name)
}

// install starts a loop for each new runner and ends those of runners gone.
func (p *poller) install(ctx context.Context, s *config.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	p.countZones(s)
	for name, stop := range p.running {
		if _, ok := s.Runners[name]; !ok {
			stop()
			delete(p.running, name)
			delete(p.unasked, name)
			delete(p.lives, name)
		}
	}
	for name, r := range s.Runners {
		if _, ok := p.running[name]; !ok {
			if p.isOwn(r) {
				p.unasked[name] = true
			}
			p.start(ctx, name)
		}
	}
}

func (p *poller) countZones(s *config.Snapshot) {
	p.own, p.others = 0, 0
	for _, r := range s.Runners {
		if p.isOwn(r) {
			p.own++
		} else {
			p.others++
		}
	}
}

func (p *poller) start(ctx context.Context, name string) {
	ctx, stop := context.WithCancel(ctx)
	p.running[name] = stop
	p.done.Add(1)
	go func() {
		defer p.done.Done()
		defer stop()
		p.loop(ctx, name)
	}()
}

// wait returns when every loop has ended.
func (p *poller) wait() { p.done.Wait() }

func (p *poller) loop(ctx context.Context, name string) {
	var seen polledRunner
	failed := 0
	for {
		err := p.poll(ctx, name, &seen)
		if ctx.Err() != nil {
			return
		}
		p.asked(name)
		if err == nil {
			failed = 0
		} else {
			failed++
			seen = polledRunner{}
			p.failed(name, failed, err)
		}
		wait := p.interval(name)
		if wait >= pollRare {
			p.engines.closeIdle(name)
		}
		if sleep(ctx, wait) != nil {
			return
		}
	}
}

func (p *poller) failed(name string, inRow int, err error) {
	p.g.metrics.pollFailures.Inc(1)
	if inRow == pollFailures {
		logline.Info("runner unreachable", "runner", name, "error", err)
	}
	if inRow >= pollFailures {
		p.g.cores.pollFailed(time.Now(), name)
	}
}

// interval spreads polls by jitter, so that gateways don't poll in step.
func (p *poller) interval(name string) time.Duration {
	p.mu.Lock()
	own, others := p.own, p.others
	p.mu.Unlock()
	base := max(pollOtherLeast, time.Duration(others)*pollOtherEach)
	if spec, ok := p.spec(name); ok && p.isOwn(spec) {
		base = max(pollOwnLeast, time.Duration(own)*pollOwnEach)
	}
	return time.Duration(float64(base) * (1 - pollJitter + 2*pollJitter*rand.Float64()))
}

func (p *poller) isOwn(r resource.Runner) bool {
	return r.Zone == p.g.cfg.Settings.Instance.Zone
}

// polledRunner is what earlier polls of a runner saw.
type polledRunner struct {
	polls       int
	incarnation string // of the last state
}

// needsState tells whether the state has to be read in this poll.
func (s *polledRunner) needsState(load upstream.LoadReport) bool {
	return s.polls%stateEvery == 0 || load.Incarnation != s.incarnation || load.Leaving
}

// poll reads one runner once.
func (p *poller) poll(ctx context.Context, name string, seen *polledRunner) error {
	spec, ok := p.spec(name)
	if !ok {
		return nil
	}
	slots := p.otherSlots
	if p.isOwn(spec) {
		slots = p.ownSlots
	}
	if err := slots.Acquire(ctx, 1); err != nil {
		return err
	}
	defer slots.Release(1)
	ctx, cancel := context.WithTimeout(ctx, p.limit)
	defer cancel()
	engine := p.engines.get(name, spec.Address)
	load, err := engine.Load(ctx)
	if err != nil {
		return err
	}
	if seen.needsState(load) {
		state, err := engine.State(ctx)
		if err != nil {
			return err
		}
		p.g.restarted(name, p.swapIncarnation(name, state.Incarnation), state.Incarnation)
		seen.incarnation = state.Incarnation
		p.g.cores.stated(name, state)
	}
	p.g.cores.reported(time.Now(), name, load)
	if p.isOwn(spec) && seen.polls%cacheEvery == 0 {
		p.pollCache(ctx, name, engine)
	}
	seen.polls++
	return nil
}

// swapIncarnation notes the incarnation of a runner and gives the one before; empty: none.
func (p *poller) swapIncarnation(name, now string) (before string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before, p.lives[name] = p.lives[name], now
	return before
}

// pollCache reads cache events of a runner of the own zone; of the others it is enough
// to know what this gateway sent them. They are a hint only, so a failure is none of
// the poll.
func (p *poller) pollCache(ctx context.Context, name string, engine upstream.Engine) {
	since := p.g.cores.cacheSince(name)
	events, err := engine.CacheEvents(ctx, since)
	if err == nil {
		p.g.cores.cacheEvents(name, since, events)
	}
}

func (p *poller) spec(name string) (resource.Runner, bool) {
	s := p.g.snapshot()
	if s == nil {
		return resource.Runner{}, false
	}
	spec, ok := s.Runners[name]
	return spec, ok
}
