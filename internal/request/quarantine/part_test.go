package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// partWorld plays sends with parts of prompts at one core, in virtual time.
type partWorld struct {
	t    *testing.T
	core *Core
	now  time.Time
	runs int
}

func newPartWorld(t *testing.T) *partWorld {
	return &partWorld{t: t, core: New(), now: time.Unix(100_000, 0)}
}

func partsOf(ids ...string) []Content {
	out := make([]Content, len(ids))
	for i, id := range ids {
		out[i] = PartContent(id)
	}
	return out
}

// answer records n whole answers on each of the given parts.
func (w *partWorld) answer(n int, ids ...string) {
	parts := partsOf(ids...)
	for range n {
		w.core.PartsAnswered(w.now, parts)
	}
	for _, part := range parts {
		w.core.Succeeded(w.now, part)
	}
}

// crash ends an upstream under requests with the given lists of parts, all of which were just sent.
func (w *partWorld) crash(upstream string, inFlight ...[]string) {
	for _, ids := range inFlight {
		w.runs++
		w.core.SendWithPartsBroken(w.now, ContentOf("POST", "h", fmt.Sprint("/", w.runs), nil), partsOf(ids...), Incarnation(upstream), w.now.Add(-50*time.Millisecond))
	}
	w.core.UpstreamEnded(w.now, Incarnation(upstream))
}

func (w *partWorld) held(id string) bool {
	_, ok := w.core.ActiveHold(w.now, PartContent(id))
	return ok
}

func (w *partWorld) check(what string, held bool, ids ...string) {
	w.t.Helper()
	for _, id := range ids {
		if w.held(id) != held {
			w.t.Errorf("%s: part %s held %t, want %t", what, id, !held, held)
		}
	}
}

// TestPartIsHeldAfterThreeCrashes checks that a part without any answer is held after three crashes, however far they
// are apart, and that the parts that the requests share with sound ones aren't.
func TestPartIsHeldAfterThreeCrashes(t *testing.T) {
	for _, gap := range []time.Duration{200 * time.Millisecond, time.Second, 10 * time.Second, time.Minute} {
		w := newPartWorld(t)
		w.answer(minAnswers, "a", "b")
		for i := range partCrashesToHold {
			w.check("before the last crash", false, "dead")
			w.now = w.now.Add(gap)
			w.crash(fmt.Sprint("u", i), []string{"a", "dead"}, []string{"a", "b"})
			w.answer(1, "a")
		}
		w.check(fmt.Sprint("crashes ", gap, " apart"), true, "dead")
		w.check(fmt.Sprint("crashes ", gap, " apart"), false, "a", "b")
	}
}

// TestCommonPartsSurviveWaves checks a case without answers in between: all upstreams crash together, again and again,
// each under requests with the deadly part and sound ones.
func TestCommonPartsSurviveWaves(t *testing.T) {
	w := newPartWorld(t)
	w.answer(minAnswers, "a", "b")
	for wave := range 12 {
		w.now = w.now.Add(3 * time.Second)
		for u := range 6 {
			w.crash(fmt.Sprint("u", wave, "-", u), []string{"a", "dead"}, []string{"a", "b"}, []string{"a", "b"})
		}
	}
	w.check("after waves of crashes", true, "dead")
	w.check("after waves of crashes", false, "a", "b")
}

// TestPowerLossHoldsNoPart checks that upstreams that fail together for another reason hold no part, answered before or
// not, also if that happens again.
func TestPowerLossHoldsNoPart(t *testing.T) {
	w := newPartWorld(t)
	w.answer(minAnswers, "a", "b")
	for loss := range 2 {
		for u := range 30 {
			w.crash(fmt.Sprint("u", loss, "-", u), []string{"a", "b"}, []string{"a", "new"})
		}
		w.now = w.now.Add(20 * time.Second)
	}
	w.check("after two losses of power", false, "a", "b", "new")
}

// TestTwoDeadlyPartsAreHeld checks that the hold of one part doesn't explain away the crashes of another.
func TestTwoDeadlyPartsAreHeld(t *testing.T) {
	w := newPartWorld(t)
	w.answer(minAnswers, "a")
	for i := range 2 * partCrashesToHold {
		w.now = w.now.Add(time.Second)
		w.crash(fmt.Sprint("u", i), []string{"a", "dead"}, []string{"a", "lethal"})
		w.answer(1, "a")
	}
	w.check("both under way at each crash", true, "dead", "lethal")
	w.check("both under way at each crash", false, "a")
}

// TestSoundWorkBesideDeadlyPartIsFreed checks that work that was held because it was repeated beside a deadly part is
// no longer held once that part is.
func TestSoundWorkBesideDeadlyPartIsFreed(t *testing.T) {
	w := newPartWorld(t)
	w.answer(minAnswers, "a")
	repeated := ContentOf("POST", "h", "/repeated", nil)
	for i := range partCrashesToHold {
		w.now = w.now.Add(time.Second)
		upstream := Incarnation(fmt.Sprint("u", i))
		w.core.SendWithPartsBroken(w.now, repeated, partsOf("a"), upstream, w.now.Add(-50*time.Millisecond))
		w.crash(string(upstream), []string{"a", "dead"})
		_, held := w.core.ActiveHold(w.now, repeated)
		if want := i == 1; held != want {
			t.Errorf("after %d crashes the repeated work is held: %t, want %t", i+1, held, want)
		}
	}
	w.check("after three crashes", true, "dead")
}

// TestWronglyHeldPartIsFreed checks that a whole answer ends the hold of a part, and that it ends by itself otherwise.
// A part that is deadly is held again after one more crash.
func TestWronglyHeldPartIsFreed(t *testing.T) {
	w := newPartWorld(t)
	hold := func() {
		w.answer(minAnswers, "a")
		for i := range partCrashesToHold {
			w.now = w.now.Add(time.Second)
			w.crash(fmt.Sprint("u", w.runs, i), []string{"a", "p"})
		}
		w.check("after crashes", true, "p")
	}
	hold()
	w.now = w.now.Add(initialPartHold + time.Second)
	w.check("after its time", false, "p")
	w.crash("again", []string{"a", "p"})
	w.check("after another crash", true, "p")
	w.answer(1, "p")
	w.check("after an answer", false, "p")
	w.now = w.now.Add(time.Second)
	w.crash("once more", []string{"a", "p"})
	w.check("after a crash beside answers", false, "p")
}

// TestAnsweredPartNeedsMoreCrashes checks a part that was answered before and crashes upstreams since, as after a
// release, and a process that has seen too few answers to judge.
func TestAnsweredPartNeedsMoreCrashes(t *testing.T) {
	for name, prepare := range map[string]func(w *partWorld){
		"answered before": func(w *partWorld) { w.answer(minAnswers, "p") },
		"just started":    func(w *partWorld) {},
	} {
		w := newPartWorld(t)
		prepare(w)
		for i := range answeredPartCrashesToHold {
			w.check(name, false, "p")
			w.now = w.now.Add(time.Second)
			w.crash(fmt.Sprint("u", i), []string{"p"})
			w.answer(1, "other")
		}
		w.check(name, true, "p")
	}
}

// TestAnsweredPartsAreBounded checks that a flood of parts takes bounded memory.
func TestAnsweredPartsAreBounded(t *testing.T) {
	w := newPartWorld(t)
	for i := range 3 * maxAnsweredParts {
		w.core.PartsAnswered(w.now, partsOf(fmt.Sprint(i)))
	}
	if n := len(w.core.answeredAt); n > maxAnsweredParts {
		t.Errorf("%d parts are remembered", n)
	}
}

// TestPartContent checks that a part's content is told from that of whole requests.
func TestPartContent(t *testing.T) {
	if !PartContent("x").IsPart() || ContentOf("POST", "h", "/", nil).IsPart() || PartContent("x") == PartContent("y") {
		t.Error("contents of parts aren't told apart")
	}
	if got, err := ParseContent(PartContent("x").String()); err != nil || got != PartContent("x") {
		t.Errorf("parsed %v %v", got, err)
	}
}

// TestLikelierPartIsHeld checks a case of the soak: a part that all requests share is under way at each crash of a deadly
// one and at some others, and reaches its threshold first, with or without answers before.
func TestLikelierPartIsHeld(t *testing.T) {
	for name, answers := range map[string]int{"few answers before": 10, "none before": 0} {
		w := newPartWorld(t)
		if answers > 0 {
			w.answer(answers, "a")
		}
		for i := range answeredPartCrashesToHold {
			w.now = w.now.Add(time.Second)
			inFlight := [][]string{{"a", fmt.Sprint("b", i)}, {"a", fmt.Sprint("c", i)}, {"a"}}
			if i%2 == 0 || i > 3 {
				inFlight = append(inFlight, []string{"a", "dead"})
			}
			w.crash(fmt.Sprint("u", i), inFlight...)
		}
		w.check(name, true, "dead")
		w.check(name, false, "a")
	}
}

// TestPartKnownFromReportsIsNoLikelierCause checks a case of the soak: a process that has just started has never sent a
// request with a sound part, and so saw none break off, but knows that it was under way at most ends of the deadly one.
func TestPartKnownFromReportsIsNoLikelierCause(t *testing.T) {
	w := newPartWorld(t)
	for i := range answeredPartCrashesToHold {
		w.now = w.now.Add(time.Second)
		upstream := fmt.Sprint("u", i)
		if i > 0 {
			w.core.MergeCrashes(w.now, []Crash{{Content: PartContent("rare"), Upstream: HashOf(Incarnation(upstream)), Sent: w.now.Add(-50 * time.Millisecond), At: w.now}})
		}
		w.crash(upstream, []string{"a", "deadly"}, []string{"a", "b"}, []string{"a", "c"})
		w.answer(1, "a", "b", "c")
	}
	w.check("after its last crash", true, "deadly")
	w.check("after its last crash", false, "rare", "a", "b", "c")
}

// TestOutageHoldsNoCommonPart checks a case of the soak: connections end again and again while nothing is answered.
// Nothing then tells a part that all requests share from the cause.
func TestOutageHoldsNoCommonPart(t *testing.T) {
	for name, answers := range map[string]int{"answered before": minAnswers, "just started": 0} {
		w := newPartWorld(t)
		w.answer(answers, "a")
		for i := range 10 {
			w.now = w.now.Add(300 * time.Millisecond)
			w.crash(fmt.Sprint("u", i), []string{"a", fmt.Sprint("b", i)}, []string{"a", fmt.Sprint("c", i)})
		}
		w.check(name, false, "a")
	}
}

// breakOff records requests with the given lists of parts that were sent to an upstream at a time and broke off now.
func (w *partWorld) breakOff(upstream string, sent time.Time, inFlight ...[]string) {
	for _, ids := range inFlight {
		w.runs++
		w.core.SendWithPartsBroken(w.now, ContentOf("POST", "h", fmt.Sprint("/", w.runs), nil), partsOf(ids...), Incarnation(upstream), sent)
	}
}

// TestRarePartBesideDeadlyOneIsNotHeld guards against a sound part that stays held beside the deadly one: requests with
// the deadly part were sent to all upstreams together, so that their crashes count once, and one with the sound part to
// each of them just before it ended.
func TestRarePartBesideDeadlyOneIsNotHeld(t *testing.T) {
	w := newPartWorld(t)
	w.answer(minAnswers, "a")
	burst := w.now
	for i := range partCrashesToHold + 1 {
		w.now = w.now.Add(300 * time.Millisecond)
		upstream := fmt.Sprint("u", i)
		w.breakOff(upstream, burst, []string{"a", "deadly"})
		if i > 0 {
			w.breakOff(upstream, w.now.Add(-50*time.Millisecond), []string{"a", "rare"})
		}
		w.core.UpstreamEnded(w.now, Incarnation(upstream))
		w.answer(1, "a")
	}
	w.check("after a burst", false, "a", "rare")
	for i := range partCrashesToHold {
		w.now = w.now.Add(time.Second)
		w.crash(fmt.Sprint("v", i), []string{"a", "deadly"})
	}
	w.check("after more crashes", true, "deadly")
	w.check("after more crashes", false, "a", "rare")
}

// TestRarePartHeldFirstIsFreed checks a part that was held first as its crashes were known first: it is free again once
// another part is known to have been under way at all of its ends and at more, whether that is learned at once or in
// steps, with crashes that the first one seems to explain.
func TestRarePartHeldFirstIsFreed(t *testing.T) {
	for name, atOnce := range map[string]bool{"at once": true, "in steps": false} {
		w := newPartWorld(t)
		reports := w.holdRarePart()
		w.check(name+", without the reports", true, "rare")
		if atOnce {
			w.core.MergeCrashes(w.now, reports)
		} else {
			for _, report := range reports {
				w.core.MergeCrashes(w.now, []Crash{report})
			}
		}
		w.check(name, true, "deadly")
		w.check(name, false, "a", "rare")
	}
}

// holdRarePart has a sound part held, and returns the reports of a deadly one that was under way at the same ends and, as
// the first of them, at another one.
func (w *partWorld) holdRarePart() (reports []Crash) {
	w.answer(minAnswers, "a")
	for i := range partCrashesToHold + 1 {
		w.now = w.now.Add(time.Second)
		upstream := fmt.Sprint("u", i)
		if i > 0 {
			w.crash(upstream, []string{"a", "rare"})
		}
		w.answer(1, "a")
		reports = append(reports, Crash{Content: PartContent("deadly"), Upstream: HashOf(Incarnation(upstream)), Sent: w.now.Add(-50 * time.Millisecond), At: w.now})
	}
	return reports
}

// TestFreedPartLeavesOtherExplanations checks that a part that is freed, by a likelier one or by an answer, undoes only
// what it explained: sound work that was repeated beside an earlier deadly part, whose hold has ended since, isn't held.
func TestFreedPartLeavesOtherExplanations(t *testing.T) {
	for name, answered := range map[string]bool{"by a likelier part": false, "by an answer": true} {
		w := newPartWorld(t)
		w.answer(minAnswers, "a")
		repeated := ContentOf("POST", "h", "/repeated", nil)
		for i := range partCrashesToHold {
			w.now = w.now.Add(time.Second)
			upstream := Incarnation(fmt.Sprint("e", i))
			w.core.SendWithPartsBroken(w.now, repeated, partsOf("a"), upstream, w.now.Add(-50*time.Millisecond))
			w.crash(string(upstream), []string{"a", "earlier"})
		}
		w.check(name, true, "earlier")
		w.now = w.now.Add(initialPartHold)
		reports := w.holdRarePart()
		w.check(name+", before", true, "rare")
		if answered {
			w.answer(1, "rare")
		} else {
			w.core.MergeCrashes(w.now, reports)
		}
		w.check(name, false, "rare", "earlier")
		if _, held := w.core.ActiveHold(w.now, repeated); held {
			t.Errorf("%s: the repeated work is held", name)
		}
	}
}

// TestStoredHoldOfPartIsKept guards against the removal of the right hold: another instance stored it, and here a sound
// part that was held first seems to explain all of its crashes.
func TestStoredHoldOfPartIsKept(t *testing.T) {
	w := newPartWorld(t)
	reports := w.holdRarePart()[1:]
	for _, report := range reports {
		w.core.MergeCrashes(w.now, []Crash{report})
	}
	w.core.HoldStored(w.now, PartContent("deadly"), Hold{Until: w.now.Add(time.Minute), Times: 1, Crashes: reports, Version: 7})
	w.check("once it is stored", true, "deadly")
	if _, remove := w.core.RecordToRemove(w.now, PartContent("deadly")); remove {
		t.Error("the record is removed")
	}
}

// TestPartHeldWithALostReportIsFreed checks a case of the soak: a process that has just started holds a sound part first,
// and the report of the deadly one at one of its six ends is lost with the instance that saw it.
func TestPartHeldWithALostReportIsFreed(t *testing.T) {
	w := newPartWorld(t)
	var reports []Crash
	for i := range answeredPartCrashesToHold + 2 {
		w.now = w.now.Add(time.Second)
		upstream := fmt.Sprint("u", i)
		if i > 1 {
			w.crash(upstream, []string{"a", "rare"})
		}
		w.answer(1, "a")
		if i != 4 {
			reports = append(reports, Crash{Content: PartContent("deadly"), Upstream: HashOf(Incarnation(upstream)), Sent: w.now.Add(-50 * time.Millisecond), At: w.now})
		}
	}
	w.check("without the reports", true, "rare")
	w.core.MergeCrashes(w.now, reports)
	w.check("with the reports", true, "deadly")
	w.check("with the reports", false, "a", "rare")
}

// TestSendsToAGoneUpstreamAreExplained checks a case of the soak: the address of an upstream that crashed under a deadly
// part still accepts connections for seconds and closes them, until the list says that it is gone.
func TestSendsToAGoneUpstreamAreExplained(t *testing.T) {
	for name, held := range map[string]bool{"before the deadly part is held": true, "after": false} {
		w := newPartWorld(t)
		w.answer(minAnswers, "a")
		crashGone := func() {
			for i := range partCrashesToHold {
				w.now = w.now.Add(200 * time.Millisecond)
				w.crash(fmt.Sprint("u", i), []string{"a", "rare"})
			}
		}
		var reports []Crash
		for i := range partCrashesToHold + 1 {
			w.now = w.now.Add(200 * time.Millisecond)
			reports = append(reports, Crash{Content: PartContent("deadly"), Upstream: HashOf(Incarnation(fmt.Sprint("u", i))), Sent: w.now.Add(-50 * time.Millisecond), At: w.now})
		}
		w.now = w.now.Add(3 * time.Second)
		if held {
			crashGone()
			w.check(name, true, "rare")
		}
		w.core.MergeCrashes(w.now, reports)
		if !held {
			crashGone()
		}
		w.check(name, true, "deadly")
		w.check(name, false, "rare", "a")
	}
}

// TestPartIsNotShieldedByAnother checks that a deadly part is held although a sound one was under way at most of its
// ends, at all of them but none else, or an answered one at all and more.
func TestPartIsNotShieldedByAnother(t *testing.T) {
	for name, beside := range map[string]func(i int) string{
		"at most of its ends": func(i int) string { return map[bool]string{true: "other"}[i != 1] },
		"at the same ends":    func(int) string { return "other" },
	} {
		w := newPartWorld(t)
		w.answer(minAnswers, "a")
		w.now = w.now.Add(time.Second)
		w.crash("first", []string{"a"})
		for i := range partCrashesToHold {
			w.now = w.now.Add(time.Second)
			w.crash(fmt.Sprint("u", i), []string{"a", "deadly"}, []string{"a", beside(i)})
			w.answer(1, "a")
		}
		w.check(name, true, "deadly")
		w.check(name, false, "a")
	}
}

// TestDeadlyWorkStaysHeldBesideSoundPart guards against deadly work that goes on crashing upstreams: a sound part of other
// requests met some of its crashes, was held for them, and explained them, so that the holds of the work were removed.
func TestDeadlyWorkStaysHeldBesideSoundPart(t *testing.T) {
	w := newPartWorld(t)
	w.answer(minAnswers, "a")
	first, second := ContentOf("POST", "h", "/first", nil), ContentOf("POST", "h", "/second", nil)
	for i, crash := range []struct {
		deadly Content
		part   string // of a sound request at the same upstream
	}{{first, "b"}, {first, "c"}, {second, "b"}, {second, "b"}, {second, "d"}} {
		w.now = w.now.Add(300 * time.Millisecond)
		upstream := Incarnation(fmt.Sprint("u", i))
		sent := w.now.Add(-50 * time.Millisecond)
		w.core.SendWithPartsBroken(w.now, crash.deadly, nil, upstream, sent)
		w.core.SendWithPartsBroken(w.now, ContentOf("POST", "h", fmt.Sprint("/", i), nil), partsOf("a", crash.part), upstream, sent)
		w.core.UpstreamEnded(w.now, upstream)
		w.answer(minControlAnswers, "a")
	}
	for _, work := range []Content{first, second} {
		if _, held := w.core.ActiveHold(w.now, work); !held {
			t.Errorf("deadly work %v isn't held", work)
		}
	}
	w.check("after crashes of deadly work", false, "a", "b", "c", "d")
}

// TestDeadlyPartIsHeldThoughFewRequestsAreAnswered guards against a part that goes on crashing upstreams because it leaves
// few that could answer: the answers cleared the part that all requests share, which then no longer told that others had
// broken off at the same ends.
func TestDeadlyPartIsHeldThoughFewRequestsAreAnswered(t *testing.T) {
	w := newPartWorld(t)
	for i := range answeredPartCrashesToHold {
		w.now = w.now.Add(300 * time.Millisecond)
		w.crash(fmt.Sprint("u", i), []string{"a", "dead"}, []string{"a", fmt.Sprint("b", i)}, []string{"a", fmt.Sprint("c", i)})
		if i < minControlAnswers-1 {
			w.answer(1, "a")
		}
	}
	w.check("after six crashes", true, "dead")
	w.check("after six crashes", false, "a", "b0", "c0")
}

// TestSoundPartIsNotHeldInOutage guards against callers that are refused after an outage in which nothing was answered:
// upstreams end one after another for another reason. A third of the many requests that run there share one part, and
// others are as common as one in seven.
func TestSoundPartIsNotHeldInOutage(t *testing.T) {
	held := 0
	for seed := range uint64(40) {
		w := newPartWorld(t)
		rng := rand.New(rand.NewPCG(seed, 1))
		for i := range 30 {
			w.now = w.now.Add(200 * time.Millisecond)
			var inFlight [][]string
			for range 9 {
				ids := []string{"a", fmt.Sprint("b", rng.IntN(7))}
				if rng.IntN(3) == 0 {
					ids = append(ids, "common")
				}
				inFlight = append(inFlight, ids)
			}
			w.crash(fmt.Sprint("u", i), inFlight...)
		}
		for _, id := range []string{"a", "common", "b0", "b1", "b2", "b3", "b4", "b5", "b6"} {
			if w.held(id) {
				held++
			}
		}
	}
	if held > 0 {
		t.Errorf("%d sound parts held in 40 outages", held)
	}
}
