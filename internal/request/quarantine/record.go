package quarantine

import (
	"slices"
	"time"
)

// maxWriteDelay is the assumed maximum time from a write whose answer was lost until it takes effect on the
// platform, if it does.
const maxWriteDelay = 10 * time.Second

// recordState is what is known of the record of some work's hold on the platform.
//
// A record is unwanted if the work was answered completely since the crashes that led to its hold. Such records
// exist until they are removed, and they also come into being later: instances that don't know yet that the work
// was answered store the hold, and so does a write that was sent before and takes effect after. A record says which
// crashes led to its hold. So each instance that knows of the answer recognizes unwanted records, whenever it learns
// of them, and doesn't mistake the record of a later hold for one.
type recordState struct {
	unwanted        bool      // the platform may have an unwanted record
	unwantedVersion uint64    // version of that record; 0: not known
	unwantedSince   time.Time // when it last became known that there may be one
	unwantedUntil   time.Time // end of its hold
	unknownUntil    time.Time // until then a write of this instance may take effect whose answer was lost
	cleared         uint64    // newest version whose hold ended here because it wasn't justified any more
	gone            uint64    // newest version that is known to have been removed
}

// unwantedAt reports whether an unwanted record has to be removed. It need not be once its hold has ended.
func (r *recordState) unwantedAt(now time.Time) bool {
	return r.unwanted && now.Before(r.unwantedUntil)
}

// markUnwanted records that the platform may have an unwanted record, whose hold ends at until. version is 0 if it
// isn't known.
func (c *Core) markUnwanted(now time.Time, content Content, s *suspect, version uint64, until time.Time) {
	r := &s.record
	if !r.unwantedAt(now) {
		r.unwantedVersion, r.unwantedUntil = 0, time.Time{}
		c.unwanted = append(c.unwanted, content)
	}
	r.unwanted, r.unwantedSince = true, now
	r.unwantedVersion = max(r.unwantedVersion, version)
	if until.After(r.unwantedUntil) {
		r.unwantedUntil = until
	}
}

// TakeUnwantedRecords returns the work whose record on the platform became unwanted since the last call. Each has to
// be removed (see RecordToRemove).
func (c *Core) TakeUnwantedRecords() []Content {
	out := c.unwanted
	c.unwanted = nil
	return out
}

// RecordToRemove reports whether the record of some work has to be removed from the platform: it is unwanted, or its
// hold ended long ago (see ExpiredHolds). version is that of the record, and 0 if the record has to be read first. It
// has to be removed only at that version, as a later one may be of a hold that began since.
func (c *Core) RecordToRemove(now time.Time, content Content) (version uint64, ok bool) {
	s, known := c.suspects[content]
	switch {
	case !known:
		return 0, false
	case s.record.unwantedAt(now):
		return s.record.unwantedVersion, true
	}
	return s.hold.Version, s.expired(now)
}

// WriteUnknown records that the answer to a write of a hold was lost. The write may take effect for some time. If the
// work isn't held any more, its record is unwanted.
func (c *Core) WriteUnknown(now time.Time, content Content, hold Hold) {
	s, ok := c.suspects[content]
	if !ok {
		return
	}
	s.record.unknownUntil = now.Add(maxWriteDelay)
	if !s.hold.activeAt(now) {
		c.markUnwanted(now, content, s, 0, hold.Until)
	}
}

// RecordChanged records that the record of some work isn't at the version any more that was to be removed. It has to
// be read.
func (c *Core) RecordChanged(content Content) {
	if s, ok := c.suspects[content]; ok {
		s.record.unwantedVersion = 0
	}
}

// RecordRemoved records that the unwanted record of some work was removed at a version, or, if version is 0, that a
// read that was sent at the given time found none. A record that became unwanted after that is still to be removed, and
// so is one that a write whose answer was lost may yet create.
func (c *Core) RecordRemoved(at time.Time, content Content, version uint64) {
	s, ok := c.suspects[content]
	if !ok {
		return
	}
	r := &s.record
	r.gone = max(r.gone, version)
	later := r.unwantedSince.After(at)
	if version != 0 {
		later = r.unwantedVersion > version
	}
	if later {
		return
	}
	r.unwantedVersion = 0
	r.unwanted = r.unwanted && at.Before(r.unknownUntil)
}

// RecordDeleted records a deletion on the platform, at the given version (0: not known). It returns true if it ended a
// hold in the sense of Lift. The deletion of an earlier record than the known one has no effect.
func (c *Core) RecordDeleted(now time.Time, content Content, version uint64) (lifted bool) {
	s, ok := c.suspects[content]
	if !ok || version != 0 && s.stored && version < s.hold.Version {
		return false
	}
	if unwanted := s.record.unwantedVersion; unwanted != 0 && version >= unwanted {
		c.RecordRemoved(now, content, version)
	}
	s.record.gone = max(s.record.gone, version)
	return c.Lift(now, content)
}

// outdated reports whether a stored hold is older than what is known of the record.
func (s *suspect) outdated(hold Hold) bool {
	if hold.Version == 0 {
		return false
	}
	return hold.Version <= s.record.gone || hold.Version < s.record.unwantedVersion || s.stored && hold.Version < s.hold.Version
}

// cleared reports whether a stored hold isn't justified any more: it ended here for that reason before, or too few of
// the crashes that led to it are valid now. Those that aren't known here are. What explains them here plays no part:
// other instances may know that it is no cause.
func (s *suspect) cleared(content Content, hold Hold) bool {
	if hold.Version != 0 && hold.Version <= s.record.cleared {
		return true
	}
	counted := make([]Crash, 0, len(hold.Crashes))
	for i := range hold.Crashes {
		if cause := &hold.Crashes[i]; s.stillValid(cause) {
			counted = append(counted, *cause)
		}
	}
	return len(counted) < len(hold.Crashes) && countIndependent(counted) < minCrashes(content, hold.Times)
}

// stillValid reports whether a crash that led to a hold is valid. It isn't if it is known here and no matching crash is.
func (s *suspect) stillValid(cause *Crash) bool {
	known := false
	for _, crash := range s.crashes {
		if !crash.sameCrash(cause) {
			continue
		}
		if crash.valid() {
			return true
		}
		known = true
	}
	return !known
}

// isCause reports whether a crash is one of those that led to the current hold.
func (s *suspect) isCause(crash *Crash) bool {
	return slices.ContainsFunc(s.hold.Crashes, func(cause Crash) bool { return crash.sameCrash(&cause) })
}

// addCauses adds the crashes that led to the current hold to the known ones.
func (s *suspect) addCauses() {
	for _, cause := range s.hold.Crashes {
		s.mergeCrash(&cause)
	}
}

// onlyLifted reports whether the suspect is kept only to recognize a late write of a hold that was removed from the
// platform (see Lift).
func (s *suspect) onlyLifted() bool {
	return s.hold.Times == 0 && len(s.crashes) > 0 && !slices.ContainsFunc(s.crashes, func(crash *Crash) bool { return !crash.lifted })
}
