package streams

import "time"

const (
	// maxDurableRows limits the rows that are kept in the platform's store for one availability zone. Of more, those that
	// expire first are dropped.
	maxDurableRows = 1 << 15
	// minWriteInterval is the minimum time between two writes of the rows, unless SetMinInterval sets another one.
	minWriteInterval = time.Second
	// maxWriteBytesPerSecond limits what the writes of one object amount to, as each writes all its rows.
	maxWriteBytesPerSecond = 20_000
	// unusedFor is how long an object without rows is kept.
	unusedFor = time.Minute
)

// DurableRows are rows that are kept in one object of the platform's store. It decides when to write and what. It is not safe for concurrent use.
type DurableRows struct {
	rows      map[Key]durableRow
	lacking   int           // rows that the store doesn't have as they are now
	writtenAt time.Time     // of the last attempt to write
	minimum   time.Duration // between two writes
	interval  time.Duration // after the last attempt
	stored    bool          // the store has the object
	checkedAt time.Time     // when expired rows were last dropped
}

// durableRow is a row in DurableRows.
type durableRow struct {
	Row
	stored bool // the store has it
}

// WriteKind is what is to be done in the store.
type WriteKind int

// The kinds of writes.
const (
	NoWrite    WriteKind = iota // nothing will have to be written
	WriteRows                   // the rows are to be written
	DeleteRows                  // the object is to be deleted, as it has been without rows for long
)

// NewDurableRows returns a DurableRows without rows.
func NewDurableRows() *DurableRows {
	return &DurableRows{rows: make(map[Key]durableRow), minimum: minWriteInterval}
}

// SetMinInterval sets the minimum time between two writes of the rows.
func (d *DurableRows) SetMinInterval(interval time.Duration) { d.minimum = interval }

// IsStored reports whether the store has the row of a stream as it is.
func (d *DurableRows) IsStored(key Key) bool { return d.rows[key].stored }

// Add adds a row that an instance handed over. An origin that contradicts a known one makes it unknown.
func (d *DurableRows) Add(now time.Time, row Row) { d.put(now, durableRow{Row: row}) }

func (d *DurableRows) put(now time.Time, row durableRow) {
	row.Expires = earlier(row.Expires, now.Add(MaxLife))
	old, known := d.rows[row.Key]
	if known && now.Before(old.Expires) {
		row = combine(old, row)
	}
	if !known && len(d.rows) >= maxDurableRows {
		d.makeRoom(now)
	}
	d.Drop(row.Key)
	d.rows[row.Key] = row
	if !row.stored {
		d.lacking++
	}
}

// combine returns what two rows of one stream say together.
func combine(a, b durableRow) durableRow {
	out := durableRow{Row: a.Row}
	if b.Expires.After(a.Expires) {
		out.Expires = b.Expires
	}
	if a.Origin != b.Origin {
		out.Origin = Origin{}
	}
	out.stored = a.stored && a.Row == out.Row || b.stored && b.Row == out.Row
	return out
}

// Drop drops the row of a stream that has ended. That alone causes no write.
func (d *DurableRows) Drop(key Key) {
	if row, ok := d.rows[key]; ok && !row.stored {
		d.lacking--
	}
	delete(d.rows, key)
}

// makeRoom removes the expired rows, and those that expire first if too few have expired, enough for many further rows.
func (d *DurableRows) makeRoom(now time.Time) {
	rows := d.Rows(now)
	for _, row := range firstToExpire(rows, len(rows)-maxDurableRows*7/8) {
		d.Drop(row.Key)
	}
}

// Rows returns all rows that haven't expired, and drops the others.
func (d *DurableRows) Rows(now time.Time) []Row {
	d.dropExpired(now)
	out := make([]Row, 0, len(d.rows))
	for _, row := range d.rows {
		out = append(out, row.Row)
	}
	return out
}

func (d *DurableRows) dropExpired(now time.Time) {
	d.checkedAt = now
	for key, row := range d.rows {
		if !now.Before(row.Expires) {
			d.Drop(key)
		}
	}
}

// MergeStored adds the rows that were read from the store; exists: the store has the object. Rows that were written before
// and aren't there any more are to be written again.
func (d *DurableRows) MergeStored(now time.Time, rows []Row, exists bool) {
	d.stored = exists
	for key, row := range d.rows {
		row.stored = false
		d.rows[key] = row
	}
	d.lacking = len(d.rows)
	for _, row := range rows {
		if now.Before(row.Expires) {
			d.put(now, durableRow{Row: row, stored: true})
		}
	}
}

// Attempted records that an object with a number of bytes is about to be written.
func (d *DurableRows) Attempted(now time.Time, bytes int) {
	d.writtenAt = now
	d.interval = max(d.minimum, time.Duration(bytes)*time.Second/maxWriteBytesPerSecond)
}

// postpone has the next write come no sooner than the minimum interval from now.
func (d *DurableRows) postpone(now time.Time) {
	if d.writtenAt.Add(d.interval).Before(now.Add(d.minimum)) {
		d.writtenAt, d.interval = now, d.minimum
	}
}

// Written records that the store has exactly the given rows; exists: in an object, which wasn't deleted.
func (d *DurableRows) Written(rows []Row, exists bool) {
	d.stored = exists
	for _, row := range rows {
		if known := d.rows[row.Key]; !known.stored && known.Row == row {
			known.stored = true
			d.rows[row.Key] = known
			d.lacking--
		}
	}
}

// Next returns what has to be written next, and when.
func (d *DurableRows) Next(now time.Time) (WriteKind, time.Time) {
	if now.Sub(d.checkedAt) >= minWriteInterval {
		d.dropExpired(now)
	}
	switch {
	case d.lacking > 0:
		return WriteRows, latest(now, d.writtenAt.Add(d.interval))
	case d.stored:
		return DeleteRows, latest(d.lastExpiry(now), d.writtenAt.Add(unusedFor))
	}
	return NoWrite, time.Time{}
}

// lastExpiry returns when the last row expires; now: there is none.
func (d *DurableRows) lastExpiry(now time.Time) time.Time {
	for _, row := range d.rows {
		now = latest(now, row.Expires)
	}
	return now
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
