package streams

import "time"

const (
	// moveInterval is the minimum time between two writes of all rows of an availability zone.
	moveInterval = 3 * time.Second
	// minMoved is the least number of recent rows for which all are written. Fewer take hardly longer to be written than one.
	minMoved = 128
)

// RowsObject is one of the two objects in the platform's store that hold the rows of an availability zone.
type RowsObject int

// The objects.
const (
	AllRows    RowsObject = iota // the rows of which RecentRows isn't to have more
	RecentRows                   // the rows that AllRows doesn't have as they are
)

// RowsObjects are both objects.
var RowsObjects = []RowsObject{AllRows, RecentRows}

// ZoneRows are the rows that are kept in the platform's store for one availability zone. New rows are written to an object
// of their own, which is small, so that they don't wait for all others to be written with them. From time to time, if there
// are many, all are written to the other object. A stream's origin is what both say together. It is not safe for concurrent use.
type ZoneRows struct {
	all      *DurableRows // all rows; stored: in AllRows
	recent   *DurableRows // those that aren't stored in AllRows
	minMoved int          // see the constant
}

// NewZoneRows returns ZoneRows without rows.
func NewZoneRows() *ZoneRows {
	z := &ZoneRows{all: NewDurableRows(), recent: NewDurableRows(), minMoved: minMoved}
	z.all.SetMinInterval(moveInterval)
	return z
}

// SetMinInterval sets the minimum time between two writes.
func (z *ZoneRows) SetMinInterval(interval time.Duration) {
	z.recent.SetMinInterval(interval)
	z.all.SetMinInterval(max(interval, moveInterval))
}

// Add adds a row that an instance handed over. An origin that contradicts a known one makes it unknown.
func (z *ZoneRows) Add(now time.Time, row Row) {
	if z.all.lacking == 0 {
		z.all.postpone(now)
	}
	z.all.Add(now, row)
	if !z.all.IsStored(row.Key) {
		z.recent.Add(now, z.all.rows[row.Key].Row)
	}
}

// Drop drops the row of a stream that has ended. That alone causes no write.
func (z *ZoneRows) Drop(key Key) {
	z.all.Drop(key)
	z.recent.Drop(key)
}

// IsStored reports whether the store has the row of a stream as it is.
func (z *ZoneRows) IsStored(key Key) bool { return z.all.IsStored(key) || z.recent.IsStored(key) }

// Rows returns the rows to write to an object, and drops those that have expired.
func (z *ZoneRows) Rows(now time.Time, object RowsObject) []Row { return z.in(object).Rows(now) }

func (z *ZoneRows) in(object RowsObject) *DurableRows {
	if object == AllRows {
		return z.all
	}
	return z.recent
}

// Next returns what has to be written next, to which object, and when.
func (z *ZoneRows) Next(now time.Time) (RowsObject, WriteKind, time.Time) {
	recentKind, recentAt := z.recent.Next(now)
	allKind, allAt := z.all.Next(now)
	switch {
	case recentKind == WriteRows && allKind == WriteRows && !allAt.After(recentAt) && len(z.recent.rows) >= z.minMoved:
		return AllRows, WriteRows, recentAt // in place of the write of the recent ones, which it contains
	case recentKind == NoWrite && allKind == DeleteRows:
		return AllRows, DeleteRows, allAt
	}
	return RecentRows, recentKind, recentAt
}

// Attempted records that an object with a number of bytes is about to be written.
func (z *ZoneRows) Attempted(now time.Time, object RowsObject, bytes int) {
	if object == RecentRows {
		z.recent.Attempted(now, bytes)
		return
	}
	z.all.Attempted(now, bytes)
	z.recent.Attempted(now, 0) // the next write of any object isn't sooner than the minimum
}

// Written records that the store has exactly the given rows in an object; exists: the object wasn't deleted.
func (z *ZoneRows) Written(object RowsObject, rows []Row, exists bool) {
	z.in(object).Written(rows, exists)
	if object == RecentRows {
		return
	}
	for _, row := range rows {
		if z.all.IsStored(row.Key) {
			z.recent.Drop(row.Key)
		}
	}
}

// MergeStored adds the rows that were read from an object; exists: the store has it. Rows that were written to it before and
// aren't there any more are to be written again.
func (z *ZoneRows) MergeStored(now time.Time, object RowsObject, rows []Row, exists bool) {
	z.in(object).MergeStored(now, rows, exists)
	if object == RecentRows {
		for _, row := range rows {
			if now.Before(row.Expires) {
				z.all.Add(now, row)
			}
		}
	}
	for key, row := range z.all.rows {
		if !row.stored {
			z.recent.Add(now, row.Row)
		} else {
			z.recent.Drop(key)
		}
	}
}
