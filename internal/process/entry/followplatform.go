package entry

import (
	"context"
	"sync"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/peers"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// In an availability zone, only the placers follow the configuration and the holds on the platform. The
// placers and the instances next in rank follow the upstreams. All other instances ask the placers for
// places, and receive the configuration and reports of crashes from them. So the number of calls to the
// platform and the work caused by each change grow with the number of zones instead of instances.

const (
	// followCheckInterval is how often an instance checks whether it has to follow the platform, in
	// addition to the checks that recheckFollowing triggers.
	followCheckInterval = 500 * time.Millisecond
	// unfollowDelay is how long an instance keeps following the platform after it no longer has to.
	// Whether it has to depends on the instances before it in rank, which may only be paused.
	unfollowDelay = 3 * time.Second
	// holdsPollInterval is how often an instance that doesn't follow the holds polls them. It also
	// receives the crashes that lead to a hold from other instances.
	holdsPollInterval = 20 * time.Second
	// maxStaleListAge is the assumed maximum age of a list from ListStale. The platform promises only that
	// it is seconds old.
	maxStaleListAge = 10 * time.Second
	// platformLostAfter is how long the platform must be unreadable before this instance reports that to
	// others: one call whose response was lost is no reason to ask another instance for places.
	platformLostAfter = 300 * time.Millisecond
)

// followPlatform follows the parts of the platform that this instance needs, until ctx ends.
func (e *Entry) followPlatform(ctx context.Context) {
	always := func(time.Time) peers.FollowReason { return peers.ByRank }
	upstreams := followTask{name: "upstreams", why: always, feeds: []func(context.Context){e.followUpstreams, e.probePlatform, e.followOrigins}}
	configAndHolds := followTask{name: "configuration and holds", why: always, feeds: []func(context.Context){e.followConfig, e.followHolds}}
	if s := e.peers; s != nil {
		upstreams.why, configAndHolds.why = s.whyUpstreams, s.whyPlatform
		upstreams.recheck, configAndHolds.recheck = s.recheckUpstreams, s.recheckConfig
	}
	upstreams.onStop = func() { e.state.forgetUpstreams(time.Now()) }
	configAndHolds.onStop = func() {}
	e.spawn(func() { upstreams.run(ctx) })
	e.spawn(func() { configAndHolds.run(ctx) })
}

// followTask is a part of the platform that is followed while it is needed.
type followTask struct {
	name    string
	why     func(now time.Time) peers.FollowReason // why the part is needed now
	recheck <-chan struct{}                        // signals that the part may have become needed; nil: it is always needed
	feeds   []func(ctx context.Context)
	onStop  func() // called after the feeds have ended
}

// run follows the feeds while they are needed, until ctx ends.
func (t *followTask) run(ctx context.Context) {
	for ctx.Err() == nil {
		if why := t.why(time.Now()); why != peers.NotNeeded {
			logline.Info("platform followed from now on", "what", t.name, "why", why)
			t.follow(ctx)
			logline.Info("platform not followed any more", "what", t.name)
		}
		t.awaitRecheck(ctx)
	}
}

// awaitRecheck waits until the next check of whether the feeds are needed is due.
func (t *followTask) awaitRecheck(ctx context.Context) {
	timer := time.NewTimer(followCheckInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-t.recheck:
	}
}

// follow follows the feeds until they haven't been needed for unfollowDelay, or ctx ends.
func (t *followTask) follow(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var feeds sync.WaitGroup
	for _, follow := range t.feeds {
		feeds.Go(func() { follow(ctx) })
	}
	for last := time.Now(); platform.Sleep(ctx, followCheckInterval) == nil; {
		now := time.Now()
		if t.why(now) != peers.NotNeeded {
			last = now
		} else if now.Sub(last) >= unfollowDelay {
			break
		}
	}
	stop()
	feeds.Wait()
	t.onStop()
}

// recheckFollowing triggers a check of whether this instance has to follow the platform.
func (s *peerExchange) recheckFollowing() {
	for _, recheck := range []chan struct{}{s.recheckUpstreams, s.recheckConfig} {
		select {
		case recheck <- struct{}{}:
		default: // a check is pending already
		}
	}
}

// announceStop tells the availability zone that this instance is stopping, if it follows the upstreams
// and so may be a placer. The instances next in rank then begin to follow the upstreams before they are
// asked for places.
func (s *peerExchange) announceStop() {
	s.copyAllRows()
	if s == nil || !s.following.Load() {
		return
	}
	s.mu.Lock()
	zone := s.core.ZoneAddresses()
	s.mu.Unlock()
	s.introduce(zone...)
}

// whyUpstreams returns why this instance has to follow the upstreams.
func (s *peerExchange) whyUpstreams(now time.Time) peers.FollowReason {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.WhyUpstreams(now)
}

// whyPlatform returns why this instance has to follow the configuration and the holds.
func (s *peerExchange) whyPlatform(now time.Time) peers.FollowReason {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.WhyPlatform(now)
}

// needsUpstreams reports whether this instance has to follow the upstreams.
func (s *peerExchange) needsUpstreams(now time.Time) bool {
	return s.whyUpstreams(now) != peers.NotNeeded
}

// followsPlatform reports whether this instance has to follow the configuration and the holds.
func (s *peerExchange) followsPlatform(now time.Time) bool {
	return s.whyPlatform(now) != peers.NotNeeded
}

// pollHolds polls the holds until ctx ends, while this instance is ready and doesn't follow them.
func (e *Entry) pollHolds(ctx context.Context) {
	if e.peers == nil {
		return
	}
	for interval := followCheckInterval; platform.Sleep(ctx, interval) == nil; {
		interval = followCheckInterval
		if e.notReadyReason() != "" || e.peers.followsPlatform(time.Now()) {
			continue
		}
		if e.listStaleHolds(ctx) {
			interval = addJitter(holdsPollInterval)
		} else {
			interval = addJitter(maxRetryPause)
		}
	}
}

// listStaleHolds reads and applies a list of holds that may be up to maxStaleListAge old. It reports
// whether the list could be read.
func (e *Entry) listStaleHolds(ctx context.Context) bool {
	asOf := time.Now().Add(-maxStaleListAge)
	objects, revision, err := e.cfg.Watcher.ListStale(ctx, resource.KindHold)
	if err != nil {
		logline.Info("holds not listed", "error", err)
		return false
	}
	e.initEra(platform.EraOf(revision))
	if e.checkEra() {
		e.callsCtx.cancelCurrent()
	}
	e.holds.ApplyList(asOf, revision, objects)
	return true
}

// platformLost reports whether the list of upstreams hasn't been up to date for platformLostAfter, because
// the platform couldn't be read. Other instances should then ask this process for places only if no
// instance can read the platform.
func (e *Entry) platformLost(now time.Time) bool {
	return e.state.platformLostFor(now) >= platformLostAfter
}
