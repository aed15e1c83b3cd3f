package retry

import (
	"math"
	"time"
)

// decay lets old counts fade.
func (b *Budget) decay(now time.Time) {
	if b.at.IsZero() || now.Before(b.at) {
		b.at = now
		return
	}
	f := halved(now.Sub(b.at), budgetWindow)
	b.requests *= f
	b.retries *= f
	b.at = now
}

// halved is the factor by which a count fades in elapsed time.
func halved(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
}
