package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/holds"
	"github.com/ragworttrestle/ragworttrestle/internal/request/quarantine"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

const (
	// placerRecordDelay and otherRecordDelay are how long placers and other instances wait before they
	// store a hold whose last crash was found by another instance. The instance that found the crash
	// stores the hold at once; the others store it only if that write didn't reach the platform. In the
	// same way, the instance that got a complete answer removes the hold at once, and the others only if
	// it is still there.
	placerRecordDelay = 500 * time.Millisecond
	otherRecordDelay  = 2 * time.Second
)

// newHolds returns the keeper of holds (see the package comment). It identifies the work of a request by
// request.content.
func (e *Entry) newHolds() *holds.Keeper {
	return holds.New(holds.Config{
		Instance:        e.cfg.Settings.Instance.Name,
		Store:           e.cfg.Records,
		Scope:           e.exporter.Scope(),
		Background:      e.workCtx,
		RunInBackground: e.spawn,
		StoreDelay:      e.holdRecordDelay,
		Broadcast:       e.broadcastCrashes,
		CheckReachable:  e.checkUpstreamEnded,
	})
}

// cutSettleTime is within what time of each other the links of an instance fail that is cut off.
const cutSettleTime = 100 * time.Millisecond

// errOwnLinks is the reason for not concluding from a refused connection that an upstream ended: the links of this
// instance to others in its zone, which worked lately, fail as well.
var errOwnLinks = errors.New("the own links to other upstreams in the zone fail, too")

// checkUpstreamEnded connects to an upstream at which a send broke off. A refused connection shows that the upstream's
// process has ended, unless the link is at fault: another instance reaches the upstream and the own link still refuses, or
// no other instance does, and this one doesn't reach other upstreams of the zone either.
func (e *Entry) checkUpstreamEnded(ctx context.Context, incarnation quarantine.Incarnation, address string, timeout time.Duration) error {
	err := upstream.CheckReachable(ctx, address, timeout)
	switch {
	case !holds.IsConnectionRefused(err):
		return err
	case !e.reachesThroughRelay(ctx, &fleet.Upstream{ID: string(incarnation), Address: address}):
		if !e.reachesNeighbor(ctx, address, timeout) {
			return errOwnLinks
		}
		return err
	}
	if again := upstream.CheckReachable(ctx, address, timeout); again != nil {
		return errors.New("the link to the upstream is down: " + again.Error())
	}
	return err
}

// reachesNeighbor reports whether this instance, after cutSettleTime, still reaches another upstream in the zone of the one
// at an address. If it used none lately that could tell, its links must have worked elsewhere within the last second.
func (e *Entry) reachesNeighbor(ctx context.Context, address string, timeout time.Duration) bool {
	neighbors := e.links.neighbors(address)
	if len(neighbors) == 0 {
		return !e.links.inDoubt()
	}
	if platform.Sleep(ctx, cutSettleTime) != nil {
		return false
	}
	reached := make(chan bool, len(neighbors))
	for _, neighbor := range neighbors {
		e.spawn(func() { reached <- upstream.CheckReachable(ctx, neighbor, timeout) == nil })
	}
	for range neighbors {
		if <-reached {
			return true
		}
	}
	return false
}

// holdRecordDelay returns how long to wait before a hold is stored or removed. own says that this
// instance found the last crash that led to the hold, or that the removal is up to this instance.
func (e *Entry) holdRecordDelay(own bool) time.Duration {
	switch {
	case own || e.peers == nil:
		return 0
	case e.peers.isPlacer():
		return addJitter(placerRecordDelay)
	}
	return addJitter(otherRecordDelay)
}

// broadcastCrashes sends crashes that this instance found to other instances.
func (e *Entry) broadcastCrashes(crashes []quarantine.Crash) {
	if e.peers != nil {
		e.peers.broadcastCrashes(crashes)
	}
}

// upstreamSend is one send of a request to an upstream.
type upstreamSend struct {
	startedAt    time.Time
	livenessConn *upstream.LivenessConn // see startSend; nil: none
}

// startSend records the start of a send. If some work is suspected of crashing upstreams, startSend asks
// the keeper of holds (see newHolds) whether this request's work needs a liveness connection, and if so
// opens one. It shows whether the upstream's process exits (see the package comment).
func (q *request) startSend(ctx context.Context, u *fleet.Upstream) *upstreamSend {
	send := &upstreamSend{}
	if q.e.holds.HasSuspects() && q.e.usesOwnLink(u.Address) {
		send.livenessConn = q.e.holds.OpenLivenessConn(ctx, q.content(), u.Address)
	}
	send.startedAt = time.Now()
	return send
}

// closeLivenessConn closes the liveness connection that startSend opened, if there is one.
func (s *upstreamSend) closeLivenessConn() {
	holds.CloseLivenessConn(s.livenessConn)
	s.livenessConn = nil
}

// reportBrokenSend records that a send broke off before the response was complete, and starts a check
// of whether the upstream crashed. There is no check of an upstream that is leaving, or whose entry was removed from
// this instance's list of upstreams: such an upstream ends its requests as planned.
func (q *request) reportBrokenSend(u *fleet.Upstream, send *upstreamSend) {
	e := q.e
	status := e.state.incarnationStatus(u.Incarnation())
	restarted := status.end.Next != ""
	switch {
	case status.leaving, !status.listed && !restarted && e.state.upstreamsListed():
		return
	case restarted:
		e.recordListedEnd(incarnationOf(u), status.end)
	}
	e.holds.HandleBrokenSend(holds.BrokenSend{Content: q.content(), Parts: q.sharedPartIDs(), Incarnation: incarnationOf(u), Address: u.Address, Sent: send.startedAt, LivenessConn: send.livenessConn})
	send.livenessConn = nil // HandleBrokenSend closes it
}

// endedEarly reports whether the upstream ended a response before it was complete.
func endedEarly(ctx context.Context, err error) bool {
	return ctx.Err() == nil && errors.Is(err, errIncomplete)
}

// incarnationOf returns the incarnation of an upstream in the type of package quarantine.
func incarnationOf(u *fleet.Upstream) quarantine.Incarnation {
	return quarantine.Incarnation(u.Incarnation())
}

// checkBrokenSends checks, after a change of the list of upstreams, whether upstreams with broken sends
// are leaving (a planned stop) or were seen to end otherwise (a crash).
func (e *Entry) checkBrokenSends() {
	for _, incarnation := range e.holds.UpstreamsToCheck() {
		e.checkBrokenSendsAt(incarnation)
	}
}

// checkBrokenSendsAt is checkBrokenSends for one upstream.
func (e *Entry) checkBrokenSendsAt(incarnation quarantine.Incarnation) {
	switch status := e.state.incarnationStatus(fleet.Incarnation(incarnation)); {
	case status.leaving:
		e.holds.UpstreamStopped(incarnation)
	case status.ended:
		e.recordListedEnd(incarnation, status.end)
	}
}

// recordListedEnd records the end of an upstream that a list of upstreams shows.
func (e *Entry) recordListedEnd(incarnation quarantine.Incarnation, end fleet.End) {
	if end.Next == "" {
		e.holds.UpstreamEnded(incarnation, "no longer listed")
		return
	}
	e.holds.UpstreamRestarted(incarnation, quarantine.Incarnation(end.Next), time.UnixMilli(end.NextStartedMS))
}

// recordAnswer records that an upstream began to answer a request that was sent at the given time. Without its start, it
// is taken for the listed process.
func (e *Entry) recordAnswer(u *fleet.Upstream, sent time.Time) {
	if u.StartedMS == 0 {
		e.holds.UpstreamAlive(incarnationOf(u), sent)
		return
	}
	e.holds.UpstreamAnswered(incarnationOf(u), sent)
}

// followHolds keeps the holds in sync with those stored on the platform.
func (e *Entry) followHolds(ctx context.Context) {
	list := func(ctx context.Context) (uint64, error) {
		listedAt := time.Now()
		objects, revision, err := e.cfg.Records.List(ctx, resource.KindHold)
		if err != nil {
			return 0, err
		}
		e.holds.ApplyList(listedAt, revision, objects)
		return revision, nil
	}
	watch := func(ctx context.Context, from uint64, wait time.Duration) (uint64, int, error) {
		events, revision, err := e.cfg.Watcher.Changes(ctx, resource.KindHold, from, wait)
		if err != nil {
			return 0, 0, err
		}
		for _, ev := range events {
			e.holds.ApplyEvent(ev)
		}
		return revision, len(events), nil
	}
	e.followFeed(ctx, feed{name: "platform holds", list: list, watch: watch, onLost: func() {}})
}

// removesExpiredHolds reports whether this instance is the one that removes expired holds from the
// platform: the first candidate for the lease.
func (e *Entry) removesExpiredHolds() bool {
	rank, ok := e.leaseRank(time.Now())
	return ok && rank == 0
}
