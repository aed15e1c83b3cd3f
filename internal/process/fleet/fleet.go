package fleet

import (
	"maps"
	"slices"
	"time"
)

// RestoreGrace is how long a missing entry is kept after the platform can be read again. Upstreams
// that are still alive are listed again within about two seconds.
const RestoreGrace = 2200 * time.Millisecond

// entry is a listed upstream, or one that is missing from the list and may be listed again.
type entry struct {
	Upstream
	missing       bool
	afterStall    bool      // it went missing when the list was confirmed after a stall, and no outage was noticed
	expiresAt     time.Time // set if missing
	nextRoleSince time.Time // when the current NextRole was first seen
}

// Core holds the list of upstreams as last read from the platform. It is not safe for concurrent
// use.
type Core struct {
	entries         map[string]*entry
	missingCount    int                       // number of entries that are missing
	tombstones      map[string]tombstone      // removed entries, by ID
	unreadable      map[string]string         // the invalid field of each unreadable entry, by ID
	software        map[string]map[string]int // number of entries that can begin streams, by service and version of software
	deferred        map[string]Upstream       // by ID; removed entries that are listed again after a restore of the platform from an older copy, see Replace
	reportedLeaving map[Incarnation]leavingReport
	sweptAt         time.Time // when reportedLeaving was last swept
	listed          bool      // a whole list has been received
	era             uint64    // of the last list; changes when the platform is restored from an older copy
	witness         outageWitness
	listLost        bool      // the list can't be read
	outage          bool      // the platform has an outage in which entries may lapse
	restoredAt      time.Time // when it answered again after an outage; zero: there was no outage
	unconfirmed     bool      // this process did not run for a while, and the list may lack changes of that time
	confirmedAt     time.Time // when the list was confirmed after that; zero: it never had to be
	connectedSince  time.Time // when the first list came or, if later, when the platform could be read again
	version         uint64    // number of changes
}

// tombstone records a removed entry, so that writes of the entry that arrive late are recognized. A late
// write by an older incarnation is ignored. After a late write by the removed incarnation, the upstream
// still gets no new work if it was leaving.
type tombstone struct {
	startedMS int64
	leaving   bool
	inferred  bool // the removal wasn't seen: the entry was still missing some time after an outage
	expiresAt time.Time
}

// tombstoneTTL is how long a tombstone is kept. Late writes arrive within seconds.
const tombstoneTTL = time.Minute

// New returns an empty Core.
func New() *Core {
	return &Core{
		entries: make(map[string]*entry), tombstones: make(map[string]tombstone),
		unreadable: make(map[string]string), deferred: make(map[string]Upstream),
		reportedLeaving: make(map[Incarnation]leavingReport), software: make(map[string]map[string]int),
	}
}

// ClearList removes all that is known about upstreams, as if no list had been received yet, with one
// exception: the core still knows which incarnations reported in responses that they are leaving.
func (c *Core) ClearList() {
	reportedLeaving, heartbeat := c.reportedLeaving, c.witness.heartbeat
	*c = *New()
	c.reportedLeaving = reportedLeaving
	c.SetHeartbeat(heartbeat)
}

// Version returns a number that changes whenever the result of Usable changes.
func (c *Core) Version() uint64 { return c.version }

// PlatformLost records an outage of the platform in which entries may lapse.
func (c *Core) PlatformLost() { c.outage = true }

// InOutage reports whether the platform has an outage in which entries may lapse.
func (c *Core) InOutage() bool { return c.outage }

// IsPlatformLost reports whether the platform can't be read.
func (c *Core) IsPlatformLost() bool { return c.outage || c.listLost }

// Resumed records that this process runs again after a time in which it did not run. Until Confirmed is
// called, the list may lack the changes of that time.
func (c *Core) Resumed() { c.unconfirmed = c.listed }

// Confirmed records that the list has all changes up to some time after the last call of Resumed.
func (c *Core) Confirmed(now time.Time) {
	if c.unconfirmed {
		c.unconfirmed, c.confirmedAt, c.connectedSince = false, now, now
	}
}

// Unconfirmed reports whether the list may lack changes of a time in which this process did not run.
func (c *Core) Unconfirmed() bool { return c.unconfirmed }

// UpToDate reports whether the list is up to date: the platform can be read, RestoreGrace has passed
// since the end of the last outage, if there was one, no missing entry is kept, and the list was confirmed
// since this process last resumed.
func (c *Core) UpToDate(now time.Time) bool {
	return c.missingCount == 0 && !c.unreliable() && !withinGrace(now, c.restoredAt)
}

// PlatformRestored records that the platform answers again after an outage. It returns false if there was
// none.
func (c *Core) PlatformRestored(now time.Time) bool {
	if !c.outage {
		return false
	}
	c.outage, c.restoredAt, c.connectedSince = false, now, now
	for _, e := range c.entries {
		if e.missing {
			e.expiresAt = now.Add(RestoreGrace)
		}
	}
	return true
}

// ConnectedFor returns for how long the platform could be read without interruption, or 0 if it
// can't be read now, or was not read since this process resumed.
func (c *Core) ConnectedFor(now time.Time) time.Duration {
	if c.unreliable() || c.connectedSince.IsZero() {
		return 0
	}
	return now.Sub(c.connectedSince)
}

// Replace sets the whole list and removes entries that aren't on it. It returns those entries of the
// list that are newly unreadable.
//
// The platform begins a new era when it is restored from an older copy of its data. The first list of
// a new era may lack upstreams that were added after the copy was made. These upstreams write their
// entries again within RestoreGrace. The list may also contain upstreams that were removed after the
// copy was made. Their entries are deferred: such an upstream is not used until it has written its
// entry again, or until its tombstone expires while the upstream is still listed. Entries whose removal
// was only inferred are used, as they may have been written again before the list was read.
func (c *Core) Replace(now time.Time, era uint64, list []Change) []Change {
	listed := make(map[string]bool, len(list))
	for i := range list {
		listed[list[i].ID] = true
	}
	clear(c.deferred)
	if !c.listed {
		c.connectedSince = now
	}
	restored := c.listed && era != c.era
	c.listed, c.era = true, era
	if restored {
		c.PlatformLost()
		c.PlatformRestored(now)
		list = slices.DeleteFunc(slices.Clone(list), c.deferIfGone)
	}
	newlyUnreadable := c.Apply(now, list)
	for id := range c.entries {
		if !listed[id] {
			c.Remove(now, id)
		}
	}
	maps.DeleteFunc(c.unreadable, func(id, _ string) bool { return !listed[id] })
	return newlyUnreadable
}

// deferIfGone defers a listed entry if this or a later incarnation of it was seen to be removed. It
// reports whether it did.
func (c *Core) deferIfGone(ch Change) bool {
	t, removed := c.tombstones[ch.ID]
	if ch.Kind != Listed || !removed || t.inferred || ch.Upstream.StartedMS > t.startedMS {
		return false
	}
	c.deferred[ch.ID] = ch.Upstream
	return true
}

// Apply applies changes in order. It returns the entries that are newly unreadable.
func (c *Core) Apply(now time.Time, changes []Change) []Change {
	var newlyUnreadable []Change
	for i := range changes {
		switch ch := &changes[i]; ch.Kind {
		case Listed:
			c.Put(now, ch.Upstream)
		case Unlisted:
			c.Remove(now, ch.ID)
		case Unreadable:
			if c.RemoveUnreadable(now, ch.ID, ch.Reason) {
				newlyUnreadable = append(newlyUnreadable, *ch)
			}
		}
	}
	return newlyUnreadable
}

// Put adds or updates an entry. It ignores an entry of an incarnation that is older than the newest
// known one. An incarnation that has been leaving once counts as leaving from then on.
func (c *Core) Put(now time.Time, u Upstream) {
	delete(c.unreadable, u.ID)
	delete(c.deferred, u.ID)
	c.inheritLeavingReport(&u)
	e := &entry{Upstream: u, nextRoleSince: now}
	e.Leaving = u.Leaving || c.hasReportedLeaving(u.Incarnation())
	if old, ok := c.entries[u.ID]; ok {
		if u.StartedMS < old.StartedMS {
			return
		}
		if u.StartedMS == old.StartedMS {
			e.Leaving = e.Leaving || old.Leaving
			if old.Upstream == e.Upstream && !old.missing {
				return
			}
			if old.NextRole == u.NextRole && old.Role == u.Role {
				e.nextRoleSince = old.nextRoleSince
			}
		}
	} else if t, ok := c.tombstones[u.ID]; ok {
		if u.StartedMS < t.startedMS {
			return
		}
		e.Leaving = e.Leaving || (t.leaving && u.StartedMS == t.startedMS)
	}
	delete(c.tombstones, u.ID)
	c.removeEntry(u.ID)
	c.entries[u.ID] = e
	c.countSoftware(&e.Upstream)
	c.version++
}

// removeEntry removes an entry, if it exists, without adding a tombstone.
func (c *Core) removeEntry(id string) {
	e, ok := c.entries[id]
	if !ok {
		return
	}
	if e.missing {
		c.missingCount--
	}
	c.uncountSoftware(&e.Upstream)
	delete(c.entries, id)
}

// RemoveUnreadable records that an entry is unreadable and removes its upstream, even in an outage.
// reason names the invalid field. RemoveUnreadable returns false if the entry was unreadable for the
// same reason before.
func (c *Core) RemoveUnreadable(now time.Time, id, reason string) bool {
	delete(c.deferred, id)
	if e, ok := c.entries[id]; ok {
		c.delete(now, e)
	}
	if c.unreadable[id] == reason {
		return false
	}
	c.unreadable[id] = reason
	return true
}

// delete removes an entry and adds a tombstone for it.
func (c *Core) delete(now time.Time, e *entry) {
	c.tombstones[e.ID] = tombstone{startedMS: e.StartedMS, leaving: e.Leaving, expiresAt: now.Add(tombstoneTTL)}
	c.removeEntry(e.ID)
	c.version++
}

// Remove records that an entry disappeared from the list. An entry that may have lapsed only
// because of an outage is kept as missing until RestoreGrace is over, unless its upstream was
// leaving.
func (c *Core) Remove(now time.Time, id string) {
	delete(c.unreadable, id)
	delete(c.deferred, id)
	e, ok := c.entries[id]
	if !ok || e.missing {
		return
	}
	if c.mayHaveLapsed(now) && !e.Leaving {
		e.missing, e.expiresAt = true, c.graceEnd(now)
		e.afterStall = !c.outage && !withinGrace(now, c.restoredAt)
		c.missingCount++
		c.version++
		return
	}
	c.delete(now, e)
}

// mayHaveLapsed reports whether an entry may have lapsed only because of an outage. There may have been
// an outage while this process did not run, which no call of this process noticed.
func (c *Core) mayHaveLapsed(now time.Time) bool {
	return c.outage || c.unconfirmed || withinGrace(now, c.restoredAt) || withinGrace(now, c.confirmedAt)
}

// unreliable reports whether the platform can't be read, or was not read since this process resumed.
func (c *Core) unreliable() bool { return c.outage || c.listLost || c.unconfirmed }

// withinGrace reports whether less than RestoreGrace has passed since a time; the zero time: never.
func withinGrace(now, since time.Time) bool {
	return !since.IsZero() && now.Before(since.Add(RestoreGrace))
}

// graceEnd returns when an entry that goes missing now is to be removed.
func (c *Core) graceEnd(now time.Time) time.Time {
	switch {
	case c.outage || c.unconfirmed:
		return now.Add(RestoreGrace)
	case c.confirmedAt.After(c.restoredAt):
		return c.confirmedAt.Add(RestoreGrace)
	}
	return c.restoredAt.Add(RestoreGrace)
}

// roleChangeTTL is how long an announced role change is assumed to be in progress. An engine that
// changes its role is unavailable for some seconds. If it still has its old role after
// roleChangeTTL, the process that announced the change ended before it ordered the change.
const roleChangeTTL = 8 * time.Second

// Expire removes what has expired: missing entries, announced role changes, reports of leaving, and
// tombstones. If it removes the tombstone of a deferred entry, that entry is used from then on. It
// returns the IDs of the removed entries.
func (c *Core) Expire(now time.Time) []string {
	var expired []string
	for id, e := range c.entries {
		if e.Changing() && now.Sub(e.nextRoleSince) >= roleChangeTTL {
			e.NextRole = ""
			c.version++
		}
		if !e.missing || now.Before(e.expiresAt) || c.unreliable() {
			continue // what can't be read now may list it
		}
		c.delete(now, e)
		c.markInferred(id)
		expired = append(expired, id)
	}
	c.expireLeavingReports(now)
	for id, t := range c.tombstones {
		if now.Before(t.expiresAt) {
			continue
		}
		delete(c.tombstones, id)
		if u, ok := c.deferred[id]; ok {
			c.Put(now, u) // still listed: if the upstream had ended, its entry would have lapsed again by now
		}
	}
	return expired
}

// markInferred records that the removal of an entry was inferred.
func (c *Core) markInferred(id string) {
	t := c.tombstones[id]
	t.inferred = true
	c.tombstones[id] = t
}

// Get returns the upstream with an ID.
func (c *Core) Get(id string) (Upstream, bool) {
	e, ok := c.entries[id]
	if !ok {
		return Upstream{}, false
	}
	return e.Upstream, true
}

// Address returns the address of an incarnation. ok is false if the incarnation isn't listed.
func (c *Core) Address(incarnation Incarnation) (address string, ok bool) {
	if e := c.find(incarnation); e != nil {
		return e.Address, true
	}
	return "", false
}

// Listed reports whether an incarnation is listed, and whether it reported, on the list or in a
// response, that it is leaving.
func (c *Core) Listed(incarnation Incarnation) (listed, leaving bool) {
	if e := c.find(incarnation); e != nil {
		return true, e.Leaving
	}
	return false, c.hasReportedLeaving(incarnation)
}

// find returns the entry of an incarnation, or nil.
func (c *Core) find(incarnation Incarnation) *entry {
	for _, id := range incarnation.possibleIDs() {
		if e, ok := c.entries[id]; ok && e.Incarnation() == incarnation {
			return e
		}
	}
	return nil
}

// RecentlyGone reports whether an incarnation was removed from the list within tombstoneTTL, and
// whether it had reported that it was leaving.
func (c *Core) RecentlyGone(incarnation Incarnation) (gone, leaving bool) {
	for _, id := range incarnation.possibleIDs() {
		if t, ok := c.tombstones[id]; ok && (&Upstream{ID: id, StartedMS: t.startedMS}).Incarnation() == incarnation {
			return true, t.leaving
		}
	}
	return false, false
}

// End is the end of an incarnation as the list shows it.
type End struct {
	Next          Incarnation // the newest known incarnation after it; empty: none
	NextStartedMS int64       // the start of Next, ms since the Unix epoch
}

// SeenToEnd reports whether an incarnation was seen to end within tombstoneTTL: its entry was removed, or replaced by that
// of a later incarnation. Neither an entry that lapsed in an outage nor one that became unreadable shows that.
func (c *Core) SeenToEnd(incarnation Incarnation) (end End, ended bool) {
	for _, id := range incarnation.possibleIDs() {
		started, ok := incarnation.startedMS(id)
		if _, unreadable := c.unreadable[id]; !ok || unreadable {
			continue
		}
		if newest, known := c.newestKnown(id); known && newest.StartedMS > started {
			return End{Next: newest.Incarnation(), NextStartedMS: newest.StartedMS}, true
		}
		if t, removed := c.tombstones[id]; removed && !t.inferred && t.startedMS == started {
			return End{}, true
		}
	}
	return End{}, false
}

// newestKnown returns the newest incarnation of an upstream that is listed or was removed within tombstoneTTL.
func (c *Core) newestKnown(id string) (u Upstream, known bool) {
	if e, listed := c.entries[id]; listed {
		return e.Upstream, true
	}
	t, removed := c.tombstones[id]
	return Upstream{ID: id, StartedMS: t.startedMS}, removed
}

// Usable returns the upstreams that may get new work, by service. If several entries have the same
// address, only the one that started last is included. An entry that went missing after a stall is included
// only if no listed upstream of its service is: it has probably ended, and lapsed only if there was an outage
// that this process didn't notice.
func (c *Core) Usable() map[string][]Upstream {
	newest := make(map[string]int64, len(c.entries)) // latest start, by address
	for _, e := range c.entries {
		newest[e.Address] = max(newest[e.Address], e.StartedMS)
	}
	out, afterStall := make(map[string][]Upstream), make(map[string][]Upstream)
	for _, e := range c.entries {
		switch {
		case e.Leaving || e.Changing() || e.StartedMS != newest[e.Address]:
		case e.missing && e.afterStall:
			afterStall[e.Service] = append(afterStall[e.Service], e.Upstream)
		default:
			out[e.Service] = append(out[e.Service], e.Upstream)
		}
	}
	for service, upstreams := range afterStall {
		if len(out[service]) == 0 {
			out[service] = upstreams
		}
	}
	return out
}

// Engines returns the engines by service, including those that are changing their role.
func (c *Core) Engines() map[string][]Upstream {
	out := make(map[string][]Upstream)
	for _, e := range c.entries {
		if !e.Leaving && e.Role != "" {
			out[e.Service] = append(out[e.Service], e.Upstream)
		}
	}
	return out
}
