package member

import (
	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// Event is what happens to a Core.
type Event interface{ event() }

// Tick is the passing of one heartbeat interval.
type Tick struct{}

// InstancesListed is the platform's list of instances. Upstreams in it are passed over.
type InstancesListed struct{ Instances map[string]resource.Instance }

// HeartbeatReceived is a heartbeat over the connection to From.
type HeartbeatReceived struct {
	From      string
	Heartbeat peer.Heartbeat
}

// Connected tells that the connection to a peer is up.
type Connected struct{ Peer peer.Hello }

// Disconnected tells that the connection to a peer is gone.
type Disconnected struct{ Name string }

// Applied tells which configuration version is in force here.
type Applied struct{ Version uint64 }

// Leave tells that this daemon stops by plan.
type Leave struct{}

func (Tick) event()              {}
func (InstancesListed) event()   {}
func (HeartbeatReceived) event() {}
func (Connected) event()         {}
func (Disconnected) event()      {}
func (Applied) event()           {}
func (Leave) event()             {}

// Action is what a Core asks its shell to do.
type Action interface{ action() }

// SendHeartbeat sends a heartbeat to a connected peer.
type SendHeartbeat struct {
	To        string
	Heartbeat peer.Heartbeat
}

// SetLinks sets the peers to keep connections to.
type SetLinks struct{ Addresses []peer.Address }

// PeerVersion tells which configuration version is in force at a connected peer.
type PeerVersion struct {
	From    string
	Applied uint64
}

// Changed tells that a member came, went, or changed its state.
type Changed struct{}

func (SendHeartbeat) action() {}
func (SetLinks) action()      {}
func (PeerVersion) action()   {}
func (Changed) action()       {}
