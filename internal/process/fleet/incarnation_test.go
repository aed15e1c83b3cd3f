package fleet

import (
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// upstreamStarted returns an entry of the upstream "a" that started at startedMS.
func upstreamStarted(startedMS int64) Upstream {
	return Upstream{ID: "a", StartedMS: startedMS, Service: "s", Address: "h:1"}
}

func withLeaving(u Upstream) Upstream {
	u.Leaving = true
	return u
}

// usableIncarnation returns the incarnation of an upstream of service s that may get new work, or
// "" if there is none.
func usableIncarnation(c *Core) Incarnation {
	for _, u := range c.Usable()["s"] {
		return u.Incarnation()
	}
	return ""
}

// TestRestartedUpstreamGetsWork guards against treating an upstream as leaving after it has restarted
// under the same ID. Only its earlier incarnation was leaving.
func TestRestartedUpstreamGetsWork(t *testing.T) {
	c := New()
	c.Put(at(0), upstreamStarted(1))
	c.Put(at(0), withLeaving(upstreamStarted(1)))
	c.Put(at(time.Second), upstreamStarted(2)) // a restart between two reads of the list: no removal is seen
	if got := usableIncarnation(c); got != "a@2" {
		t.Errorf("in use: %q, want the second incarnation", got)
	}
}

// TestOlderIncarnationIsIgnored guards against a late write of an older incarnation that replaces
// the newest one, or brings back an upstream that was removed.
func TestOlderIncarnationIsIgnored(t *testing.T) {
	for name, lose := range map[string]func(*Core){
		"listed":     func(*Core) {},
		"unlisted":   func(c *Core) { c.Remove(at(0), "a") },
		"unreadable": func(c *Core) { c.RemoveUnreadable(at(0), "a", "slots") },
	} {
		c := New()
		c.Put(at(0), upstreamStarted(2))
		lose(c)
		before := usableIncarnation(c)
		c.Put(at(time.Second), upstreamStarted(1))
		c.Put(at(time.Second), Upstream{ID: "a", Service: "s", Address: "h:1"}) // without its start
		if got := usableIncarnation(c); got != before {
			t.Errorf("%s: in use after an old write: %q, want %q as before", name, got, before)
		}
	}
}

// TestLateWriteDoesNotReviveUpstream guards against new work for a leaving incarnation whose entry
// is written late, after it was removed.
func TestLateWriteDoesNotReviveUpstream(t *testing.T) {
	c := New()
	c.Put(at(0), withLeaving(upstreamStarted(1)))
	c.Remove(at(time.Second), "a")
	c.Put(at(2*time.Second), upstreamStarted(1))
	if got := usableIncarnation(c); got != "" {
		t.Errorf("%q gets work after it was removed", got)
	}
	c.Put(at(3*time.Second), upstreamStarted(2))
	if got := usableIncarnation(c); got != "a@2" {
		t.Errorf("in use: %q, want the second incarnation", got)
	}
}

// TestRestartDuringOutage checks an upstream that restarts while the platform is unavailable. Its
// new incarnation must not expire with the grace period of the previous one.
func TestRestartDuringOutage(t *testing.T) {
	c := New()
	c.Put(at(0), upstreamStarted(1))
	c.PlatformLost()
	c.PlatformRestored(at(time.Minute))
	c.Replace(at(time.Minute), 0, listOf(upstreamStarted(2)))
	if got := usableIncarnation(c); got != "a@2" {
		t.Errorf("in use: %q, want the second incarnation", got)
	}
	if expired := c.Expire(at(time.Minute + RestoreGrace)); len(expired) != 0 || usableIncarnation(c) != "a@2" {
		t.Errorf("the second incarnation expires with the first one's grace period: %v", expired)
	}
}

// TestRemovalAndRestartInOneUpdate guards against losing a restarted upstream if the removal of the
// first incarnation and the entry of the second come in one update.
func TestRemovalAndRestartInOneUpdate(t *testing.T) {
	c := New()
	c.Put(at(0), upstreamStarted(1))
	c.Apply(at(time.Second), []Change{{Kind: Unlisted, ID: "a"}, {Kind: Listed, ID: "a", Upstream: upstreamStarted(2)}})
	if got := usableIncarnation(c); got != "a@2" {
		t.Errorf("in use: %q, want the second incarnation", got)
	}
}

// TestUnreadableEntryIsNotUsed guards against work for an upstream whose entry became unreadable,
// even in an outage, and against reporting the same entry twice.
func TestUnreadableEntryIsNotUsed(t *testing.T) {
	c := New()
	c.Put(at(0), upstreamStarted(1))
	c.Put(at(0), Upstream{ID: "b", Service: "s", Address: "h:2"})
	c.PlatformLost() // a missing entry would be kept in an outage
	bad := Change{Kind: Unreadable, ID: "a", Reason: "slots"}
	if newlyUnreadable := c.Apply(at(0), []Change{bad}); len(newlyUnreadable) != 1 {
		t.Errorf("newly unreadable: %v, want one entry", newlyUnreadable)
	}
	if newlyUnreadable := c.Apply(at(0), []Change{bad}); len(newlyUnreadable) != 0 {
		t.Errorf("reported as unreadable twice: %v", newlyUnreadable)
	}
	if usable(c, "a") || !usable(c, "b") {
		t.Error("the unreadable entry is still used, or the other one isn't")
	}
	c.Put(at(time.Second), upstreamStarted(1))
	if !usable(c, "a") {
		t.Error("an entry that is readable again gets no work")
	}
}

// TestNewestIncarnationHasAddress guards against sending work for an upstream that has ended to its
// former address, where another upstream has started since.
func TestNewestIncarnationHasAddress(t *testing.T) {
	c := New()
	c.Put(at(0), upstreamStarted(1))
	c.Put(at(0), Upstream{ID: "b", StartedMS: 2, Service: "s", Address: "h:1"})
	if usable(c, "a") || !usable(c, "b") {
		t.Error("the older incarnation of an address gets work, or the newest doesn't")
	}
}

// TestRestartEndsAnnouncedRoleChange guards against withholding work from a restarted engine because
// a role change of its earlier incarnation was announced.
func TestRestartEndsAnnouncedRoleChange(t *testing.T) {
	c := New()
	marked := upstreamStarted(1)
	marked.Role, marked.NextRole = upstream.RoleDecode, upstream.RolePrefill
	c.Put(at(0), marked)
	restarted := upstreamStarted(2)
	restarted.Role = upstream.RoleDecode
	c.Put(at(roleChangeTTL-1), restarted)
	if got := usableIncarnation(c); got != "a@2" {
		t.Errorf("in use: %q, want the second incarnation", got)
	}
}

// TestOnlyRemovedOrReplacedIncarnationIsSeenToEnd checks which changes of the list show that an incarnation ended.
func TestOnlyRemovedOrReplacedIncarnationIsSeenToEnd(t *testing.T) {
	now := time.Unix(100, 0)
	for name, test := range map[string]struct {
		change func(*Core)
		ended  bool
		next   End
	}{
		"still listed":          {func(*Core) {}, false, End{}},
		"removed":               {func(c *Core) { c.Remove(now, "a") }, true, End{}},
		"restarted":             {func(c *Core) { c.Put(now, newUpstream("a", 6)) }, true, End{"a@6", 6}},
		"restarted and removed": {func(c *Core) { c.Put(now, newUpstream("a", 6)); c.Remove(now, "a") }, true, End{"a@6", 6}},
		"unreadable":            {func(c *Core) { c.RemoveUnreadable(now, "a", "zone") }, false, End{}},
		"lapsed in an outage": {func(c *Core) {
			c.PlatformLost()
			c.Remove(now, "a")
			c.PlatformRestored(now)
			c.Expire(now.Add(RestoreGrace))
		}, false, End{}},
	} {
		c, u := New(), newUpstream("a", 5)
		c.Put(now, u)
		test.change(c)
		if end, ended := c.SeenToEnd(u.Incarnation()); ended != test.ended || end != test.next {
			t.Errorf("%s: seen to end: %t %+v, want %t %+v", name, ended, end, test.ended, test.next)
		}
	}
}
