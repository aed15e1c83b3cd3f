package fleet

import (
	"fmt"
	"testing"
	"time"
)

func newUpstream(id string, startedMS int64) Upstream {
	return Upstream{ID: id, StartedMS: startedMS, Service: "s", Address: "10.0.0.1:80", Slots: 1}
}

func usableIncarnations(c *Core) map[Incarnation]bool {
	out := make(map[Incarnation]bool)
	for _, list := range c.Usable() {
		for _, u := range list {
			out[u.Incarnation()] = true
		}
	}
	return out
}

// TestReportedLeavingOverridesList guards against giving new work to an engine that reported in
// responses that it was leaving, while the store, which should have listed it as leaving, was
// unreachable.
func TestReportedLeavingOverridesList(t *testing.T) {
	now := time.Unix(100, 0)
	u := newUpstream("a", 5)
	c := New()
	c.Replace(now, 1, []Change{{Kind: Listed, ID: "a", Upstream: u}})
	if !c.MarkLeaving(now, now, u.Incarnation()) || c.MarkLeaving(now, now, u.Incarnation()) {
		t.Fatal("want the first report to be new and the second not")
	}
	steps := []struct {
		name string
		do   func()
	}{
		{"at once", func() {}},
		{"listed as ready again", func() { c.Put(now, u) }},
		{"listed with other slots", func() { v := u; v.Slots = 9; c.Put(now, v) }},
		{"platform lost and restored", func() { c.PlatformLost(); c.PlatformRestored(now.Add(time.Second)) }},
		{"platform restored from an older copy", func() { c.Replace(now, 2, []Change{{Kind: Listed, ID: "a", Upstream: u}}) }},
		{"lapsed and listed again", func() { c.Remove(now, "a"); c.Put(now, u) }},
		{"not followed for a while", func() { c.ClearList(); c.Replace(now, 2, []Change{{Kind: Listed, ID: "a", Upstream: u}}) }},
		{"an hour later", func() { c.Expire(now.Add(time.Hour)) }},
	}
	for _, s := range steps {
		s.do()
		if usableIncarnations(c)[u.Incarnation()] {
			t.Fatalf("%s: the upstream may get work", s.name)
		}
		if len(c.Engines()) > 0 {
			t.Fatalf("%s: the upstream is counted as an engine", s.name)
		}
	}
	next := newUpstream("a", now.Add(time.Second).UnixMilli())
	c.Put(now.Add(time.Second), next)
	if !usableIncarnations(c)[next.Incarnation()] {
		t.Error("the next incarnation with the same ID and address gets no work")
	}
}

// TestLeavingReportedBeforeEntry checks that an upstream is known to be leaving even if its response
// reports that before its entry is listed, as when the list is out of date or not followed.
func TestLeavingReportedBeforeEntry(t *testing.T) {
	now := time.Unix(100, 0)
	c := New()
	u := newUpstream("a", 5)
	c.MarkLeaving(now, now, u.Incarnation())
	if listed, leaving := c.Listed(u.Incarnation()); listed || !leaving {
		t.Errorf("listed %v, leaving %v", listed, leaving)
	}
	c.Put(now, u)
	if usableIncarnations(c)[u.Incarnation()] {
		t.Error("the upstream may get work once it is listed")
	}
	other := newUpstream("b", 0)
	c.MarkLeaving(now, now, other.Incarnation())
	c.Put(now, other)
	if usableIncarnations(c)[other.Incarnation()] {
		t.Error("an upstream without its start may get work")
	}
}

// TestLeavingReportsExpire checks that the number of reports and the time for which they are kept
// are bounded.
func TestLeavingReportsExpire(t *testing.T) {
	now := time.Unix(100, 0)
	c := New()
	u := newUpstream("a", 5)
	c.Replace(now, 1, []Change{{Kind: Listed, ID: "a", Upstream: u}})
	c.MarkLeaving(now, now, u.Incarnation())
	c.Remove(now, "a")
	if c.MarkLeaving(now, now, u.Incarnation()) {
		t.Error("a late response of a removed upstream is reported as new")
	}
	for i := range maxLeavingReports + 10 {
		c.MarkLeaving(now.Add(time.Duration(i)*time.Millisecond), now, Incarnation(fmt.Sprint("x", i)))
	}
	_, oldest := c.Listed("x9")
	_, newest := c.Listed(Incarnation(fmt.Sprint("x", maxLeavingReports+9)))
	if len(c.reportedLeaving) > maxLeavingReports || oldest || !newest {
		t.Errorf("%d reports kept, an evicted one %v, the newest %v", len(c.reportedLeaving), oldest, newest)
	}
	c.Expire(now.Add(leavingReportTTL + time.Hour))
	if len(c.reportedLeaving) != 0 {
		t.Errorf("%d reports kept after leavingReportTTL", len(c.reportedLeaving))
	}
}

// TestReportedLeavingOutlivesALateList guards against new work for an upstream that is leaving: it restarted under its id
// before a response said that it leaves, and the list said so later. What a response said before the restart doesn't
// concern the new incarnation.
func TestReportedLeavingOutlivesALateList(t *testing.T) {
	for name, test := range map[string]struct {
		reportedAt time.Duration
		usable     bool
	}{
		"reported by the new incarnation": {3 * time.Second, false},
		"reported by the one that ended":  {time.Second, true},
	} {
		listed, next := newUpstream("a", at(0).UnixMilli()), newUpstream("a", at(2*time.Second).UnixMilli())
		c := New()
		c.Put(at(0), listed)
		c.MarkLeaving(at(test.reportedAt), at(test.reportedAt), listed.Incarnation())
		c.Put(at(4*time.Second), next)
		if got := usableIncarnations(c)[next.Incarnation()]; got != test.usable {
			t.Errorf("%s: the listed incarnation may get work: %t, want %t", name, got, test.usable)
		}
	}
}
