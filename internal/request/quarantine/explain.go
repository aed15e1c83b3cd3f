package quarantine

import (
	"slices"
	"time"
)

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
