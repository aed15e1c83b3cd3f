package entry

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/version/routing"
)

// cutUpstreams is a list of upstreams whose waiting watches can be cut off. Between the cuts, all calls are answered,
// unless down says that the store is down, or refused that it refuses a call that reads upstreams.
type cutUpstreams struct {
	listed  []fleet.Change
	removed chan string   // a value removes an upstream
	cut     chan struct{} // a value makes the waiting watch fail
	down    func() bool   // nil: never
	refused func() bool   // nil: never
}

func (u *cutUpstreams) isRefused() bool { return u.refused != nil && u.refused() }

func (u *cutUpstreams) isDown() bool { return u.down != nil && u.down() }

func (u *cutUpstreams) alive(context.Context) error {
	if u.isDown() {
		return platform.ErrUnavailable
	}
	return nil
}

// List implements UpstreamFeed.
func (u *cutUpstreams) List(context.Context) ([]fleet.Change, uint64, error) {
	if u.isDown() {
		return nil, 0, platform.ErrUnavailable
	}
	return u.listed, 1, nil
}

// Watch implements UpstreamFeed.
func (u *cutUpstreams) Watch(ctx context.Context, from uint64, wait time.Duration) ([]fleet.Change, uint64, error) {
	if u.isDown() || u.isRefused() {
		return nil, 0, platform.ErrUnavailable
	}
	select {
	case id := <-u.removed:
		return []fleet.Change{{Kind: fleet.Unlisted, ID: id}}, from + 1, nil
	default:
	}
	if wait == 0 {
		return nil, from, nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case id := <-u.removed:
		return []fleet.Change{{Kind: fleet.Unlisted, ID: id}}, from + 1, nil
	case <-u.cut:
		return nil, 0, platform.ErrUnavailable
	case <-timer.C:
		return nil, from, nil
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// AnnounceRoleChange implements UpstreamFeed.
func (u *cutUpstreams) AnnounceRoleChange(context.Context, fleet.Upstream, upstream.Role) error {
	return nil
}

// followCutUpstreams returns an entry process that follows two upstreams of the service "s", until ctx ends.
func followCutUpstreams(ctx context.Context, u *cutUpstreams) *Entry {
	for _, id := range []string{"a", "b"} {
		u.listed = append(u.listed, fleet.Change{Kind: fleet.Listed, ID: id, Upstream: fleet.Upstream{ID: id, Service: "s", Address: id}})
	}
	e := newTestEntry(nil, u.alive)
	e.cfg.Upstreams = u
	go e.probePlatform(ctx)
	go e.followUpstreams(ctx)
	return e
}

// listedNow returns the number of upstreams of the service "s" that get work, and whether the list counts as up to date.
func listedNow(e *Entry) (usable int, upToDate bool) {
	e.state.mu.Lock()
	defer e.state.mu.Unlock()
	return len(e.state.fleet.Usable()["s"]), e.state.fleet.UpToDate(time.Now())
}

// TestUpstreamRemovedAfterCutWatchGetsNoWork guards against an upstream that gets new work seconds after its entry was
// removed, because a single watch that the platform had cut off counted as an outage in which entries may lapse. The
// platform answered all other calls.
func TestUpstreamRemovedAfterCutWatchGetsNoWork(t *testing.T) {
	for _, gap := range []time.Duration{0, 50 * time.Millisecond, 300 * time.Millisecond, 1050 * time.Millisecond, 2100 * time.Millisecond} {
		for _, cuts := range []int{1, 2, 5} {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				u := &cutUpstreams{removed: make(chan string, 1), cut: make(chan struct{})}
				e := followCutUpstreams(ctx, u)
				time.Sleep(10 * time.Second)
				for range cuts {
					u.cut <- struct{}{}
				}
				time.Sleep(gap)
				u.removed <- "a"
				time.Sleep(500 * time.Millisecond)
				usable, upToDate := listedNow(e)
				if usable != 1 {
					t.Errorf("%d cuts, removed %v after the last one: 0.5 s later %d upstreams get work, want 1", cuts, gap, usable)
				}
				if !upToDate {
					t.Errorf("%d cuts, removed %v after the last one: the list counts as out of date", cuts, gap)
				}
				cancel()
				synctest.Wait()
			})
		}
	}
}

// TestUpstreamRemovedAfterRefusedCallsGetsNoWork guards against an upstream that gets new work seconds after its entry was
// removed, because two calls that read upstreams failed in a row, which counted as an outage in which entries may lapse.
// The platform answered all its probes.
func TestUpstreamRemovedAfterRefusedCallsGetsNoWork(t *testing.T) {
	for _, c := range []struct {
		name    string
		refused int           // calls after the cut; negative: for refusedFor
		lasts   time.Duration // how long calls are refused
		gap     time.Duration // from the cut, or from the end of the refusals, to the removal
	}{
		{"one call after the cut", 1, 0, 500 * time.Millisecond},
		{"two calls after the cut", 2, 0, 500 * time.Millisecond},
		{"0.4 s", -1, 400 * time.Millisecond, 300 * time.Millisecond},
		{"0.8 s", -1, 800 * time.Millisecond, 300 * time.Millisecond},
		{"0.8 s, removed meanwhile", -1, 800 * time.Millisecond, -100 * time.Millisecond},
		{"5 s", -1, 5 * time.Second, 100 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			var left atomic.Int64
			var until atomic.Pointer[time.Time]
			u := &cutUpstreams{removed: make(chan string, 1), cut: make(chan struct{})}
			u.refused = func() bool {
				if end := until.Load(); end != nil && time.Now().Before(*end) {
					return true
				}
				return left.Add(-1) >= 0
			}
			e := followCutUpstreams(ctx, u)
			time.Sleep(10*time.Second + 300*time.Millisecond) // between two probes
			left.Store(int64(c.refused))
			end := time.Now().Add(c.lasts)
			until.Store(&end)
			u.cut <- struct{}{}
			time.Sleep(c.lasts + c.gap)
			u.removed <- "a"
			for len(u.removed) > 0 { // until the removal is read
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(10 * time.Millisecond)
			if usable, upToDate := listedNow(e); usable != 1 || !upToDate {
				t.Errorf("%s: %d upstreams get work after the removal was read, want 1; up to date: %v", c.name, usable, upToDate)
			}
			cancel()
			synctest.Wait()
		})
	}
}

// TestRemovalIsReadInTimeAfterRefusedCalls guards against an upstream that gets new work for longer than drainMS after its
// entry was removed, because the pause before the next call had grown to seconds while calls that read upstreams failed,
// and nothing ended it. The platform answered all its probes.
func TestRemovalIsReadInTimeAfterRefusedCalls(t *testing.T) {
	for _, lasts := range []time.Duration{0, 400 * time.Millisecond, 800 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 10 * time.Second} {
		for _, gap := range []time.Duration{0, 50 * time.Millisecond, 300 * time.Millisecond} {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				var until atomic.Pointer[time.Time]
				u := &cutUpstreams{removed: make(chan string, 1), cut: make(chan struct{})}
				u.refused = func() bool { return until.Load() != nil && time.Now().Before(*until.Load()) }
				e := followCutUpstreams(ctx, u)
				time.Sleep(10*time.Second + 300*time.Millisecond) // between two probes
				end := time.Now().Add(lasts)
				until.Store(&end)
				u.cut <- struct{}{}
				time.Sleep(lasts + gap)
				u.removed <- "a"
				time.Sleep(time.Second) // half of drainMS
				if usable, _ := listedNow(e); usable != 1 {
					t.Errorf("calls refused for %v, removed %v after that: a second later %d upstreams get work, want 1", lasts, gap, usable)
				}
				cancel()
				synctest.Wait()
			})
		}
	}
}

// TestOutageAfterCutWatchIsNoticed guards against the opposite: an outage that begins as the watch is cut off has to be
// noticed within two seconds, and an entry that is missing right after it has to stay in use for a while.
func TestOutageAfterCutWatchIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const outage = 5 * time.Second
		ctx, cancel := context.WithCancel(context.Background())
		var began atomic.Pointer[time.Time]
		u := &cutUpstreams{removed: make(chan string, 1), cut: make(chan struct{})}
		u.down = func() bool { return began.Load() != nil && time.Since(*began.Load()) < outage }
		e := followCutUpstreams(ctx, u)
		time.Sleep(10 * time.Second)
		now := time.Now()
		began.Store(&now)
		u.cut <- struct{}{}
		time.Sleep(2 * time.Second)
		if !e.state.platformUnreadable() {
			t.Error("the outage isn't noticed within two seconds")
		}
		time.Sleep(outage - 2*time.Second)
		u.removed <- "a"
		time.Sleep(1500 * time.Millisecond)
		if usable, _ := listedNow(e); usable != 2 {
			t.Errorf("%d upstreams get work 1.5 s after the outage, want 2: one entry may have lapsed in it", usable)
		}
		cancel()
		synctest.Wait()
	})
}

// TestConfigurationDespiteCutWatches guards against a configuration that comes into force seconds late, because the
// pauses between calls grew while the platform cut off one waiting watch after the other and answered all other calls.
func TestConfigurationDespiteCutWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		const changedAt, bound = 20 * time.Second, 2 * time.Second
		p := &fakePlatform{
			lost: func() bool { return false },
			config: func() *routing.Config {
				if time.Since(start) > changedAt {
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
		time.Sleep(changedAt / 2)
		for time.Since(start) < changedAt+bound {
			select {
			case p.cutWatch <- struct{}{}:
			default: // no watch waits
			}
			time.Sleep(50 * time.Millisecond)
			if got := e.state.config.Load().Version; got == 6 && time.Since(start) > changedAt+bound-100*time.Millisecond {
				t.Errorf("version %d is still in force %v after the change", got, time.Since(start)-changedAt)
				break
			}
		}
		cancel()
		synctest.Wait()
	})
}
