// Package boottime reads a monotonic clock that also advances while the machine is
// suspended. Leases need such a clock: Go's monotonic clock stops during a suspension, so
// a holder could afterwards consider its lease valid although it has expired.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is the time since the machine's boot in nanoseconds. Times of different machines,
// or from before and after a reboot, cannot be compared.
type Time int64

// Now returns the current time of CLOCK_BOOTTIME, see clock_gettime(2).
func Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: " + err.Error()) // cannot happen: Linux has had this clock since 2.6.39
	}
	return Time(ts.Nano())
}

// Sub returns t-u.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Add returns t+d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool { return t < u }
