package authority

import (
	"fmt"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/defaults"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settle"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// MaxFastWatchers is the number of home candidates (candidates in the lease's availability
// zone) that read the lease at the interval WatchInterval. The other home candidates read it
// at the longer interval SlowWatchInterval, so that the load on the platform does not grow
// with the fleet. These slow watchers matter only when all fast ones are cut off from the
// platform.
const MaxFastWatchers = 3

// MaxRemoteWatchers is the number of candidates of other zones that read the lease. They
// read it once per TTL.
const MaxRemoteWatchers = 1

// Config configures a Core. Zero durations are replaced by the defaults in brackets.
type Config struct {
	Holder            string        // instance name of this process
	Incarnation       string        // unique per start of the process; part of nonces
	TTL               time.Duration // time to live that this process writes to the lease
	Margin            time.Duration // the holder stops this long before the lease expires; less than TTL
	RenewInterval     time.Duration // interval at which the holder renews the lease [TTL/3]
	WatchInterval     time.Duration // read interval of fast watchers [TTL/3]
	SlowWatchInterval time.Duration // read interval of the other home candidates [10 TTL]
	RemoteWait        time.Duration // additional wait of candidates of other zones [2 TTL]
	Stagger           time.Duration // additional wait per rank [TTL/20]
	HandBack          time.Duration // minimum time for which a holder of another zone keeps the lease [10 TTL]
	RetryDelay        time.Duration // delay after the platform did not answer [TTL/6]
}

// withDefaults returns c with zero durations replaced by the defaults.
func (c Config) withDefaults() Config {
	defaults.Set(&c.RenewInterval, c.TTL/3)
	defaults.Set(&c.WatchInterval, c.TTL/3)
	defaults.Set(&c.SlowWatchInterval, 10*c.TTL)
	defaults.Set(&c.RemoteWait, 2*c.TTL)
	defaults.Set(&c.Stagger, c.TTL/20)
	defaults.Set(&c.HandBack, 10*c.TTL)
	defaults.Set(&c.RetryDelay, c.TTL/6)
	return c
}

// leaseView is the lease as last read or written.
type leaseView struct {
	found        bool
	version      uint64
	lease        resource.Lease
	storeVersion uint64
}

// pendingWrite is a write whose outcome is not known yet.
type pendingWrite struct {
	WriteLease
	started   boottime.Time // before the first attempt
	uncertain bool          // an earlier send of it may have taken effect, or may still do so
}

// Core is the lease state machine. It is not safe for concurrent use.
type Core struct {
	cfg      Config
	ranking  Ranking
	stopping bool

	hasSeen       bool   // seen is set
	era           uint64 // of the platform's store, as of the last answer; see Era
	seen          leaseView
	versionSeenAt boottime.Time // when seen.version was first read or written
	readAt        boottime.Time // time of the last read
	hasRead       bool          // false: the lease has to be read at once, whatever readAt is

	holding   bool
	epoch     uint64
	gainedAt  boottime.Time // when holding became true
	windowEnd boottime.Time // CanSendOrders is false from this time on
	lapsed    bool          // the current window has ended; Lapsed is returned at most once for it

	callPending bool          // a call has started and is not answered yet
	pending     *pendingWrite // nil: none
	retryAt     boottime.Time // after a failure, the next call may start then
	nonces      uint64        // number of nonces used
}

// New returns a Core that holds nothing and has read nothing.
func New(cfg Config) *Core {
	return &Core{cfg: cfg.withDefaults(), ranking: Ranking{SameZone: true}}
}

// CanSendOrders reports whether an order may be sent to an engine at the time now, with
// which epoch, and until when. Call it immediately before each order is written, so that a
// process that was paused notices the end of its window.
func (c *Core) CanSendOrders(now boottime.Time) (epoch uint64, until boottime.Time, ok bool) {
	if !c.holding || c.stopping || !now.Before(c.windowEnd) {
		return 0, 0, false
	}
	return c.epoch, c.windowEnd, true
}

// Holding reports whether this process held the lease at its last contact with the
// platform.
func (c *Core) Holding() bool { return c.holding }

// Holder returns the holder that was last read or written, or "" if there was none.
func (c *Core) Holder() string { return c.seen.lease.Holder }

// Epoch returns the epoch that was last read or written.
func (c *Core) Epoch() uint64 { return c.seen.lease.Epoch }

// Era returns the era of the platform's store in which the lease was last read or written.
// The store begins a new era, with a higher number, each time it is restored from an older
// copy of its data. An epoch, in contrast, is the time for which one process holds the
// lease.
func (c *Core) Era() uint64 { return c.era }

// Stopped reports whether a stopping core has nothing left to do.
func (c *Core) Stopped() bool {
	return c.stopping && !c.holding && c.pending == nil && !c.callPending
}

// Step processes an event and returns the actions to execute.
func (c *Core) Step(now boottime.Time, event Event) []Action {
	var out []Action
	switch e := event.(type) {
	case Tick:
	case Ranking:
		c.ranking = e
	case Stop:
		c.stopping = true
	case Read:
		c.callPending = false
		out = c.handleRead(now, e)
	case ReadFailed:
		c.callPending = false
		c.retryAt = now.Add(c.cfg.RetryDelay)
	case LeaseWritten:
		c.callPending = false
		if out = c.handleEra(e.Version); len(out) == 0 {
			out = c.handleWrote(now, e.Version)
		}
	case WriteFailed:
		c.callPending = false
		out = c.handleWriteFailed(now, e.Failure)
	}
	out = append(out, c.reportLapse(now)...)
	return append(out, c.nextCall(now)...)
}

// reportLapse returns the action Lapsed if this process holds the lease but its window for
// sending orders has ended before the lease was renewed. It returns Lapsed only once for
// each window.
func (c *Core) reportLapse(now boottime.Time) []Action {
	if !c.holding || c.lapsed || now.Before(c.windowEnd) {
		return nil
	}
	c.lapsed = true
	return []Action{Lapsed{Epoch: c.epoch}}
}

// nextCall starts the next call if one is due and none is pending.
func (c *Core) nextCall(now boottime.Time) []Action {
	if c.callPending || now.Before(c.nextCallTime()) {
		return nil
	}
	switch {
	case c.pending != nil:
		return c.startRead()
	case c.holding && c.shouldRelease(now):
		lease := c.seen.lease
		lease.Holder = ""
		return c.startWrite(now, lease)
	case c.holding:
		return c.startWrite(now, c.seen.lease)
	case c.stopping:
		return nil
	}
	return c.startRead()
}

// shouldRelease reports whether a held lease is to be released. A process of another
// zone hands it back only after HandBack: the zone's own controllers may be live but
// cut off from the platform, and the lease must not alternate between holders.
func (c *Core) shouldRelease(now boottime.Time) bool {
	return c.stopping || (c.shouldHandBack() && !now.Before(c.gainedAt.Add(c.cfg.HandBack)))
}

// shouldHandBack reports whether the lease belongs to another zone that has a live
// candidate of its own.
func (c *Core) shouldHandBack() bool {
	return !c.ranking.SameZone && c.ranking.SameZoneLive
}

func (c *Core) startRead() []Action {
	c.callPending = true
	return []Action{ReadLease{}}
}

// startWrite starts a new write based on the lease as seen.
func (c *Core) startWrite(now boottime.Time, lease resource.Lease) []Action {
	c.nonces++
	nonce := fmt.Sprintf("%s-%s-%d", c.cfg.Holder, c.cfg.Incarnation, c.nonces)
	lease.TTLMS = c.cfg.TTL.Milliseconds()
	c.pending = &pendingWrite{WriteLease: WriteLease{Base: c.baseVersion(), Lease: lease, Nonce: nonce}, started: now}
	c.callPending = true
	return []Action{c.pending.WriteLease}
}

// baseVersion returns the version that a write replaces, or zero to create the lease.
func (c *Core) baseVersion() uint64 {
	if !c.seen.found {
		return 0
	}
	return c.seen.version
}

// handleRead processes the lease as read from the platform.
func (c *Core) handleRead(now boottime.Time, r Read) []Action {
	c.readAt, c.hasRead = now, true
	if out := c.handleEra(max(r.Version, r.StoreVersion)); len(out) > 0 {
		c.recordRead(now, r)
		c.hasRead = true
		return out
	}
	if p := c.pending; p != nil {
		return c.resolvePendingWrite(now, r)
	}
	if !c.recordRead(now, r) || c.holding || c.stopping {
		return nil
	}
	if !c.mayTake(now) {
		return nil
	}
	return c.startWrite(now, resource.Lease{Holder: c.cfg.Holder, Epoch: c.nextEpoch()})
}

// handleEra records the era of an answer with the given version. A new era means that the
// platform was restored from an older copy. Another process may hold the lease by a write
// that the copy lacks. So this process gives up the lease if it held it, and has to acquire
// it again. A pending write is dropped for the same reason: even if the copy contains that
// write, another process may hold the lease.
func (c *Core) handleEra(version uint64) []Action {
	era, hadSeen := platform.EraOf(version), c.hasSeen
	if version == 0 || era == c.era {
		return nil
	}
	c.era = era
	if !hadSeen {
		return nil
	}
	c.pending, c.hasSeen, c.hasRead = nil, false, false
	out := c.dropLease("the platform returned from an older copy")
	return append(out, Restored{Era: era})
}

// resolvePendingWrite determines the outcome of a write whose answer was lost, by the nonce
// of a later read. If the write has had no effect, it is sent again.
func (c *Core) resolvePendingWrite(now boottime.Time, r Read) []Action {
	p := c.pending
	lost := settle.Write{Base: p.Base, Nonce: p.Nonce}
	switch settle.Resolve(lost, settle.Read{Found: r.Found, Version: r.Version, Nonce: r.Nonce}) {
	case settle.TookEffect:
		return c.handleWrote(now, r.Version)
	case settle.Resend:
		c.callPending = true
		return []Action{p.WriteLease}
	}
	c.pending = nil
	out := c.dropLease("another process wrote the lease")
	c.recordRead(now, r)
	return out
}

// recordRead records what was read and when its version was first seen. It returns
// false for a read that is older than what was seen before.
func (c *Core) recordRead(now boottime.Time, r Read) bool {
	if r.Found && c.hasSeen && r.Version < c.seen.version {
		return false
	}
	changed := !c.hasSeen || r.Found != c.seen.found || r.Version != c.seen.version
	if changed {
		c.versionSeenAt = now
	}
	c.hasSeen = true
	c.seen = leaseView{found: r.Found, version: r.Version, lease: r.Lease, storeVersion: r.StoreVersion}
	return true
}

// mayTake reports whether this candidate may acquire the lease now: it must be one of those
// that read the lease, and the time that takeoverTime returns must have come.
func (c *Core) mayTake(now boottime.Time) bool {
	return c.watchesLease() && !now.Before(c.takeoverTime())
}

// takeoverTime returns when this candidate may acquire the lease if the lease doesn't
// change any more: once it has expired and the additional waits for the candidate's rank
// and zone are over.
func (c *Core) takeoverTime() boottime.Time {
	wait := c.waitForHolder()
	wait += time.Duration(c.ranking.Rank) * c.cfg.Stagger
	if !c.ranking.SameZone {
		wait += c.cfg.RemoteWait
	}
	return c.versionSeenAt.Add(wait)
}

// waitForHolder returns for how long after versionSeenAt another process may still hold
// the lease.
func (c *Core) waitForHolder() time.Duration {
	switch {
	case !c.seen.found:
		// An operator may have deleted the object while a process held the lease.
		return c.cfg.TTL
	case c.predatesRestore():
		return max(c.cfg.TTL, time.Duration(c.seen.lease.TTLMS)*time.Millisecond)
	case c.seen.lease.Holder == "":
		return 0
	}
	return time.Duration(c.seen.lease.TTLMS) * time.Millisecond
}

// predatesRestore reports whether the lease that was last seen was written before the
// platform's last restore from an older copy. The copy lacks all writes made after it. A
// process that acquired the lease by such a write may still hold it.
func (c *Core) predatesRestore() bool {
	return platform.EraOf(c.seen.lease.Epoch) < platform.EraOf(c.seen.version)
}

// nextEpoch returns an epoch above every one used before. An earlier epoch is at most
// the store version of its time, and the store version only grows, even across
// restores from older copies.
func (c *Core) nextEpoch() uint64 {
	if !c.seen.found {
		return c.seen.storeVersion + 1
	}
	return max(c.seen.lease.Epoch+1, c.seen.version)
}

// handleWrote processes a write of this process that took effect.
func (c *Core) handleWrote(now boottime.Time, version uint64) []Action {
	p := c.pending
	c.pending = nil
	if p == nil {
		return nil
	}
	c.hasSeen = true
	c.seen = leaseView{found: true, version: version, lease: p.Lease}
	c.versionSeenAt = now
	c.retryAt = 0
	if p.Lease.Holder == "" {
		return c.dropLease("released")
	}
	wasHolding, wasLapsed := c.holding, c.lapsed
	c.holding, c.epoch = true, p.Lease.Epoch
	c.windowEnd = p.started.Add(c.cfg.TTL - c.cfg.Margin)
	c.lapsed = !now.Before(c.windowEnd)
	switch {
	case !wasHolding:
		c.gainedAt = now
		return []Action{Gained{Epoch: c.epoch, At: now, Reason: "the lease was free or had run out"}}
	case wasLapsed && !c.lapsed:
		return []Action{Renewed{Epoch: c.epoch}}
	}
	return nil
}

// handleWriteFailed processes a failed write. If the write may have taken effect, it stays
// pending, and nextCall reads the lease to find out: at once after the first such failure,
// after RetryDelay if the write was sent again and that failed too.
func (c *Core) handleWriteFailed(now boottime.Time, f Failure) []Action {
	p := c.pending
	if p == nil {
		return nil
	}
	switch f {
	case FailedUnknown:
		if p.uncertain {
			c.retryAt = now.Add(c.cfg.RetryDelay)
		}
		p.uncertain = true
		return nil
	case FailedUnavailable:
		c.retryAt = now.Add(c.cfg.RetryDelay)
		if !p.uncertain {
			c.pending = nil
		}
		return nil
	}
	if p.uncertain {
		return nil // an earlier send of this write may have taken effect: read and compare
	}
	c.pending = nil
	c.hasRead = false // read again immediately
	return c.dropLease("another process wrote the lease")
}

// dropLease records that this process no longer holds the lease. It does nothing if the
// process didn't hold it.
func (c *Core) dropLease(reason string) []Action {
	if !c.holding {
		return nil
	}
	c.holding, c.lapsed = false, false
	c.windowEnd = 0
	return []Action{Lost{Epoch: c.epoch, Reason: reason}}
}

// watchesLease reports whether this candidate reads the lease at all.
func (c *Core) watchesLease() bool {
	return c.ranking.SameZone || c.ranking.Rank < MaxRemoteWatchers
}

// isFastWatcher reports whether this candidate is one of the first MaxFastWatchers home
// candidates.
func (c *Core) isFastWatcher() bool {
	return c.ranking.SameZone && c.ranking.Rank < MaxFastWatchers
}

// watchInterval returns the interval at which this candidate reads the lease.
func (c *Core) watchInterval() time.Duration {
	if c.isFastWatcher() {
		return c.cfg.WatchInterval
	}
	if !c.ranking.SameZone {
		return c.cfg.TTL
	}
	return c.cfg.SlowWatchInterval
}

// never is a time that is never reached.
const never = boottime.Time(1<<63 - 1)

// Wake returns the time at which the next Tick is due. While a call is pending, its
// answer is the next event, so Wake only covers the end of the window.
func (c *Core) Wake() boottime.Time {
	wake := never
	if !c.callPending {
		wake = c.nextCallTime()
	}
	if c.holding && !c.lapsed {
		wake = min(wake, c.windowEnd)
	}
	return wake
}

// nextCallTime returns when the next call may start, including the delay after a
// failure.
func (c *Core) nextCallTime() boottime.Time {
	return max(c.retryAt, c.callDueTime())
}

// callDueTime returns when the next call is due, regardless of failures; a time in the
// past, such as zero, means now.
func (c *Core) callDueTime() boottime.Time {
	switch {
	case c.pending != nil:
		return 0
	case c.holding && c.stopping:
		return 0
	case c.holding:
		start := c.windowEnd.Add(c.cfg.Margin - c.cfg.TTL) // of the last successful write
		return start.Add(c.cfg.RenewInterval)
	case c.stopping || !c.watchesLease():
		return never
	case !c.hasRead:
		return 0
	}
	poll := c.readAt.Add(c.watchInterval())
	if takeover := c.takeoverTime(); c.isFastWatcher() && c.readAt.Before(takeover) {
		return min(poll, takeover)
	}
	return poll
}
