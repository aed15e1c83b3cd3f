package streams

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"
)

// takeDurable returns the keys of the rows to hand over, and the streams that have ended.
func takeDurable(c *Core, at time.Duration, all bool) (keys, ended []Key) {
	rows, ended := c.TakeDurable(start.Add(at), all)
	for _, row := range rows {
		keys = append(keys, row.Key)
	}
	return keys, ended
}

// TestLongStreamsInDoubtAreHandedOverOnce checks which rows are handed over, and when.
func TestLongStreamsInDoubtAreHandedOverOnce(t *testing.T) {
	c := New()
	for key, inDoubt := range map[Key]bool{1: true, 2: true, 3: false, 4: false} {
		c.Began(start, key, old, time.Minute, inDoubt)
	}
	c.Ended(2)
	c.Ended(4)
	if keys, _ := takeDurable(c, durableDelay-1, false); len(keys) > 0 {
		t.Errorf("handed over too early: %v", keys)
	}
	if keys, _ := takeDurable(c, durableDelay, false); !slices.Equal(keys, []Key{1}) {
		t.Errorf("handed over %v, want the running stream in doubt", keys)
	}
	c.Doubt(start.Add(time.Second), "llm")
	c.Began(start.Add(time.Second), 1, old, time.Minute, true) // its caller resumed it
	if keys, _ := takeDurable(c, time.Minute/2, false); !slices.Equal(keys, []Key{3}) {
		t.Errorf("handed over %v, want the running stream that began without doubt, and no other one again", keys)
	}
	c.Began(start.Add(20*time.Second), 1, old, time.Minute, true)
	if keys, _ := takeDurable(c, time.Minute/2, false); !slices.Equal(keys, []Key{1}) {
		t.Errorf("handed over %v, want the row that now lives longer", keys)
	}
	c.Ended(1)
	if keys, ended := takeDurable(c, time.Minute/2, false); len(keys) > 0 || !slices.Equal(ended, []Key{1}) {
		t.Errorf("handed over %v, ended %v", keys, ended)
	}
	if _, ok := c.NextDurable(start); ok {
		t.Error("something is due although all was taken")
	}
}

// TestStopHandsOverRunningStreams checks that a row needn't be due if its instance stops, and that a stop without doubt
// hands over nothing.
func TestStopHandsOverRunningStreams(t *testing.T) {
	c := New()
	c.Began(start, 1, old, time.Minute, true)
	c.Began(start, 2, old, time.Minute, false)
	c.CopyAll("llm")
	if keys, _ := takeDurable(c, 0, true); !slices.Equal(keys, []Key{1}) {
		t.Errorf("handed over %v", keys)
	}
}

// write has all rows written, and returns them as they are stored.
func write(t *testing.T, d *DurableRows, now time.Time) StoredRows {
	t.Helper()
	rows := d.Rows(now)
	data, err := json.Marshal(EncodeRows(now, rows))
	var stored StoredRows
	if err == nil {
		err = json.Unmarshal(data, &stored)
	}
	if err == nil {
		err = stored.Check()
	}
	if err != nil {
		t.Fatal(err)
	}
	d.Attempted(now, len(data))
	d.Written(rows, true)
	return stored
}

// TestRowsAreWrittenAtABoundedRate checks that rows are written at once after a pause, then once a second, and less
// often the larger they are; that nothing is written that the store has; and that an unused object is deleted.
func TestRowsAreWrittenAtABoundedRate(t *testing.T) {
	d, now := NewDurableRows(), start
	if kind, _ := d.Next(now); kind != NoWrite {
		t.Error("a write without rows")
	}
	check := func(wantKind WriteKind, wantIn time.Duration) {
		t.Helper()
		if kind, at := d.Next(now); kind != wantKind || at.Sub(now).Round(time.Second) != wantIn {
			t.Errorf("write %v in %v, want %v in %v", kind, at.Sub(now), wantKind, wantIn)
		}
	}
	row := func(i int) Row { return Row{Key: Key(i), Origin: old, Expires: start.Add(2 * time.Minute)} }
	d.Add(now, row(1))
	check(WriteRows, 0)
	write(t, d, now)
	d.Add(now, row(1))
	check(DeleteRows, 2*time.Minute) // nothing to write before that
	d.Add(now, row(2))
	check(WriteRows, time.Second)
	d.Drop(2)
	check(DeleteRows, 2*time.Minute)
	for i := range 10_000 {
		d.Add(now, row(i))
	}
	write(t, d, now)
	d.Add(now, row(10_000))
	check(WriteRows, 8*time.Second)
	now = now.Add(2 * time.Minute)
	check(DeleteRows, 0)
	d.Written(nil, false)
	if kind, _ := d.Next(now); kind != NoWrite {
		t.Error("something is to be written after the object was deleted")
	}
}

// TestNewWriterKeepsStoredRows checks that a new writer merges what is stored, and that rows that the store has lost are
// written again.
func TestNewWriterKeepsStoredRows(t *testing.T) {
	before, d := NewDurableRows(), NewDurableRows()
	for key, origin := range map[Key]Origin{1: old, 2: old, 3: old} {
		before.Add(start, Row{Key: key, Origin: origin, Expires: start.Add(time.Duration(key) * time.Second)})
	}
	stored := write(t, before, start)
	d.Add(start, Row{Key: 3, Origin: other, Expires: start.Add(time.Minute)}) // contradicts the stored one
	d.Add(start, Row{Key: 4, Origin: other, Expires: start.Add(time.Minute)})
	d.MergeStored(start.Add(time.Second), stored.Rows(), true)
	merged := []StoredRows{write(t, d, start.Add(time.Second))}
	for key, want := range map[Key]Origin{2: old, 3: {}, 4: other} {
		if got, ok := FindStored(start.Add(time.Second), merged, key); !ok || got != want {
			t.Errorf("stream %d: %v %v, want %v", key, got, ok, want)
		}
	}
	if _, ok := FindStored(start.Add(time.Second), merged, 1); ok {
		t.Error("an expired row was kept")
	}
	if kind, _ := d.Next(start.Add(time.Second)); kind == WriteRows {
		t.Error("written again although the store has all rows")
	}
	d.MergeStored(start.Add(time.Second), nil, false)
	if kind, _ := d.Next(start.Add(time.Second)); kind != WriteRows || d.lacking != 3 {
		t.Errorf("after the store lost the rows, %d are to be written", d.lacking)
	}
}

// TestStoredRowsRoundTrip checks the encoding, and that a row is valid until it expires and hardly longer.
func TestStoredRowsRoundTrip(t *testing.T) {
	rows := []Row{
		{Key: ^Key(0), Origin: old, Expires: start.Add(1500 * time.Millisecond)},
		{Key: 1, Origin: Origin{}, Expires: start.Add(MaxLife)},
		{Key: 2, Origin: other, Expires: start},
	}
	objects := []StoredRows{EncodeRows(start, nil), EncodeRows(start, rows)}
	for _, row := range rows[:2] {
		if got, ok := FindStored(row.Expires.Add(-1), objects, row.Key); !ok || got != row.Origin {
			t.Errorf("found %v %v, want %v", got, ok, row.Origin)
		}
		if _, ok := FindStored(row.Expires.Add(time.Second), objects, row.Key); ok {
			t.Error("found after its end")
		}
	}
	if _, ok := FindStored(start, objects, 2); ok {
		t.Error("an expired row was found")
	}
	other := EncodeRows(start, []Row{{Key: ^Key(0), Origin: Origin{Service: "llm", Software: "v9"}, Expires: start.Add(time.Second)}})
	if got, ok := FindStored(start, append(objects, other), ^Key(0)); !ok || got != (Origin{}) {
		t.Errorf("contradictory objects say %v %v", got, ok)
	}
}

// TestUnreadableStoredRowsAreNoRows checks that objects that another writer may have written are refused as a whole.
func TestUnreadableStoredRowsAreNoRows(t *testing.T) {
	for what, s := range map[string]StoredRows{
		"a part of a record": {Origins: []Origin{old}, Records: make([]byte, recordBytes+1)},
		"no such origin":     {Records: make([]byte, recordBytes)},
		"too many rows":      {Origins: []Origin{old}, Records: make([]byte, recordBytes*(maxDurableRows+1))},
		"too many origins":   {Origins: make([]Origin, maxStoredOrigins+1)},
	} {
		if s.Check() == nil {
			t.Errorf("%s: no error", what)
		}
	}
}

// maxValueBytes is the platform's limit on the size of an object (platform.MaxValueBytes).
const maxValueBytes = 1 << 20

// TestDurableRowsAreBounded checks that a flood of rows with the longest names stays below the platform's limit, and that
// the rows that expire last are kept.
func TestDurableRowsAreBounded(t *testing.T) {
	d := NewDurableRows()
	for i := range 2 * maxDurableRows {
		software := strings.Repeat("<", maxOriginBytes-3) + string(rune('A'+i%26)) + string(rune('A'+i/26%26)) + string(rune('A'+i/26/26%26))
		d.Add(start, Row{Key: Key(i), Origin: Origin{Software: software}, Expires: start.Add(time.Duration(i) * time.Millisecond)})
	}
	if len(d.rows) > maxDurableRows || d.lacking != len(d.rows) {
		t.Errorf("%d rows, %d lacking", len(d.rows), d.lacking)
	}
	last := Key(2*maxDurableRows - 1)
	if _, ok := d.rows[last]; !ok {
		t.Error("the row that expires last was dropped")
	}
	data, err := json.Marshal(EncodeRows(start, d.Rows(start)))
	if err != nil || len(data) > maxValueBytes*15/16 {
		t.Errorf("%d bytes: %v", len(data), err)
	}
	d.Add(start, Row{Key: 1, Origin: old, Expires: start.Add(time.Hour)})
	if got := d.rows[1].Expires; got.After(start.Add(MaxLife)) {
		t.Error("a row lives longer than MaxLife")
	}
}
