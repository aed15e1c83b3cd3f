package stall

import (
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
)

// TestObserve checks that a stall is reported exactly once, to the first caller after it, and never
// before Start.
func TestObserve(t *testing.T) {
	const threshold = 500 * time.Millisecond
	var d Detector
	start := boottime.Time(time.Hour)
	at := func(ms int) boottime.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	if _, stalled := d.Observe(at(0), threshold); stalled {
		t.Error("a stall before Start")
	}
	d.Start(at(0))
	for _, c := range []struct {
		ms      int
		gap     time.Duration
		stalled bool
	}{
		{10, 10 * time.Millisecond, false},
		{509, 499 * time.Millisecond, false},
		{1009, 500 * time.Millisecond, true},
		{1009, 0, false},
		{1000, -9 * time.Millisecond, false}, // read before, but observed after the time above
		{1508, 499 * time.Millisecond, false},
		{9000, 7492 * time.Millisecond, true},
	} {
		if gap, stalled := d.Observe(at(c.ms), threshold); gap != c.gap || stalled != c.stalled {
			t.Errorf("at %d ms: %v %v, want %v %v", c.ms, gap, stalled, c.gap, c.stalled)
		}
	}
}
