// Package stall detects that a process did not run for a while: because it was frozen, because its
// machine was suspended, or because it got no processor time. What such a process knows is as old
// as the stall, although none of its calls has failed.
package stall

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
)

// Detector detects stalls from the times at which the process is known to run. The zero value detects
// nothing until Start is called. It is not safe for concurrent use.
type Detector struct {
	lastSeen boottime.Time // when the process was last known to run; 0: not started
}

// Start begins the detection. From then on, Observe has to be called at intervals that are far shorter
// than its threshold.
func (d *Detector) Start(now boottime.Time) { d.lastSeen = now }

// Started reports whether Start was called.
func (d *Detector) Started() bool { return d.lastSeen != 0 }

// Observe records that the process runs now. If it was last known to run at least threshold before,
// Observe returns true and the time since then. Whichever goroutine calls Observe first after a stall
// gets that result, so it has to be called before each action that a stall makes unsafe, and not only
// at intervals.
func (d *Detector) Observe(now boottime.Time, threshold time.Duration) (gap time.Duration, stalled bool) {
	if !d.Started() {
		return 0, false
	}
	gap = now.Sub(d.lastSeen)
	d.lastSeen = max(now, d.lastSeen)
	return gap, gap >= threshold
}
