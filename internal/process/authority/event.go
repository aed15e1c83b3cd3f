package authority

import (
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// Event is something that happened; see the types below.
type Event interface{ authorityEvent() }

// Tick tells that time has passed; send one at the time that Wake gives.
type Tick struct{}

// Standing tells where this process stands among the candidates, see Rank.
type Standing struct {
	Home     bool // this process is in the lease's availability zone
	Rank     int  // 0 is the first to take the lease among the live candidates of its kind
	HomeLive bool // another process of the lease's zone is live and can take the lease
}

// Read answers ReadLease.
type Read struct {
	Found        bool
	Version      uint64
	Nonce        string
	Lease        resource.Lease
	StoreVersion uint64 // of the read; needed only if not Found
}

// ReadFailed answers ReadLease when the platform did not answer.
type ReadFailed struct{}

// Wrote answers WriteLease: it took effect.
type Wrote struct{ Version uint64 }

// Failure says how a write failed.
type Failure int

// The failures of a write.
const (
	FailedConflict    Failure = iota // the stored version differs
	FailedUnavailable                // certainly no effect
	FailedUnknown                    // may have taken effect, now or later
)

// WriteFailed answers WriteLease.
type WriteFailed struct{ Failure Failure }

// Stop tells that the process is stopping; a held lease is released.
type Stop struct{}

func (Tick) authorityEvent()        {}
func (Standing) authorityEvent()    {}
func (Read) authorityEvent()        {}
func (ReadFailed) authorityEvent()  {}
func (Wrote) authorityEvent()       {}
func (WriteFailed) authorityEvent() {}
func (Stop) authorityEvent()        {}

// Action is something to do; see the types below. ReadLease and WriteLease are
// calls: at most one is under way, and each is answered by exactly one event.
type Action interface{ authorityAction() }

// ReadLease asks to read the lease.
type ReadLease struct{}

// WriteLease asks to write the lease if its version is still Base (0: create it).
type WriteLease struct {
	Base  uint64
	Lease resource.Lease
	Nonce string
}

// Gained tells that the lease is held under Epoch. MayOrder still has to be asked.
type Gained struct {
	Epoch uint64
	At    boottime.Time
	Why   string
}

// Lost tells that the lease is no longer held.
type Lost struct {
	Epoch uint64
	Why   string
}

// Returned tells that the platform came back from an older copy: another process may have
// held the lease by what it lost.
type Returned struct{ Era uint64 }

// Lapsed tells that the window ran out while the lease may still be renewed.
type Lapsed struct{ Epoch uint64 }

// Renewed tells that the window was extended after it had lapsed.
type Renewed struct{ Epoch uint64 }

func (ReadLease) authorityAction()  {}
func (WriteLease) authorityAction() {}
func (Gained) authorityAction()     {}
func (Lost) authorityAction()       {}
func (Returned) authorityAction()   {}
func (Lapsed) authorityAction()     {}
func (Renewed) authorityAction()    {}
