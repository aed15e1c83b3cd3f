package admit

import (
	"math"
	"time"
)

// Detection of saturation.
const (
	saturationHalfLife  = time.Second // half-life of the counts
	saturationThreshold = 0.5         // a model is saturated above this share of failed tries
	minTries            = 3.0         // with a lower count of tries a model is not saturated
)

// saturation detects that the requests of a model find no runner that would be on time. It
// is separate from scoring, which compares runners but doesn't tell whether the best one
// is on time.
type saturation struct {
	tries, failed float64   // counts, decayed exponentially
	at            time.Time // of the last decay
}

// decay applies the exponential decay of the time since the last call to the counts.
func (s *saturation) decay(now time.Time) {
	if !s.at.IsZero() && now.After(s.at) {
		f := math.Exp2(-now.Sub(s.at).Seconds() / saturationHalfLife.Seconds())
		s.tries *= f
		s.failed *= f
	}
	s.at = now
}

// observe counts a try to find a runner.
func (s *saturation) observe(now time.Time, onTime bool) {
	s.decay(now)
	s.tries++
	if !onTime {
		s.failed++
	}
}

// active reports whether the model is saturated.
func (s *saturation) active(now time.Time) bool {
	s.decay(now)
	return s.tries >= minTries && s.failed > saturationThreshold*s.tries
}
