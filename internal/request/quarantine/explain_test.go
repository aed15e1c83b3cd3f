package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// deadlyWorkWorld plays work that crashes each upstream at two instances, which exchange crashes and share records. The one
// has answered requests with a part of its prompt lately, the other has not, and so holds the part for the same crashes.
type deadlyWorkWorld struct {
	t               *testing.T
	now             time.Time
	informed, other *Core
	work, part      Content
	ends            int
}

func newDeadlyWorkWorld(t *testing.T) *deadlyWorkWorld {
	w := &deadlyWorkWorld{
		t: t, now: time.Unix(100_000, 0), informed: New(), other: New(),
		work: ContentOf("POST", "h", "/deadly", nil), part: PartContent("p"),
	}
	for range minAnswers {
		w.informed.PartsAnswered(w.now, partsOf("a", "p"))
		w.other.PartsAnswered(w.now, partsOf("a"))
	}
	return w
}

// crash ends an upstream under the work at one of the instances, which tells the other one.
func (w *deadlyWorkWorld) crash(at, peer *Core) {
	w.now = w.now.Add(300 * time.Millisecond)
	upstream := Incarnation(fmt.Sprint("u", w.ends))
	w.ends++
	at.SendWithPartsBroken(w.now, w.work, partsOf("a", "p"), upstream, w.now.Add(-50*time.Millisecond))
	crashes := at.UpstreamEnded(w.now, upstream)
	for i := range crashes {
		crashes[i].local = false
	}
	peer.MergeCrashes(w.now, crashes)
}

// crashUntilHeld plays four crashes. The work is held then at the informed instance, and its record is stored; the other
// instance holds the part.
func (w *deadlyWorkWorld) crashUntilHeld() {
	w.t.Helper()
	for range 4 {
		w.crash(w.informed, w.other)
	}
	hold, ok := w.informed.UnstoredHold(w.now, w.work)
	if !ok {
		w.t.Fatal("the work isn't held where the part was answered lately")
	}
	if _, held := w.other.ActiveHold(w.now, w.part); !held {
		w.t.Fatal("the part isn't held where it wasn't answered lately")
	}
	hold.Version = 7
	w.informed.HoldStored(w.now, w.work, hold)
	w.other.HoldStored(w.now, w.work, hold)
}

// checkRefused checks that an instance refuses the work, for itself or for the part.
func (w *deadlyWorkWorld) checkRefused(what string, c *Core) {
	w.t.Helper()
	_, work := c.ActiveHold(w.now, w.work)
	_, part := c.ActiveHold(w.now, w.part)
	if !work && !part {
		w.t.Errorf("%s: the work is let through", what)
	}
}

// TestRecordStaysThoughOneInstanceBlamesAPart guards against deadly work that is let through everywhere: one instance held
// a part of its prompt for the same crashes, took the hold of the work for unjustified, and removed its record, which the
// others still needed.
func TestRecordStaysThoughOneInstanceBlamesAPart(t *testing.T) {
	w := newDeadlyWorkWorld(t)
	w.crashUntilHeld()
	if _, remove := w.other.RecordToRemove(w.now, w.work); remove {
		t.Error("the instance that blames the part removes the record of the work")
	}
	w.checkRefused("informed", w.informed)
	w.checkRefused("other", w.other)
}

// TestWorkIsHeldAgainOnceItsPartIsNot guards against deadly work that is let through by the instance that held a part of its
// prompt in its place, once the part turns out to be sound, however the instance learns that.
func TestWorkIsHeldAgainOnceItsPartIsNot(t *testing.T) {
	partHold := func(w *deadlyWorkWorld) Hold {
		hold, _ := w.other.UnstoredHold(w.now, w.part)
		hold.Version = 8
		return hold
	}
	for name, letGo := range map[string]func(w *deadlyWorkWorld){
		"by its own answer": func(w *deadlyWorkWorld) { w.other.Succeeded(w.now, w.part) },
		"by a report of an answer": func(w *deadlyWorkWorld) {
			voided, _ := w.informed.Succeeded(w.now, w.part)
			w.other.MergeCrashes(w.now, voided)
		},
		"by the removal of its record": func(w *deadlyWorkWorld) {
			w.other.HoldStored(w.now, w.part, partHold(w))
			w.other.RecordDeleted(w.now, w.part, 9)
		},
		"by a list without its record": func(w *deadlyWorkWorld) {
			w.other.HoldStored(w.now, w.part, partHold(w))
			w.other.Lift(w.now, w.part)
		},
	} {
		w := newDeadlyWorkWorld(t)
		w.crashUntilHeld()
		w.now = w.now.Add(time.Second)
		letGo(w)
		if _, held := w.other.ActiveHold(w.now, w.part); held {
			t.Errorf("%s: the part is still held", name)
		}
		if hold, held := w.other.ActiveHold(w.now, w.work); !held || hold.Version != 7 {
			t.Errorf("%s: the work is held %t, with version %d of its record, want 7", name, held, hold.Version)
		}
	}
}
