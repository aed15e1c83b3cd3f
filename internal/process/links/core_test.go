package links

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// start is the time at which each test begins.
var start = time.Unix(1_000_000, 0)

// at returns a time of a test.
func at(d time.Duration) time.Time { return start.Add(d) }

// addresses returns the addresses of n upstreams.
func addresses(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("10.0.0.%d:80", i+1)
	}
	return out
}

// cut has the links to all addresses fail at a time, and a relay reach the upstreams.
func cut(c *Core, now time.Time, addresses []string) {
	for _, address := range addresses {
		c.Failed(now, address)
		c.Relayed(now, address)
	}
}

// probe runs the probes that are due in steps of 50 ms, from one time to another, and returns when each link was
// restored. reached says whether a probe of any link succeeds at a time.
func probe(c *Core, from, to time.Duration, reached func(time.Duration) bool) map[string]time.Duration {
	restored := make(map[string]time.Duration)
	for t := from; t < to; t += 50 * time.Millisecond {
		for _, address := range c.ProbesDue(at(t)) {
			if c.Probed(at(t), address, reached(t)) {
				restored[address] = t
			}
		}
	}
	return restored
}

// TestFailedLinkIsNotUsed checks that requests take another way from the first failure of a link on, and that the
// links to other upstreams are still used.
func TestFailedLinkIsNotUsed(t *testing.T) {
	c, all := New(), addresses(2)
	if !c.UseOwn(start, all[0]) {
		t.Fatal("a link without any failure isn't used")
	}
	c.Failed(start, all[0])
	if c.UseOwn(start, all[0]) || !c.UseOwn(start, all[1]) {
		t.Errorf("failed link used: %v, other one: %v", c.UseOwn(start, all[0]), c.UseOwn(start, all[1]))
	}
	if c.IsDown(all[0]) || !c.Relayed(start, all[0]) || !c.IsDown(all[0]) || c.Relayed(start, all[0]) {
		t.Error("a link isn't confirmed to be down once, when a relay reaches the upstream")
	}
}

// TestUpstreamThatIsDownSaysNothingOfLinks guards against an instance that takes its links to be down because some
// upstreams have stopped or are silent for a while: no other instance reaches them either.
func TestUpstreamThatIsDownSaysNothingOfLinks(t *testing.T) {
	c, all := New(), addresses(6)
	for _, address := range all {
		c.Failed(start, address)
		c.Unreachable(start, address)
	}
	for _, address := range all {
		if !c.UseOwn(start, address) {
			t.Errorf("the link to %s isn't used", address)
		}
	}
	if c.CutOff() || c.Down() > 0 {
		t.Errorf("cut off: %v, %d links down", c.CutOff(), c.Down())
	}
}

// TestUnreachableUpstreamDelaysNoLink guards against a link that stays unused for seconds after a cut of all instances,
// because it seemed to fail again and again while nobody reached the upstream.
func TestUnreachableUpstreamDelaysNoLink(t *testing.T) {
	c, all := New(), addresses(1)
	for range 10 {
		c.Failed(start, all[0])
		c.Unreachable(start, all[0])
	}
	cut(c, start, all)
	restored := probe(c, 0, 5*time.Second, func(d time.Duration) bool { return d >= probeInterval })
	if at, ok := restored[all[0]]; !ok || at > 2500*time.Millisecond {
		t.Errorf("restored %v after the cut: %v", at, ok)
	}
}

// TestRestartsDoNotCutOff guards against an instance that counts as cut off because two upstreams were just replaced,
// whose addresses refused connections for a moment, while it reaches the others.
func TestRestartsDoNotCutOff(t *testing.T) {
	c, all := New(), addresses(6)
	for _, address := range all {
		c.Worked(start, address)
	}
	cut(c, at(time.Second), all[:2])
	if c.CutOff() {
		t.Fatal("cut off with 2 links down of 6")
	}
	restored := probe(c, time.Second, 2*time.Second, func(time.Duration) bool { return true })
	if len(restored) != 2 || restored[all[0]] != time.Second {
		t.Errorf("links of replaced upstreams are used again at %v, want at once", restored)
	}
}

// TestUnknownLinksOfInstanceThatIsCutOff guards against an instance that has lost all links and finds that out for each
// of many upstreams by itself: each time some requests would wait for a connection in vain.
func TestUnknownLinksOfInstanceThatIsCutOff(t *testing.T) {
	c, all := New(), addresses(100)
	cut(c, start, all[:2])
	if !c.CutOff() {
		t.Fatal("not cut off with all links down that were used")
	}
	for _, address := range all {
		if c.UseOwn(start, address) {
			t.Fatalf("the link to %s is used", address)
		}
	}
}

// TestLinksReturnInSteps checks that links are used again within two seconds and a half after a cut of 10 s, and that
// at first few probes begin at once.
func TestLinksReturnInSteps(t *testing.T) {
	const end = 10 * time.Second
	c, all := New(), addresses(100)
	cut(c, start, all[:2])
	for _, address := range all {
		c.UseOwn(at(end-wantedWindow/2), address)
	}
	if n := len(probe(c, 0, end, func(time.Duration) bool { return false })); n > 0 {
		t.Fatalf("%d links restored during the cut", n)
	}
	due := c.ProbesDue(at(end))
	if len(due) > minProbes {
		t.Errorf("%d probes begin at once", len(due))
	}
	for _, address := range due {
		c.Probed(at(end), address, true)
	}
	restored := probe(c, end, end+5*time.Second, func(time.Duration) bool { return true })
	if len(restored) != len(all) {
		t.Fatalf("%d of %d links restored", len(restored), len(all))
	}
	first, last := time.Hour, time.Duration(0)
	for _, when := range restored {
		first, last = min(first, when), max(last, when)
	}
	if first < end+minHold || last > end+2500*time.Millisecond {
		t.Errorf("links restored %v to %v after the cut", first-end, last-end)
	}
	if c.CutOff() || c.Down() > 0 {
		t.Errorf("cut off: %v, %d links down after the cut", c.CutOff(), c.Down())
	}
}

// TestFlappingLinkIsNotUsed guards against a link that works for a second after every three: each return to it would
// lose the requests that were sent just before it fails again.
func TestFlappingLinkIsNotUsed(t *testing.T) {
	c, all := New(), addresses(1)
	working := func(d time.Duration) bool { return d%(4*time.Second) >= 3*time.Second }
	uses := 0
	for period := range 10 {
		begin := time.Duration(period) * 4 * time.Second
		if c.UseOwn(at(begin), all[0]) {
			uses++
			cut(c, at(begin+time.Millisecond), all)
		}
		probe(c, begin+50*time.Millisecond, begin+4*time.Second, working)
		c.UseOwn(at(begin+3500*time.Millisecond), all[0])
	}
	if uses > 2 {
		t.Errorf("the link was used in %d of 10 cuts", uses)
	}
}

// TestOwnLinkIsTheLastResort checks that a link that is down may be tried once a probe has succeeded, for the case
// that no relay is available.
func TestOwnLinkIsTheLastResort(t *testing.T) {
	c, all := New(), addresses(1)
	c.Failed(start, all[0])
	if c.MayTry(all[0]) {
		t.Error("a link that has just failed may be tried")
	}
	probe(c, 0, time.Second, func(d time.Duration) bool { return d >= probeInterval })
	if !c.MayTry(all[0]) {
		t.Error("a link whose probe succeeded may not be tried")
	}
}

// TestLinksAreForgotten checks that nothing is kept of upstreams that nobody wants any more.
func TestLinksAreForgotten(t *testing.T) {
	c, all := New(), addresses(10)
	cut(c, start, all[:5])
	for _, address := range all[5:] {
		c.Worked(start, address)
	}
	probe(c, 0, time.Second, func(time.Duration) bool { return false })
	probe(c, time.Minute, time.Minute+2*time.Second, func(time.Duration) bool { return false })
	if n := len(c.links); n > 0 || c.Down() > 0 || c.CutOff() {
		t.Errorf("%d links known, %d down, cut off: %v", n, c.Down(), c.CutOff())
	}
}

// TestNeighborsAreOfTheZoneAndWorkedLately checks which upstreams tell whether a failure is due to the own links.
func TestNeighborsAreOfTheZoneAndWorkedLately(t *testing.T) {
	c := New()
	list := addresses(6)
	for i, address := range list[:4] {
		c.Reached(at(time.Duration(i)*time.Second), address, "z1")
	}
	c.Reached(at(3*time.Second), list[4], "z2")
	c.Worked(at(3*time.Second), list[5]) // of an unknown zone
	c.Failed(at(3*time.Second), list[2])
	now := at(3*time.Second + evidenceWindow/2)
	for n, want := range map[int][]string{1: {list[2]}, 5: {list[2]}} {
		if got := c.Neighbors(now, list[3], n); !slices.Equal(got, want) {
			t.Errorf("of %d: %v, want %v", n, got, want)
		}
	}
	if got := c.Neighbors(now, list[5], 5); got != nil {
		t.Errorf("of an upstream in an unknown zone: %v", got)
	}
}
