package fleet

import (
	"testing"
	"time"
)

// TestPlatformRestoredFromOlderCopy checks a list from a copy that is some seconds old: upstreams
// that it lacks are kept for a while, and upstreams that were removed since get no work.
func TestPlatformRestoredFromOlderCopy(t *testing.T) {
	c := New()
	old := listOf(
		Upstream{ID: "stays", Address: "stays:1", Service: "s"}, Upstream{ID: "left", Address: "left:1", Service: "s"},
		Upstream{ID: "drains", Address: "drains:1", Service: "s"}, Upstream{ID: "restarted", Address: "restarted:1", Service: "s", StartedMS: 5},
	)
	c.Replace(at(0), 1, old)
	c.Apply(at(time.Second), listOf(Upstream{ID: "came", Address: "came:1", Service: "s"}, Upstream{ID: "drains", Address: "drains:1", Service: "s", Leaving: true}))
	c.Apply(at(time.Second), []Change{{Kind: Unlisted, ID: "left"}})
	c.Apply(at(time.Second), listOf(Upstream{ID: "restarted", Address: "restarted:1", Service: "s", StartedMS: 9}))

	c.Replace(at(2*time.Second), 2, old)
	if !usable(c, "stays") || !usable(c, "came") || !usable(c, "restarted") {
		t.Error("an upstream that the copy lacks, or has an older incarnation of, is not used")
	}
	if usable(c, "left") || usable(c, "drains") {
		t.Error("an upstream that was removed or leaving gets work again")
	}
	c.Expire(at(2*time.Second + RestoreGrace - 1))
	if !usable(c, "came") {
		t.Error("removed before it could write its entry again")
	}
	c.Expire(at(2*time.Second + RestoreGrace))
	if usable(c, "came") {
		t.Error("an upstream that didn't write its entry again gets work after RestoreGrace")
	}
	c.Apply(at(5*time.Second), listOf(Upstream{ID: "left", Address: "left:1", Service: "s"}))
	if !usable(c, "left") {
		t.Error("an upstream that wrote its entry again gets no work")
	}
}

// TestDeferredEntryIsUsedEventually guards against an upstream that is never used again because its
// entry was removed, listed again and then lost with the restore, and is not written any more. The
// entry in the copy looks the same as before its removal.
func TestDeferredEntryIsUsedEventually(t *testing.T) {
	c := New()
	c.Replace(at(0), 1, listOf(Upstream{ID: "a", Address: "a:1", Service: "s"}, Upstream{ID: "gone", Address: "gone:1", Service: "s"}))
	c.Apply(at(time.Second), []Change{{Kind: Unlisted, ID: "a"}, {Kind: Unlisted, ID: "gone"}})
	c.Replace(at(2*time.Second), 2, listOf(Upstream{ID: "a", Address: "a:1", Service: "s"}, Upstream{ID: "gone", Address: "gone:1", Service: "s"}))
	c.Apply(at(6*time.Second), []Change{{Kind: Unlisted, ID: "gone"}}) // lapsed
	c.Expire(at(2*time.Second + tombstoneTTL))
	if !usable(c, "a") || usable(c, "gone") {
		t.Errorf("usable: a %v, gone %v, want only a", usable(c, "a"), usable(c, "gone"))
	}
}

// TestUpstreamsMissingBetweenTwoRestoresAreUsed guards against upstreams that get no work for a minute: the platform
// returned twice from older copies, and the upstreams wrote their entries again after the second return, but before the
// list was read.
func TestUpstreamsMissingBetweenTwoRestoresAreUsed(t *testing.T) {
	c := New()
	list := listOf(Upstream{ID: "a", Address: "a:1", Service: "s"}, Upstream{ID: "left", Address: "left:1", Service: "s"})
	c.Replace(at(0), 1, list)
	c.Apply(at(time.Second), []Change{{Kind: Unlisted, ID: "left"}})
	c.Replace(at(2*time.Second), 2, nil)
	if expired := c.Expire(at(2*time.Second + RestoreGrace)); len(expired) != 1 || usable(c, "a") {
		t.Fatalf("expired %v", expired)
	}
	c.Replace(at(3*time.Second+RestoreGrace), 3, list)
	if !usable(c, "a") || usable(c, "left") {
		t.Errorf("usable: a %v, left %v, want only a", usable(c, "a"), usable(c, "left"))
	}
}

// TestFirstListIsNoRestore checks that the first list isn't taken for that of a platform that was just
// restored, whatever its era.
func TestFirstListIsNoRestore(t *testing.T) {
	c := New()
	c.Replace(at(0), 3, listOf(Upstream{ID: "a", Address: "a:1", Service: "s"}))
	c.Apply(at(time.Second), []Change{{Kind: Unlisted, ID: "a"}})
	if usable(c, "a") {
		t.Error("an upstream that was removed is still used")
	}
}

// TestNotUpToDateWhileMissingEntryIsKept guards against a gap between the end of RestoreGrace and
// the next call of Expire: an instance reported itself up to date while it kept the entry of an
// upstream that had left 4 s before, and in the 30 ms until that call it placed requests of others
// there.
func TestNotUpToDateWhileMissingEntryIsKept(t *testing.T) {
	now := time.Unix(100, 0)
	c := New()
	c.Put(now, Upstream{ID: "a", Service: "s"})
	c.Put(now, Upstream{ID: "b", Service: "s"})
	c.PlatformLost()
	c.PlatformRestored(now)
	c.Remove(now, "a")
	c.Remove(now, "b")
	c.Put(now, Upstream{ID: "b", Service: "s"}) // listed again
	end := now.Add(RestoreGrace)
	if c.UpToDate(end.Add(-1)) || c.UpToDate(end) {
		t.Error("up to date while a missing upstream is kept")
	}
	if expired := c.Expire(end); len(expired) != 1 || expired[0] != "a" || !c.UpToDate(end) {
		t.Errorf("expired %v, up to date %v", expired, c.UpToDate(end))
	}
	c.PlatformLost()
	c.Remove(end, "b")
	c.RemoveUnreadable(end, "b", "unreadable")
	c.PlatformRestored(end)
	if !c.UpToDate(end.Add(RestoreGrace)) {
		t.Error("not up to date after RestoreGrace without missing entries")
	}
}
