package quarantine

import (
	"slices"
	"time"
)

// inForce reports whether the hold is in force here.
func (s *suspect) inForce(now time.Time) bool { return s.hold.activeAt(now) && !s.suspended }

// setSuspended suspends a hold here, or ends its suspension.
func (c *Core) setSuspended(now time.Time, content Content, s *suspect, suspended bool) {
	if s.suspended == suspended {
		return
	}
	s.suspended = suspended
	if suspended {
		c.exonerate(content)
	}
	switch {
	case !s.hold.activeAt(now):
	case suspended:
		c.suspensions = append(c.suspensions, content)
	default:
		c.newHolds = append(c.newHolds, content)
	}
}

// TakeSuspensions returns the work whose hold was suspended since the last call.
func (c *Core) TakeSuspensions() []Content {
	out := c.suspensions
	c.suspensions = nil
	return out
}

// suspendOutranked suspends the holds of parts that are outranked, and ends the suspension of those that would be held
// anew. Suspended parts explain nothing. A hold that isn't stored is dropped, as no other instance relies on it.
func (c *Core) suspendOutranked(now time.Time) {
	for content, s := range c.suspects {
		switch {
		case !content.IsPart() || !s.hold.activeAt(now):
		case c.outranked(now, content, s):
			c.setSuspended(now, content, s, true)
			if !s.stored {
				s.dropHold()
			}
		case s.suspended && c.mayBlame(now, content, s) && countIndependent(s.withCauses(s.countedSince(now, s.previous))) >= minCrashes(content, s.hold.Times):
			c.setSuspended(now, content, s, false)
		}
	}
}

// holdExplained reports whether so many of the crashes of some work are explained that the others don't justify its hold. A
// crash of a send after those that led to the hold shows that the work crashes upstreams by itself. Holds whose crashes
// aren't known are never explained.
func (s *suspect) holdExplained(now time.Time, content Content, all []explanation) bool {
	if !s.hold.activeAt(now) || len(s.hold.Crashes) == 0 {
		return false
	}
	last := slices.MaxFunc(s.hold.Crashes, func(a, b Crash) int { return a.At.Compare(b.At) }).At
	crashes := s.withCauses(s.validSince(now, s.previous))
	unexplained := slices.DeleteFunc(slices.Clone(crashes), func(crash Crash) bool {
		return crash.explained() || explainerOf(all, crash.end()) != Content{}
	})
	if len(unexplained) == len(crashes) || slices.ContainsFunc(unexplained, func(crash Crash) bool { return crash.Sent.After(last) }) {
		return false
	}
	return countIndependent(unexplained) < minCrashes(content, s.hold.Times)
}

// withCauses adds the crashes that led to the current hold and aren't known here.
func (s *suspect) withCauses(crashes []Crash) []Crash {
	for i := range s.hold.Crashes {
		cause := &s.hold.Crashes[i]
		if !slices.ContainsFunc(s.crashes, cause.sameCrash) {
			crashes = append(crashes, *cause)
		}
	}
	return crashes
}
