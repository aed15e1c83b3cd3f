package config

import (
	"cmp"
	"slices"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// DefaultHistoryEvents is the number of changes that a daemon keeps to answer the fetches
// of its peers.
const DefaultHistoryEvents = 512

// DefaultFetchTimeout is how long a daemon waits for the answer to a fetch before it may
// send another one.
const DefaultFetchTimeout = 2 * time.Second

// Config configures a Core. Zero fields take the defaults.
type Config struct {
	HistoryEvents int           // number of changes kept to answer fetches
	FetchTimeout  time.Duration // how long to wait for the answer to a fetch
}

// Core is the state machine that moves a daemon from one version of the
// configuration to a newer one. It does no I/O.
//
// Invariants:
//   - the version in force never decreases;
//   - a change at or before position is never applied again, so that a late or
//     repeated delta cannot restore a deleted object;
//   - a delta is applied only if this daemon has every change before it.
//
// A Core keeps two store versions, version and position. The store's version also grows
// with writes to kinds that are not part of the configuration, so a watch can reach a
// position that is greater than the version of the last change of the configuration.
type Core struct {
	fetchTimeout time.Duration

	entries  map[objectKey]entry
	snapshot *Snapshot // in force; nil: none yet
	version  uint64    // version in force: that of snapshot
	position uint64    // entries holds every change up to this store version; at least version
	// behind is set while the store is older than the configuration in force here or
	// contradicts it, as after a restore from a backup. Events of the store are not
	// applied until a list is as new as the configuration in force.
	behind bool
	// hasGap is set after a list. A list does not show objects that were created and
	// deleted between version and the version of the list, so the next delta from this
	// daemon's own watch, whose base is version, is not complete.
	hasGap  bool
	history history

	fetchingFrom string        // peer that a fetch was sent to; empty: no fetch is pending
	fetchedAt    boottime.Time // when that fetch was sent
}

// New returns a Core without a configuration in force.
func New(cfg Config) *Core {
	return &Core{
		fetchTimeout: cmp.Or(cfg.FetchTimeout, DefaultFetchTimeout),
		entries:      map[objectKey]entry{},
		history:      history{limit: cmp.Or(cfg.HistoryEvents, DefaultHistoryEvents)},
	}
}

// Snapshot returns the snapshot in force, or nil before the first one.
func (c *Core) Snapshot() *Snapshot { return c.snapshot }

// Version returns the version in force.
func (c *Core) Version() uint64 { return c.version }

// Position returns the store version after which the watch must begin.
func (c *Core) Position() uint64 { return c.position }

// StoreBehind reports whether the store is older than the configuration in force here or
// contradicts it.
func (c *Core) StoreBehind() bool { return c.behind }

// ObjectVersions returns the newest known version of each object of a kind, by name.
func (c *Core) ObjectVersions(kind string) map[string]uint64 {
	out := map[string]uint64{}
	for k, e := range c.entries {
		if k.kind == kind {
			out[k.name] = e.newest.Version
		}
	}
	return out
}

// Step handles one event, received at now, and returns the actions to perform.
func (c *Core) Step(now boottime.Time, e Event) []Action {
	switch e := e.(type) {
	case Listed:
		return c.handleList(e)
	case WatchEvent:
		return c.handleWatchEvent(e.Event)
	case DeltaReceived:
		return c.handleDelta(now, e)
	case SnapshotReceived:
		return c.handleSnapshot(e)
	case FetchReceived:
		return c.handleFetch(e)
	case PeerVersion:
		return c.handlePeerVersion(now, e)
	}
	return nil
}

// handleList applies a list. Objects that are absent from it are deleted. It requests
// another list if this one is older than the configuration in force, or has the same
// version but other objects.
func (c *Core) handleList(l Listed) []Action {
	if l.Version < c.position {
		c.behind = true
		return []Action{Relist{Reason: "the list is older than the configuration in force"}}
	}
	changes := c.diff(l)
	if len(changes) > 0 && c.snapshot != nil && l.Version == c.position {
		c.behind = true
		return []Action{Relist{Reason: "the store has other objects at the version in force"}}
	}
	c.behind = false
	if len(changes) == 0 && c.snapshot != nil {
		c.hasGap = c.hasGap || l.Version > c.position
		c.position = l.Version
		return nil
	}
	return c.installList(l, changes)
}

// installList applies changes, the difference between entries and the list, and installs
// the result. It sends the changes to peers as a delta unless this is the first list or
// the store was restored from a backup.
func (c *Core) installList(l Listed, changes []platform.Event) []Action {
	first := c.snapshot == nil
	restored := c.hasPastWrites(changes)
	base := c.version
	c.version = c.versionAfterList(l, changes)
	c.position = l.Version
	c.hasGap = true
	for _, e := range changes {
		c.applyToEntries(e)
	}
	c.snapshot = build(c.version, c.entries)
	c.history.reset(c.position)
	if first || restored {
		return []Action{Install{c.snapshot}} // peers see the version in a heartbeat and fetch it
	}
	d := peer.ConfigDelta{Base: base, Version: c.version, Events: changes}
	return []Action{Install{c.snapshot}, SendDelta{Delta: d}}
}

// hasPastWrites reports whether changes hold a write whose version is at or before
// position. This daemon should have known such a write, so the store was restored from a
// backup. The changes cannot be sent as a delta then, because peers ignore events at or
// before their own position.
func (c *Core) hasPastWrites(changes []platform.Event) bool {
	return slices.ContainsFunc(changes, func(e platform.Event) bool {
		return e.Type == platform.Put && e.Object.Version <= c.position
	})
}

// versionAfterList returns the version that is in force after a list was applied. It is
// the version of the last change, so that daemons which list at different times agree.
// If changes hold a deletion, it is the version of the list, because a list does not say
// at which version an object was deleted: with a lower version in force, a late delta
// could restore the object for a moment. The version of the list is also
// returned if the version in force would not grow otherwise.
func (c *Core) versionAfterList(l Listed, changes []platform.Event) uint64 {
	var last uint64
	for _, e := range changes {
		if e.Type == platform.Deleted {
			return l.Version
		}
		last = max(last, e.Object.Version)
	}
	if c.snapshot != nil && last <= c.version {
		return l.Version
	}
	return last
}

// diff returns the changes that turn entries into the list, in version order. Deletions
// have the version of the list.
func (c *Core) diff(l Listed) []platform.Event {
	var changes []platform.Event
	listed := make(map[objectKey]bool, len(l.Objects))
	for _, o := range l.Objects {
		if !isConfiguration(o.Kind) {
			continue
		}
		listed[keyOf(o)] = true
		e, known := c.entries[keyOf(o)]
		if !known || !sameWrite(e.newest, o) {
			changes = append(changes, platform.Event{Type: platform.Put, Object: o})
		}
	}
	for k, e := range c.entries {
		if !listed[k] {
			absent := platform.Object{Kind: k.kind, Name: k.name, UID: e.newest.UID, Version: l.Version}
			changes = append(changes, platform.Event{Type: platform.Deleted, Object: absent})
		}
	}
	slices.SortFunc(changes, compareEvents)
	return changes
}

// compareEvents orders events by version, kind and name.
func compareEvents(a, b platform.Event) int {
	return cmp.Or(
		cmp.Compare(a.Object.Version, b.Object.Version),
		cmp.Compare(a.Object.Kind, b.Object.Kind),
		cmp.Compare(a.Object.Name, b.Object.Name),
	)
}

// sameWrite reports whether two reads of an object returned the same write. It compares
// more than the versions, because a store that was restored from a backup may assign a
// version again.
func sameWrite(a, b platform.Object) bool {
	return a.Version == b.Version && a.UID == b.UID && a.Nonce == b.Nonce
}

// isConfiguration reports whether objects of a kind are part of the configuration.
func isConfiguration(kind string) bool {
	return slices.Contains(resource.WatchedKinds, kind)
}

// handleWatchEvent applies the next event of this daemon's own watch.
func (c *Core) handleWatchEvent(e platform.Event) []Action {
	if c.behind || c.snapshot == nil {
		return nil // wait for a list
	}
	if c.contradicts(e) {
		c.behind = true
		return []Action{Relist{Reason: "the store's history differs from the configuration in force"}}
	}
	v := e.Object.Version
	if v <= c.position {
		return nil
	}
	if e.Type == platform.Bookmark || !isConfiguration(e.Object.Kind) {
		c.position = v
		return nil
	}
	d := peer.ConfigDelta{Base: c.version, Version: v, Events: []platform.Event{e}, Complete: !c.hasGap}
	return c.apply(d, "")
}

// contradicts reports whether a watch event at or before position is a write that this
// daemon does not know although it knows every change up to position. Then the store was
// restored from a backup.
func (c *Core) contradicts(e platform.Event) bool {
	if e.Type != platform.Put || e.Object.Version > c.position {
		return false
	}
	known, ok := c.entries[keyOf(e.Object)]
	if !ok {
		return false // the object may have been deleted after this write
	}
	if known.newest.Version == e.Object.Version {
		return !sameWrite(known.newest, e.Object)
	}
	return known.newest.Version < e.Object.Version
}

// handleDelta applies a delta from a peer. If this daemon lacks changes before the delta,
// it fetches them from the peer.
func (c *Core) handleDelta(now boottime.Time, e DeltaReceived) []Action {
	d := e.Delta
	if e.From == c.fetchingFrom {
		c.fetchingFrom = ""
	}
	if d.Version <= c.position {
		return c.advanceTo(d.Version)
	}
	if !c.canApply(d) {
		return c.fetch(now, e.From)
	}
	return c.apply(d, e.From)
}

// canApply reports whether this daemon can apply a delta. A complete delta holds every
// change after its base, so it is enough that this daemon has every change up to the
// base; changes that it has already are left out. A delta that is not complete is the
// difference between two versions, so its base must be the version in force here.
func (c *Core) canApply(d peer.ConfigDelta) bool {
	if c.snapshot == nil {
		return false
	}
	if d.Complete {
		return d.Base <= c.position
	}
	return d.Base == c.version
}

// apply puts a delta into force and sends it to every connected peer except from, the peer
// that sent it. An empty from means this daemon's own watch.
func (c *Core) apply(d peer.ConfigDelta, from string) []Action {
	changes := c.newChanges(d)
	next := c.snapshot.clone()
	for _, e := range changes {
		c.applyToEntries(e)
		k := keyOf(e.Object)
		if current, ok := c.entries[k]; ok {
			next.apply(k, current)
		} else {
			next.remove(k)
		}
	}
	c.recordHistory(d, changes, from)
	c.version = d.Version
	c.position = d.Version
	c.hasGap = false
	next.Version = d.Version
	next.indexKeys()
	c.snapshot = next
	return []Action{Install{next}, SendDelta{Except: from, Delta: d}}
}

// newChanges returns the events of a delta that are after position, in version order.
// It leaves out events of other kinds and those after the delta's own version.
func (c *Core) newChanges(d peer.ConfigDelta) []platform.Event {
	changes := make([]platform.Event, 0, len(d.Events))
	for _, e := range d.Events {
		v := e.Object.Version
		if v > c.position && v <= d.Version && isConfiguration(e.Object.Kind) {
			changes = append(changes, e)
		}
	}
	slices.SortStableFunc(changes, compareEvents)
	return changes
}

// recordHistory adds the changes of a delta to the history. If a peer's delta is not
// complete, the history is reset, because it would lack the changes that the delta does
// not hold. A delta from this daemon's own watch need not be complete: the watch delivers
// every change since the list, and the history was reset at the list.
func (c *Core) recordHistory(d peer.ConfigDelta, changes []platform.Event, from string) {
	if !d.Complete && from != "" {
		c.history.reset(d.Version)
		return
	}
	c.history.add(changes)
}

// applyToEntries applies one change to entries.
func (c *Core) applyToEntries(e platform.Event) {
	k := keyOf(e.Object)
	if e.Type == platform.Deleted {
		delete(c.entries, k)
		return
	}
	c.entries[k] = c.entries[k].update(e.Object)
}

// handleSnapshot applies a whole configuration from a peer, if it is newer.
func (c *Core) handleSnapshot(e SnapshotReceived) []Action {
	s := e.Snapshot
	if e.From == c.fetchingFrom {
		c.fetchingFrom = ""
	}
	if c.snapshot != nil && s.Version <= c.position {
		return c.advanceTo(s.Version)
	}
	entries := make(map[objectKey]entry, len(s.Objects))
	for _, o := range s.Objects {
		if isConfiguration(o.Newest.Kind) {
			entries[keyOf(o.Newest)] = c.receivedEntry(o)
		}
	}
	c.entries = entries
	c.version = s.Version
	c.position = s.Version
	c.hasGap = false
	c.snapshot = build(c.version, entries)
	c.history.reset(c.version)
	return []Action{Install{c.snapshot}}
}

// receivedEntry returns the entry for an object that a peer sent. If the peer's last valid
// version of the object is invalid here, this daemon's own last valid version is kept.
func (c *Core) receivedEntry(o peer.ConfigObject) entry {
	previous := c.entries[keyOf(o.Newest)]
	if g := o.LastGood; g != nil && g.UID == o.Newest.UID && keyOf(*g) == keyOf(o.Newest) && resource.Validate(*g) == nil {
		previous = entry{newest: *g, lastGood: g}
	}
	return previous.update(o.Newest)
}

// advanceTo raises the version in force to version without a change of any object. The
// caller has checked that version is at most position.
func (c *Core) advanceTo(version uint64) []Action {
	if c.snapshot == nil || version <= c.version {
		return nil
	}
	c.version = version
	next := c.snapshot.clone()
	next.Version = version
	c.snapshot = next
	return []Action{Install{next}}
}

// handleFetch answers the fetch of a peer with the changes that the peer lacks, or with a
// snapshot if the history does not hold all of them.
func (c *Core) handleFetch(e FetchReceived) []Action {
	if c.snapshot == nil || e.Fetch.KnownVersion >= c.version {
		return nil
	}
	if events, ok := c.history.since(e.Fetch.KnownVersion); ok && e.Fetch.KnownVersion > 0 {
		d := peer.ConfigDelta{Base: e.Fetch.KnownVersion, Version: c.version, Events: events, Complete: true}
		return []Action{SendDelta{To: e.From, Delta: d}}
	}
	return []Action{SendSnapshot{To: e.From, Snapshot: c.snapshotMessage()}}
}

// snapshotMessage returns the whole configuration as a message, with the objects sorted by
// kind and name.
func (c *Core) snapshotMessage() peer.ConfigSnapshot {
	objects := make([]peer.ConfigObject, 0, len(c.entries))
	for _, e := range c.entries {
		o := peer.ConfigObject{Newest: e.newest}
		if e.reason != "" {
			o.LastGood = e.lastGood
		}
		objects = append(objects, o)
	}
	slices.SortFunc(objects, func(a, b peer.ConfigObject) int {
		return cmp.Or(cmp.Compare(a.Newest.Kind, b.Newest.Kind), cmp.Compare(a.Newest.Name, b.Newest.Name))
	})
	return peer.ConfigSnapshot{Version: c.version, Objects: objects}
}

// handlePeerVersion compares the version in force at a peer with this daemon's position,
// and fetches the changes that are missing here.
func (c *Core) handlePeerVersion(now boottime.Time, e PeerVersion) []Action {
	if e.Applied > c.position || (c.snapshot == nil && e.Applied > 0) {
		return c.fetch(now, e.From)
	}
	return c.advanceTo(e.Applied)
}

// fetch asks a peer for every change after position, unless a fetch is pending that was
// sent less than fetchTimeout ago.
func (c *Core) fetch(now boottime.Time, from string) []Action {
	if c.fetchingFrom != "" && now.Sub(c.fetchedAt) < c.fetchTimeout {
		return nil
	}
	c.fetchingFrom = from
	c.fetchedAt = now
	return []Action{SendFetch{To: from, Fetch: peer.ConfigFetch{KnownVersion: c.position}}}
}
