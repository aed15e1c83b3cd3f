package quarantine

import (
	"slices"
	"time"
)

// heldPart reports whether the suspect is a part that is held.
func (s *suspect) heldPart(now time.Time, content Content) bool {
	return content.IsPart() && s.hold.activeAt(now)
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

// explainCrashes decides anew which crashes are explained by a held part that was under way at the same upstream, after
// the crashes or the hold of some part changed. They don't count against what else was under way there, and holds that
// they led to are canceled. Held parts explain nothing of each other, but those that are outranked are freed first.
func (c *Core) explainCrashes(now time.Time) {
	if !c.explainDue {
		return
	}
	c.explainDue = false
	c.freeOutranked(now)
	explained := c.heldEnds(now, Content{})
	if len(explained)+len(c.clearedEnds) == 0 {
		return
	}
	for content, s := range c.suspects {
		if s.heldPart(now, content) {
			continue
		}
		changed := false
		for _, crash := range s.crashes {
			was, at := crash.explained, crash.end()
			crash.explained = was && !leadTo(c.clearedEnds, at) || leadTo(explained, at)
			changed = changed || crash.explained != was
		}
		if changed {
			c.updateHold(now, content, s)
		}
	}
	c.clearedEnds = nil
}

// freeOutranked cancels the holds of parts that are outranked. They explain nothing any more.
func (c *Core) freeOutranked(now time.Time) {
	for content, s := range c.suspects {
		if s.heldPart(now, content) && c.outranked(now, content, s) {
			c.clearedEnds = append(c.clearedEnds, s.ends()...)
			c.cancelHold(now, content, s)
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
		if !other.hold.activeAt(now) && c.partCrashesNeeded(now, content, other.hold.Times+1) > partCrashesToHold {
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
