package place

import "time"

const (
	// gapWeight is the weight of the newest gap in the moving average.
	gapWeight = 0.1
	// gapTTL is how long the average stays valid after the last event.
	gapTTL = time.Second
)

// gapEstimate is a moving average (EWMA) of the gap between two events of a stream from
// one engine. Engines of one service differ in speed, and each additional request
// lengthens the decode steps of all others.
type gapEstimate struct {
	mean        time.Duration
	lastEventAt time.Time
}

// add adds the gap before an event that arrived now. If the average is no longer valid, the gap
// replaces it.
func (g *gapEstimate) add(now time.Time, gap time.Duration) {
	if g.lastEventAt.IsZero() || now.Sub(g.lastEventAt) > gapTTL {
		g.mean = gap
	}
	g.mean += time.Duration(gapWeight * float64(gap-g.mean))
	g.lastEventAt = now
}

// current returns the mean gap, or 0 if there was no event within gapTTL.
func (g *gapEstimate) current(now time.Time) time.Duration {
	if g.lastEventAt.IsZero() || now.Sub(g.lastEventAt) > gapTTL {
		return 0
	}
	return g.mean
}
