// Package boottime reads a clock that never goes back and that goes on while the
// machine is suspended. Leases are judged by it: the ordinary monotonic clock of
// Go stands still during a suspension, which would let a lapsed holder believe
// that its lease still runs.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is nanoseconds since the machine started. Only differences within one
// machine mean anything.
type Time int64

// Now reads the clock (CLOCK_BOOTTIME, see clock_gettime(2)).
func Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: " + err.Error()) // the kernel has had this clock since 2.6.39
	}
	return Time(ts.Nano())
}

// Sub gives t-u.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Add gives t+d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool { return t < u }
