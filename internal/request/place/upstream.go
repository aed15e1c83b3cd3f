package place

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/decay"
	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
)

// reportHalfLife is the half-life of the weight of an upstream's own load report. The rest of
// the weight goes to the mean of all reports of its group. Requests take tens to hundreds of
// milliseconds, so an older report says little about the upstream. The mean still shows how
// full the service is, even to a process that rarely gets a report of each upstream.
const reportHalfLife = 400 * time.Millisecond

// upstreamState holds the tracked state of one incarnation of an upstream.
type upstreamState struct {
	up              fleet.Upstream
	incarnation     fleet.Incarnation
	listVersion     uint64       // Tracker.listVersion of the last list that it was on
	key             UpstreamKey  // of the incarnation
	hash            uint64       // of the upstream's ID, see rendezvousWeight
	ownRequests     int          // requests of this process in flight
	ownByWork       map[Work]int // ownRequests by work; nil: none yet
	ownReserved     int          // requests of this process that will decode there once their prompts are prefilled elsewhere
	ownTokens       int          // prompt tokens of this process's requests that are not prefilled yet
	peers           InFlight     // load there that peers report
	untracked       float64      // requests in the last load report that are neither in ownRequests nor in peers
	reportedAt      time.Time    // of the last load report; zero: none
	groupMean       *groupMean   // of the upstream's group
	prefillModel    *prefillModel
	peersReporting  *bool // see Tracker.SetPeersReporting
	health          health
	cache           prefixCache
	eventGap        gapEstimate
	longStreamGaps  []time.Duration // limits passed to LongStreamStarted, of this process's running streams
	prefillSlowness slowness
	slowdown        slowdown
}

// countInFlight adds n to the requests of this process in flight for a kind of work.
func (u *upstreamState) countInFlight(work Work, n int) {
	if u.ownByWork == nil {
		u.ownByWork = make(map[Work]int)
	}
	u.ownByWork[work] = max(u.ownByWork[work]+n, 0)
}

// totalRequests estimates the number of requests of all processes at an upstream. Reserved
// requests count with the weight ReservedShare.
func (u *upstreamState) totalRequests(now time.Time) float64 {
	known := float64(u.ownRequests+u.peers.Requests) + ReservedShare*float64(u.ownReserved+u.peers.Reserved)
	return known + u.estimateUntracked(now)
}

// estimateUntracked estimates the number of requests at the upstream that are of instances that
// don't report their load to this process.
func (u *upstreamState) estimateUntracked(now time.Time) float64 {
	if *u.peersReporting {
		return 0
	}
	untracked := u.groupMean.estimate(now)
	if !u.reportedAt.IsZero() {
		untracked += (u.untracked - untracked) * decay.Factor(now.Sub(u.reportedAt), reportHalfLife)
	}
	return max(untracked, 0)
}

// ReservedShare is the weight of a reserved request, whose prompt is being prefilled
// elsewhere, in the load of the engine that will decode it. The weight is below 1, since the
// prefill and the wait for it take about as long as a short answer, and requests in excess of
// the slots wait at the engine for only a few milliseconds.
const ReservedShare = 0.3

// source returns the engine as a source to copy shared parts of a prompt from.
func (u *upstreamState) source() Source { return Source{Key: u.key, Address: u.up.Address} }

// group returns the group of the upstream.
func (u *upstreamState) group() group { return group{u.up.Service, u.up.Role} }

// slots returns the number of slots, at least 1.
func (u *upstreamState) slots() float64 { return max(float64(u.up.Slots), 1) }

// reportAge returns the time since the last load report, or -1 if there was none.
func (u *upstreamState) reportAge(now time.Time) time.Duration {
	if u.reportedAt.IsZero() {
		return -1
	}
	return now.Sub(u.reportedAt)
}
