package place

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/decay"
)

const (
	// strainHalfLife is how fast the word of an upstream on how long work takes there is forgotten:
	// it shares its machine with others, and the figure changes many times a second.
	strainHalfLife = 200 * time.Millisecond
	// Bounds of such a word, so that an odd one doesn't take an upstream out of use.
	leastStrain = 0.5
	mostStrain  = 4.0
)

// strain is how much longer than usual work takes at an upstream, by what it told last.
type strain struct {
	told float64 // 0: never told
	at   time.Time
}

func (s *strain) set(now time.Time, factor float64) {
	s.told, s.at = min(max(factor, leastStrain), mostStrain), now
}

// factor is how much longer than usual work is taken to take now.
func (s *strain) factor(now time.Time) float64 {
	if s.told == 0 {
		return 1
	}
	return 1 + (s.told-1)*decay.Factor(now.Sub(s.at), strainHalfLife)
}

// slowness is how much longer reading takes at an engine than at others of its role.
func (l *load) slowness(now time.Time) float64 { return l.slow.value() * l.strain.factor(now) }
