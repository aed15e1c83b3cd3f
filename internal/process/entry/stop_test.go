package entry

import (
	"testing"
	"time"
)

// TestTimesOfAPlannedStop holds the times against what callers and the balancer need:
// two misses of the balancer's question before the port closes, no long answer begun
// too late to end, and none cut before the last sixth of the grace.
func TestTimesOfAPlannedStop(t *testing.T) {
	asked := time.Unix(1_000_000, 0)
	const grace = 8 * time.Second
	closeAt, endAt := stopTimes(asked, grace)
	if after := closeAt.Sub(asked); after <= 2*time.Second || after >= grace*3/8 {
		t.Errorf("the port closes %v after the signal, want between 2 s and 3 s", after)
	}
	if after := endAt.Sub(asked); after <= grace*5/6 || after >= grace-200*time.Millisecond {
		t.Errorf("requests are ended %v after the signal, want in the last sixth of %v", after, grace)
	}
}
