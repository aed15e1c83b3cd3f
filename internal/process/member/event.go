package member

import (
	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// Event is an input to Core.Step.
type Event interface{ event() }

// Tick occurs once per heartbeat interval.
type Tick struct{}

// InstancesListed carries the platform's complete list of instances by name. Instances
// with the role of an upstream and this daemon itself are ignored.
type InstancesListed struct{ Instances map[string]resource.Instance }

// HeartbeatReceived carries a heartbeat from the connection to From.
type HeartbeatReceived struct {
	From      string
	Heartbeat peer.Heartbeat
}

// Connected reports that the connection to a peer was opened.
type Connected struct{ Peer peer.Hello }

// Disconnected reports that the connection to a peer was closed.
type Disconnected struct{ Name string }

// Applied reports the configuration version in force at this daemon.
type Applied struct{ Version uint64 }

// Leave reports that this daemon begins a graceful stop.
type Leave struct{}

func (Tick) event()              {}
func (InstancesListed) event()   {}
func (HeartbeatReceived) event() {}
func (Connected) event()         {}
func (Disconnected) event()      {}
func (Applied) event()           {}
func (Leave) event()             {}

// Action is an output of Core.Step that the caller performs.
type Action interface{ action() }

// SendHeartbeat sends a heartbeat to a connected peer.
type SendHeartbeat struct {
	To        string
	Heartbeat peer.Heartbeat
}

// SetLinks sets the complete list of peers to keep connections to.
type SetLinks struct{ Addresses []peer.Address }

// PeerVersion reports the configuration version in force at a connected peer.
type PeerVersion struct {
	From    string
	Applied uint64
}

// Changed reports that the set of members or their states changed.
type Changed struct{}

func (SendHeartbeat) action() {}
func (SetLinks) action()      {}
func (PeerVersion) action()   {}
func (Changed) action()       {}
