package peers

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// forEachOfFirstZone calls visit with the core of each instance of the first of several zones with n
// instances in total. It creates one core after the other, because holding all of them at once would
// take too much memory for a test.
func forEachOfFirstZone(n, zones int, visit func(c *Core)) {
	var all []Peer
	for i := range n {
		all = append(all, Peer{Name: fmt.Sprint("i", i), Zone: fmt.Sprint("z", i%zones), Address: fmt.Sprintf("10.0.%d.%d:7", i/250, i%250)})
	}
	for i := 0; i < n; i += zones {
		c := New(all[i], 1)
		c.SetListed(at(0), all)
		visit(c)
	}
}

// TestFewInstancesFollowPlatform checks that only two instances per hundred of a zone, plus one,
// follow the upstreams, and that each of the others has a placer to ask. The others make no calls to
// the platform while idle and have no work when upstreams change.
func TestFewInstancesFollowPlatform(t *testing.T) {
	for _, tt := range []struct{ n, zones, want int }{{6, 3, 2}, {12, 3, 3}, {84, 3, 3}, {295, 5, 3}, {984, 5, 5}, {1968, 5, 9}} {
		following, withoutPlacer := 0, 0
		forEachOfFirstZone(tt.n, tt.zones, func(c *Core) {
			if c.NeedsUpstreams(at(0)) {
				following++
			} else if c.Placer() == "" {
				withoutPlacer++
			}
		})
		if following != tt.want || withoutPlacer > 0 {
			t.Errorf("%d instances in %d zones: %d of a zone follow the upstreams, want %d; %d of the others have no placer", tt.n, tt.zones, following, tt.want, withoutPlacer)
		}
	}
}

// TestAnnounceTargetsAreBounded checks that an instance announces its start only to possible placers:
// to at most 40 others in a deployment of 1,968 instances.
func TestAnnounceTargetsAreBounded(t *testing.T) {
	for _, tt := range []struct{ n, most int }{{295, 12}, {984, 20}, {1968, 40}} {
		forEachOfFirstZone(tt.n, 5, func(c *Core) {
			if got := len(c.AnnounceTargets()); got > tt.most {
				t.Fatalf("%d instances: %s announces itself to %d others, want at most %d", tt.n, c.self.Name, got, tt.most)
			}
		})
	}
}

// TestIdleInstanceProbesRarely checks that an instance without requests, which is no placer, sends at
// most one probe per second. All instances of its zone beyond the first maxGroups groups are not
// ready; they must not be probed.
func TestIdleInstanceProbesRarely(t *testing.T) {
	for _, n := range []int{100, 984} {
		var asker *Core
		forEachOfFirstZone(n, 5, func(c *Core) {
			if asker == nil && !c.NeedsUpstreams(at(0)) {
				asker = c
			}
		})
		for _, m := range asker.zonePeers()[maxGroups*len(asker.candidates()):] {
			asker.Receive(at(0), m.Address, &Message{Unready: true})
		}
		sent := 0
		const duration = 20 * time.Second
		for d := time.Duration(0); d < duration; d += 50 * time.Millisecond {
			for _, to := range asker.ProbeTargets(at(d)) {
				sent++
				asker.Receive(at(d), to, &Message{})
			}
		}
		if sent > int(duration/maxPlacerSilence) {
			t.Errorf("%d instances: %d probes in %v", n, sent, duration)
		}
	}
}

// TestPlacerWithoutPlatformIsSkipped checks that the next instance in rank becomes the placer if one
// can't read the platform, since the list of upstreams of that one is out of date. If no instance
// can read the platform, the first in rank is the placer. An instance that can read it again is used
// again.
func TestPlacerWithoutPlatformIsSkipped(t *testing.T) {
	cores := newFleet(8, 1)
	var asker *Core
	for _, c := range cores {
		if !c.NeedsUpstreams(at(0)) {
			asker = c
		}
	}
	first := asker.Placer()
	asker.Receive(at(0), first, &Message{PlatformLost: true})
	second := asker.Placer()
	if second == first || second == "" {
		t.Fatalf("%q is the placer after %q lost the platform", second, first)
	}
	asker.Receive(at(0), second, &Message{PlatformLost: true})
	third := asker.Placer()
	asker.Receive(at(0), third, &Message{PlatformLost: true})
	substitute := asker.Placer()
	if slices.ContainsFunc(asker.candidates(), func(m *member) bool { return m.Address == substitute }) || substitute == "" {
		t.Errorf("%q is the placer, want an instance that doesn't follow the platform yet", substitute)
	}
	for range 10 {
		if to := asker.Placer(); to != first {
			asker.Receive(at(0), to, &Message{Unready: true}) // not ready, as long as it can't read the platform
		}
	}
	if got := asker.Placer(); got != first || third == first || third == second {
		t.Errorf("no instance can read the platform: %q is the placer, want the first in rank, %q", got, first)
	}
	asker.Receive(at(0), substitute, &Message{})
	if got := asker.Placer(); got != substitute {
		t.Errorf("%q is the placer, want %q, which follows the platform now", got, substitute)
	}
	asker.Receive(at(0), third, &Message{})
	if got := asker.Placer(); got != third {
		t.Errorf("%q is the placer, want %q, which can read the platform again", got, third)
	}
}

// TestPlacerWithoutPlatformStepsDown checks that a placer that can't read the platform stops being a
// placer until it can read it again. It still needs the upstreams, because it may be the only
// instance left to place requests.
func TestPlacerWithoutPlatformStepsDown(t *testing.T) {
	for _, c := range newFleet(5, 1) {
		if !c.IsPlacer() {
			continue
		}
		if c.SetPlatformLost(true); c.IsPlacer() || !c.NeedsUpstreams(at(0)) {
			t.Errorf("without the platform: IsPlacer %v, NeedsUpstreams %v", c.IsPlacer(), c.NeedsUpstreams(at(0)))
		}
		if c.SetPlatformLost(false); !c.IsPlacer() {
			t.Error("not a placer again")
		}
	}
}

// TestNextInRankNeedsUpstreams checks that as soon as an instance of the first group is unavailable,
// the first instance in rank after the group starts to follow the upstreams. It then knows them in
// case the whole group becomes unavailable.
func TestNextInRankNeedsUpstreams(t *testing.T) {
	for _, c := range newFleet(8, 1) {
		if c.NeedsUpstreams(at(0)) {
			continue
		}
		next := c.ranking[c.self.Zone][c.groupSize(c.ranking[c.self.Zone])]
		c.AnswerTimedOut(c.candidates()[1].Address)
		if c.NeedsUpstreams(at(0)) != (next == c.selfMember) {
			t.Errorf("%s: NeedsUpstreams %v; the next in rank is %s", c.self.Name, c.NeedsUpstreams(at(0)), next.Name)
		}
	}
}

// TestIsolatedInstanceNeedsUpstreams checks that an instance follows the upstreams itself if all
// of its possible placers are unavailable and no other instance answers its probes, at once after the
// time for that. It doesn't if another instance answers.
func TestIsolatedInstanceNeedsUpstreams(t *testing.T) {
	for _, answered := range []bool{false, true} {
		for _, c := range newFleet(20, 1) {
			if c.NeedsUpstreams(at(0)) {
				continue
			}
			next := slices.Index(c.rankedZone(), c.selfMember) < 2*c.groupSize(c.rankedZone()) // it replaces a candidate in any case
			for c.Placer() != "" {
				c.AnswerTimedOut(c.Placer())
			}
			probed := c.ProbeSuccessors(at(startGrace))
			if len(probed) == 0 {
				t.Fatal("no other instance is probed")
			}
			if answered {
				c.Receive(at(startGrace+IsolationTimeout-1), probed[len(probed)-1], &Message{})
			}
			if got := c.NeedsUpstreams(at(startGrace + IsolationTimeout)); got != (!answered || next) {
				t.Errorf("another instance answered: %t, next in rank: %t; the instance follows the upstreams: %t", answered, next, got)
			}
			if answered && c.Placer() != probed[len(probed)-1] {
				t.Errorf("%q is asked, want the instance that answered", c.Placer())
			}
		}
	}
}

// TestReportedInstanceCountSetsShare checks that an instance computes its share of rate limits from
// the number of instances that a candidate reports if that is greater than its own. An instance that
// started first may know only a few others, while all introduce themselves to the candidates.
func TestReportedInstanceCountSetsShare(t *testing.T) {
	c := New(peer(0, "z"), 1)
	c.SetListed(at(0), []Peer{peer(0, "z"), peer(1, "z"), peer(2, "z")})
	c.InstanceListRead(bootAt(0))
	if got := c.RateShare(bootAt(settleTime)); got != 1.0/3 {
		t.Errorf("share %v, want 1/3", got)
	}
	c.Receive(at(0), peer(1, "z").Address, &Message{Instances: 984})
	if got := c.RateShare(bootAt(settleTime)); got != 1.0/984 {
		t.Errorf("share %v, want 1/984", got)
	}
	if got := c.AssumedInstances(); got != 984 {
		t.Errorf("%d assumed instances, want 984", got)
	}
}

// TestSmallZoneKeepsPlacerWithoutPlatform guards against replacing a placer that can't read the
// platform in a zone where all instances follow the upstreams. The instance that replaced it knew
// nothing of the requests in flight, so requests were refused until the placer could read the
// platform again.
func TestSmallZoneKeepsPlacerWithoutPlatform(t *testing.T) {
	cores := newFleet(3, 1)
	first := slices.IndexFunc(cores, (*Core).IsPlacer)
	cores[first].SetPlatformLost(true)
	followers := 0
	for i, c := range cores {
		if !c.NeedsUpstreams(at(0)) {
			t.Fatalf("%s doesn't follow the upstreams", c.self.Name)
		}
		if i != first {
			c.Receive(at(0), cores[first].self.Address, &Message{PlatformLost: true})
			if got := c.Placer(); got != cores[first].self.Address {
				t.Errorf("%s asks %q, want the placer that knows the requests in flight", c.self.Name, got)
			}
		}
		if c.MustFollowPlatform(at(0)) {
			followers++
		}
	}
	if followers != 1 || cores[first].MustFollowPlatform(at(0)) || !cores[first].IsPlacer() {
		t.Errorf("%d instances follow the platform, want 1; the one without it: FollowsPlatform %t, IsPlacer %t",
			followers, cores[first].MustFollowPlatform(at(0)), cores[first].IsPlacer())
	}
	if _, ok := cores[first].Rank(at(0)); ok {
		t.Error("an instance that can't read the platform has a rank")
	}
}

// TestRankExcludesInstancesWithoutPlatform guards against counting instances that can't read the
// platform in Rank because they still report their load. They could come before all instances that
// can read it, so that none of these had rank 0 and the work of rank 0 at the platform was not done.
func TestRankExcludesInstancesWithoutPlatform(t *testing.T) {
	cores, now := newFleet(4, 4), at(5*time.Second) // one in each zone
	reports := make(map[*Core]*Message)
	for i, c := range cores {
		reports[c] = nextMessage(c, now, nil, nil)
		reports[c].PlatformLost = i < 3
		c.SetPlatformLost(i < 3)
	}
	for _, c := range cores {
		for other, m := range reports {
			if other != c {
				c.Receive(now, other.self.Address, m)
			}
		}
	}
	if rank, ok := cores[3].Rank(now); !ok || rank != 0 {
		t.Errorf("the only instance that can read the platform has rank %d, %t", rank, ok)
	}
}
