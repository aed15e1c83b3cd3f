package streams

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestAnnouncedStreamIsHandedOverBeforeItsFirstEvent guards against streams that are refused after a loss of all instances:
// their rows were handed over half a second after the first event only.
func TestAnnouncedStreamIsHandedOverBeforeItsFirstEvent(t *testing.T) {
	c := New()
	c.Announce(start, 1, old, time.Minute, "a")
	if _, ok := c.NextDurable(start); !ok {
		t.Error("nothing is due")
	}
	rows, _ := c.TakeDurable(start, false)
	if len(rows) != 1 || rows[0].Key != 1 || rows[0].Origin != old {
		t.Errorf("handed over %v", rows)
	}
	c.Began(start, 1, old, time.Minute, true)
	if keys, _ := takeDurable(c, 2*durableDelay, false); len(keys) > 0 {
		t.Errorf("%v is handed over again", keys)
	}
	c.Ended(1)
	if _, ended := takeDurable(c, 2*durableDelay, false); !slices.Equal(ended, []Key{1}) {
		t.Errorf("ended: %v", ended)
	}
}

// TestAnnouncedStreamThatBeganIsHandedOver checks that a first event before the rows are taken doesn't delay them.
func TestAnnouncedStreamThatBeganIsHandedOver(t *testing.T) {
	c := New()
	c.Announce(start, 1, old, time.Minute, "a")
	c.Began(start, 1, old, time.Minute, true)
	if keys, _ := takeDurable(c, 0, false); !slices.Equal(keys, []Key{1}) {
		t.Errorf("handed over %v", keys)
	}
}

// TestStreamThatEndsSoonIsNotHandedOver checks that a stream costs nothing that ended, or failed, before the rows are taken.
func TestStreamThatEndsSoonIsNotHandedOver(t *testing.T) {
	c := New()
	c.Announce(start, 1, old, time.Minute, "a")
	c.Withdrawn(1)
	c.Announce(start, 2, old, time.Minute, "b")
	c.Began(start, 2, old, time.Minute, true)
	c.Ended(2)
	if keys, ended := takeDurable(c, time.Second, false); len(keys)+len(ended) > 0 {
		t.Errorf("handed over %v, ended %v", keys, ended)
	}
	c.Announce(start, 3, old, time.Minute, "c")
	takeDurable(c, 0, false)
	c.Withdrawn(3)
	if _, ended := takeDurable(c, time.Second, false); !slices.Equal(ended, []Key{3}) {
		t.Errorf("ended %v, want the one that was handed over and withdrawn", ended)
	}
}

// TestSecondOriginHasToBeStoredFirst guards against a stream that goes on at another version after a loss of all instances:
// the store had the origin of a send that brought no event, and the events came from another one.
func TestSecondOriginHasToBeStoredFirst(t *testing.T) {
	c := New()
	c.Announce(start, 1, old, time.Minute, "a")
	if _, needed := c.Announce(start, 1, other, time.Minute, "a"); needed {
		t.Error("the store has to be told although it doesn't know the stream")
	}
	if rows, _ := c.TakeDurable(start, false); len(rows) != 1 || rows[0].Origin != other {
		t.Errorf("handed over %v, want the second origin", rows)
	}
	for range 2 { // also if it couldn't be told the first time
		row, needed := c.Announce(start, 1, old, time.Minute, "a")
		if !needed || row.Key != 1 || row.Origin != (Origin{}) {
			t.Errorf("needed: %v %v", row, needed)
		}
	}
	if rows, _ := c.TakeDurable(start, false); len(rows) == 0 || rows[0].Origin != (Origin{}) {
		t.Errorf("handed over %v, want the row without an origin", rows)
	}
	c.Settled(1)
	if _, needed := c.Announce(start, 1, other, time.Minute, "a"); needed {
		t.Error("the store has to be told once more")
	}
}

// TestAnnouncementsAreBounded checks that announcements that nobody withdraws end, and that there aren't too many.
func TestAnnouncementsAreBounded(t *testing.T) {
	c := New()
	for i := range 2 * maxRows {
		c.Announce(start, Key(i), old, time.Minute, "a")
	}
	if got := len(c.durable.announced); got > maxRows {
		t.Errorf("%d announcements", got)
	}
	c.Forget(start.Add(time.Minute))
	if got := len(c.durable.announced); got > 0 {
		t.Errorf("%d announcements after their end", got)
	}
}

// storeModel is what the platform's store has of one stream, and the rows that are on their way to it.
type storeModel struct {
	origin   Origin
	has      bool
	underway []Row
}

// put combines a row with the stored one.
func (m *storeModel) put(origin Origin) {
	if m.has && m.origin != origin {
		origin = Origin{}
	}
	m.origin, m.has = origin, true
}

// sender is a request that sends a stream, in the way that announceOrigin does it.
type sender struct {
	name   string
	last   *Origin // the last one that was announced and allowed
	bound  bool    // only that is allowed
	origin Origin  // of the last send
	sent   bool
	began  bool
}

// TestStoredOriginIsThatOfAllEvents plays one or two requests with one id that announce, send elsewhere and begin, while
// rows reach the store in any order. The store must never name an origin of which an event wasn't passed on while one of
// another origin was: after a loss of all instances, the stream would go on there.
func TestStoredOriginIsThatOfAllEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, m, now := New(), &storeModel{}, start
		passed := make(map[Origin]bool)
		senders := []*sender{{name: "a"}, {name: "b"}}[:rapid.IntRange(1, 2).Draw(t, "requests")]
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			s := senders[rapid.IntRange(0, len(senders)-1).Draw(t, "request")]
			switch rapid.SampledFrom([]string{"send", "begin", "take", "store", "wait"}).Draw(t, "step") {
			case "send":
				origin := rapid.SampledFrom([]Origin{old, other}).Draw(t, "origin")
				if s.began || s.bound && origin != *s.last {
					continue
				}
				if !s.bound {
					row, needed := c.Announce(now, 1, origin, time.Minute, s.name)
					if needed && !rapid.Bool().Draw(t, "stored") {
						s.bound, s.sent = s.last != nil, false
						continue
					}
					if needed {
						m.put(row.Origin)
						c.Settled(1)
					}
					s.last = &origin
				}
				s.origin, s.sent = origin, true
			case "begin":
				if s.sent && !s.began {
					s.began = true
					passed[s.origin] = true
					c.Began(now, 1, s.origin, time.Minute, true)
				}
			case "take":
				rows, _ := c.TakeDurable(now, false)
				m.underway = append(m.underway, rows...)
			case "store":
				if len(m.underway) > 0 {
					i := rapid.IntRange(0, len(m.underway)-1).Draw(t, "row")
					m.put(m.underway[i].Origin)
					m.underway = slices.Delete(m.underway, i, i+1)
				}
			case "wait":
				now = now.Add(durableDelay)
			}
			if m.has && m.origin != (Origin{}) && (len(passed) > 1 || len(passed) == 1 && !passed[m.origin]) {
				t.Fatalf("the store says %v, events came from %v", m.origin, passed)
			}
		}
	})
}
