package place

import "time"

const (
	// paceStep is the weight of the newest gap between two events in the estimate of
	// an engine's pace.
	paceStep = 0.1
	// paceMemory is how long a pace is believed without further events.
	paceMemory = time.Second
)

// pace is how fast an engine makes events: the mean gap between two of a stream.
// Engines of one service differ in speed, and each further request makes the steps
// of all others longer.
type pace struct {
	gap time.Duration
	at  time.Time
}

func (p *pace) add(now time.Time, gap time.Duration) {
	if p.at.IsZero() || now.Sub(p.at) > paceMemory {
		p.gap = gap
	}
	p.gap += time.Duration(paceStep * float64(gap-p.gap))
	p.at = now
}

// current gives the mean gap; zero: no stream was heard lately.
func (p *pace) current(now time.Time) time.Duration {
	if p.at.IsZero() || now.Sub(p.at) > paceMemory {
		return 0
	}
	return p.gap
}
