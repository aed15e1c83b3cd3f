package fleet

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testHeartbeat is the interval at which upstreams write their entries.
const testHeartbeat = 1200 * time.Millisecond

// newWithHeartbeat returns an empty Core that knows the interval.
func newWithHeartbeat() *Core {
	c := New()
	c.SetHeartbeat(testHeartbeat)
	return c
}

// TestRemovalWhileStoreAnswersIsImmediate guards against an upstream that gets new work after its entry was removed, because
// calls had failed although the store was up. Whatever calls that read the list fail: while the store answers some call
// within each heartbeat, a removal is applied at once, and a list that was read is up to date.
func TestRemovalWhileStoreAnswersIsImmediate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, now := newWithHeartbeat(), at(time.Minute)
		c.StoreAnswered(now, now)
		c.Put(now, Upstream{ID: "a", Service: "s"})
		answered := now // when the last answered call was sent
		for range rapid.IntRange(0, 30).Draw(t, "events") {
			step := time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond
			if now.Add(step).Sub(answered) >= testHeartbeat {
				c.StoreAnswered(now, now)
				answered = now
			}
			now = now.Add(step)
			switch rapid.SampledFrom([]string{"lost", "read", "probe failed", "answered"}).Draw(t, "event") {
			case "lost":
				c.ListLost()
			case "read":
				c.ListRead(now)
			case "probe failed":
				c.ProbeFailed(now, now)
			case "answered":
				c.StoreAnswered(now, now)
				answered = now
			}
		}
		c.StoreAnswered(now, now)
		c.ListRead(now)
		c.Remove(now, "a")
		if usable(c, "a") || !c.UpToDate(now) {
			t.Errorf("usable: %v, up to date: %v", usable(c, "a"), c.UpToDate(now))
		}
	})
}

// TestEntriesMayLapseInEveryOutage guards against upstreams that are dropped after an outage, as their entries lapsed in
// it. However late calls are made and answered, an outage of a heartbeat or more in which a probe failed is noticed with the
// first answer after it, before the list is read, and entries that are missing then stay in use until RestoreGrace is over.
func TestEntriesMayLapseInEveryOutage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string, least, most int) time.Duration {
			return time.Duration(rapid.IntRange(least, most).Draw(t, name)) * time.Millisecond
		}
		c, down := newWithHeartbeat(), at(time.Minute)
		c.Put(down, Upstream{ID: "a", Service: "s"})
		sent := down.Add(-ms("sent before", 0, 1000))
		c.StoreAnswered(sent, down.Add(ms("answer read", 0, 300))) // the store answered before it went down
		up := down.Add(testHeartbeat + ms("outage", 0, 8000))
		for probed := down.Add(ms("first probe", 0, 1000)); probed.Before(up); probed = probed.Add(ms("pause", 300, 1100)) {
			failed := probed.Add(ms("probe", 0, 800))
			c.ProbeFailed(probed, failed)
			if !c.IsPlatformLost() {
				t.Fatal("a failed probe doesn't show that the platform can't be read")
			}
		}
		now := up.Add(ms("answer after", 0, 2000))
		if rapid.Bool().Draw(t, "list first") {
			c.StoreAnswered(up, now)
		} else {
			c.StoreAnswered(now.Add(-time.Millisecond), now)
		}
		c.ListRead(now)
		c.Remove(now, "a")
		if !usable(c, "a") {
			t.Error("an entry that may have lapsed gets no work")
		}
		if c.Expire(now.Add(RestoreGrace - 1)); !usable(c, "a") {
			t.Error("it gets no work before the grace is over")
		}
		if c.Expire(now.Add(RestoreGrace)); usable(c, "a") {
			t.Error("it gets work after the grace")
		}
	})
}

// TestGraceCountsFromStoresReturn guards against an upstream that is used for long after its entry was removed, because
// the grace counted from the moment at which the list could be read again, and began anew with each further failure.
func TestGraceCountsFromStoresReturn(t *testing.T) {
	c := newWithHeartbeat()
	c.StoreAnswered(at(0), at(0))
	c.Put(at(0), Upstream{ID: "a", Service: "s"})
	c.Put(at(0), Upstream{ID: "b", Service: "s"})
	c.ProbeFailed(at(time.Second), at(2*time.Second))
	c.StoreAnswered(at(3*time.Second), at(3*time.Second))
	c.ListRead(at(4 * time.Second))
	c.Remove(at(4*time.Second), "a")
	for _, failed := range []time.Duration{4500 * time.Millisecond, 5 * time.Second} {
		c.ListLost()
		c.StoreAnswered(at(failed), at(failed))
		c.ListRead(at(failed))
	}
	end := at(3*time.Second + RestoreGrace)
	if c.Expire(end); usable(c, "a") {
		t.Error("an upstream is used when the grace is over")
	}
	if c.Remove(end, "b"); usable(c, "b") {
		t.Error("an entry that was removed after the grace is kept")
	}
}
