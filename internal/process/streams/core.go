package streams

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxLife is how long a row is kept at most.
	MaxLife = 10 * time.Minute
	// maxRows limits the own rows and the copies, each about 200 bytes. Of more, those that expire first are dropped.
	maxRows = 1 << 14
)

// Key identifies a stream.
type Key uint64

// KeyOf returns the key of the stream whose first event an attempt of a client account brought.
func KeyOf(account, attempt string) Key {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(account) // never returns an error
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(attempt)
	return Key(digest.Sum64())
}

// Origin is where a stream began.
type Origin struct {
	Service  string `json:"service"`
	Software string `json:"software"` // version of the upstream's software; empty: not known
}

// Row is the origin of one stream.
type Row struct {
	Key     Key
	Origin  Origin
	Expires time.Time
}

// Core keeps rows. It is not safe for concurrent use.
type Core struct {
	own      map[Key]Row             // streams that this instance passed on
	copies   map[Key]Row             // of other instances
	uncopied map[string]map[Key]bool // own rows that began without doubt and that holders don't have, by service
	copied   map[string]map[Key]bool // those that holders got nevertheless
	due      []Key                   // own rows to be sent to their holders
	durable  durableQueue
}

// New returns a core without rows.
func New() *Core {
	return &Core{own: make(map[Key]Row), copies: make(map[Key]Row), uncopied: make(map[string]map[Key]bool), copied: make(map[string]map[Key]bool), durable: newDurableQueue()}
}

// Began records that this instance passed on the first event of a stream, or continues one. An origin that contradicts a
// known one makes it unknown. The row expires after life, or MaxLife if that is shorter. inDoubt: several origins are
// possible, so that holders need the row.
func (c *Core) Began(now time.Time, key Key, origin Origin, life time.Duration, inDoubt bool) {
	old, known := c.own[key]
	switch {
	case !known && len(c.own) >= maxRows:
		c.makeRoom(now, c.own, c.dropOwn)
	case known && now.Before(old.Expires) && old.Origin != origin: // two callers without an account use one id
		c.dropOwn(key, old)
		origin, inDoubt = Origin{}, true
	}
	delete(c.durable.finished, key)
	c.durable.began(key, origin)
	c.own[key] = Row{Key: key, Origin: origin, Expires: now.Add(min(life, MaxLife))}
	if inDoubt {
		c.due = append(c.due, key)
		c.durable.add(now, key)
		return
	}
	if c.uncopied[origin.Service] == nil {
		c.uncopied[origin.Service] = make(map[Key]bool)
	}
	c.uncopied[origin.Service][key] = true
}

// makeRoom removes the expired rows, and those of the given rows that expire first if too few have expired: enough for
// many further rows, so that it isn't called for each of them.
func (c *Core) makeRoom(now time.Time, rows map[Key]Row, drop func(Key, Row)) {
	c.Forget(now)
	all := slices.Collect(maps.Values(rows))
	for _, row := range firstToExpire(all, len(all)-maxRows*7/8) {
		drop(row.Key, row)
	}
}

// firstToExpire returns the n rows that expire first. It reorders the given rows.
func firstToExpire(rows []Row, n int) []Row {
	slices.SortFunc(rows, func(a, b Row) int { return a.Expires.Compare(b.Expires) })
	return rows[:max(0, n)]
}

func (c *Core) dropOwn(key Key, row Row) {
	delete(c.own, key)
	delete(c.uncopied[row.Origin.Service], key)
	delete(c.copied[row.Origin.Service], key)
	c.durable.forget(key)
}

// UncopiedServices returns the services with own rows that holders don't have.
func (c *Core) UncopiedServices() []string { return nonEmpty(c.uncopied) }

// UndoubtedServices returns the services with own rows that began without doubt.
func (c *Core) UndoubtedServices() []string {
	services := append(nonEmpty(c.uncopied), nonEmpty(c.copied)...)
	slices.Sort(services)
	return slices.Compact(services)
}

// nonEmpty returns the services that have keys.
func nonEmpty(byService map[string]map[Key]bool) []string {
	var out []string
	for service, keys := range byService {
		if len(keys) > 0 {
			out = append(out, service)
		}
	}
	return out
}

// Doubt makes the own rows of a service that began without doubt due: for holders that don't have them yet, and to be kept
// in the platform's store. It reports whether there are any.
func (c *Core) Doubt(now time.Time, service string) bool {
	c.CopyAll(service)
	keys := c.copied[service]
	for key := range keys {
		if !c.durable.finished[key] {
			c.durable.add(now, key)
		}
	}
	delete(c.copied, service)
	return len(keys) > 0
}

// CopyAll makes the own rows of a service due that holders don't have yet, without any doubt about its versions. It
// reports whether there are any.
func (c *Core) CopyAll(service string) bool {
	keys := c.uncopied[service]
	for key := range keys {
		c.due = append(c.due, key)
		if c.copied[service] == nil {
			c.copied[service] = make(map[Key]bool)
		}
		c.copied[service][key] = true
	}
	delete(c.uncopied, service)
	return len(keys) > 0
}

// TakeDue returns the rows to send to their holders now.
func (c *Core) TakeDue(now time.Time) []Row {
	var out []Row
	for _, key := range c.due {
		if row, ok := c.own[key]; ok && now.Before(row.Expires) {
			out = append(out, row)
		}
	}
	c.due = nil
	return out
}

// Merge records a row that another instance sent. An origin that contradicts a known one makes it unknown.
func (c *Core) Merge(now time.Time, row Row) {
	row.Expires = earlier(row.Expires, now.Add(MaxLife))
	old, known := c.copies[row.Key]
	switch {
	case !known && len(c.copies) >= maxRows:
		c.makeRoom(now, c.copies, func(key Key, _ Row) { delete(c.copies, key) })
	case known && now.Before(old.Expires) && old.Origin != row.Origin:
		row.Origin = Origin{}
	}
	c.copies[row.Key] = row
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Find returns the origin of a stream. ok is false if there is no row. The origin is empty if what is known of it is
// contradictory.
func (c *Core) Find(now time.Time, key Key) (origin Origin, ok bool) {
	var answers []Answer
	for _, rows := range []map[Key]Row{c.own, c.copies} {
		if row, known := rows[key]; known && now.Before(row.Expires) {
			answers = append(answers, Answer{Basis: ByRow, Origin: row.Origin})
		}
	}
	return Resolve(Answer{}, answers)
}

// Forget drops the rows that have expired.
func (c *Core) Forget(now time.Time) {
	for key, row := range c.own {
		if !now.Before(row.Expires) {
			c.dropOwn(key, row)
		}
	}
	c.durable.dropExpired(now)
	for key, row := range c.copies {
		if !now.Before(row.Expires) {
			delete(c.copies, key)
		}
	}
}
