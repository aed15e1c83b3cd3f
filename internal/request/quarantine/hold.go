package quarantine

import (
	"slices"
	"time"
)

const (
	// initialHold is the length of the first hold of some work. Callers stop retrying the same work
	// earlier than that, and work that was held in error can still run within the hour.
	initialHold = 10 * time.Minute
	// holdGrowth is the factor by which each further hold of the same work is longer than the one
	// before, up to MaxHold. Holds grow because each one follows another crash, which ended all
	// requests in flight at an upstream.
	holdGrowth = 4
)

// MaxHold is the maximum length of a hold.
const MaxHold = 4 * time.Hour

// Hold is a period during which some work isn't sent to any upstream.
type Hold struct {
	Until   time.Time // end of the hold; zero: no hold
	Times   int       // number of holds of this work so far, including this one
	Crashes []Crash   // crashes that led to the hold; none: not known
	Version uint64    // version of its record on the platform; 0: not stored, or not known
}

// activeAt reports whether the hold is in force.
func (h Hold) activeAt(now time.Time) bool { return now.Before(h.Until) }

// next returns the hold that begins now and follows h, which has ended. If h is zero, it is the first, which has the
// given length.
func (h Hold) next(now time.Time, length time.Duration) Hold {
	for range h.Times {
		length = min(length*holdGrowth, MaxHold)
	}
	return Hold{Until: now.Add(length), Times: h.Times + 1}
}

// updateHold cancels the current hold if the crashes no longer justify it, and begins one if there is none and the
// crashes of the work justify it.
func (c *Core) updateHold(now time.Time, content Content, s *suspect) {
	if s.hold.activeAt(now) && c.unfounded(now, content, s) {
		c.cancelHold(now, content, s)
	}
	if s.hold.activeAt(now) || !c.justifiesHold(now, content, s, s.hold) {
		return
	}
	if content.IsPart() && c.outranked(now, content, s) {
		return
	}
	if likelier, ok := c.likelierPart(now, content, s); ok {
		c.beginHold(now, likelier, c.suspects[likelier])
	} else if c.mayBlame(now, content, s) {
		c.beginHold(now, content, s)
	}
}

// beginHold begins a hold of some work because of its crashes.
func (c *Core) beginHold(now time.Time, content Content, s *suspect) {
	s.previous, s.hold, s.suspended = s.hold, s.hold.next(now, firstHold(content)), false
	s.hold.Crashes = s.countedSince(now, s.previous)
	s.fromCrashes, s.stored = true, false
	c.newHolds = append(c.newHolds, content)
	c.explainDue = true
}

// unfounded reports whether the current hold isn't justified any more. A stored hold depends on the crashes in its
// record, which are the same at all instances. Another one depends on the crashes known here, if it began because of
// them. A hold whose crashes are explained here isn't unfounded, but suspended.
func (c *Core) unfounded(now time.Time, content Content, s *suspect) bool {
	if s.stored && len(s.hold.Crashes) > 0 {
		return s.cleared(content, s.hold)
	}
	return s.fromCrashes && countIndependent(s.validSince(now, s.previous)) < minCrashes(content, s.hold.Times)
}

// minCrashes returns the least number of independent crashes that may lead to the given hold of some work.
func minCrashes(content Content, times int) int {
	if content.IsPart() && times == 1 {
		return partCrashesToHold
	}
	return crashesNeeded(times)
}

// firstHold returns the length of the first hold of some work.
func firstHold(content Content) time.Duration {
	if content.IsPart() {
		return initialPartHold
	}
	return initialHold
}

// justifiesHold reports whether the crashes since the end of the earlier hold last justify another hold. If last
// is zero, there was no earlier one.
func (c *Core) justifiesHold(now time.Time, content Content, s *suspect, last Hold) bool {
	needed := crashesNeeded(last.Times + 1)
	if content.IsPart() {
		needed = c.partCrashesNeeded(now, content, last.Times+1)
	}
	return countIndependent(s.countedSince(now, last)) >= needed
}

// countedSince returns the crashes since the end of the earlier hold last that count against the work here.
func (s *suspect) countedSince(now time.Time, last Hold) []Crash {
	return slices.DeleteFunc(s.validSince(now, last), func(crash Crash) bool { return crash.explained() })
}

// validSince returns the valid crashes since the end of the earlier hold last.
func (s *suspect) validSince(now time.Time, last Hold) []Crash {
	valid := make([]Crash, 0, len(s.crashes))
	for _, crash := range s.crashes {
		if crash.valid() && crash.At.After(last.Until) && now.Sub(crash.At) < crashRetention {
			valid = append(valid, *crash)
		}
	}
	return valid
}

// crashesNeeded returns the number of independent crashes that lead to the given hold of some work, counted from
// one. Work that was held before is held again after a single crash.
func crashesNeeded(times int) int {
	if times > 1 {
		return 1
	}
	return crashesToHold
}

// cancelHold replaces the current hold by the one before it. It is called when the work was answered completely, or the
// crashes that led to the current hold aren't valid any more, at any instance. If the hold is stored, or may still be, its
// record is unwanted.
func (c *Core) cancelHold(now time.Time, content Content, s *suspect) {
	if s.stored {
		c.markUnwanted(now, content, s, s.hold.Version, s.hold.Until)
		s.record.cleared = max(s.record.cleared, s.hold.Version)
	} else if now.Before(s.record.unknownUntil) {
		c.markUnwanted(now, content, s, 0, s.hold.Until)
	}
	s.dropHold()
	c.exonerate(content)
}

// dropHold replaces the current hold by the one before it.
func (s *suspect) dropHold() {
	s.hold, s.previous, s.suspended = s.previous, Hold{}, false
	s.fromCrashes, s.stored = false, false
}

// ActiveHold returns the hold of some work; ok is false if none is in force here.
func (c *Core) ActiveHold(now time.Time, content Content) (hold Hold, ok bool) {
	s, known := c.suspects[content]
	if !known || !s.inForce(now) {
		return Hold{}, false
	}
	return s.hold, true
}

// TakeNewHolds returns the work for which crashes began a hold since the last call, or whose hold isn't suspended any more.
func (c *Core) TakeNewHolds() []Content {
	out := c.newHolds
	c.newHolds = nil
	return out
}

// UnstoredHold returns the hold of some work, with the crashes that justify it now, if it is in force and not yet
// stored on the platform.
func (c *Core) UnstoredHold(now time.Time, content Content) (hold Hold, ok bool) {
	hold, ok = c.ActiveHold(now, content)
	if !ok {
		return Hold{}, false
	}
	s := c.suspects[content]
	if s.fromCrashes && !c.unfounded(now, content, s) {
		hold.Crashes = s.validSince(now, s.previous)
	}
	return hold, !s.stored
}

// HoldStored records a hold that is stored on the platform: read there, or written by this instance. If the work is
// held here for longer, that hold is kept. isNew is true if the stored hold is in force and the work was not held here.
//
// The hold isn't applied if its crashes are known not to count any more (see cleared). Its record is then unwanted.
// Older versions of the record than the newest one known have no effect.
func (c *Core) HoldStored(now time.Time, content Content, hold Hold) (isNew bool) {
	s := c.suspectFor(now, content)
	if s.outdated(hold) {
		return false
	}
	if hold.activeAt(now) && s.cleared(content, hold) {
		c.markUnwanted(now, content, s, hold.Version, hold.Until)
		return false
	}
	s.record.unwanted, s.record.unwantedVersion = false, 0
	if !s.hold.activeAt(now) {
		isNew = hold.activeAt(now)
		s.fromCrashes = false
	}
	if isNew {
		s.previous = s.hold
	}
	if s.hold.Until.After(hold.Until) {
		s.hold.Crashes, s.hold.Version = hold.Crashes, hold.Version
	} else {
		s.hold = hold
	}
	s.stored, s.storedAt = true, now
	c.explainDue = true
	c.explainCrashes(now)
	return isNew && s.inForce(now)
}

// Lift ends a hold that was removed from the platform. Neither the crashes that led to it nor the others that are
// known count any more. The first are remembered, so that a late write of the same hold is recognized. Lift does
// nothing and returns false if no hold of the work is known to have been stored.
func (c *Core) Lift(now time.Time, content Content) bool {
	s, ok := c.suspects[content]
	if !ok || !s.stored {
		return false
	}
	c.exonerate(content)
	defer c.explainCrashes(now)
	s.addCauses()
	s.crashes = slices.DeleteFunc(s.crashes, func(crash *Crash) bool { return crash.valid() && !s.isCause(crash) })
	if len(s.crashes) == 0 {
		delete(c.suspects, content)
		return true
	}
	for _, crash := range s.crashes {
		crash.lifted = true
	}
	s.record.gone = max(s.record.gone, s.hold.Version)
	s.hold, s.previous, s.suspended = Hold{}, Hold{}, false
	s.fromCrashes, s.stored = false, false
	return true
}

// ExpiredHolds returns the work whose stored hold ended so long ago that it no longer affects
// the next one. It can be removed from the platform.
func (c *Core) ExpiredHolds(now time.Time) []Content {
	var out []Content
	for content, s := range c.suspects {
		if s.expired(now) {
			out = append(out, content)
		}
	}
	return out
}

// expired reports whether the hold is stored and ended so long ago that it no longer affects the next one.
func (s *suspect) expired(now time.Time) bool {
	return s.stored && !now.Before(s.hold.Until.Add(crashRetention))
}

// MarkUnstored records that the platform may have lost stored holds. It returns the work whose hold is
// in force and has to be stored again.
func (c *Core) MarkUnstored(now time.Time) []Content {
	var out []Content
	for content, s := range c.suspects {
		if s.stored && s.hold.activeAt(now) {
			s.stored = false
			out = append(out, content)
		}
	}
	return out
}

// StoredHolds returns the work whose hold is known to be stored on the platform and was last confirmed to be stored
// at or before the given time. Holds that were stored or seen later may be missing from a list that was read at that
// time.
func (c *Core) StoredHolds(at time.Time) []Content {
	var out []Content
	for content, s := range c.suspects {
		if s.stored && !s.storedAt.After(at) {
			out = append(out, content)
		}
	}
	return out
}
