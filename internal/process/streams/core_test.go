package streams

import (
	"testing"
	"time"
)

var (
	start = time.Unix(1000, 0)
	old   = Origin{Service: "llm", Software: "v1.1"}
	other = Origin{Service: "llm", Software: "v1.2"}
)

// TestRowsWithoutDoubtAreNotCopied checks that a row costs no message while its service has one version, and that rows
// of streams that began before become due once that is in doubt.
func TestRowsWithoutDoubtAreNotCopied(t *testing.T) {
	c := New()
	c.Began(start, KeyOf("a", "1"), old, time.Minute, false)
	c.Began(start, KeyOf("a", "2"), Origin{Service: "other", Software: "v1"}, time.Minute, false)
	if rows := c.TakeDue(start); len(rows) != 0 {
		t.Fatalf("due without doubt: %v", rows)
	}
	if !c.Doubt(start, "llm") || c.Doubt(start, "llm") {
		t.Error("rows of a service become due not once")
	}
	rows := c.TakeDue(start)
	if len(rows) != 1 || rows[0].Key != KeyOf("a", "1") || rows[0].Origin != old {
		t.Errorf("due: %v", rows)
	}
	if services := c.UncopiedServices(); len(services) != 1 || services[0] != "other" {
		t.Errorf("uncopied services %v", services)
	}
	c.Began(start, KeyOf("a", "3"), other, time.Minute, true)
	if rows := c.TakeDue(start); len(rows) != 1 || rows[0].Origin != other {
		t.Errorf("due in doubt: %v", rows)
	}
}

// TestRowsExpire checks that rows, own ones and copies, are used until they expire and no longer.
func TestRowsExpire(t *testing.T) {
	c := New()
	own, copied := KeyOf("", "own"), KeyOf("", "copied")
	c.Began(start, own, old, time.Second, false)
	c.Merge(start, Row{Key: copied, Origin: other, Expires: start.Add(time.Second)})
	for key, want := range map[Key]Origin{own: old, copied: other} {
		if got, ok := c.Find(start, key); !ok || got != want {
			t.Errorf("found %v %v, want %v", got, ok, want)
		}
		if _, ok := c.Find(start.Add(time.Second), key); ok {
			t.Error("found after its end")
		}
	}
	c.Forget(start.Add(time.Second))
	if len(c.own)+len(c.copies)+len(c.UncopiedServices()) != 0 {
		t.Errorf("kept: %v %v", c.own, c.copies)
	}
}

// TestContradictoryRowsSayNothing checks that two different origins of one stream make it unknown: it must not be
// continued anywhere.
func TestContradictoryRowsSayNothing(t *testing.T) {
	c, key := New(), KeyOf("", "1")
	for _, origin := range []Origin{old, old, other} {
		c.Merge(start, Row{Key: key, Origin: origin, Expires: start.Add(time.Second)})
	}
	if got, ok := c.Find(start, key); !ok || got.Software != "" {
		t.Errorf("found %v %v", got, ok)
	}
}

// TestContradictoryOwnRowsSayNothing guards against a stream of two versions: two callers without an account used one id for
// their attempts at one instance, and the origin of the later stream was taken for that of the earlier one.
func TestContradictoryOwnRowsSayNothing(t *testing.T) {
	c, key := New(), KeyOf("", "1")
	c.Began(start, key, old, time.Minute, true)
	c.Began(start, key, other, time.Minute, true)
	if got, ok := c.Find(start, key); !ok || got.Software != "" {
		t.Errorf("found %v %v", got, ok)
	}
}

// TestRowsAreBounded checks that a flood of streams, and of copies, takes bounded memory, and that the newest own rows
// are kept.
func TestRowsAreBounded(t *testing.T) {
	c := New()
	for i := range 2 * maxRows {
		c.Began(start, Key(i), old, time.Hour, false)
		c.Merge(start, Row{Key: Key(i), Origin: old, Expires: start.Add(time.Hour)})
	}
	if len(c.own) > maxRows || len(c.copies) > maxRows || len(c.uncopied[old.Service]) > maxRows {
		t.Errorf("%d own rows, %d copies, %d uncopied", len(c.own), len(c.copies), len(c.uncopied[old.Service]))
	}
	if _, ok := c.Find(start, Key(2*maxRows-1)); !ok {
		t.Error("the newest row was dropped")
	}
	if _, ok := c.Find(start.Add(MaxLife), Key(2*maxRows-1)); ok {
		t.Error("a row lives longer than MaxLife")
	}
}

// TestFloodDropsRowsThatExpireFirst guards against a flood of streams that drops arbitrary rows, among them those that
// callers may resume for longest.
func TestFloodDropsRowsThatExpireFirst(t *testing.T) {
	c := New()
	const longLived = maxRows / 2
	for i := range longLived {
		c.Began(start, Key(i), old, time.Minute, false)
	}
	for i := range 2 * maxRows {
		c.Began(start, Key(longLived+i), old, time.Second, false)
	}
	for i := range longLived {
		if _, ok := c.Find(start, Key(i)); !ok {
			t.Fatalf("row %d of %d that expire last was dropped", i, longLived)
		}
	}
}

// TestCopiesOfLatestStreamsAreKept guards against streams that are refused during a release with many streams: once an
// instance had maxRows copies, it took no further ones, although most of those belonged to callers that had left.
func TestCopiesOfLatestStreamsAreKept(t *testing.T) {
	c, now := New(), start
	for i := range maxRows + 1 {
		now = now.Add(time.Millisecond)
		c.Merge(now, Row{Key: Key(i + 1), Origin: old, Expires: now.Add(time.Minute)})
	}
	if _, kept := c.Find(now, Key(maxRows+1)); !kept {
		t.Error("the copy of the latest stream was dropped")
	}
}

// TestAccountsDoNotShareStreams checks that the attempt of one client account says nothing about a stream of another.
func TestAccountsDoNotShareStreams(t *testing.T) {
	if KeyOf("a", "1") == KeyOf("b", "1") || KeyOf("a", "b1") == KeyOf("ab", "1") {
		t.Error("keys of different accounts are equal")
	}
}

// TestResolve checks what decides on the origin of a stream: rows alone. What instances conclude from their list of
// upstreams doesn't, whatever they answer.
func TestResolve(t *testing.T) {
	row := func(o Origin) Answer { return Answer{Basis: ByRow, Origin: o} }
	sole := func(o Origin) Answer { return Answer{Basis: formerBySole, Origin: o} }
	none, mixed := Answer{}, Answer{Basis: formerByMixed}
	for _, c := range []struct {
		name   string
		own    Answer
		others []Answer
		want   Origin
		found  bool
	}{
		{"own row", row(old), nil, old, true},
		{"another instance's row", mixed, []Answer{mixed, row(old), none}, old, true},
		{"a row beside another list of upstreams", none, []Answer{sole(other), row(old)}, old, true},
		{"different rows", none, []Answer{row(old), row(other)}, Origin{}, true},
		{"a contradictory row", none, []Answer{row(Origin{}), sole(old)}, Origin{}, true},
		{"one version by another list", none, []Answer{sole(old), none}, Origin{}, false},
		{"different single versions", none, []Answer{sole(old), sole(other)}, Origin{}, false},
		{"no answer", none, nil, Origin{}, false},
		{"nothing known", none, []Answer{none}, Origin{}, false},
	} {
		if got, found := Resolve(c.own, c.others); got != c.want || found != c.found {
			t.Errorf("%s: %v %v", c.name, got, found)
		}
	}
}
