package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// at returns the time d after start.
func at(d time.Duration) time.Time { return start.Add(d) }

const ms = time.Millisecond

var work = ContentOf("POST", "h", "/work", nil)

// crash sends work to an upstream that ends just after the send broke off, and returns the new crashes.
func crash(c *Core, content Content, incarnation string, sent, broke time.Duration) []Crash {
	newCrashes, _ := c.SendBroken(at(broke), content, Incarnation(incarnation), at(sent))
	return append(newCrashes, c.UpstreamEnded(at(broke+5*ms), Incarnation(incarnation))...)
}

// held reports whether some work is held at the time now after start.
func held(c *Core, content Content, now time.Duration) bool {
	_, ok := c.ActiveHold(at(now), content)
	return ok
}

// TestHoldAfterSecondCrash guards against a poison request that crashes one upstream after the other. One such
// request crashed eleven upstreams in 13 s. Each attempt is sent after the previous upstream has ended.
func TestHoldAfterSecondCrash(t *testing.T) {
	c := New()
	if newCrashes := crash(c, work, "a", 0, 90*ms); len(newCrashes) != 1 {
		t.Errorf("%d new crashes, want 1", len(newCrashes))
	}
	if held(c, work, 100*ms) || !c.Suspected(work) {
		t.Errorf("after one crash, which may be a coincidence: held %t, suspected %t", held(c, work, 100*ms), c.Suspected(work))
	}
	crash(c, work, "b", 100*ms, 200*ms)
	if !held(c, work, 210*ms) {
		t.Error("not held after two crashes")
	}
	if got := c.TakeNewHolds(); len(got) != 1 || got[0] != work {
		t.Errorf("new holds: %v", got)
	}
	if other := ContentOf("POST", "h", "/other", nil); held(c, other, 210*ms) {
		t.Error("other work is held")
	}
}

// TestBrokenSendAloneIsNoCrash guards against holds of work whose sends broke off at upstreams that didn't
// end, or only much later.
func TestBrokenSendAloneIsNoCrash(t *testing.T) {
	for name, event := range map[string]func(*Core, Incarnation){
		"no further event":         func(c *Core, _ Incarnation) { c.Forget(at(maxEndDelay + time.Second)) },
		"answers a later request":  func(c *Core, l Incarnation) { c.UpstreamAlive(l, at(200*ms)) },
		"ends long after the send": func(c *Core, l Incarnation) { c.UpstreamEnded(at(maxEndDelay+time.Second), l) },
	} {
		c := New()
		for _, incarnation := range []Incarnation{"a", "b", "c"} {
			if _, check := c.SendBroken(at(100*ms), work, incarnation, at(0)); !check {
				t.Errorf("%s: no check whether %s has ended", name, incarnation)
			}
			event(c, incarnation)
			c.UpstreamEnded(at(maxEndDelay+2*time.Second), incarnation)
		}
		if held(c, work, maxEndDelay+3*time.Second) {
			t.Errorf("%s: held", name)
		}
	}
}

// TestBrokenSendAfterUpstreamEndIsCrash guards against a missed crash when the end of the upstream is
// noticed before the send breaks off.
func TestBrokenSendAfterUpstreamEndIsCrash(t *testing.T) {
	c := New()
	c.UpstreamEnded(at(0), "a")
	if newCrashes, check := c.SendBroken(at(5*ms), work, "a", at(-50*ms)); len(newCrashes) != 1 || check {
		t.Errorf("%d crashes, check %t", len(newCrashes), check)
	}
}

// TestSimultaneousEndsCountOnce guards against a hold after a power loss in which five upstreams end
// with the same work in flight. It takes another crash to hold the work.
func TestSimultaneousEndsCountOnce(t *testing.T) {
	c := New()
	for i := range 5 {
		crash(c, work, fmt.Sprint(i), time.Duration(i)*ms, 100*ms+time.Duration(5-i)*ms)
	}
	if held(c, work, 200*ms) {
		t.Error("held after one power loss")
	}
	crash(c, work, "later", 300*ms, 400*ms)
	if !held(c, work, 410*ms) {
		t.Error("not held after a second crash")
	}
}

// TestRestartWithUnknownIncarnation guards against missed crashes of an upstream whose restarted process
// has the same name because its start isn't known.
func TestRestartWithUnknownIncarnation(t *testing.T) {
	c := New()
	crash(c, work, "a", 0, 90*ms)
	c.UpstreamAlive("a", at(3*time.Second))
	crash(c, work, "a", 4*time.Second, 4100*ms)
	if !held(c, work, 5*time.Second) {
		t.Error("not held after the same upstream ended twice")
	}
}

// TestCrashesOfOneContentAreBounded guards against unbounded memory when hundreds of upstreams end at once
// with the same work in flight.
func TestCrashesOfOneContentAreBounded(t *testing.T) {
	c := New()
	for i := range 300 {
		crash(c, work, fmt.Sprint(i), 0, 100*ms)
	}
	if n := len(c.suspects[work].crashes); n > maxCrashes {
		t.Errorf("%d crashes are kept", n)
	}
	crash(c, work, "later", 300*ms, 400*ms)
	if !held(c, work, 410*ms) {
		t.Error("not held after a second crash")
	}
}

// TestNetworkCutCountsOnce guards against holds caused by a cut network link between zones, which resets all
// sends over it. In one such cut, five pieces of work were retried at a second upstream beyond the cut link,
// reset again 1 to 5 ms later, and held.
func TestNetworkCutCountsOnce(t *testing.T) {
	c := New()
	crash(c, work, "a", 0, 5392*ms)
	crash(c, work, "b", 5393*ms, 5395*ms)
	crash(c, work, "c", 5396*ms, 5398*ms)
	if held(c, work, 5400*ms) {
		t.Error("held after one cut")
	}
	crash(c, work, "d", 9000*ms, 9002*ms)
	if !held(c, work, 9010*ms) {
		t.Error("not held after a second crash")
	}
}

// TestSuccessVoidsCrashes guards against holding harmless work that is requested often, so that it happens to be
// in flight when two upstreams crash for other reasons. The work is answered completely between the two crashes.
// That answer makes the first crash void: it no longer counts against the work.
func TestSuccessVoidsCrashes(t *testing.T) {
	c, other := New(), New()
	crashes := crash(c, work, "a", 0, 90*ms)
	other.MergeCrashes(at(90*ms), crashes)
	voided, lifted := other.Succeeded(at(time.Second), work)
	if len(voided) != 1 || lifted || other.Suspected(work) {
		t.Errorf("%d crashes void, lifted %t", len(voided), lifted)
	}
	c.MergeCrashes(at(time.Second), voided)
	for _, core := range []*Core{c, other} {
		crash(core, work, "b", 2*time.Second, 2090*ms)
		if held(core, work, 3*time.Second) {
			t.Error("held although it was answered completely in between")
		}
	}
}

// TestSuccessEndsHold guards against a hold that stays although an attempt that was in flight when it began
// succeeds.
func TestSuccessEndsHold(t *testing.T) {
	c, other := New(), New()
	crashes := append(crash(c, work, "a", 0, 90*ms), crash(c, work, "b", 100*ms, 190*ms)...)
	other.MergeCrashes(at(190*ms), crashes)
	if !held(c, work, 200*ms) || !held(other, work, 200*ms) {
		t.Fatal("not held")
	}
	voided, lifted := c.Succeeded(at(300*ms), work)
	other.MergeCrashes(at(300*ms), voided)
	if !lifted || held(c, work, 310*ms) || held(other, work, 310*ms) {
		t.Errorf("lifted %t, held here %t, there %t", lifted, held(c, work, 310*ms), held(other, work, 310*ms))
	}
}

// TestRepeatedHoldsGrowLonger guards against repeated crashes by the same poison request: after a hold has
// ended, a single further crash begins a longer one.
func TestRepeatedHoldsGrowLonger(t *testing.T) {
	c := New()
	crash(c, work, "a", 0, 90*ms)
	crash(c, work, "b", 100*ms, 190*ms)
	now := 200 * ms
	for i, want := range []time.Duration{10 * time.Minute, 40 * time.Minute, 160 * time.Minute, MaxHold, MaxHold} {
		hold, ok := c.ActiveHold(at(now), work)
		if length := hold.Until.Sub(at(now)); !ok || length > want || length < want-time.Second {
			t.Errorf("hold %d: %v, want about %v", i+1, length, want)
		}
		now = hold.Until.Sub(start) + time.Minute
		c.Forget(at(now))
		if held(c, work, now) {
			t.Errorf("hold %d doesn't end", i+1)
		}
		crash(c, work, fmt.Sprint("again", i), now, now+90*ms)
		now += 100 * ms
	}
}

// TestOldHoldIsForgotten guards against state that stays after the work is no longer requested.
func TestOldHoldIsForgotten(t *testing.T) {
	c := New()
	crash(c, work, "a", 0, 90*ms)
	crash(c, work, "b", 100*ms, 190*ms)
	c.Forget(at(initialHold + crashRetention + time.Second))
	if c.HasSuspects() {
		t.Error("still suspected")
	}
}

// TestStoredHold checks that an instance that saw no crash applies a hold stored on the platform
// until it is lifted.
func TestStoredHold(t *testing.T) {
	c := New()
	if !c.HoldStored(at(0), work, Hold{Until: at(time.Minute), Times: 1}) || !held(c, work, time.Second) {
		t.Error("not held")
	}
	if c.HoldStored(at(time.Second), work, Hold{Until: at(time.Minute), Times: 1}) {
		t.Error("the same hold is reported as new again")
	}
	if _, ok := c.UnstoredHold(at(time.Second), work); ok {
		t.Error("the stored hold is to be stored again")
	}
	if !c.Lift(at(time.Second), work) || held(c, work, time.Second) {
		t.Error("held after it was lifted")
	}
	crash(c, work, "a", 2*time.Second, 3*time.Second)
	if held(c, work, 4*time.Second) {
		t.Error("held after one crash since it was lifted")
	}
}

// TestUnstoredHoldIsNotLifted guards against lifting a hold because it is missing from a list that was read before
// the hold was stored.
func TestUnstoredHoldIsNotLifted(t *testing.T) {
	c := New()
	crash(c, work, "a", 0, 90*ms)
	crash(c, work, "b", 100*ms, 190*ms)
	if got := c.StoredHolds(at(time.Hour)); len(got) != 0 {
		t.Errorf("stored holds: %v", got)
	}
	if c.Lift(at(200*ms), work) || !held(c, work, 200*ms) {
		t.Error("lifted")
	}
}

// TestExpiredHolds checks that a stored hold is reported as expired only once it no longer affects the next hold.
func TestExpiredHolds(t *testing.T) {
	c := New()
	c.HoldStored(at(0), work, Hold{Until: at(time.Minute), Times: 1})
	if got := c.ExpiredHolds(at(time.Minute + time.Second)); len(got) != 0 {
		t.Errorf("expired: %v, which still counts", got)
	}
	if got := c.ExpiredHolds(at(time.Minute + crashRetention)); len(got) != 1 {
		t.Errorf("expired: %v, want one", got)
	}
}

// TestSuspectsAreBounded guards against unbounded memory when upstreams with a lot of work in flight end.
func TestSuspectsAreBounded(t *testing.T) {
	c := New()
	crash(c, work, "a", 0, 90*ms)
	crash(c, work, "b", 100*ms, 190*ms)
	for i := range 2 * maxSuspects {
		c.MergeCrashes(at(time.Duration(i)*ms), []Crash{{Content: ContentOf("GET", "h", fmt.Sprint(i), nil), Upstream: 1, Sent: at(0), At: at(time.Duration(i) * ms)}})
	}
	if n := len(c.suspects); n > maxSuspects {
		t.Errorf("%d suspects", n)
	}
	if !held(c, work, time.Second) {
		t.Error("held work was dropped in favor of work that is only suspected")
	}
}

// TestHoldsIndependentOfReportOrder guards against instances that disagree on which work is held (sent to no
// upstream) after the same crashes, because crash reports arrived in a different order or twice.
func TestHoldsIndependentOfReportOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "crashes")
		reports := make([]Crash, 0, 2*n)
		for i := range n {
			upstream := rapid.IntRange(0, 3).Draw(t, "upstream") // each ends at most twice
			broke := time.Duration(rapid.IntRange(0, 1).Draw(t, "incarnation"))*3*time.Second + time.Duration(rapid.IntRange(1, 900).Draw(t, "broke"))*ms
			sent := broke - time.Duration(rapid.IntRange(1, 200).Draw(t, "ran"))*ms
			reports = append(reports, Crash{
				Content:  ContentOf("GET", "h", fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "work")), nil),
				Upstream: IncarnationHash(upstream), Sent: at(sent), At: at(broke),
				Void: rapid.IntRange(0, 9).Draw(t, "void") == 0,
			})
			if i%3 == 0 {
				reports = append(reports, reports[len(reports)-1])
			}
		}
		want := holdsOf(reports)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 0))
		rng.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
		if got := holdsOf(reports); got != want {
			t.Fatalf("holds %v in one order, %v in another", want, got)
		}
	})
}

// holdsOf returns which of two pieces of work are held after all crashes were reported.
func holdsOf(reports []Crash) (out [2]bool) {
	c := New()
	c.MergeCrashes(at(5*time.Second), reports)
	for i := range out {
		out[i] = held(c, ContentOf("GET", "h", fmt.Sprint(i), nil), 5*time.Second)
	}
	return out
}

// TestTwoCrashesUnderOneNameWithinASecond guards against counting two crashes as one when the process restarted under
// the same name and crashed again within sameEndWindow.
func TestTwoCrashesUnderOneNameWithinASecond(t *testing.T) {
	c := New()
	crash(c, work, "a", 0, 10*ms)
	crash(c, work, "a", 150*ms, 160*ms)
	if !held(c, work, 200*ms) {
		t.Error("not held after the second crash")
	}
}

// TestBrokenSendAtNextProcessIsNoCrash guards against counting a broken send at a restarted process as a crash
// because the earlier process with the same name has ended.
func TestBrokenSendAtNextProcessIsNoCrash(t *testing.T) {
	c := New()
	crash(c, work, "a", 0, 10*ms)
	if newCrashes, check := c.SendBroken(at(2*time.Second), work, "a", at(1900*ms)); len(newCrashes) != 0 || !check {
		t.Errorf("%d crashes, check %t", len(newCrashes), check)
	}
	if held(c, work, 2*time.Second) {
		t.Error("held after one crash and one broken answer")
	}
}

// TestSeveralBrokenSendsOneCrash guards against counting an end several times when several sends of the same work
// broke off at the upstream before it.
func TestSeveralBrokenSendsOneCrash(t *testing.T) {
	c := New()
	for i := range time.Duration(3) {
		c.SendBroken(at((2*i+1)*time.Second), work, "a", at(2*i*time.Second))
	}
	if newCrashes := c.UpstreamEnded(at(6*time.Second), "a"); len(newCrashes) != 1 || held(c, work, 6*time.Second) {
		t.Errorf("%d crashes, held %t", len(newCrashes), held(c, work, 6*time.Second))
	}
}

// TestEveryBrokenSendIsChecked guards against a missed check for a send that broke off while a check for an earlier
// one was in progress.
func TestEveryBrokenSendIsChecked(t *testing.T) {
	c := New()
	if _, check := c.SendBroken(at(0), work, "a", at(0)); !check {
		t.Error("no check for the first broken send")
	}
	if _, check := c.SendBroken(at(5*ms), work, "a", at(2*ms)); check {
		t.Error("two checks at once")
	}
	if !c.Checked("a", at(0)) {
		t.Error("no further check for a send that broke off after the check began")
	}
	if c.Checked("a", at(6*ms)) {
		t.Error("checked again although no send broke off")
	}
	if _, check := c.SendBroken(at(time.Second), work, "a", at(900*ms)); !check {
		t.Error("no check for a later broken send")
	}
}

// TestNeedsLivenessConn checks that work needs a liveness connection after a broken send, until it
// is answered completely, its upstream stops as planned, or livenessConnPeriod passes.
func TestNeedsLivenessConn(t *testing.T) {
	for name, clear := range map[string]func(c *Core){
		"answered completely": func(c *Core) { c.Succeeded(at(ms), work) },
		"planned stop":        func(c *Core) { c.UpstreamStopped(at(ms), "a") },
		"long ago":            func(c *Core) { c.Forget(at(livenessConnPeriod)) },
	} {
		c := New()
		c.SendBroken(at(0), work, "a", at(0))
		if !c.NeedsLivenessConn(at(ms), work) || !c.HasSuspects() || c.Suspected(work) {
			t.Errorf("%s: needs a witness: %t", name, c.NeedsLivenessConn(at(ms), work))
		}
		if clear(c); c.NeedsLivenessConn(at(livenessConnPeriod), work) || c.HasSuspects() {
			t.Errorf("%s: still needs a witness", name)
		}
	}
}

// TestWorkThatNeedsLivenessConnIsBounded guards against unbounded memory when sends of a lot of work break off.
func TestWorkThatNeedsLivenessConnIsBounded(t *testing.T) {
	c := New()
	for i := range 2 * maxSuspects {
		c.SendBroken(at(0), ContentOf("GET", "h", fmt.Sprint(i), nil), Incarnation(fmt.Sprint(i)), at(0))
	}
	if n := len(c.lastBroken); n > maxSuspects {
		t.Errorf("%d pieces of work are kept", n)
	}
}

// TestCrashCountsThoughNextIncarnationAnsweredFirst guards against work that goes on crashing upstreams which restart under
// their names: their later incarnations answered other requests before the list of upstreams had their starts, and the
// sends that the ends had broken off were taken for sends that an upstream survived.
func TestCrashCountsThoughNextIncarnationAnsweredFirst(t *testing.T) {
	for name, test := range map[string]struct {
		restartedAt time.Duration
		crashes     int
	}{
		"the next incarnation answered": {150 * ms, 1},
		"the same incarnation answered": {350 * ms, 0},
	} {
		c := New()
		c.SendBroken(at(100*ms), work, "a@1", at(0))
		c.UpstreamAnswered(at(300*ms), "a@1", at(200*ms))
		if n := len(c.UpstreamRestarted(at(time.Second), "a@1", "a@2", at(test.restartedAt))); n != test.crashes {
			t.Errorf("%s: %d crashes, want %d", name, n, test.crashes)
		}
	}
}

// TestSendToNextIncarnationIsNoCrashOfTheEarlierOne guards against one end of an upstream that counts twice, and against
// ends that didn't happen: a send under the name that a late list has broke off at a later incarnation.
func TestSendToNextIncarnationIsNoCrashOfTheEarlierOne(t *testing.T) {
	for name, brokeFirst := range map[string]bool{"broke off before the list": true, "broke off after the list": false} {
		c := New()
		breakOff := func() []Crash {
			newCrashes, _ := c.SendBroken(at(400*ms), work, "a@1", at(300*ms))
			return newCrashes
		}
		var newCrashes []Crash
		if brokeFirst {
			newCrashes = breakOff()
		}
		newCrashes = append(newCrashes, c.UpstreamRestarted(at(350*ms), "a@1", "a@2", at(200*ms))...)
		if !brokeFirst {
			newCrashes = append(newCrashes, breakOff()...)
		}
		if len(newCrashes) > 0 {
			t.Errorf("%s: counted as crashes of the earlier incarnation: %+v", name, newCrashes)
		}
		if got := c.UpstreamEnded(at(500*ms), "a@2"); len(got) != 1 || got[0].Upstream != HashOf("a@2") {
			t.Errorf("%s: crashes of the later incarnation: %+v, want one", name, got)
		}
	}
}

// TestRefusedConnectionIsCheckedOnce checks that a refused connection leads to a check whether its upstream has ended only
// if sends broke off there, and to no second one meanwhile.
func TestRefusedConnectionIsCheckedOnce(t *testing.T) {
	c := New()
	if c.CheckWanted("a") {
		t.Error("checked although no send broke off")
	}
	c.SendBroken(at(100*ms), work, "a", at(0))
	if c.CheckWanted("a") {
		t.Error("checked again during the check of the broken send")
	}
	c.Checked("a", at(200*ms))
	if !c.CheckWanted("a") || c.CheckWanted("a") {
		t.Error("want one check after the first one has ended")
	}
}
