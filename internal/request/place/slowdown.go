package place

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/decay"
)

const (
	// slowdownHalfLife is the half-life of a slowdown reported by an upstream. It is short,
	// since an upstream shares its machine with others, and the slowdown changes many times a
	// second.
	slowdownHalfLife = 200 * time.Millisecond
	// Bounds of a reported slowdown, so that an outlier doesn't take an upstream out of
	// use.
	minSlowdown = 0.5
	maxSlowdown = 4.0
)

// slowdown is the factor by which work at an upstream takes longer than usual, as the
// upstream last reported it.
type slowdown struct {
	reported   float64 // 0: never reported
	reportedAt time.Time
}

// set records a reported factor, limited to the bounds.
func (s *slowdown) set(now time.Time, factor float64) {
	s.reported, s.reportedAt = min(max(factor, minSlowdown), maxSlowdown), now
}

// factor returns the current factor, which decays from the last report to 1.
func (s *slowdown) factor(now time.Time) float64 {
	if s.reported == 0 {
		return 1
	}
	return 1 + (s.reported-1)*decay.Factor(now.Sub(s.reportedAt), slowdownHalfLife)
}

// prefillSlowdown returns the factor by which a prefill takes longer at an engine at present
// than at an average engine of its role.
func (u *upstreamState) prefillSlowdown(now time.Time) float64 {
	return u.prefillSlowness.value() * u.slowdown.factor(now)
}
