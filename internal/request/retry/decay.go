package retry

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/decay"
)

// decay applies the exponential decay of the time since the last call to the counts, with
// a half-life of budgetHalfLife.
func (b *Budget) decay(now time.Time) {
	if b.at.IsZero() || now.Before(b.at) {
		b.at = now
		return
	}
	f := decay.Factor(now.Sub(b.at), budgetHalfLife)
	b.requests *= f
	b.retries *= f
	b.at = now
}
