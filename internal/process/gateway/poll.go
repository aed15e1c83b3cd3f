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

// Polling of runners. The intervals grow with the number of runners, so that the number of polls
// per second has a bound for any number of runners. Runners of other zones are polled less often, because
// they only get requests that the gateway's own zone can't serve on time.
const (
	ownZonePollMin         = 500 * time.Millisecond
	ownZonePollPerRunner   = 60 * time.Millisecond
	otherZonePollMin       = 2 * time.Second
	otherZonePollPerRunner = 250 * time.Millisecond
	pollTimeout            = 2 * time.Second
	// pollIdleTimeout keeps the connections to runners of the own zone open between
	// polls. Connections for runs are closed much sooner when idle, because a run
	// sent on a dead connection may be lost.
	pollIdleTimeout = 30 * time.Second
	// pollConcurrency is the number of polls at the same time. It applies separately to the own
	// zone and to all other zones, so that an unreachable zone doesn't delay polls of the own zone.
	pollConcurrency          = 16
	pollJitter               = 0.2 // an interval varies by up to this fraction in either direction
	unreachableAfterFailures = 2   // number of consecutive failed polls
	// pollDisconnectInterval is the shortest poll interval at which the connection is closed
	// after each poll instead of being kept open.
	pollDisconnectInterval = 10 * time.Second
)

// Every poll reads the load. The state is read in every pollsPerState-th poll and the cache events in every
// pollsPerCacheEvents-th. That suffices for the state because it changes only by orders, which the
// configuration announces, and by restarts, which the load report shows; and for cache events because they
// are late in any case.
const (
	pollsPerState       = 4
	pollsPerCacheEvents = 2
)

// poller reads the load, state and cache events of every runner, in one goroutine for each runner.
type poller struct {
	g              *Gateway
	engines        *enginePool // separate from those for runs, see pollIdleTimeout
	ownZoneSlots   *semaphore.Weighted
	otherZoneSlots *semaphore.Weighted
	timeout        time.Duration // of one poll

	mu               sync.Mutex
	cancels          map[string]context.CancelFunc // by runner
	unpolled         map[string]bool               // runners of the own zone whose first poll has not ended yet
	incarnations     map[string]string             // last seen, by runner
	ready            bool                          // firstPollsDone has returned true; it stays so
	ownZoneRunners   int                           // number of runners in this gateway's zone
	otherZoneRunners int
	loops            sync.WaitGroup
}

func newPoller(g *Gateway) *poller {
	return &poller{
		g:              g,
		engines:        newEnginePool(g.cfg.Engine, pollIdleTimeout),
		timeout:        pollTimeout,
		ownZoneSlots:   semaphore.NewWeighted(pollConcurrency),
		otherZoneSlots: semaphore.NewWeighted(pollConcurrency),
		cancels:        make(map[string]context.CancelFunc),
		unpolled:       make(map[string]bool),
		incarnations:   make(map[string]string),
	}
}

// firstPollsDone reports whether every runner of the own zone has been polled once, successfully or not.
// Once true, it stays true when runners are added. The gateway is not ready before, because it would refuse
// requests although runners are available.
func (p *poller) firstPollsDone() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ready = p.ready || len(p.unpolled) == 0
	return p.ready
}

// markPolled records that a runner's first poll has ended.
func (p *poller) markPolled(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.unpolled, name)
}

// install starts the poll loops of new runners and stops those of removed runners. It does nothing if ctx
// has ended.
func (p *poller) install(ctx context.Context, s *config.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	p.countZones(s)
	for name, cancel := range p.cancels {
		if _, ok := s.Runners[name]; !ok {
			cancel()
			delete(p.cancels, name)
			delete(p.unpolled, name)
			delete(p.incarnations, name)
		}
	}
	for name, r := range s.Runners {
		if _, ok := p.cancels[name]; !ok {
			if p.inOwnZone(r) {
				p.unpolled[name] = true
			}
			p.start(ctx, name)
		}
	}
}

// countZones counts the runners in the own and in other zones. It must be called with mu held.
func (p *poller) countZones(s *config.Snapshot) {
	p.ownZoneRunners, p.otherZoneRunners = 0, 0
	for _, r := range s.Runners {
		if p.inOwnZone(r) {
			p.ownZoneRunners++
		} else {
			p.otherZoneRunners++
		}
	}
}

// start starts the poll loop of a runner. It must be called with mu held.
func (p *poller) start(ctx context.Context, name string) {
	ctx, cancel := context.WithCancel(ctx)
	p.cancels[name] = cancel
	p.loops.Add(1)
	go func() {
		defer p.loops.Done()
		defer cancel()
		p.loop(ctx, name)
	}()
}

// wait returns when all poll loops have ended.
func (p *poller) wait() { p.loops.Wait() }

// loop polls a runner until ctx ends.
func (p *poller) loop(ctx context.Context, name string) {
	var seen polledRunner
	failures := 0
	for {
		err := p.poll(ctx, name, &seen)
		if ctx.Err() != nil {
			return
		}
		p.markPolled(name)
		if err == nil {
			failures = 0
		} else {
			failures++
			seen = polledRunner{}
			p.recordFailure(name, failures, err)
		}
		wait := p.interval(name)
		if wait >= pollDisconnectInterval {
			p.engines.closeIdle(name)
		}
		if sleep(ctx, wait) != nil {
			return
		}
	}
}

// recordFailure records a failed poll. consecutive is the number of failed polls since the last success.
func (p *poller) recordFailure(name string, consecutive int, err error) {
	p.g.metrics.pollFailures.Inc(1)
	if consecutive == unreachableAfterFailures {
		logline.Info("runner unreachable", "runner", name, "error", err)
	}
	if consecutive >= unreachableAfterFailures {
		p.g.dispatcher.pollFailed(time.Now(), name)
	}
}

// interval returns the time until the next poll of a runner, with jitter so that
// gateways don't poll in step.
func (p *poller) interval(name string) time.Duration {
	p.mu.Lock()
	ownRunners, otherRunners := p.ownZoneRunners, p.otherZoneRunners
	p.mu.Unlock()
	base := max(otherZonePollMin, time.Duration(otherRunners)*otherZonePollPerRunner)
	if spec, ok := p.spec(name); ok && p.inOwnZone(spec) {
		base = max(ownZonePollMin, time.Duration(ownRunners)*ownZonePollPerRunner)
	}
	return time.Duration(float64(base) * (1 - pollJitter + 2*pollJitter*rand.Float64()))
}

// inOwnZone reports whether a runner is in this gateway's zone.
func (p *poller) inOwnZone(r resource.Runner) bool {
	return r.Zone == p.g.cfg.Settings.Instance.Zone
}

// polledRunner is the state of a poll loop: what earlier polls of the runner returned. The zero value makes
// the next poll read everything.
type polledRunner struct {
	polls       int    // number of successful polls
	incarnation string // in the last state read
}

// needsState reports whether the poll that returned load must also read the state.
func (s *polledRunner) needsState(load upstream.LoadReport) bool {
	return s.polls%pollsPerState == 0 || load.Incarnation != s.incarnation || load.Leaving
}

// poll polls one runner once and updates seen. A runner that is not in the configuration is not polled.
func (p *poller) poll(ctx context.Context, name string, seen *polledRunner) error {
	spec, ok := p.spec(name)
	if !ok {
		return nil
	}
	slots := p.otherZoneSlots
	if p.inOwnZone(spec) {
		slots = p.ownZoneSlots
	}
	if err := slots.Acquire(ctx, 1); err != nil {
		return err
	}
	defer slots.Release(1)
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
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
		p.g.checkRestart(name, p.swapIncarnation(name, state.Incarnation), state.Incarnation)
		seen.incarnation = state.Incarnation
		p.g.dispatcher.recordState(name, state)
	}
	p.g.dispatcher.recordLoad(time.Now(), name, load)
	if p.inOwnZone(spec) && seen.polls%pollsPerCacheEvents == 0 {
		p.pollCache(ctx, name, engine)
	}
	seen.polls++
	return nil
}

// swapIncarnation records the current incarnation of a runner and returns the previous one, or "" if none
// was recorded.
func (p *poller) swapIncarnation(name, current string) (previous string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous, p.incarnations[name] = p.incarnations[name], current
	return previous
}

// pollCache reads and applies the cache events of a runner of the own zone. For runners of other zones,
// routing uses only the prompts that this gateway sent them. Cache events are only a hint for routing, so
// an error doesn't fail the poll.
func (p *poller) pollCache(ctx context.Context, name string, engine upstream.Engine) {
	since := p.g.dispatcher.cacheSequence(name)
	events, err := engine.CacheEvents(ctx, since)
	if err == nil {
		p.g.dispatcher.applyCacheEvents(name, since, events)
	}
}

// spec returns a runner's specification in the current configuration.
func (p *poller) spec(name string) (resource.Runner, bool) {
	s := p.g.snapshot()
	if s == nil {
		return resource.Runner{}, false
	}
	spec, ok := s.Runners[name]
	return spec, ok
}
