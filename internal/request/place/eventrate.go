package place

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/decay"
)

// rateHalfLife is the half-life of the weight of an event. It is short enough to follow
// bursts, which last seconds.
const rateHalfLife = time.Second

// eventRate estimates the rate of events from an exponentially decaying count.
type eventRate struct {
	count     float64
	decayedAt time.Time
}

// add counts an event.
func (r *eventRate) add(now time.Time) {
	r.decayTo(now)
	r.count++
}

// decayTo applies the decay up to now.
func (r *eventRate) decayTo(now time.Time) {
	if !r.decayedAt.IsZero() {
		r.count *= decay.Factor(now.Sub(r.decayedAt), rateHalfLife)
	}
	r.decayedAt = now
}

// perSecond returns the estimated events per second.
func (r *eventRate) perSecond(now time.Time) float64 {
	r.decayTo(now)
	return r.count * decay.Rate(rateHalfLife)
}
