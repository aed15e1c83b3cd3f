package admit

import (
	"math"
	"time"
)

// Detection of saturation.
const (
	saturationWindow = time.Second // half-life of the observations
	saturatedAbove   = 0.5         // share of tries without a runner on time
	leastTries       = 3.0         // fewer recent tries tell nothing
)

// saturation tells whether requests find no runner on time. It is kept apart
// from scoring: scores compare runners, this looks at whether any would do.
type saturation struct {
	tries, failed float64
	at            time.Time
}

func (s *saturation) fade(now time.Time) {
	if !s.at.IsZero() && now.After(s.at) {
		f := math.Exp2(-now.Sub(s.at).Seconds() / saturationWindow.Seconds())
		s.tries *= f
		s.failed *= f
	}
	s.at = now
}

func (s *saturation) observe(now time.Time, onTime bool) {
	s.fade(now)
	s.tries++
	if !onTime {
		s.failed++
	}
}

func (s *saturation) on(now time.Time) bool {
	s.fade(now)
	return s.tries >= leastTries && s.failed > saturatedAbove*s.tries
}
