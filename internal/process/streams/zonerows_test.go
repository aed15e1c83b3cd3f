package streams

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// zoneObject is an object in the store, as far as the tests need it.
type zoneObject struct {
	version int
	rows    StoredRows
}

// zoneWriter is an instance that writes the rows of a zone: it merges an object that another one has written before it writes it.
type zoneWriter struct {
	rows    *ZoneRows
	version map[RowsObject]int // -1: the object wasn't merged
}

func newZoneWriter() *zoneWriter {
	return &zoneWriter{rows: NewZoneRows(), version: map[RowsObject]int{AllRows: -1, RecentRows: -1}}
}

// newMovingWriter returns a zoneWriter that moves few rows, too.
func newMovingWriter() *zoneWriter {
	w := newZoneWriter()
	w.rows.minMoved = 1
	return w
}

// write writes the object that is due. It returns which.
func (w *zoneWriter) write(now time.Time, store map[RowsObject]*zoneObject) (RowsObject, WriteKind) {
	for range 3 {
		object, kind, _ := w.rows.Next(now)
		if kind != WriteRows {
			return object, kind
		}
		o := store[object]
		if w.version[object] != o.version {
			w.rows.MergeStored(now, object, o.rows.Rows(), o.version > 0)
			w.version[object] = o.version
			continue // something else may be due
		}
		rows := w.rows.Rows(now, object)
		o.rows = EncodeRows(now, rows)
		o.version++
		w.version[object] = o.version
		w.rows.Attempted(now, object, len(rows)*16)
		w.rows.Written(object, rows, true)
		return object, kind
	}
	return RecentRows, NoWrite
}

// newZoneStore returns a store without objects.
func newZoneStore() map[RowsObject]*zoneObject {
	return map[RowsObject]*zoneObject{AllRows: {rows: EncodeRows(start, nil)}, RecentRows: {rows: EncodeRows(start, nil)}}
}

// find looks a stream up in both objects.
func find(now time.Time, store map[RowsObject]*zoneObject, key Key) (Origin, bool) {
	return FindStored(now, []StoredRows{store[AllRows].rows, store[RecentRows].rows}, key)
}

// TestNewRowsDoNotWaitForAllOthers guards against rows that are lost with all instances, because each write carried the rows
// of all older streams and was paced by their bytes.
func TestNewRowsDoNotWaitForAllOthers(t *testing.T) {
	const interval, bound = 100 * time.Millisecond, time.Second
	w, store, now := newZoneWriter(), newZoneStore(), start
	w.rows.SetMinInterval(interval)
	written, bytes := 0, map[RowsObject]int{}
	for i := range 4000 { // 250 a second
		now = now.Add(4 * time.Millisecond)
		key := Key(i + 1)
		w.rows.Add(now, Row{Key: key, Origin: old, Expires: now.Add(time.Minute)})
		if _, kind, at := w.rows.Next(now); kind != WriteRows || at.After(now.Add(bound)) {
			t.Fatalf("row %d is written %v later", i, at.Sub(now))
		} else if !at.After(now) {
			object, _ := w.write(now, store)
			written++
			bytes[object] += 16 * len(store[object].rows.Rows())
		}
	}
	seconds := now.Sub(start).Seconds()
	if most := 1 + int(seconds/interval.Seconds()); written > most {
		t.Errorf("%d writes, at most %d may be", written, most)
	}
	for object, n := range bytes {
		if most := int(seconds+moveInterval.Seconds()) * maxWriteBytesPerSecond * 5 / 4; n > most {
			t.Errorf("object %d: %d bytes in %.0f s, at most %d may be", object, n, seconds, most)
		}
	}
	for i := range 4000 - 250 { // those of the last second may be missing
		if got, found := find(now, store, Key(i+1)); !found || got != old {
			t.Fatalf("row %d: found %v %v", i, got, found)
		}
	}
}

// TestStoredRowsStayStored checks, for two writers of a zone in any order of events, that a row of which a writer says that
// the store has it is found there from then on, with its origin or as unknown, and that one whose origin became unknown is
// never found with an origin again, through writers that take turns, and objects that are lost with a restore of the store.
func TestStoredRowsStayStored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, now := newZoneStore(), start
		writers := []*zoneWriter{newMovingWriter(), newMovingWriter()}
		stored, unknown := make(map[Key]bool), make(map[Key]bool)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			w := writers[rapid.IntRange(0, 1).Draw(t, "writer")]
			key := Key(rapid.IntRange(1, 6).Draw(t, "key"))
			switch rapid.SampledFrom([]string{"add", "add", "other", "write", "write", "new writer"}).Draw(t, "event") {
			case "add":
				w.rows.Add(now, Row{Key: key, Origin: old, Expires: now.Add(MaxLife)})
			case "other":
				w.rows.Add(now, Row{Key: key, Origin: other, Expires: now.Add(MaxLife)})
			case "new writer":
				*w = *newMovingWriter()
			case "write":
				w.write(now, store)
			}
			for k := Key(1); k <= 6; k++ {
				row, known := w.rows.all.rows[k]
				if known && w.rows.IsStored(k) {
					stored[k] = true
					unknown[k] = unknown[k] || row.Origin == Origin{}
				}
				got, found := find(now, store, k)
				if stored[k] && !found {
					t.Fatalf("row %d was stored and isn't found", k)
				}
				if unknown[k] && got != (Origin{}) {
					t.Fatalf("row %d is found with %v after its origin became unknown", k, got)
				}
			}
		}
	})
}

// TestUnusedObjectsAreDeleted checks that both objects are deleted when no rows are left.
func TestUnusedObjectsAreDeleted(t *testing.T) {
	w, store, now := newMovingWriter(), newZoneStore(), start
	for i := range 10 {
		w.rows.Add(now, Row{Key: Key(i + 1), Origin: old, Expires: now.Add(time.Minute)})
		w.write(now, store)
		now = now.Add(time.Second)
	}
	if store[AllRows].version == 0 || store[RecentRows].version == 0 {
		t.Fatalf("written: %d, %d", store[AllRows].version, store[RecentRows].version)
	}
	now = now.Add(2 * time.Minute)
	for _, want := range []RowsObject{RecentRows, AllRows} {
		object, kind, at := w.rows.Next(now)
		if object != want || kind != DeleteRows || at.After(now) || len(w.rows.Rows(now, object)) > 0 {
			t.Fatalf("%v of %v in %v", kind, object, at.Sub(now))
		}
		w.rows.Written(object, nil, false)
	}
	if _, kind, _ := w.rows.Next(now); kind != NoWrite {
		t.Errorf("%v after the objects were deleted", kind)
	}
}

// TestFewRowsAreInOneObject guards against calls on the store for a second object where few streams run.
func TestFewRowsAreInOneObject(t *testing.T) {
	w, store, now := newZoneWriter(), newZoneStore(), start
	for i := range minMoved - 1 {
		w.rows.Add(now, Row{Key: Key(i + 1), Origin: old, Expires: now.Add(time.Hour)})
		w.write(now, store)
		now = now.Add(time.Second)
	}
	if store[AllRows].version != 0 {
		t.Errorf("all rows were written %d times", store[AllRows].version)
	}
	w.rows.Add(now, Row{Key: minMoved, Origin: old, Expires: now.Add(time.Hour)})
	if object, _ := w.write(now, store); object != AllRows {
		t.Errorf("%d rows weren't moved", minMoved)
	}
}
