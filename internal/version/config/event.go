package config

import (
	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
)

// Event is an input of a Core.
type Event interface{ event() }

// Listed is a consistent read of all objects of the watched kinds at one store version.
type Listed struct {
	Objects []platform.Object
	Version uint64
}

// WatchEvent is the next event of this daemon's own watch on the platform.
type WatchEvent struct{ Event platform.Event }

// DeltaReceived is a delta from a peer.
type DeltaReceived struct {
	From  string
	Delta peer.ConfigDelta
}

// SnapshotReceived is a whole configuration from a peer.
type SnapshotReceived struct {
	From     string
	Snapshot peer.ConfigSnapshot
}

// FetchReceived is a request from a peer for the changes that the peer lacks.
type FetchReceived struct {
	From  string
	Fetch peer.ConfigFetch
}

// PeerVersion is the version in force that a connected peer reported.
type PeerVersion struct {
	From    string
	Applied uint64
}

func (Listed) event()           {}
func (WatchEvent) event()       {}
func (DeltaReceived) event()    {}
func (SnapshotReceived) event() {}
func (FetchReceived) event()    {}
func (PeerVersion) event()      {}

// Action is an output of a Core, which the Distributor performs.
type Action interface{ action() }

// Install puts a snapshot into force in place of the current one.
type Install struct{ Snapshot *Snapshot }

// SendDelta sends a delta to the peer To or, if To is empty, to every connected peer
// except the one named Except.
type SendDelta struct {
	To     string
	Except string // peer that the delta came from; empty: none
	Delta  peer.ConfigDelta
}

// SendSnapshot sends the whole configuration to a peer.
type SendSnapshot struct {
	To       string
	Snapshot peer.ConfigSnapshot
}

// SendFetch asks a peer for the changes that this daemon lacks.
type SendFetch struct {
	To    string
	Fetch peer.ConfigFetch
}

// Relist requests a new list of all objects after a pause. The watch must not be resumed
// before the core has received the list.
type Relist struct{ Reason string }

func (Install) action()      {}
func (SendDelta) action()    {}
func (SendSnapshot) action() {}
func (SendFetch) action()    {}
func (Relist) action()       {}
