package quarantine

import (
	"bytes"
	"crypto/sha256"
	"slices"
	"time"
)

const (
	// partCrashesToHold is the number of independent crashes after which a part of prompts is held for the first time. It
	// is larger than crashesToHold, as a hold of a part keeps all requests with it away.
	partCrashesToHold = 3
	// answeredPartCrashesToHold is that number for a part on which whole answers were given lately, or that may have
	// been. Common parts are under way at most upstreams, and so at most crashes.
	answeredPartCrashesToHold = 6
	// answerMemory is how long a whole answer on a part is remembered.
	answerMemory = 10 * time.Minute
	// minAnswers is how many answers this process must have seen before it concludes from the lack of answers on a part
	// that there were none.
	minAnswers = 100
	// minControlAnswers is how many other requests must have been answered since the first crash of a part that may well
	// be sound, before it is held. If nothing is answered, as in an outage, nothing tells that the part is to blame.
	minControlAnswers = 5
	// maxAnsweredParts limits the parts of which answers are remembered, each about 100 bytes.
	maxAnsweredParts = 8192
	// initialPartHold is the length of the first hold of a part. It is shorter than initialHold, because a part that is
	// held in error keeps more callers away.
	initialPartHold = 2 * time.Minute
)

// partPrefix begins the Content of each part, so that it differs from that of whole requests.
var partPrefix = []byte("part")

// PartContent returns the Content of a part of prompts with an id. All requests with the part have it, whatever else
// they hold.
func PartContent(id string) Content {
	digest := sha256.Sum256([]byte(id))
	var c Content
	copy(c[:], partPrefix)
	copy(c[len(partPrefix):], digest[:])
	return c
}

// IsPart reports whether the content is that of a part of prompts.
func (c Content) IsPart() bool { return bytes.HasPrefix(c[:], partPrefix) }

// PartsAnswered records that a request with the given parts, if any, was answered completely.
func (c *Core) PartsAnswered(now time.Time, parts []Content) {
	c.answers++
	for _, part := range parts {
		if _, known := c.answeredAt[part]; !known && len(c.answeredAt) >= maxAnsweredParts {
			c.forgetAnswers(now)
		}
		c.answeredAt[part] = now
	}
}

// forgetAnswers drops the answers that are too old, and arbitrary ones if too few are.
func (c *Core) forgetAnswers(now time.Time) {
	for part, at := range c.answeredAt {
		if now.Sub(at) >= answerMemory || len(c.answeredAt) >= maxAnsweredParts*7/8 {
			delete(c.answeredAt, part)
		}
	}
}

// answeredLately reports whether this process saw a whole answer on a part lately.
func (c *Core) answeredLately(now time.Time, part Content) bool {
	at, answered := c.answeredAt[part]
	return answered && now.Sub(at) < answerMemory
}

// partCrashesNeeded returns the number of independent crashes that lead to the given hold of a part, counted from one.
func (c *Core) partCrashesNeeded(now time.Time, part Content, times int) int {
	switch {
	case c.answeredLately(now, part):
		return answeredPartCrashesToHold
	case times > 1:
		return 1
	case c.answers < minAnswers:
		return answeredPartCrashesToHold
	}
	return partCrashesToHold
}

// likelierPart returns a part that is a likelier cause of the crashes of the given one, which is about to be held although
// it may well be sound: it was under way at half of these crashes or more and at enough to be held, and either it alone
// wasn't answered lately, or the given one is common and far fewer requests with the other broke off. A part that all
// requests share is under way at each crash that a deadly one causes, and at others besides. ok is false if there is none.
func (c *Core) likelierPart(now time.Time, part Content, s *suspect) (likelier Content, ok bool) {
	ends := s.ends()
	best := (len(ends) + 1) / 2
	for content, other := range c.suspects {
		if !content.IsPart() || content == part || other.hold.activeAt(now) || !c.isLikelier(now, content, other, part, s) {
			continue
		}
		if n := other.countAt(ends); n >= best && countIndependent(other.countedSince(now, other.hold)) >= partCrashesToHold {
			likelier, ok, best = content, true, n
		}
	}
	return likelier, ok
}

// mayBlame reports whether a part that may well be sound can be held because of its crashes: requests without it were
// answered since, or it is one part among others that broke off far more often at the same ends.
func (c *Core) mayBlame(part Content, s *suspect) bool {
	if c.answers-s.answersBefore >= minControlAnswers {
		return true
	}
	ends := s.ends()
	for content, other := range c.suspects {
		if content.IsPart() && content != part && other.brokenSends >= 2*s.brokenSends && 2*other.countAt(ends) >= len(ends) {
			return true
		}
	}
	return false
}

// isLikelier reports whether one part is a likelier cause than another one at the same crashes.
func (c *Core) isLikelier(now time.Time, part Content, s *suspect, than Content, other *suspect) bool {
	answered, otherAnswered := c.answeredLately(now, part), c.answeredLately(now, than)
	if answered != otherAnswered {
		return otherAnswered
	}
	return c.isCommon(other) && 2*s.brokenSends <= other.brokenSends
}

// isCommon reports whether most requests with parts that broke off here since a part became a suspect had it. Parts that
// are known only from reports may be common.
func (c *Core) isCommon(s *suspect) bool {
	return s.brokenSends == 0 || 2*s.brokenSends > c.brokenSends-s.brokenBefore
}

// outranked reports whether another part is a likelier cause of all crashes of the given one: it was under way at each of
// these ends and at more, and is held or would be after as few crashes. Holds whose crashes aren't known are never
// outranked.
func (c *Core) outranked(now time.Time, part Content, s *suspect) bool {
	if s.hold.activeAt(now) && len(s.hold.Crashes) == 0 {
		return false
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

// blamedEnds returns the ends that may be blamed on a part: all of them if it is held, and otherwise those of crashes that
// the given ends of held parts don't explain.
func (s *suspect) blamedEnds(now time.Time, explained []end) []end {
	if s.hold.activeAt(now) {
		return s.ends()
	}
	return s.endsOf(func(crash *Crash) bool {
		return !crash.Void && !crash.lifted && !leadTo(explained, end{crash.Upstream, crash.At})
	})
}

// maxMissingShare is the largest share of the ends of a part that may be missing from those of a likelier one: the reports
// of an instance that was killed are lost.
const maxMissingShare = 0.25

// containsMore reports whether all is larger than ends and contains them, but for maxMissingShare. Neither may contain an
// end twice.
func containsMore(all, ends []end) bool {
	if len(ends) == 0 || len(all) <= len(ends) {
		return false
	}
	missing := 0
	for _, e := range ends {
		if !leadTo(all, e) {
			missing++
		}
	}
	return float64(missing) <= maxMissingShare*float64(len(ends))
}

// countAt returns the number of crashes that count and are due to one of the ends.
func (s *suspect) countAt(ends []end) int {
	n := 0
	for _, crash := range s.crashes {
		if crash.counts() && explains(ends, crash) {
			n++
		}
	}
	return n
}

// end is the end of an upstream's process.
type end struct {
	upstream IncarnationHash
	at       time.Time
}

// same reports whether both are the same end, which instances notice at different times.
func (e end) same(o end) bool {
	return o.upstream == e.upstream && o.at.Sub(e.at).Abs() < sameEndWindow
}

// isEndOf reports whether a crash is due to the end.
func (e end) isEndOf(crash *Crash) bool { return e.same(end{crash.Upstream, crash.At}) }

// leadsTo reports whether sends that broke off at the other end did so because of this one: it is the same, or later
// sends met an address whose upstream was gone already.
func (e end) leadsTo(later end) bool {
	after := later.at.Sub(e.at)
	return later.upstream == e.upstream && after > -sameEndWindow && after < maxEndDelay
}

// ends returns the ends of upstreams that led to the hold of a part or came with requests on it, each once.
func (s *suspect) ends() []end {
	out := s.endsOf(func(crash *Crash) bool { return !crash.Void && !crash.lifted })
	for i := range s.hold.Crashes {
		out = appendEnd(out, &s.hold.Crashes[i])
	}
	return out
}

// endsOf returns the ends of those crashes for which ok returns true, each once.
func (s *suspect) endsOf(ok func(*Crash) bool) []end {
	var out []end
	for _, crash := range s.crashes {
		if ok(crash) {
			out = appendEnd(out, crash)
		}
	}
	return out
}

// appendEnd adds the end to which a crash is due, unless it is one of the ends already.
func appendEnd(ends []end, crash *Crash) []end {
	if explains(ends, crash) {
		return ends
	}
	return append(ends, end{crash.Upstream, crash.At})
}

// heldPart reports whether the suspect is a part that is held.
func (s *suspect) heldPart(now time.Time, content Content) bool {
	return content.IsPart() && s.hold.activeAt(now)
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
			was, at := crash.explained, end{crash.Upstream, crash.At}
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

// leadTo reports whether one of the ends led to another one.
func leadTo(ends []end, later end) bool {
	return slices.ContainsFunc(ends, func(e end) bool { return e.leadsTo(later) })
}

// explains reports whether one of the ends is that of a crash.
func explains(ends []end, crash *Crash) bool {
	for _, e := range ends {
		if e.isEndOf(crash) {
			return true
		}
	}
	return false
}
