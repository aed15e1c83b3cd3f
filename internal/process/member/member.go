package member

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
)

// State is what this daemon believes of another one.
type State string

// The states of a member.
const (
	Live      State = "live"
	Suspected State = "suspected" // not heard of lately; it may still run and serve
	Leaving   State = "leaving"   // it stops by plan
	Gone      State = "gone"      // it has left, or is neither listed by the platform nor heard
)

// Member is one daemon as this one sees it.
type Member struct {
	Name        string
	Role        string // gateway or controller
	Zone        string
	PeerAddress string
	Incarnation uint64
	Applied     uint64 // configuration version in force there
	State       State
	Connected   bool // a connection to it is up
	Listed      bool // the platform lists it
}

// NewIncarnation makes the incarnation of a process that starts now. A later start
// under the same name has a higher one unless the clock was set back; that case
// is covered by silence, see Core.
func NewIncarnation(now time.Time) uint64 { return uint64(now.UnixNano()) }

// RowID is the short name of one incarnation of a daemon in a BeatRow. If two
// share it, the later one is kept alive by its full rows alone.
func RowID(name string, incarnation uint64) uint32 {
	b := binary.LittleEndian.AppendUint64([]byte(name), incarnation)
	return uint32(xxhash.Sum64(b))
}

func rowOf(h peer.Hello) peer.MemberRow {
	return peer.MemberRow{
		Name: h.Name, Role: h.Role, Zone: h.Zone,
		PeerAddress: h.PeerAddress, Incarnation: h.Incarnation,
	}
}
