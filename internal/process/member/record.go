package member

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// relayForm is the form in which a record is relayed with the next heartbeats. A form
// with a higher number includes the information of the lower ones.
type relayForm int

const (
	relayNone relayForm = iota // not at all
	relayBeat                  // as a HeartbeatRow
	relayFull                  // as a MemberRow
)

// record holds what this daemon knows about another daemon.
type record struct {
	row        peer.MemberRow
	lastSeenAt boottime.Time          // when it was added, its beat last grew or it last connected
	connected  bool                   // a connection to it is open
	listed     bool                   // the platform lists it
	listState  resource.InstanceState // in the platform's list, if listed

	suspectBeat uint64 // last beat that the daemon which suspected it had got
	suspected   bool   // this daemon suspects it, since it knows of no beat after suspectBeat
	refute      bool   // relay its next beat, to refute a suspicion that this daemon does not share

	state          State     // as of the last call of updateState
	pending        relayForm // form in which it is relayed with the next heartbeats
	direct         bool      // its latest beat came over its own connection; if it falls silent there, it is suspected early
	source         string    // peer that sent the latest information, to which this is not relayed
	relayedBeat    uint64    // beat last relayed
	relayedApplied uint64    // applied version last relayed
}

// recordBeat records that a beat was received. A beat that refutes a suspicion is relayed
// with the next heartbeats.
func (r *record) recordBeat(now boottime.Time, beat uint64) {
	r.lastSeenAt = now
	r.row.Beat = max(r.row.Beat, beat)
	if r.suspected && beat > r.suspectBeat {
		r.suspected = false
		r.relayAs(relayBeat, r.source)
	}
	if r.refute && beat > r.suspectBeat {
		r.refute = false
		r.relayAs(relayBeat, r.source)
	}
}

// markSuspect marks the daemon as suspected until a higher beat than the given one is
// received.
func (r *record) markSuspect(beat uint64) {
	r.suspected = true
	r.suspectBeat = beat
}

// relayAs has the record relayed with the next heartbeats, in form p or a more complete
// one, to all peers except source.
func (r *record) relayAs(p relayForm, source string) {
	r.pending = max(r.pending, p)
	r.source = source
}

// silence returns the time since the daemon was last seen, see lastSeenAt.
func (r *record) silence(now boottime.Time) time.Duration { return now.Sub(r.lastSeenAt) }

func (r *record) member() Member {
	return Member{
		Name: r.row.Name, Role: r.row.Role, Zone: r.row.Zone, PeerAddress: r.row.PeerAddress,
		Incarnation: r.row.Incarnation, Applied: r.row.Applied,
		State: r.state, Connected: r.connected, Listed: r.listed,
	}
}

// listedOnly reports whether the daemon is known only from the platform's list, which
// does not name its incarnation.
func (r *record) listedOnly() bool { return r.row.Incarnation == 0 }
