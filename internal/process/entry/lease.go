package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/process/authority"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/usage"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

const (
	// leaseName is the name of the only lease. One lease is enough for the engines of all services, as
	// there are only a few orders a minute.
	leaseName = "engines"
	// standbyReadTTLs is the interval, in TTLs, at which the lease is read by candidates other than the
	// first authority.MaxFastWatchers.
	standbyReadTTLs = 5
	// leaseMarginShare is how long before the end of the lease its holder stops using it, as a share of
	// the TTL.
	leaseMarginShare = 0.3
	// maxOrderDelay is the longest time between the sending of an order and its execution. If engines
	// don't check fencing tokens, a new holder of the lease waits that long before its first order, so
	// that no order of a former holder is carried out after it.
	maxOrderDelay = 13 * time.Second
)

// lease acquires and renews the lease. The holder of the lease may order engines to change their roles,
// and may carry out duties (see dutyGrant). It is used by one goroutine.
type lease struct {
	records       platform.Store
	era           func() uint64 // newest known era of the platform
	ttl           time.Duration
	lastRanking   authority.Ranking // last ranking that was passed to core
	core          *authority.Core
	takeoverWait  time.Duration // time before the first order if another process held the lease before
	otherHolderAt boottime.Time // when another process was last seen to hold the lease; 0: never
	ordersFrom    boottime.Time // no order before this
	dutiesFrom    boottime.Time // no duty before this

	loggedVersion uint64 // version of the unreadable lease that was last logged
}

func newLease(records platform.Store, era func() uint64, name string, ttl time.Duration, fencing bool) *lease {
	l := &lease{records: records, era: era, ttl: ttl, takeoverWait: ttl}
	if !fencing {
		l.takeoverWait += maxOrderDelay
	}
	l.core = authority.New(authority.Config{
		Holder:            name,
		Incarnation:       platform.NewNonce(),
		TTL:               ttl,
		Margin:            time.Duration(float64(ttl) * leaseMarginShare),
		SlowWatchInterval: standbyReadTTLs * ttl,
	})
	return l
}

// setCandidate sets whether this process is a candidate for the lease, and its rank. A process that
// isn't a candidate doesn't acquire the lease. If it holds the lease already, it gives the lease up after
// a while, so that a candidate can acquire it. For this, setCandidate tells package authority that the
// process is in another availability zone than the lease, with the first rank that doesn't read the lease.
func (l *lease) setCandidate(ctx context.Context, rank int, candidate bool) {
	ranking := authority.Ranking{SameZone: true, Rank: rank}
	if !candidate {
		ranking = authority.Ranking{SameZoneLive: true, Rank: authority.MaxRemoteWatchers}
	}
	if l.lastRanking == ranking {
		return
	}
	l.lastRanking = ranking
	l.step(ctx, ranking)
}

// orderFence returns the fencing token for an order that is sent now. ok is false if no order may be sent.
// If an answer to this process has shown that the platform was restored from an older copy, and so began a
// new era, no order may be sent until the lease is acquired again in that era.
func (l *lease) orderFence() (fence uint64, ok bool) {
	now := boottime.Now()
	fence, _, ok = l.core.CanSendOrders(now)
	return fence, ok && !now.Before(l.ordersFrom) && l.era() == l.core.Era()
}

// dutyGrant is the permission to carry out duties until a given time. A duty is a call to the platform
// that only the holder of the lease may make, on behalf of all instances: it reports the usage of client
// accounts (interface Duties) or asks for engines to be started or stopped (interface Scaler).
type dutyGrant struct {
	authority usage.Authority
	expires   boottime.Time
}

// valid reports whether the grant is valid now. era is the newest known era of the platform. A nil grant
// isn't valid.
func (g *dutyGrant) valid(era uint64) bool {
	return g != nil && boottime.Now().Before(g.expires) && era == g.authority.Era
}

// duties returns the permission to carry out duties, or nil if this process may not carry out any now.
func (l *lease) duties() *dutyGrant {
	now := boottime.Now()
	fence, until, ok := l.core.CanSendOrders(now)
	if !ok || now.Before(l.dutiesFrom) || l.era() != l.core.Era() {
		return nil
	}
	return &dutyGrant{authority: usage.Authority{Fence: fence, Era: l.core.Era()}, expires: until}
}

// tick steps the core if a step is due.
func (l *lease) tick(ctx context.Context) {
	if l.core.Wake() <= boottime.Now() {
		l.step(ctx, authority.Tick{})
	}
}

// release releases a held lease in a graceful shutdown.
func (l *lease) release(ctx context.Context) { l.step(ctx, authority.Stop{}) }

// step steps the core with an event. It executes the actions that the core returns, steps the core with
// their results, and so on until no action is left.
func (l *lease) step(ctx context.Context, e authority.Event) {
	pending := l.core.Step(boottime.Now(), e)
	for len(pending) > 0 {
		action := pending[0]
		pending = pending[1:]
		if ctx.Err() != nil {
			pending = append(pending, l.skipCall(action)...)
			continue
		}
		switch a := action.(type) {
		case authority.ReadLease:
			pending = append(pending, l.core.Step(boottime.Now(), l.read(ctx))...)
		case authority.WriteLease:
			answer := l.write(ctx, a)
			pending = append(pending, l.core.Step(boottime.Now(), answer)...)
		case authority.Gained:
			l.handleGained(a)
		case authority.Lost:
			logline.Info("lease lost", "lease", leaseName, "epoch", a.Epoch, "why", a.Reason)
		case authority.Restored:
			l.otherHolderAt = boottime.Now()
			logline.Info("lease to be taken anew", "lease", leaseName, "era", a.Era, "why", "the platform returned from an older copy")
		case authority.Lapsed:
			logline.Info("lease lapsed", "lease", leaseName, "epoch", a.Epoch)
		case authority.Renewed:
			logline.Info("lease renewed after a lapse", "lease", leaseName, "epoch", a.Epoch)
		}
	}
}

// skipCall is used instead of making a call once the context has ended: it tells the core that the call
// failed. Otherwise the core would wait for the result of the call forever, and a shutdown would not
// release the lease.
func (l *lease) skipCall(action authority.Action) []authority.Action {
	switch action.(type) {
	case authority.ReadLease:
		return l.core.Step(boottime.Now(), authority.ReadFailed{})
	case authority.WriteLease:
		return l.core.Step(boottime.Now(), authority.WriteFailed{Failure: authority.FailedUnavailable})
	}
	return nil
}

// handleGained sets the times from which orders and duties are allowed after this process has acquired
// the lease. If there was another holder, orders and duties have to wait, because the last order of that
// holder may be carried out late, and the holder must not change too often.
func (l *lease) handleGained(a authority.Gained) {
	l.ordersFrom, l.dutiesFrom = 0, 0
	if l.otherHolderAt != 0 {
		// A call of a duty ends within the TTL. An order may be carried out later than that.
		l.ordersFrom, l.dutiesFrom = boottime.Now().Add(l.takeoverWait), boottime.Now().Add(l.ttl)
	}
	logline.Info("lease taken", "lease", leaseName, "epoch", a.Epoch, "why", a.Reason, "after_another", l.otherHolderAt != 0)
}

// read reads the lease from the platform and returns the result for the core. If the lease exists but
// can't be decoded, the result contains the lease that assumedLease returns.
func (l *lease) read(ctx context.Context) authority.Event {
	o, err := l.records.Get(ctx, resource.KindLease, leaseName)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return l.readMissing(ctx)
	case err != nil && o.Version == 0:
		logline.Info("lease not read", "lease", leaseName, "error", err)
		return authority.ReadFailed{}
	}
	var spec resource.Lease
	if err == nil {
		spec, err = decodeLease(o)
	}
	if err != nil {
		spec = l.assumedLease(o.Version, err)
	}
	l.otherHolderAt = boottime.Now() // the last holder wasn't this incarnation of the process
	return authority.Read{Found: true, Version: o.Version, Nonce: o.Nonce, Lease: spec}
}

// maxLeaseTTL limits the TTL of a stored lease. This process writes a TTL of some seconds. A much longer
// TTL, from another writer, would prevent all orders for that time.
const maxLeaseTTL = time.Minute

// decodeLease decodes a lease. It returns an error if the TTL or the epoch is out of range.
func decodeLease(o platform.Object) (resource.Lease, error) {
	spec, err := resource.Decode[resource.Lease](o)
	ttl := time.Duration(spec.TTLMS) * time.Millisecond
	switch {
	case err != nil:
	case ttl <= 0 || ttl > maxLeaseTTL:
		err = errors.Errorf("lease %s: ttlMS %d is out of range", o.Name, spec.TTLMS)
	case spec.Epoch > o.Version:
		err = errors.Errorf("lease %s: epoch %d is above the store's version %d", o.Name, spec.Epoch, o.Version)
	}
	return spec, err
}

// assumedLease returns what is assumed in place of a lease that can't be decoded: some process may hold
// it, with the TTL that this process uses, and every epoch up to the store's version may have been used.
// The stored lease is then replaced as if it had expired.
func (l *lease) assumedLease(version uint64, reason error) resource.Lease {
	if l.loggedVersion != version {
		l.loggedVersion = version
		logline.Info("entry unreadable", "kind", resource.KindLease, "name", leaseName, "why", reason)
	}
	return resource.Lease{Holder: "unreadable", Epoch: version, TTLMS: l.ttl.Milliseconds()}
}

// readMissing returns the result for the core if there is no lease. The result contains the version of
// the store.
func (l *lease) readMissing(ctx context.Context) authority.Event {
	objects, version, err := l.records.List(ctx, resource.KindLease)
	if err != nil {
		logline.Info("lease not read", "lease", leaseName, "error", err)
	}
	if err != nil || len(objects) > 0 {
		return authority.ReadFailed{} // there is a lease by now, or the platform didn't answer: read again
	}
	if platform.EraOf(version) > 0 {
		l.otherHolderAt = boottime.Now() // the restored copy may lack a lease that another process held
	}
	return authority.Read{StoreVersion: version}
}

// write stores the lease on the platform and returns the result for the core.
func (l *lease) write(ctx context.Context, a authority.WriteLease) authority.Event {
	o, err := resource.Encode(resource.KindLease, leaseName, a.Lease)
	if err != nil {
		logline.Error(err, "lease not encoded", "lease", leaseName)
		return authority.WriteFailed{Failure: authority.FailedUnavailable}
	}
	o.Version, o.Nonce, o.Writer = a.Base, a.Nonce, a.Lease.Holder
	write := l.records.Update
	if a.Base == 0 {
		write = l.records.Create
	}
	stored, err := write(ctx, o)
	switch {
	case err == nil:
		return authority.LeaseWritten{Version: stored.Version}
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrNotFound):
		return authority.WriteFailed{Failure: authority.FailedConflict}
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrInvalid), errors.Is(err, platform.ErrTooLarge):
		return authority.WriteFailed{Failure: authority.FailedUnavailable}
	}
	return authority.WriteFailed{Failure: authority.FailedUnknown}
}
