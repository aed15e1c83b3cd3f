package origins

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

// store is a store with one record, which an instance reads and writes.
type store struct {
	era    uint64
	object Object
	record *Record
}

// load has the core read the record.
func (s *store) load(c *Core, now time.Time) {
	c.Loaded(now, s.era, s.object, s.record)
}

// writeAll makes all writes that are due, and returns their number.
func (s *store) writeAll(t *testing.T, c *Core, now time.Time) (n int) {
	t.Helper()
	for {
		record, object, due := c.NextWrite(now)
		if !due {
			return n
		}
		if n++; n > 3 {
			t.Fatalf("writes without end: %+v", record)
		}
		if object == s.object {
			s.object.Version++
			s.record = &record
		}
		s.load(c, now)
	}
}

// sole returns the only version, as a request reads it; empty: not known.
func (s *store) sole(now time.Time) string {
	if s.record == nil {
		return ""
	}
	origin, _ := s.record.Sole(s.era, now, "host", "/stream/1")
	return origin.Software
}

// ownSole reports whether one origin is possible so far as the core knows.
func ownSole(c *Core, now time.Time) bool {
	_, ok := c.Sole(now, "host", "/stream/1")
	return ok
}

// listed has the core know the versions of listed upstreams.
func listed(c *Core, now time.Time, versions ...string) {
	c.SetListed(now, map[string][]string{"llm": versions}, map[string][]string{"host/stream/": {"llm"}})
}

// TestVersionsOfTheDayAreRecorded guards against streams that go on at another version after all instances were lost: a
// version counts for a day after its last upstream has left, whoever has followed the list for how long.
func TestVersionsOfTheDayAreRecorded(t *testing.T) {
	s, c, now := &store{}, New(), start
	listed(c, now, "v1")
	if _, _, due := c.NextWrite(now); due || !c.NeedsRead() {
		t.Fatal("a record is written that wasn't read")
	}
	s.load(c, now)
	if n := s.writeAll(t, c, now); n != 1 || s.sole(now) != "v1" {
		t.Fatalf("%d writes, %+v", n, s.record)
	}
	c = New() // all instances were lost while the release took place
	listed(c, now, "v2")
	s.load(c, now)
	if c.Recorded()["llm"]["v2"] {
		t.Error("streams begin at a version before it is recorded")
	}
	if s.writeAll(t, c, now); !c.Recorded()["llm"]["v2"] || s.sole(now) != "" || ownSole(c, now) {
		t.Fatalf("after the release: %+v", s.record)
	}
	if n := s.writeAll(t, c, now.Add(leftDelay-1)); n != 0 {
		t.Errorf("%d writes although nothing has changed", n)
	}
	now = now.Add(leftDelay)
	if n := s.writeAll(t, c, now); n != 1 || s.sole(now) != "" {
		t.Errorf("%d writes when the first version has left: %+v", n, s.record)
	}
	now = now.Add(Memory)
	if s.sole(now) != "v2" || s.writeAll(t, c, now) != 1 || s.sole(now) != "v2" || !ownSole(c, now) {
		t.Errorf("a day after the first version left: %+v", s.record)
	}
}

// TestVersionThatComesBackCounts checks a release that is rolled back while no instance runs.
func TestVersionThatComesBackCounts(t *testing.T) {
	s, c, now := &store{}, New(), start
	listed(c, now, "v1", "v2")
	s.load(c, now)
	s.writeAll(t, c, now)
	c = New()
	listed(c, now, "v1")
	s.load(c, now)
	if s.writeAll(t, c, now.Add(leftDelay)); s.sole(now) != "" {
		t.Errorf("%+v", s.record)
	}
}

// TestInstancesDoNotOverwriteEachOther checks that two instances whose lists agree write each change once.
func TestInstancesDoNotOverwriteEachOther(t *testing.T) {
	s, now := &store{}, start
	a, b := New(), New()
	for _, c := range []*Core{a, b} {
		listed(c, now, "v1")
		s.load(c, now)
	}
	s.writeAll(t, a, now)
	if n := s.writeAll(t, b, now); n != 1 || s.object.Version != 1 {
		t.Errorf("%d attempts, %d writes of a record that the other has created", n, s.object.Version)
	}
	for _, c := range []*Core{a, b} {
		listed(c, now, "v1", "v2")
		s.writeAll(t, c, now)
	}
	for _, c := range []*Core{a, b} {
		listed(c, now, "v2")
		s.writeAll(t, c, now.Add(leftDelay))
	}
	if s.writeAll(t, a, now.Add(leftDelay)) != 0 || s.object.Version != 3 {
		t.Errorf("%d writes, want 3: %+v", s.object.Version, s.record)
	}
}

// TestRestoredRecordSaysNothingUntilConfirmed guards against a record that lacks a version because the store was restored
// from an older copy.
func TestRestoredRecordSaysNothingUntilConfirmed(t *testing.T) {
	now := start
	follower := func(s *store) *Core {
		c := New()
		listed(c, now, "v1")
		s.load(c, now)
		s.writeAll(t, c, now)
		return c
	}
	s := &store{era: 7}
	c := follower(s)
	old := *s.record
	listed(c, now, "v1", "v2")
	s.writeAll(t, c, now)
	s.era, s.record, s.object = 8, &old, Object{Version: 20}
	if s.sole(now) != "" {
		t.Error("a record of an earlier era says something")
	}
	listed(c, now, "v1") // the second version has left meanwhile
	c.Restored()
	s.load(c, now)
	if s.writeAll(t, c, now) != 1 || s.record.Era != 8 || len(s.record.Versions["llm"]) != 2 {
		t.Errorf("confirmed by an instance that knew more: %+v", s.record)
	}

	s.era = 9 // and all instances are lost
	late := New()
	listed(late, now, "v1")
	s.record = &Record{Era: 8, Versions: map[string]Left{"llm": {"v1": 0}}, Routes: map[string]Left{"host/stream/": {"llm": 0}}}
	s.load(late, now)
	if n := s.writeAll(t, late, now); n != 0 {
		t.Errorf("%d writes by an instance that knows nothing, want those that know more to go first", n)
	}
	if n := s.writeAll(t, late, now.Add(restoreDelay)); n != 1 || s.sole(now) != "" {
		t.Errorf("%d writes, %+v", n, s.record)
	}
	if now = now.Add(restoreDelay + Memory); s.sole(now) != "v1" {
		t.Errorf("a day later: %+v", s.record)
	}
}

// TestVersionIsRecordedAtOnceAfterRestore guards against upstreams that get no work for seconds: all instances were lost and
// the store was restored from an older copy, and the new ones waited for others before they wrote anything.
func TestVersionIsRecordedAtOnceAfterRestore(t *testing.T) {
	s, c, now := &store{era: 9, object: Object{Version: 1}}, New(), start
	s.record = &Record{Era: 8, Versions: map[string]Left{"llm": {"v1": 0}}, Routes: map[string]Left{"host/stream/": {"llm": 0}}}
	listed(c, now, "v2")
	s.load(c, now)
	if n := s.writeAll(t, c, now); n != 1 || !c.Recorded()["llm"]["v2"] || s.record.Era != 8 || s.sole(now) != "" {
		t.Errorf("%d writes, %+v", n, s.record)
	}
	if n := s.writeAll(t, c, now.Add(restoreDelay)); n != 1 || s.record.Era != 9 || s.sole(now.Add(restoreDelay)) != "" {
		t.Errorf("%d writes, %+v", n, s.record)
	}
}

// TestLostRecordIsWrittenAgain checks that an instance creates a record again that the store has lost.
func TestLostRecordIsWrittenAgain(t *testing.T) {
	s, c, now := &store{era: 1}, New(), start
	listed(c, now, "v1", "v2")
	s.load(c, now)
	s.writeAll(t, c, now)
	listed(c, now, "v2")
	*s = store{era: 2}
	c.Restored()
	s.load(c, now)
	if s.writeAll(t, c, now) != 1 || len(s.record.Versions["llm"]) != 2 || s.record.Era != 2 {
		t.Errorf("%+v", s.record)
	}
}

// TestNothingIsRecordedWithoutResumableRoutes checks that there is no record where it isn't needed.
func TestNothingIsRecordedWithoutResumableRoutes(t *testing.T) {
	s, c := &store{}, New()
	c.SetListed(start, nil, nil)
	s.load(c, start)
	if _, _, due := c.NextWrite(start); due {
		t.Error("a write is due")
	}
}

// TestStreamOfMovedRouteHasNoSoleOrigin guards against streams that go on at another service: their route was moved, or
// another route with a longer or a shorter prefix matched then, and each service had one version.
func TestStreamOfMovedRouteHasNoSoleOrigin(t *testing.T) {
	versions := map[string][]string{"llm": {"v1"}, "other": {"v7"}}
	for _, test := range []struct {
		name          string
		before, after map[string][]string
		want          Origin
	}{
		{"not moved", map[string][]string{"host/stream/": {"llm"}}, map[string][]string{"host/stream/": {"llm"}}, Origin{"llm", "v1"}},
		{"moved", map[string][]string{"host/stream/": {"llm"}}, map[string][]string{"host/stream/": {"other"}}, Origin{}},
		{"split", nil, map[string][]string{"host/stream/": {"llm", "other"}}, Origin{}},
		{"new", map[string][]string{"host/second/": {"llm"}}, map[string][]string{"host/stream/": {"other"}}, Origin{"other", "v7"}},
		{"a longer prefix is new", map[string][]string{"host/": {"llm"}}, map[string][]string{"host/": {"llm"}, "host/stream/": {"other"}}, Origin{}},
		{"a longer prefix has gone", map[string][]string{"host/": {"llm"}, "host/stream/": {"other"}}, map[string][]string{"host/": {"llm"}}, Origin{}},
		{"another host", map[string][]string{"host2/stream/": {"llm"}}, map[string][]string{"host/stream/": {"other"}}, Origin{"other", "v7"}},
	} {
		s, c := &store{}, New()
		for _, routes := range []map[string][]string{test.before, test.after} {
			c.SetListed(start, versions, routes)
			s.load(c, start)
			s.writeAll(t, c, start)
			c = New() // all instances are lost
		}
		if got, ok := s.record.Sole(0, start, "host", "/stream/1"); got != test.want || ok != (test.want != Origin{}) {
			t.Errorf("%s: %+v %v", test.name, got, ok)
		}
	}
}

// TestBoundedRecordSaysNothing checks that a record from which entries were dropped is written once and says nothing for
// a day.
func TestBoundedRecordSaysNothing(t *testing.T) {
	s, c, now := &store{}, New(), start
	left := make(Left)
	for i := range 2 * maxEntries {
		left[fmt.Sprint("v", i)] = now.Add(time.Duration(i) * time.Millisecond).UnixMilli()
	}
	s.record, s.object.Version = &Record{Versions: map[string]Left{"many": left}}, 1
	listed(c, now, "v1")
	s.load(c, now)
	if n := s.writeAll(t, c, now); n != 1 || len(s.record.entries()) != maxEntries || s.sole(now) != "" {
		t.Errorf("%d writes, %d entries", n, len(s.record.entries()))
	}
	if n := s.writeAll(t, c, now.Add(Memory/2)); n != 0 {
		t.Errorf("%d further writes", n)
	}
	if now = now.Add(2 * Memory); s.sole(now) != "v1" {
		t.Errorf("days later: %q", s.sole(now))
	}
}
