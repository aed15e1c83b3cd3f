package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/version/routing"
)

const (
	// watchTimeout is how long one watch call waits for changes. It is long, as each call costs the
	// platform something. Failures are detected in other ways: a dead connection by keep-alive probes,
	// and an outage of the platform by probePlatform.
	watchTimeout = 20 * time.Second
	// watchTimeoutAfterFailure is how long the first watch call after a failed call waits. If the failure
	// persists, that call may never be answered.
	watchTimeoutAfterFailure = time.Second
	// batchDelay is the delay between a change and the next watch call, so that one call returns several
	// changes. Changes come in groups, and without the delay each change would cost the platform a call
	// of every instance. The delay is far shorter than the seconds within which a change has to be in
	// force.
	batchDelay = 250 * time.Millisecond
	// seriesDelayShare sets the delay that replaces batchDelay in a series of changes, that is, while
	// each change follows the one before within seriesGap. This happens in a rollout of many upstreams
	// and when all of them start. The delay is this share of the time within which a change has to be in
	// force.
	seriesDelayShare = 0.3
	seriesGap        = 2 * time.Second
	// fullAnswerChanges is a number of changes. If one answer has at least that many, more changes are
	// assumed to be waiting at the platform, as when all upstreams start, and the next call is made
	// without a delay. The platform returns some hundred changes at a time, so delays after each answer
	// would add up.
	fullAnswerChanges = 200
	// probeInterval and probeTimeout let an outage and its end be noticed within about two seconds. A
	// slow platform answers within some hundred milliseconds.
	probeInterval = time.Second
	probeTimeout  = 800 * time.Millisecond
	// lostProbeInterval is the interval of probes during an outage. An upstream that left in the outage
	// stays in use for RestoreGrace after the end of the outage is noticed. If that was noticed late, new
	// work would be sent to that upstream for too long.
	lostProbeInterval = 300 * time.Millisecond
	// minRetryPause is the pause after a failed call. While calls keep failing, the pause is multiplied
	// by retryPauseGrowth each time, up to maxRetryPause, or less: see feedCalls.
	minRetryPause    = 100 * time.Millisecond
	maxRetryPause    = 2 * time.Second
	retryPauseGrowth = 4
)

// dependency logs when calls to a dependency start to fail, and when they succeed again.
type dependency struct {
	name string
	lost atomic.Bool
}

// recordFailure records a failed call.
func (d *dependency) recordFailure(err error) {
	if !d.lost.Swap(true) {
		logline.Info("dependency lost", "dependency", d.name, "error", err)
	}
}

// recordSuccess records an answered call. It reports whether the last call before it failed.
func (d *dependency) recordSuccess() bool {
	regained := d.lost.Swap(false)
	if regained {
		logline.Info("dependency regained", "dependency", d.name)
	}
	return regained
}

// probeDelay returns the delay before the next probe.
func (d *dependency) probeDelay() time.Duration {
	if d.lost.Load() {
		return lostProbeInterval
	}
	return probeInterval
}

// renewableContext provides a context for calls that may wait long. The context is canceled and replaced
// when the platform is back after an outage, because calls made during the outage may never be answered,
// although their connection is alive.
type renewableContext struct {
	mu     sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
}

// current returns the context for new calls. If there is none, or if it was canceled, current creates one
// as a child of parent. Otherwise it ignores parent.
func (r *renewableContext) current(parent context.Context) context.Context {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx == nil || r.ctx.Err() != nil {
		r.ctx, r.cancel = context.WithCancel(parent)
	}
	return r.ctx
}

// cancelCurrent cancels the running calls. The next call of current returns a new context.
func (r *renewableContext) cancelCurrent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancel != nil {
		r.cancel()
	}
}

// probePlatform probes the platform's store at intervals. When the store answers again after an outage,
// or was restored from an older copy, probePlatform cancels the waiting calls, so that they are made
// again.
func (e *Entry) probePlatform(ctx context.Context) {
	d := &dependency{name: "platform"}
	for platform.Sleep(ctx, d.probeDelay()) == nil {
		stalls, sent := e.state.stallCount(), time.Now()
		call, cancel := context.WithTimeout(ctx, probeTimeout)
		err := e.cfg.PingStore(call)
		cancel()
		stalled := e.state.stallCount() != stalls // a timeout that passed while this process didn't run says nothing
		if err != nil && ctx.Err() == nil && !stalled {
			d.recordFailure(err)
			e.updateFleet(func(now time.Time, f *fleet.Core) { f.ProbeFailed(sent, now) })
		}
		if err == nil {
			e.updateFleet(func(now time.Time, f *fleet.Core) { recordStoreAnswer(f, sent, now) })
		}
		regained := err == nil && d.recordSuccess()
		if restored := e.checkEra(); restored || regained {
			e.callsCtx.cancelCurrent()
		}
	}
}

// recordStoreAnswer records an answered call to the platform's store, before what it returned is applied.
func recordStoreAnswer(f *fleet.Core, sent, now time.Time) {
	if silence, lapsed := f.StoreAnswered(sent, now); lapsed {
		logline.Info("platform answers after an outage", "unanswered_ms", silence.Milliseconds(), "then", "missing upstreams are kept for a while")
	}
}

// checkEra reports whether the platform was restored from an older copy since the last call of checkEra.
// It compares the platform's era, a number that changes with each restore. After a restore, it cancels
// eraCtx, so that this process stores again what the copy may lack. It returns false until initEra has
// been called.
func (e *Entry) checkEra() (restored bool) {
	era := e.platformEra()
	if !e.eraKnown.Load() || e.era.Swap(era) == era {
		return false
	}
	logline.Info("platform returned from an older copy", "era", era)
	e.eraCtx.cancelCurrent()
	e.origins.recheck()
	return true
}

// initEra sets the era from the platform's first answer, which doesn't count as a restore.
func (e *Entry) initEra(era uint64) {
	if !e.eraKnown.Load() {
		e.era.Store(era)
		e.eraKnown.Store(true)
	}
}

// platformEra returns the newest known era of the platform.
func (e *Entry) platformEra() uint64 {
	if e.cfg.Era == nil {
		return 0
	}
	return e.cfg.Era()
}

// feed is a source of objects on the platform that followFeed lists and then watches. Both functions
// apply what they read. list returns the revision to watch from; watch returns the revision to continue
// from and the number of changes.
type feed struct {
	name   string
	list   func(ctx context.Context) (uint64, error)
	watch  func(ctx context.Context, from uint64, wait time.Duration) (next uint64, changes int, err error)
	onLost func() // called after each failed call by which the platform counts as lost, see feedCalls
}

// followFeed follows a feed until ctx ends: it lists once and then watches. It lists again if the
// platform no longer has the history since the last revision. It repeats failed calls after a pause.
func (e *Entry) followFeed(ctx context.Context, f feed) {
	d := &dependency{name: f.name}
	revision, calls := uint64(0), feedCalls{listedPause: e.seriesDelay() / 2} // half, as addJitter may double it
	batcher := changeBatcher{seriesDelay: e.seriesDelay()}
	for ctx.Err() == nil {
		callCtx, release := e.callContext(ctx)
		next, changes, err := f.step(callCtx, revision, calls.listed, calls.wait())
		e.state.stallCount() // cancels callCtx after a stall: a timeout that passed meanwhile says nothing
		switch {
		case ctx.Err() != nil:
			release()
			return
		case err == nil:
			d.recordSuccess()
			changed := next != revision
			revision = next
			calls.answered()
			if changed {
				_ = platform.Sleep(callCtx, batcher.delay(time.Now(), changes)) // returns early when the platform is back, or after a stall
			}
		case callCtx.Err() != nil:
			calls.canceled() // the platform is back: call again at once
		case errors.Is(err, platform.ErrHistoryGone):
			logline.Info("history gone", "dependency", f.name, "revision", revision)
			calls.historyGone()
		default:
			_ = platform.Sleep(callCtx, addJitter(f.handleFailure(d, &calls, e.state.platformOutage(), err))) // returns early when the platform is back
		}
		release()
	}
}

// handleFailure records a failed call and returns the pause before the next one, without jitter. outage: the platform has
// an outage.
func (f feed) handleFailure(d *dependency, calls *feedCalls, outage bool, err error) time.Duration {
	pause, lost := calls.failed(outage)
	if !lost {
		logline.Info("call is repeated", "dependency", f.name, "listed", calls.listed, "error", err)
		return pause
	}
	d.recordFailure(err)
	f.onLost()
	return pause
}

// callContext returns the context for one call that lists or watches the objects of a feed. The context
// ends when ctx ends. It also ends when the platform is back after an outage, because a call that was
// made during the outage may never be answered; followFeed then calls again. release frees the resources
// of the context.
func (e *Entry) callContext(ctx context.Context) (callCtx context.Context, release func()) {
	callCtx, cancel := context.WithCancel(e.callsCtx.current(context.WithoutCancel(ctx)))
	stop := context.AfterFunc(ctx, cancel)
	return callCtx, func() {
		stop()
		cancel()
	}
}

// addJitter lengthens a pause by up to 100 %, so that instances whose calls were rejected together don't
// call together again. It never shortens the pause: a call that is made too early may fall into the same
// short silence of the platform as the failed one, and never be answered.
func addJitter(pause time.Duration) time.Duration {
	return pause + rand.N(pause)
}

// seriesDelay returns the delay between a change in a series of changes (see seriesDelayShare) and the
// next watch call. This is the longest delay between a change and the next watch call.
func (e *Entry) seriesDelay() time.Duration {
	return time.Duration(seriesDelayShare * float64(e.liveSettings.Load().bounds.ChangeDeadline()))
}

// changeBatcher chooses the delay after changes of one feed.
type changeBatcher struct {
	seriesDelay time.Duration // delay after a change in a series
	delayEnd    time.Time     // end of the delay after the last change
}

// delay returns the delay between an answer with the given number of changes and the next watch call.
func (b *changeBatcher) delay(now time.Time, changes int) time.Duration {
	pause := batchDelay
	if changes >= fullAnswerChanges {
		return 0
	}
	if !b.delayEnd.IsZero() && now.Sub(b.delayEnd) < seriesGap {
		pause = b.seriesDelay
	}
	b.delayEnd = now.Add(pause)
	return pause
}

// step makes the next call: a watch from revision if the feed was listed, or else a list.
func (f feed) step(ctx context.Context, revision uint64, listed bool, wait time.Duration) (next uint64, changes int, err error) {
	if listed {
		return f.watch(ctx, revision, wait)
	}
	next, err = f.list(ctx)
	return next, 0, err
}

// followUpstreams follows the platform's list of upstreams.
func (e *Entry) followUpstreams(ctx context.Context) {
	list := func(ctx context.Context) (uint64, error) {
		stalls, start := e.state.stallCount(), time.Now()
		entries, revision, err := e.cfg.Upstreams.List(ctx)
		if err != nil {
			return 0, err
		}
		e.initEra(platform.EraOf(revision))
		e.updateFleet(func(now time.Time, f *fleet.Core) {
			recordStoreAnswer(f, start, now)
			f.ListRead(now)
			e.recordUnreadable(f.Replace(now, platform.EraOf(revision), entries))
			e.state.listed = true
			e.state.confirmUpstreams(now, stalls)
		})
		e.origins.recheck()
		logline.Info("upstreams listed", "revision", revision, "count", len(entries), "ms", time.Since(start).Milliseconds())
		return revision, nil
	}
	watch := func(ctx context.Context, from uint64, wait time.Duration) (uint64, int, error) {
		stalls, sent := e.state.stallCount(), time.Now()
		if e.state.upstreamsUnconfirmed() {
			wait = 0 // the response confirms the list even if there are no changes
		}
		changes, revision, err := e.cfg.Upstreams.Watch(ctx, from, wait)
		if err != nil {
			return 0, 0, err
		}
		e.updateFleet(func(now time.Time, f *fleet.Core) {
			recordStoreAnswer(f, sent, now)
			f.ListRead(now)
			e.recordUnreadable(f.Apply(now, changes))
			logUpstreamChanges(f, revision, changes)
			if len(changes) < fullAnswerChanges { // otherwise more changes may be waiting
				e.state.confirmUpstreams(now, stalls)
			}
		})
		if len(changes) > 0 {
			e.origins.recheck()
		}
		return revision, len(changes), nil
	}
	lost := func() { e.updateFleet(func(_ time.Time, f *fleet.Core) { f.ListLost() }) }
	e.followFeed(ctx, feed{name: "platform upstreams", list: list, watch: watch, onLost: lost})
}

// updateFleet applies a change to the list of upstreams, then checks the upstreams with broken sends.
func (e *Entry) updateFleet(change func(now time.Time, f *fleet.Core)) {
	now := time.Now()
	e.state.updateFleet(now, func(f *fleet.Core) { change(now, f) })
	e.checkBrokenSends()
}

// logUpstreamChanges logs the changes from one watch call.
func logUpstreamChanges(f *fleet.Core, revision uint64, changes []fleet.Change) {
	for i := range changes {
		switch c := &changes[i]; c.Kind {
		case fleet.Listed:
			u := &c.Upstream
			logline.Info("upstream changed", "upstream", u.ID, "born", u.StartedMS, "service", u.Service, "software", u.Software, "address", u.Address,
				"leaving", u.Leaving, "role", u.Role, "becomes", u.NextRole, "revision", revision)
		case fleet.Unlisted:
			_, kept := f.Get(c.ID)
			logline.Info("upstream unlisted", "upstream", c.ID, "revision", revision, "kept_for_grace", kept)
		}
	}
}

// recordUnreadable logs and counts entries that don't describe a usable upstream.
func (e *Entry) recordUnreadable(entries []fleet.Change) {
	for i := range entries {
		e.metrics.countUnreadable(metricKindUpstreams)
		logline.Info("entry unreadable", "kind", metricKindUpstreams, "name", entries[i].ID, "why", entries[i].Reason)
	}
}

// followConfig follows the configuration on the platform.
func (e *Entry) followConfig(ctx context.Context) {
	list := func(ctx context.Context) (uint64, error) {
		c, revision, err := e.cfg.Configs.List(ctx)
		if err = e.skipInvalidConfig(err, revision); err != nil {
			return 0, err
		}
		e.installConfig(c, revision)
		return revision, nil
	}
	watch := func(ctx context.Context, from uint64, wait time.Duration) (uint64, int, error) {
		c, revision, err := e.cfg.Configs.Watch(ctx, from, wait)
		if err = e.skipInvalidConfig(err, revision); err != nil {
			return 0, 0, err
		}
		e.installConfig(c, revision)
		return revision, 1, nil
	}
	e.followFeed(ctx, feed{name: "platform configuration", list: list, watch: watch, onLost: func() {}})
}

// skipInvalidConfig returns nil for the error of a version of the configuration that can't be read, so
// that the feed goes on and the version in force stays in force until a newer one can be read. It
// returns other errors unchanged.
func (e *Entry) skipInvalidConfig(err error, revision uint64) error {
	if !errors.Is(err, platform.ErrInvalid) || revision == 0 {
		return err
	}
	e.metrics.countUnreadable(metricKindConfig)
	logline.Info("entry unreadable", "kind", metricKindConfig, "revision", revision, "why", err)
	return nil
}

// installConfig puts a version of the configuration in force and announces it to the availability zone.
// It ignores nil and a version that isn't newer than the one in force.
func (e *Entry) installConfig(c *routing.Config, revision uint64) {
	if c == nil || !e.state.install(c) {
		return
	}
	e.origins.recheck()
	logline.Info("configuration in force", "version", c.Version, "revision", revision, "routes", len(c.Routes))
	if e.peers != nil {
		e.peers.copyAllRows()
		e.spawn(func() { e.peers.announceVersion(e.workCtx) })
	}
}
