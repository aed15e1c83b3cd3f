package member

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
)

// State is the state of a daemon as another daemon sees it.
type State string

// The states of a member.
const (
	Live      State = "live"
	Suspected State = "suspected" // no recent heartbeat; it may still run and serve requests
	Leaving   State = "leaving"   // it is stopping gracefully
	Gone      State = "gone"      // it has stopped, or is silent and not listed by the platform
)

// Member describes a daemon as this daemon sees it.
type Member struct {
	Name        string
	Role        string // gateway or controller
	Zone        string
	PeerAddress string
	Incarnation uint64
	Applied     uint64 // configuration version in force there
	State       State
	Connected   bool // a connection to it is open
	Listed      bool // the platform lists it
}

// NewIncarnation returns the incarnation of a process that starts now. A later start
// under the same name has a higher incarnation unless the clock was set back. In that
// case other daemons accept the new incarnation when it connects to them, or when they
// have received nothing from the old one for long enough, see Core.
func NewIncarnation(now time.Time) uint64 { return uint64(now.UnixNano()) }

// RowID returns the id that stands for an incarnation of a daemon in a HeartbeatRow. It is a
// hash of 32 bits, so two daemons may have the same id. The receiver then applies the
// heartbeats of both to the daemon that it learned of last. The other daemon still counts
// as live, because from time to time its heartbeat is also sent in a MemberRow, which has
// its full name.
func RowID(name string, incarnation uint64) uint32 {
	b := binary.LittleEndian.AppendUint64([]byte(name), incarnation)
	return uint32(xxhash.Sum64(b))
}

// rowOf returns the row about the daemon that sent a Hello, without a beat.
func rowOf(h peer.Hello) peer.MemberRow {
	return peer.MemberRow{
		Name: h.Name, Role: h.Role, Zone: h.Zone,
		PeerAddress: h.PeerAddress, Incarnation: h.Incarnation,
	}
}
