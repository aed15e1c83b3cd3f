// Package decay computes exponential decay, for counts of events in which an event loses
// half of its weight in each half-life.
package decay

import (
	"math"
	"time"
)

// Factor returns the factor, from 0 to 1, by which a count must be multiplied after the
// elapsed time. If elapsed is negative because a clock went backwards, it returns 1.
func Factor(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-max(elapsed, 0).Seconds() / halfLife.Seconds())
}

// Rate returns the factor that converts a count with the given half-life to events per
// second, if the events are evenly spaced.
func Rate(halfLife time.Duration) float64 { return math.Ln2 / halfLife.Seconds() }
