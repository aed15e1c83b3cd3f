package quarantine

import (
	"bytes"
	"crypto/sha256"
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
	if !c.mayBeSound(now, part, s) {
		return likelier, false
	}
	ends := s.ends()
	best := (len(ends) + 1) / 2
	for content, other := range c.suspects {
		if !content.IsPart() || content == part || other.hold.activeAt(now) || !c.isLikelier(now, content, other, part, s) || c.outrankedByWork(other) {
			continue
		}
		if n := other.countAt(ends); n >= best && countIndependent(other.countedSince(now, other.hold)) >= partCrashesToHold {
			likelier, ok, best = content, true, n
		}
	}
	return likelier, ok
}

// mayBeSound reports whether the suspect is a part that may well be sound although it crashed upstreams, so that it is held
// only after more crashes.
func (c *Core) mayBeSound(now time.Time, content Content, s *suspect) bool {
	times := s.hold.Times
	if !s.hold.activeAt(now) {
		times++
	}
	return content.IsPart() && c.partCrashesNeeded(now, content, times) == answeredPartCrashesToHold
}

// mayBlame reports whether a suspect can be held because of its crashes. A part that may well be sound can only if requests
// without it were answered since, or if it is one part among others that broke off far more often at the same ends.
func (c *Core) mayBlame(now time.Time, part Content, s *suspect) bool {
	if !c.mayBeSound(now, part, s) || c.answers-s.answersBefore >= minControlAnswers {
		return true
	}
	ends := s.ends()
	for content, other := range c.suspects {
		if content.IsPart() && content != part && other.brokenSends >= 2*s.brokenSends && 2*other.metAt(ends) >= len(ends) {
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
