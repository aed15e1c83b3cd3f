package quarantine

import (
	"slices"
	"time"
)

// inForce reports whether the hold is in force here.
func (s *suspect) inForce(now time.Time) bool { return s.hold.activeAt(now) && !s.suspended }

// heldPart reports whether the suspect is a part that is held.
func (s *suspect) heldPart(now time.Time, content Content) bool {
	return content.IsPart() && s.inForce(now)
}

// heldEnds returns the ends of all held parts but the given one.
func (c *Core) heldEnds(now time.Time, except Content) []end {
	var out []end
	for content, s := range c.suspects {
		if content != except && s.heldPart(now, content) {
			out = append(out, s.ends()...)
		}
	}
	return out
}

// explanation is a part that explains crashes at the ends of upstreams.
type explanation struct {
	part Content
	ends []end
}

// explanations returns the parts that are held, or were until the end of their hold.
func (c *Core) explanations() []explanation {
	var out []explanation
	for content, s := range c.suspects {
		if content.IsPart() && s.hold.Times > 0 && !s.suspended {
			out = append(out, explanation{content, s.ends()})
		}
	}
	return out
}

// explainerOf returns the part that explains a crash at an end; zero: none does.
func explainerOf(all []explanation, at end) Content {
	for _, e := range all {
		if leadTo(e.ends, at) {
			return e.part
		}
	}
	return Content{}
}

// exonerate records that a part may be sound, as it was answered, its hold was removed, or another one is likelier: what it
// explained has to be decided anew.
func (c *Core) exonerate(content Content) {
	if content.IsPart() {
		c.explainDue, c.exonerated = true, append(c.exonerated, content)
	}
}

// explainCrashes decides anew which crashes are explained by a part that was under way at the same upstream, after the
// crashes or the hold of some part changed. They don't count against what else was under way there, and holds that they led
// to are suspended. Held parts explain nothing of each other, but those that are outranked are suspended first.
//
// What explains a crash is a conclusion of this instance: others may have seen answers that it doesn't know of. So a
// suspended hold stays on the platform, and is in force again here as soon as its crashes aren't explained any more.
func (c *Core) explainCrashes(now time.Time) {
	if !c.explainDue {
		return
	}
	c.explainDue = false
	c.suspendOutranked(now)
	all, exonerated := c.explanations(), c.exonerated
	if len(all)+len(exonerated) == 0 {
		return
	}
	c.exonerated = nil
	for content, s := range c.suspects {
		if s.heldPart(now, content) {
			continue
		}
		if s.explain(all, exonerated) {
			c.updateHold(now, content, s)
		}
		if !content.IsPart() {
			c.setSuspended(now, content, s, s.holdExplained(now, content, all))
		}
	}
}

// explain records what explains the crashes, and reports whether it is known of others than before that something does.
func (s *suspect) explain(all []explanation, exonerated []Content) (changed bool) {
	for _, crash := range s.crashes {
		was := crash.explained()
		if slices.Contains(exonerated, crash.explainer) {
			crash.explainer = Content{}
		}
		if !crash.explained() {
			crash.explainer = explainerOf(all, crash.end())
		}
		changed = changed || crash.explained() != was
	}
	return changed
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

// outranked reports whether another part is a likelier cause of all crashes of the given one: it was under way at each of
// these ends and at more, and is held or would be after as few crashes. Holds whose crashes aren't known are never
// outranked.
func (c *Core) outranked(now time.Time, part Content, s *suspect) bool {
	switch {
	case s.hold.activeAt(now) && len(s.hold.Crashes) == 0:
		return false
	case c.outrankedByWork(s):
		return true
	}
	ends, explained := s.ends(), c.heldEnds(now, part)
	for content, other := range c.suspects {
		if !content.IsPart() || content == part {
			continue
		}
		if !other.inForce(now) && c.partCrashesNeeded(now, content, other.hold.Times+1) > partCrashesToHold {
			continue
		}
		if containsMore(other.blamedEnds(now, explained), ends) {
			return true
		}
	}
	return false
}

// outrankedByWork reports whether some work is a likelier cause of the crashes of a part: it was under way at half of the
// part's ends or more, and the part is missing from too many of the work's ends to be their cause. Requests of the same
// work may have different parts. Work counts if its ends would hold it, whatever else explains them.
func (c *Core) outrankedByWork(part *suspect) bool {
	ends := part.ends()
	var due []end
	for content, work := range c.suspects {
		if content.IsPart() || len(work.crashes)+len(work.hold.Crashes) < crashesToHold {
			continue
		}
		if workEnds := work.ends(); len(workEnds) >= crashesToHold && !contains(ends, workEnds) {
			due = append(due, workEnds...)
		}
	}
	explained := 0
	for _, e := range ends {
		if slices.ContainsFunc(due, e.same) {
			explained++
		}
	}
	return explained > 0 && 2*explained >= len(ends)
}
