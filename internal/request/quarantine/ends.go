package quarantine

import (
	"slices"
	"time"
)

// end is the end of an upstream's process.
type end struct {
	upstream IncarnationHash
	at       time.Time
}

// same reports whether both are the same end, which instances notice at different times.
func (e end) same(o end) bool {
	return o.upstream == e.upstream && o.at.Sub(e.at).Abs() < sameEndWindow
}

// end returns the end of an upstream to which the crash is due.
func (c *Crash) end() end { return end{c.Upstream, c.At} }

// leadsTo reports whether sends that broke off at the other end did so because of this one: it is the same, or later
// sends met an address whose upstream was gone already.
func (e end) leadsTo(later end) bool {
	after := later.at.Sub(e.at)
	return later.upstream == e.upstream && after > -sameEndWindow && after < maxEndDelay
}

// leadTo reports whether one of the ends led to another one.
func leadTo(ends []end, later end) bool {
	return slices.ContainsFunc(ends, func(e end) bool { return e.leadsTo(later) })
}

// appendEnd adds an end, unless it is one of the ends already.
func appendEnd(ends []end, e end) []end {
	if slices.ContainsFunc(ends, e.same) {
		return ends
	}
	return append(ends, e)
}

// ends returns the ends of upstreams that led to the hold of a part or came with requests on it, each once.
func (s *suspect) ends() []end {
	out := s.endsOf((*Crash).valid)
	for i := range s.hold.Crashes {
		if cause := &s.hold.Crashes[i]; s.stillValid(cause) {
			out = appendEnd(out, cause.end())
		}
	}
	return out
}

// endsOf returns the ends of those crashes for which ok returns true, each once.
func (s *suspect) endsOf(ok func(*Crash) bool) []end {
	var out []end
	for _, crash := range s.crashes {
		if ok(crash) {
			out = appendEnd(out, crash.end())
		}
	}
	return out
}

// blamedEnds returns the ends that may be blamed on a part: all of them if it is held, and otherwise those of crashes that
// the given ends of held parts don't explain.
func (s *suspect) blamedEnds(now time.Time, explained []end) []end {
	if s.inForce(now) {
		return s.ends()
	}
	return s.endsOf(func(crash *Crash) bool { return crash.valid() && !leadTo(explained, crash.end()) })
}

// countAt returns the number of crashes that count and are due to one of the ends.
func (s *suspect) countAt(ends []end) int {
	n := 0
	for _, crash := range s.crashes {
		if crash.counts() && slices.ContainsFunc(ends, crash.end().same) {
			n++
		}
	}
	return n
}

// metAt is countAt with the crashes that are void: an answer shows that the suspect is sound, and not that it wasn't under
// way at the ends.
func (s *suspect) metAt(ends []end) int {
	n := 0
	for _, crash := range s.crashes {
		if (crash.counts() || crash.Void) && slices.ContainsFunc(ends, crash.end().same) {
			n++
		}
	}
	return n
}

// maxMissingShare is the largest share of the ends of a part that may be missing from those of a likelier one: the reports
// of an instance that was killed are lost.
const maxMissingShare = 0.25

// containsMore reports whether all is larger than ends and contains them, but for maxMissingShare. Neither may contain an
// end twice.
func containsMore(all, ends []end) bool {
	return len(ends) > 0 && len(all) > len(ends) && contains(all, ends)
}

// contains reports whether all contains the ends, but for maxMissingShare.
func contains(all, ends []end) bool {
	missing := 0
	for _, e := range ends {
		if !leadTo(all, e) {
			missing++
		}
	}
	return float64(missing) <= maxMissingShare*float64(len(ends))
}
