package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/holds"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
	"github.com/ragworttrestle/ragworttrestle/internal/version/routing"
)

// fakePlatform serves configurations from memory, in virtual time.
type fakePlatform struct {
	lost     func() bool // while true, calls fail and new watches are never answered
	config   func() *routing.Config
	cutWatch chan struct{} // a value makes the waiting watch fail
	lists    int
}

func (p *fakePlatform) alive(context.Context) error {
	if p.lost() {
		return platform.ErrUnavailable
	}
	return nil
}

// List implements ConfigFeed.
func (p *fakePlatform) List(context.Context) (*routing.Config, uint64, error) {
	p.lists++
	if p.lost() {
		return nil, 0, platform.ErrUnavailable
	}
	c := p.config()
	return c, c.Version, nil
}

// Watch implements ConfigFeed.
func (p *fakePlatform) Watch(ctx context.Context, from uint64, wait time.Duration) (*routing.Config, uint64, error) {
	if p.lost() { // the connection stays open, but no response arrives on it
		ctx, cancel := context.WithTimeout(ctx, wait+time.Second)
		defer cancel()
		<-ctx.Done()
		return nil, 0, errors.Wrap(platform.ErrUnavailable, ctx.Err().Error())
	}
	if c := p.config(); c.Version > from {
		return c, c.Version, nil
	}
	select {
	case <-p.cutWatch:
		return nil, 0, platform.ErrUnavailable
	case <-time.After(wait):
		return nil, from, nil
	case <-ctx.Done():
		return nil, 0, errors.Wrap(platform.ErrUnavailable, ctx.Err().Error())
	}
}

// newTestEntry returns an entry process that isn't started, without servers and upstreams.
func newTestEntry(configs ConfigFeed, alive func(context.Context) error) *Entry {
	s := &settings.Entry{Instance: settings.Instance{Name: "i-1", Zone: "z1"}}
	s.SetDefaults()
	e := &Entry{holds: holds.New(holds.Config{Scope: tally.NoopScope}), state: newState(s), metrics: newEntryMetrics(tally.NoopScope), origins: newOriginRecord()}
	e.liveSettings.Store(&liveSettings{bounds: s.Bounds})
	e.cfg = Config{Settings: s, Configs: configs, PingStore: alive}
	return e
}

// TestConfigurationAfterSilentOutage checks that a configuration that was changed during an outage of the
// platform is in force within two seconds after the outage. A watch that began in the outage is never
// answered, and must not be waited for.
func TestConfigurationAfterSilentOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		elapsed := func() time.Duration { return time.Since(start) }
		const lostAt, restoredAt = 9 * time.Second, 19 * time.Second
		p := &fakePlatform{
			lost: func() bool { return elapsed() > lostAt && elapsed() < restoredAt },
			config: func() *routing.Config {
				if elapsed() > lostAt {
					return routing.New(9, nil, nil, routing.Limits{})
				}
				return routing.New(6, nil, nil, routing.Limits{})
			},
			cutWatch: make(chan struct{}),
		}
		e := newTestEntry(p, p.alive)
		ctx, cancel := context.WithCancel(context.Background())
		go e.probePlatform(ctx)
		go e.followConfig(ctx)
		time.Sleep(restoredAt + 2*time.Second)
		if got := e.state.config.Load().Version; got != 9 {
			t.Errorf("two seconds after the outage version %d is in force, want 9", got)
		}
		cancel()
		synctest.Wait()
	})
}

// TestConfigurationAfterShortSilence checks that a new configuration is in force within two seconds after
// a silence of the platform that is too short for a probe to notice. A watch fails at the start of the
// silence; the next one, if it begins in the silence, is never answered. Found by the soak test, seed 214.
func TestConfigurationAfterShortSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		elapsed := func() time.Duration { return time.Since(start) }
		const cutAt, silence = 20*time.Second + 300*time.Millisecond, 100 * time.Millisecond
		p := &fakePlatform{
			lost: func() bool { return elapsed() >= cutAt && elapsed() < cutAt+silence },
			config: func() *routing.Config {
				if elapsed() > cutAt+silence {
					return routing.New(9, nil, nil, routing.Limits{})
				}
				return routing.New(6, nil, nil, routing.Limits{})
			},
			cutWatch: make(chan struct{}),
		}
		e := newTestEntry(p, p.alive)
		ctx, cancel := context.WithCancel(context.Background())
		go e.probePlatform(ctx)
		go e.followConfig(ctx)
		time.Sleep(cutAt)
		p.cutWatch <- struct{}{}
		time.Sleep(silence + 2*time.Second)
		if got := e.state.config.Load().Version; got != 9 {
			t.Errorf("two seconds after the silence version %d is in force, want 9", got)
		}
		cancel()
		synctest.Wait()
	})
}

// TestFirstEraIsNoRestore checks that the first era that a process sees doesn't count as a restore of the
// platform, even if the platform was restored from a copy before the process started. A later era counts
// as a restore, once.
func TestFirstEraIsNoRestore(t *testing.T) {
	e := newTestEntry(nil, nil)
	era := uint64(3)
	e.cfg.Era = func() uint64 { return era }
	beforeInit := e.checkEra() // before the first answer
	e.initEra(era)
	if beforeInit || e.checkEra() {
		t.Error("a restore is reported where there was none")
	}
	if era = 4; !e.checkEra() || e.checkEra() {
		t.Error("a restore isn't reported exactly once")
	}
}

// TestOlderConfigurationIsNotInstalled checks that an older version of the configuration that is read late
// doesn't replace a newer one.
func TestOlderConfigurationIsNotInstalled(t *testing.T) {
	e := newTestEntry(nil, nil)
	e.installConfig(routing.New(9, nil, nil, routing.Limits{}), 1)
	e.installConfig(routing.New(6, nil, nil, routing.Limits{}), 2)
	if got := e.state.config.Load().Version; got != 9 {
		t.Errorf("version %d in force, want 9", got)
	}
}

// TestUpstreamsMissingAfterAnOutageStayForAWhile checks that an upstream whose entry expired in an outage
// is still used during the grace period after the outage (fleet.RestoreGrace), and not after that.
func TestUpstreamsMissingAfterAnOutageStayForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(nil, nil)
		usableCount := func() int { return len(e.state.fleet.Usable()["s"]) }
		e.updateFleet(func(now time.Time, f *fleet.Core) { f.Put(now, fleet.Upstream{ID: "a", Service: "s"}) })
		e.updateFleet(func(_ time.Time, f *fleet.Core) { f.PlatformLost() })
		time.Sleep(10 * time.Second)
		e.updateFleet(func(now time.Time, f *fleet.Core) {
			f.PlatformRestored(now)
			f.Replace(now, 0, nil)
		})
		time.Sleep(2 * time.Second)
		e.state.tick(time.Now())
		if usableCount() != 1 {
			t.Error("an upstream that expired in an outage is gone within two seconds of its end")
		}
		time.Sleep(time.Second)
		e.state.tick(time.Now())
		if usableCount() != 0 {
			t.Error("an upstream that never came back still gets work")
		}
	})
}

// rateLimitedPlatform answers perSecond calls a second from all instances together, and rejects others. A
// list takes one call for each of its pages.
type rateLimitedPlatform struct {
	perSecond, pages int
	mu               sync.Mutex
	second           int64
	calls            int
}

// allow counts a call and reports whether it is answered.
func (p *rateLimitedPlatform) allow() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now().Unix(); now != p.second {
		p.second, p.calls = now, 0
	}
	p.calls++
	return p.calls <= p.perSecond
}

func (p *rateLimitedPlatform) list(context.Context) (uint64, error) {
	for range p.pages {
		if !p.allow() {
			return 0, platform.ErrUnavailable
		}
		time.Sleep(5 * time.Millisecond)
	}
	return 1, nil
}

// TestManyUpstreamsStartWithinSeconds checks that an instance knows all of 10,001 upstreams within six
// seconds, and with few calls, if 2,000 of them appear per second. The platform returns at most 500
// changes in one answer, so a delay after each full answer would take too long.
func TestManyUpstreamsStartWithinSeconds(t *testing.T) {
	const upstreams, page, perSecond = 10_001, 500, 2000
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var calls atomic.Int64
		ctx, cancel := context.WithCancel(context.Background())
		allKnown := make(chan struct{})
		watch := func(ctx context.Context, from uint64, _ time.Duration) (uint64, int, error) {
			calls.Add(1)
			time.Sleep(4 * time.Millisecond)
			appeared := min(uint64(time.Since(start).Seconds()*perSecond), upstreams)
			next := min(appeared, from+page)
			if next == upstreams && from < upstreams {
				close(allKnown)
			}
			if from == upstreams {
				<-ctx.Done()
			}
			return next, int(next - from), ctx.Err()
		}
		list := func(context.Context) (uint64, error) { return 0, nil }
		e := newTestEntry(nil, nil)
		e.spawn(func() { e.followFeed(ctx, feed{name: "test", list: list, watch: watch, onLost: func() {}}) })
		<-allKnown
		elapsed, callCount := time.Since(start), calls.Load()
		t.Logf("all known after %v and %d calls", elapsed, callCount)
		if elapsed > 6*time.Second || callCount > 2*upstreams/page {
			t.Errorf("all known after %v and %d calls", elapsed, callCount)
		}
		cancel()
		e.goroutines.Wait()
	})
}

// TestInstancesStartTogether checks that 300 instances that start at once have all read a list and begun to
// watch within 12 s, although the platform answers far fewer calls per second than they need. That takes
// too long if instances whose calls were rejected together also retry together.
func TestInstancesStartTogether(t *testing.T) {
	const instances = 300
	synctest.Test(t, func(t *testing.T) {
		p := &rateLimitedPlatform{perSecond: 200, pages: 2}
		start := time.Now()
		ctx, cancel := context.WithCancel(context.Background())
		var watching sync.WaitGroup
		for range instances {
			e := newTestEntry(nil, nil)
			watching.Add(1)
			var once sync.Once
			watch := func(ctx context.Context, from uint64, _ time.Duration) (uint64, int, error) {
				once.Do(watching.Done)
				<-ctx.Done()
				return from, 0, ctx.Err()
			}
			go e.followFeed(ctx, feed{name: "test", list: p.list, watch: watch, onLost: func() {}})
		}
		watching.Wait()
		t.Logf("all watch after %v", time.Since(start))
		if elapsed := time.Since(start); elapsed > 12*time.Second {
			t.Errorf("the last instance watches after %v", elapsed)
		}
		cancel()
		synctest.Wait()
	})
}

// TestPlatformReturnIsNoticedInTime checks that an upstream that left in an outage gets no work any more 3 s
// after the platform's return, if calls fail at once during the outage: the interval of probes, the probe
// and the list after it, and RestoreGrace have to add up to less.
func TestPlatformReturnIsNoticedInTime(t *testing.T) {
	const (
		bound    = 3 * time.Second
		callTime = 100 * time.Millisecond // of the probe, and of the list after it
	)
	d := &dependency{name: "test"}
	if d.probeDelay() != probeInterval {
		t.Errorf("probed every %v while the platform is reachable", d.probeDelay())
	}
	d.recordFailure(errors.New("refused"))
	if delay := d.probeDelay() + 2*callTime + fleet.RestoreGrace; delay >= bound {
		t.Errorf("out of use %v after the return, want less than %v", delay, bound)
	}
	d.recordSuccess()
	if d.probeDelay() != probeInterval {
		t.Errorf("probed every %v after the return", d.probeDelay())
	}
}
