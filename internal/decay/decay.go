// Package decay lets old counts fade.
package decay

import (
	"math"
	"time"
)

// Factor is what is left of a count after a time, if half of it is left after the
// half-life. A clock that went back takes nothing away.
func Factor(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-max(elapsed, 0).Seconds() / halfLife.Seconds())
}

// Rate turns a count that fades, fed evenly, into events a second.
func Rate(halfLife time.Duration) float64 { return math.Ln2 / halfLife.Seconds() }
