package authority

import (
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// Event is an input of Core.Step; see the types below.
type Event interface{ authorityEvent() }

// Tick reports that time has passed; send one at the time that Wake returns.
type Tick struct{}

// Ranking is this process's position among the candidates; see Rank.
type Ranking struct {
	SameZone     bool // this process is in the lease's availability zone
	Rank         int  // place among the live candidates of the zone if SameZone, else among those of other zones; 0 tries first
	SameZoneLive bool // another process of the lease's zone is live and can acquire the lease
}

// Read answers ReadLease.
type Read struct {
	Found        bool
	Version      uint64
	Nonce        string
	Lease        resource.Lease
	StoreVersion uint64 // at the time of the read; needed only if not Found
}

// ReadFailed answers ReadLease when the platform did not answer.
type ReadFailed struct{}

// LeaseWritten answers WriteLease if the write took effect.
type LeaseWritten struct{ Version uint64 }

// Failure is the way in which a write failed.
type Failure int

// Failures of a write.
const (
	FailedConflict    Failure = iota // the stored version differs
	FailedUnavailable                // certainly had no effect
	FailedUnknown                    // may have taken effect, or may still do so
)

// WriteFailed answers WriteLease.
type WriteFailed struct{ Failure Failure }

// Stop reports that the process is stopping. The core releases a held lease and acquires
// none any more.
type Stop struct{}

func (Tick) authorityEvent()         {}
func (Ranking) authorityEvent()      {}
func (Read) authorityEvent()         {}
func (ReadFailed) authorityEvent()   {}
func (LeaseWritten) authorityEvent() {}
func (WriteFailed) authorityEvent()  {}
func (Stop) authorityEvent()         {}

// Action is an output of Core.Step; see the types below. ReadLease and WriteLease are
// calls: at most one is pending, and each is answered by exactly one event.
type Action interface{ authorityAction() }

// ReadLease requests a read of the lease.
type ReadLease struct{}

// WriteLease requests a write of the lease if its version is still Base (0: create
// it).
type WriteLease struct {
	Base  uint64
	Lease resource.Lease
	Nonce string
}

// Gained reports that the lease is held under Epoch. CanSendOrders still has to be called
// before each order.
type Gained struct {
	Epoch  uint64
	At     boottime.Time
	Reason string
}

// Lost reports that the lease is no longer held.
type Lost struct {
	Epoch  uint64
	Reason string
}

// Restored reports that the platform was restored from an older copy. Another process
// may have acquired the lease by a write that the copy lacks.
type Restored struct{ Era uint64 }

// Lapsed reports that the window ended before the lease was renewed. The lease may still
// be renewed as long as no other process acquires it.
type Lapsed struct{ Epoch uint64 }

// Renewed reports that the window was extended after it had lapsed.
type Renewed struct{ Epoch uint64 }

func (ReadLease) authorityAction()  {}
func (WriteLease) authorityAction() {}
func (Gained) authorityAction()     {}
func (Lost) authorityAction()       {}
func (Restored) authorityAction()   {}
func (Lapsed) authorityAction()     {}
func (Renewed) authorityAction()    {}
