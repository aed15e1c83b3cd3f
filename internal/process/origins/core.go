package origins

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// leftDelay is how long an entry has to be missing here before the record says that it has left. What instances know
	// differs for a while, and the time matters little against Memory.
	leftDelay = 30 * time.Second
	// restoreDelay is how long an instance that didn't know the record before the store was restored leaves it to the
	// others to confirm it.
	restoreDelay = 5 * time.Second
	// confirmDelay is how long a record says nothing after an instance has confirmed it in a new era of the store: others
	// may know more, and add that.
	confirmDelay = 30 * time.Second
	// maxEntries limits a record to some hundred kilobytes, which the store accepts. Those that left first are dropped.
	maxEntries = 4096
)

// Object identifies the stored state of the record.
type Object struct {
	Version uint64 // see platform.Object; zero: there is none
	UID     string
}

// Core keeps the record for one instance that follows the list of upstreams. It is not safe for concurrent use.
type Core struct {
	listed       map[entry]bool
	missingSince map[entry]time.Time // entries of the record that are not listed
	read         bool                // the record was read, or found not to exist, in this era of the store
	era          uint64              // of the store, when the record was last read or written
	object       Object
	stored       Record          // as last read or written
	known        map[entry]int64 // by the records that were read, with the times at which they left
	restoredAt   time.Time       // when a record of an earlier era was read, while nothing was known before; zero: not
}

// New returns a core that knows no record.
func New() *Core {
	return &Core{listed: make(map[entry]bool), missingSince: make(map[entry]time.Time), known: make(map[entry]int64)}
}

// SetListed sets the versions of listed upstreams that can begin streams, for the services that have resumable routes, and
// the services to which these routes lead, by host and path prefix.
func (c *Core) SetListed(now time.Time, versions, routes map[string][]string) {
	clear(c.listed)
	add := func(isRoute bool, all map[string][]string) {
		for name, values := range all {
			for _, v := range values {
				c.listed[entry{isRoute: isRoute, name: name, value: v}] = true
			}
		}
	}
	add(false, versions)
	add(true, routes)
	c.updateMissing(now)
}

// updateMissing records since when entries of the record are missing.
func (c *Core) updateMissing(now time.Time) {
	maps.DeleteFunc(c.missingSince, func(e entry, _ time.Time) bool { return c.listed[e] })
	for e := range c.known {
		if _, missing := c.missingSince[e]; !missing && !c.listed[e] {
			c.missingSince[e] = now
		}
	}
}

// NeedsRead reports whether the record has to be read.
func (c *Core) NeedsRead() bool { return !c.read }

// Era returns the era of the store when the record was last read or written.
func (c *Core) Era() uint64 { return c.era }

// Restored records that the store was restored from an older copy: the record has to be read again.
func (c *Core) Restored() { c.read = false }

// Loaded records what was read from the store, or written, in an era of the store. record is nil if there is none.
func (c *Core) Loaded(now time.Time, era uint64, object Object, record *Record) {
	c.read, c.era, c.object = true, era, object
	c.stored = Record{Era: era}
	if record != nil {
		c.stored = *record
	}
	switch {
	case c.stored.Era != era:
		c.mergeRestored(now)
	case c.exists():
		c.restoredAt = time.Time{}
		maps.Copy(c.known, c.stored.entries())
	default: // there is none yet, or the store's copy was made before it was created
		c.restoredAt = time.Time{}
	}
	c.updateMissing(now)
}

// mergeRestored adds what a record of an earlier era says to what is known.
func (c *Core) mergeRestored(now time.Time) {
	if len(c.known) == 0 && c.restoredAt.IsZero() {
		c.restoredAt = now
	}
	for e, left := range c.stored.entries() {
		if old, ok := c.known[e]; ok {
			left = later(old, left)
		}
		c.known[e] = left
	}
}

// later returns the later of two times at which an entry left; 0 means that it has not.
func later(a, b int64) int64 {
	if a == 0 || b == 0 {
		return 0
	}
	return max(a, b)
}

// exists reports whether the store has a record.
func (c *Core) exists() bool { return c.object.Version != 0 }

// NextWrite returns the record that has to be written now, and the object that it replaces. due is false if there is none.
func (c *Core) NextWrite(now time.Time) (record Record, object Object, due bool) {
	if !c.read || (len(c.listed) == 0 && !c.exists()) {
		return Record{}, Object{}, false
	}
	era := c.era
	entries, incomplete := c.desired(now)
	if !c.restoredAt.IsZero() && now.Sub(c.restoredAt) < restoreDelay {
		era, incomplete = c.stored.Era, c.stored.IncompleteMS // entries are added, but the record isn't confirmed
	}
	due = !c.exists() || c.stored.Era != era || c.stored.IncompleteMS != incomplete || !maps.Equal(entries, c.stored.entries())
	record = Record{Era: era, IncompleteMS: incomplete}
	record.setEntries(entries)
	return record, c.object, due
}

// desired returns the entries that the record should have, and until when it may lack some.
func (c *Core) desired(now time.Time) (entries map[entry]int64, incompleteMS int64) {
	entries = make(map[entry]int64)
	for e, left := range c.known {
		if since, missing := c.missingSince[e]; left == 0 && missing && now.Sub(since) >= leftDelay {
			left = since.UnixMilli()
		}
		if !forgotten(left, now) {
			entries[e] = left
		}
	}
	for e := range c.listed {
		entries[e] = 0
	}
	if c.stored.IncompleteMS > now.UnixMilli() {
		incompleteMS = c.stored.IncompleteMS
	}
	dropped := bound(entries)
	if end := now.Add(Memory).UnixMilli(); (dropped && incompleteMS < end-Memory.Milliseconds()/2) || !c.restoredAt.IsZero() {
		incompleteMS = end
	} else if c.exists() && c.stored.Era != c.era {
		incompleteMS = max(incompleteMS, now.Add(confirmDelay).UnixMilli())
	}
	return entries, incompleteMS
}

// bound drops the entries that left first if there are more than maxEntries. It reports whether it dropped any.
func bound(entries map[entry]int64) (dropped bool) {
	if len(entries) <= maxEntries {
		return false
	}
	byLeft := slices.SortedFunc(maps.Keys(entries), func(a, b entry) int {
		return cmp.Or(compareLeft(entries[a], entries[b]), strings.Compare(a.name, b.name), strings.Compare(a.value, b.value))
	})
	for _, e := range byLeft[:len(byLeft)-maxEntries] {
		delete(entries, e)
	}
	return true
}

// compareLeft orders times at which entries left; entries that haven't left are last.
func compareLeft(a, b int64) int {
	switch {
	case a == b:
		return 0
	case a == 0 || (b != 0 && a > b):
		return 1
	}
	return -1
}

// Recorded returns the versions in the record, by service, which are none if the record hasn't been read. Streams may
// begin at upstreams of these versions.
func (c *Core) Recorded() map[string]map[string]bool {
	out := make(map[string]map[string]bool, len(c.stored.Versions))
	if !c.read || !c.exists() {
		return out
	}
	for service, left := range c.stored.Versions {
		out[service] = make(map[string]bool, len(left))
		for v := range left {
			out[service][v] = true
		}
	}
	return out
}

// Sole returns the only possible origin of a stream that begins now on a path of a host, so far as this instance knows. It
// serves to decide what to keep, not where a stream began.
func (c *Core) Sole(now time.Time, host, path string) (origin Origin, ok bool) {
	if !c.read || !c.exists() {
		return Origin{}, false
	}
	record := c.stored
	entries := c.stored.entries()
	for e := range c.listed {
		entries[e] = 0
	}
	record.setEntries(entries)
	return record.Sole(c.era, now, host, path)
}

// SoleSoftware reports whether all streams of a service began at the same version, so far as this instance knows.
func (c *Core) SoleSoftware(now time.Time, service string) bool {
	if !c.read || !c.exists() || !c.stored.complete(c.era, now) {
		return false
	}
	version, ok := c.stored.soleVersion(now, service)
	for e := range c.listed {
		if !e.isRoute && e.name == service && e.value != version {
			return false
		}
	}
	return ok
}
