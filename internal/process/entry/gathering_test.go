package entry

import (
	"testing"
	"time"
)

// TestChangesInSeriesGatherLonger: a lone change is followed up at once, a series costs
// the platform fewer calls.
func TestChangesInSeriesGatherLonger(t *testing.T) {
	const most = 900 * time.Millisecond
	g := gathering{most: most}
	now := time.Unix(1_000_000, 0)
	if got := g.pause(now, 1); got != gatherFor {
		t.Errorf("the first change: %v", got)
	}
	for range 3 {
		now = g.last.Add(200 * time.Millisecond)
		if got := g.pause(now, 1); got != most {
			t.Errorf("a change 200 ms after a pause: %v", got)
		}
	}
	now = g.last.Add(gatherSeries)
	if got := g.pause(now, 1); got != gatherFor {
		t.Errorf("a change after a calm while: %v", got)
	}
	if got := g.pause(now, manyChanges); got != 0 {
		t.Errorf("a part of many changes: %v", got)
	}
}
