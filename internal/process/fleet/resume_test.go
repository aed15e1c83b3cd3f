package fleet

import (
	"testing"
	"time"
)

// TestResumedCoreIsNotUpToDate checks that a list from before a time in which the process did not run
// doesn't count as up to date, and that it doesn't count as steadily read, until it is confirmed.
func TestResumedCoreIsNotUpToDate(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New()
	c.Resumed()
	if c.Unconfirmed() {
		t.Error("there is no list to be confirmed yet")
	}
	c.Replace(now, 1, []Change{{Kind: Listed, ID: "a", Upstream: Upstream{ID: "a"}}})
	now = now.Add(time.Minute)
	if !c.UpToDate(now) || c.ConnectedFor(now) != time.Minute {
		t.Fatalf("up to date: %v, connected for %v", c.UpToDate(now), c.ConnectedFor(now))
	}
	c.Resumed()
	c.PlatformRestored(now) // the answer to a call from before
	if c.UpToDate(now) || c.ConnectedFor(now) != 0 || !c.Unconfirmed() {
		t.Errorf("up to date: %v, connected for %v, unconfirmed: %v", c.UpToDate(now), c.ConnectedFor(now), c.Unconfirmed())
	}
	c.Confirmed(now)
	if !c.UpToDate(now) || c.Unconfirmed() {
		t.Errorf("up to date: %v, unconfirmed: %v after the confirmation", c.UpToDate(now), c.Unconfirmed())
	}
	if got := c.ConnectedFor(now.Add(time.Second)); got != time.Second {
		t.Errorf("connected for %v, want the time since the confirmation", got)
	}
}

// TestEntriesMayHaveLapsedBeforeResuming checks that an entry that is missing after a time in which the
// process did not run is kept for RestoreGrace, unless its upstream was leaving: the platform may have had
// an outage in that time, in which entries lapse, and no call of this process noticed.
func TestEntriesMayHaveLapsedBeforeResuming(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New()
	c.Replace(now, 1, []Change{
		{Kind: Listed, ID: "lapsed", Upstream: Upstream{ID: "lapsed"}},
		{Kind: Listed, ID: "left", Upstream: Upstream{ID: "left"}},
	})
	now = now.Add(time.Minute)
	c.Resumed()
	c.Apply(now, []Change{
		{Kind: Listed, ID: "left", Upstream: Upstream{ID: "left", Leaving: true}},
		{Kind: Unlisted, ID: "left"},
		{Kind: Unlisted, ID: "lapsed"},
	})
	c.Confirmed(now)
	if _, ok := c.Get("left"); ok {
		t.Error("an upstream that left is kept")
	}
	if _, ok := c.Get("lapsed"); !ok || c.UpToDate(now) {
		t.Errorf("kept: %v, up to date: %v", ok, c.UpToDate(now))
	}
	if gone := c.Expire(now.Add(RestoreGrace)); len(gone) != 1 || !c.UpToDate(now.Add(RestoreGrace)) {
		t.Errorf("%v gone, up to date: %v after the grace", gone, c.UpToDate(now.Add(RestoreGrace)))
	}
	c.Put(now, Upstream{ID: "later"})
	c.Remove(now.Add(RestoreGrace), "later")
	if _, ok := c.Get("later"); ok {
		t.Error("an entry that disappeared after the grace is kept")
	}
}

// TestUpstreamThatEndedInStallIsNotUsed checks that an upstream whose entry is missing after a stall gets no
// work while its service has a listed one, because it has probably ended. If all entries of the service are
// missing, they have probably lapsed in an outage, and stay usable.
func TestUpstreamThatEndedInStallIsNotUsed(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New()
	c.Replace(now, 1, []Change{
		{Kind: Listed, ID: "ended", Upstream: Upstream{ID: "ended", Address: "a:1", Service: "s"}},
		{Kind: Listed, ID: "stays", Upstream: Upstream{ID: "stays", Address: "b:1", Service: "s"}},
	})
	now = now.Add(time.Minute)
	c.Resumed()
	version := c.Version()
	c.Apply(now, []Change{{Kind: Unlisted, ID: "ended"}})
	c.Confirmed(now)
	if got := c.Usable()["s"]; len(got) != 1 || got[0].ID != "stays" || c.Version() == version {
		t.Errorf("usable: %v, version %d after %d", got, c.Version(), version)
	}
	c.Apply(now, []Change{{Kind: Unlisted, ID: "stays"}})
	if got := c.Usable()["s"]; len(got) != 2 {
		t.Errorf("usable: %v after all entries are missing, want both", got)
	}
}
