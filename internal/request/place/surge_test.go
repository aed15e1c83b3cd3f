package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// TestSurgeServesThoseInTimeBeforeReturns replays a surge of twice what one upstream
// starts: callers that were refused come back, and are late by then. Without the
// order, half of the places went to them and as many others became late.
func TestSurgeServesThoseInTimeBeforeReturns(t *testing.T) {
	b := bookOf(up("a", "z1", 1))
	r := NewQueue(b)
	late, inTime := 0, 0
	begun := func(d Decision) {
		if d.Refused != "" {
			return
		}
		if d.ID[0] == 'l' {
			late++
		} else {
			inTime++
		}
	}
	for i := range 300 { // one start each 10 ms, and two arrivals
		now := at(time.Duration(i) * 10 * time.Millisecond)
		for _, kind := range []string{"late", "new"} {
			q := query(fmt.Sprint(kind, i))
			q.Arrived, q.StartBy, q.Late = now, now.Add(70*time.Millisecond), kind == "late"
			if d, decided := r.Arrive(now, q); decided {
				begun(d)
			}
		}
		b.Heard(now, "a", true)
		b.Ended("a", Serve)
		for _, d := range r.Tick(now) {
			begun(d)
		}
	}
	if inTime < 270 || late > 30 {
		t.Errorf("%d first attempts and %d late returns were started; there was room for 300", inTime, late)
	}
}

// TestLateReturnsTakeWhatIsLeft has room for both.
func TestLateReturnsTakeWhatIsLeft(t *testing.T) {
	r := NewQueue(bookOf(up("a", "z1", 8)))
	q := query("late")
	q.Late = true
	if d, decided := r.Arrive(at(0), q); !decided || d.Refused != "" {
		t.Errorf("a late return is not started at an idle upstream: %+v", d)
	}
}

// TestUrgentReturnsGoBeforeLessUrgentFirstAttempts: urgency goes before everything.
func TestUrgentReturnsGoBeforeLessUrgentFirstAttempts(t *testing.T) {
	urgent, other := query("urgent"), query("other")
	urgent.Late, other.Urgency = true, 1
	if urgent.rank(&other) >= 0 || other.rank(&urgent) <= 0 {
		t.Error("a less urgent request goes before an urgent one")
	}
}

func engines() (prefill, decode []string, b *Book) {
	p, q := up("p1", "z1", 4), up("p2", "z1", 4)
	d, e := up("d1", "z1", 16), up("d2", "z1", 16)
	p.Role, q.Role, d.Role, e.Role = upstream.RolePrefill, upstream.RolePrefill, upstream.RoleDecode, upstream.RoleDecode
	return []string{"p1", "p2"}, []string{"d1", "d2"}, bookOf(p, q, d, e)
}

// TestWaitingPromptTakesTheFirstEngineOfEitherKind fills the engines for prompts and
// those that decode, and frees one of each kind: a prompt that waits is read there.
func TestWaitingPromptTakesTheFirstEngineOfEitherKind(t *testing.T) {
	for _, freed := range []Work{Prefill, ReadHere} {
		prefill, decode, b := engines()
		for _, id := range prefill {
			for range 8 {
				b.Sent(at(0), id, Prefill)
			}
		}
		for _, id := range decode {
			for range 16 {
				b.Sent(at(0), id, Decode)
			}
		}
		r := NewQueue(b)
		q := query("waits")
		q.Work, q.OrHere, q.Prompt = Prefill, true, Prompt{Own: 2000}
		if _, decided := r.Arrive(at(0), q); decided {
			t.Fatal("placed although all are full")
		}
		list, work := prefill, Prefill
		if freed == ReadHere {
			list, work = decode, Decode
		}
		for range 16 {
			b.Ended(list[0], work)
		}
		out := r.Tick(at(10 * time.Millisecond))
		if len(out) != 1 || out[0].Choice.Work != freed || out[0].Choice.Upstream.ID != list[0] {
			t.Errorf("freed for %s: %+v", freed, out)
		}
	}
}

// TestPartsAreCopiedFromWhereOthersReadOrDecodeThem: the engine that reads a prompt is
// told of the other engine at which prompts with the same parts come together.
func TestPartsAreCopiedFromWhereOthersReadOrDecodeThem(t *testing.T) {
	_, _, b := engines()
	for id, l := range b.byID {
		l.up.Address = id + ":1"
	}
	q := query("r")
	q.Prompt = Prompt{Key: 7, Parts: []Part{{"p", 3000}}, Own: 1000}
	q.Work = Decode
	decodes, _ := b.Pick(at(0), &q)
	if decodes.CopyFrom != "" {
		t.Errorf("a decode copies from %q; it fetches the whole prompt", decodes.CopyFrom)
	}
	q.Work = Prefill
	reads, _ := b.Pick(at(0), &q)
	if reads.CopyFrom != decodes.Upstream.Address {
		t.Errorf("read at its home, copied from %q, want the engine that decodes such prompts, %q", reads.CopyFrom, decodes.Upstream.Address)
	}
	q.Excluded = []string{reads.Upstream.ID}
	if c, _ := b.Pick(at(0), &q); c.CopyFrom != reads.Upstream.Address {
		t.Errorf("read elsewhere, copied from %q, want its home %q", c.CopyFrom, reads.Upstream.Address)
	}
	q.Work, q.Excluded = ReadHere, nil
	if c, _ := b.Pick(at(0), &q); c.CopyFrom != reads.Upstream.Address {
		t.Errorf("read by a decoding engine, copied from %q, want its home %q", c.CopyFrom, reads.Upstream.Address)
	}
	q.Prompt.Key = 0
	if c, _ := b.Pick(at(0), &q); c.CopyFrom != "" {
		t.Errorf("a prompt without shared parts copies from %q", c.CopyFrom)
	}
}

// TestNothingIsCopiedFromASilentEngine: the reader would wait for it.
func TestNothingIsCopiedFromASilentEngine(t *testing.T) {
	_, _, b := engines()
	for id, l := range b.byID {
		l.up.Address = id + ":1"
	}
	q := query("r")
	q.Work, q.Prompt = Prefill, Prompt{Key: 7, Parts: []Part{{"p", 3000}}, Own: 1000}
	first, _ := b.Pick(at(0), &q)
	b.Failed(at(0), first.CopyFrom[:2], true)
	if second, _ := b.Pick(at(time.Millisecond), &q); second.CopyFrom == first.CopyFrom || second.CopyFrom == "" {
		t.Errorf("copied from %q after it failed", second.CopyFrom)
	}
}

// TestStrainedEngineReadsNoPrompts has a long answer at each of two decoding engines,
// one of which makes events nearly as slowly as that answer can bear. With prompts read
// beside them more than half of the longest answers ran into their time limits.
func TestStrainedEngineReadsNoPrompts(t *testing.T) {
	_, _, b := engines()
	for id, gap := range map[string]time.Duration{"d1": 60 * time.Millisecond, "d2": 20 * time.Millisecond} {
		b.Promised(id, 70*time.Millisecond)
		for range 20 {
			b.Paced(at(0), id, gap)
		}
	}
	q := query("r")
	q.Work, q.Prompt = ReadHere, Prompt{Own: 2000}
	for range 4 {
		c, ok := b.Pick(at(time.Millisecond), &q)
		if !ok || c.Upstream.ID != "d2" {
			t.Fatalf("picked %q (%v), want d2 alone", c.Upstream.ID, ok)
		}
		b.Sent(at(time.Millisecond), "d2", ReadHere)
	}
	b.Kept("d1", 70*time.Millisecond)
	if c, ok := b.Pick(at(time.Millisecond), &q); !ok || c.Upstream.ID != "d1" {
		t.Errorf("picked %q (%v) after the long answer has ended", c.Upstream.ID, ok)
	}
}

// TestReservedPlacesCountInPart fills an engine of 16 slots with requests whose
// prompts are still being read elsewhere: more than 16 find a place, as each will use
// its slot for a part of the time only; not without bound.
func TestReservedPlacesCountInPart(t *testing.T) {
	d := up("d1", "z1", 16)
	d.Role = upstream.RoleDecode
	b := bookOf(d)
	r := NewQueue(b)
	placed := 0
	for i := range 200 {
		q := query(fmt.Sprint("r", i))
		q.Work, q.StartBy = Reserve, at(time.Millisecond)
		if d, decided := r.Arrive(at(0), q); decided && d.Refused == "" && d.Choice.Work == Reserve {
			placed++
		}
	}
	if placed < 40 || placed > 60 {
		t.Errorf("%d reserved; 16 slots at a share of %v", placed, reservedShare)
	}
	for range placed {
		b.Ended("d1", Reserve)
	}
	if got := b.byID["d1"].total(at(0)); got != 0 {
		t.Errorf("%v requests counted after all have ended", got)
	}
}

// TestLongPromptsAloneDontLowerTheBound has prompts of all sizes read one by one at an
// idle engine: the long ones take longer than the wait that is aimed at, but wait for
// nothing.
func TestLongPromptsAloneDontLowerTheBound(t *testing.T) {
	p := up("p1", "z1", 8)
	p.Role = upstream.RolePrefill
	b := bookOf(p)
	const target, perToken = 20 * time.Millisecond, 2 * time.Microsecond
	for i := range 500 {
		tokens := 1000
		if i%5 == 4 {
			tokens = 20_000 // 40 ms
		}
		now := at(time.Duration(i) * 100 * time.Millisecond)
		b.Sent(now, "p1", Prefill)
		b.Heard(now, "p1", true)
		b.Ended("p1", Prefill)
		b.Prefilled(now, "p1", &Prompt{Own: tokens}, time.Duration(tokens)*perToken, target, 0)
	}
	if got := b.limiter("s", Prefill).bound; got < firstBound {
		t.Errorf("the bound fell to %v although no prompt waited", got)
	}
}
