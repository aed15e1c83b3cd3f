package peers

import (
	"slices"
	"testing"
	"time"
)

// askerOf returns an instance of a zone of 20 that is neither a candidate nor next in rank, and the address of a placer.
func askerOf(t *testing.T) (asker *Core, placer string) {
	t.Helper()
	for _, c := range newFleet(20, 1) {
		if rank := slices.Index(c.rankedZone(), c.selfMember); rank >= maxGroups*c.groupSize(c.rankedZone()) {
			return c, c.Placer()
		}
	}
	t.Fatal("no instance of that rank")
	return nil, ""
}

// setCandidates has an instance receive a message of each candidate.
func setCandidates(c *Core, now time.Time, m *Message) {
	for _, candidate := range slices.Clone(c.candidates()) {
		c.Receive(now, candidate.Address, m)
	}
}

// TestNobodyIsAskedWhileCandidatesStart checks that an instance whose candidates are all starting asks nobody else for
// places and doesn't follow the platform. An instance that is asked begins to follow it.
func TestNobodyIsAskedWhileCandidatesStart(t *testing.T) {
	c, _ := askerOf(t)
	setCandidates(c, at(time.Minute), &Message{Unready: true, Starting: true})
	if to := c.Placer(); to != "" {
		t.Errorf("%q is asked while the candidates start", to)
	}
	if why := c.WhyUpstreams(at(time.Minute)); why != NotNeeded {
		t.Errorf("the instance follows the upstreams while the candidates start: %s", why)
	}
	first := c.candidates()[0].Address
	c.Receive(at(time.Minute), first, &Message{})
	if to := c.Placer(); to != first {
		t.Errorf("%q is asked, want the candidate that is ready now, %q", to, first)
	}
}

// TestStartingCandidateThatCannotReadThePlatformIsReplaced checks that another instance is asked if the candidates aren't
// ready and don't say that they are starting, as those do that the platform doesn't answer.
func TestStartingCandidateThatCannotReadThePlatformIsReplaced(t *testing.T) {
	c, _ := askerOf(t)
	setCandidates(c, at(0), &Message{Unready: true, Starting: true})
	setCandidates(c, at(time.Second), &Message{Unready: true})
	to := c.Placer()
	if to == "" || slices.ContainsFunc(c.candidates(), func(m *member) bool { return m.Address == to }) {
		t.Errorf("%q is asked, want an instance that replaces the candidates", to)
	}
}

// TestStartingCandidateThatFallsSilentIsReplaced checks that candidates that leave probes unanswered for activeWindow
// don't count as starting any more, and that those next in rank are probed and asked then.
func TestStartingCandidateThatFallsSilentIsReplaced(t *testing.T) {
	c, _ := askerOf(t)
	setCandidates(c, at(0), &Message{Unready: true, Starting: true})
	c.ProbeTargets(at(activeWindow - 1))
	if to := c.ProbeSuccessors(at(activeWindow - 1)); len(to) > 0 || c.Placer() != "" {
		t.Errorf("%v are probed and %q is asked before activeWindow has passed", to, c.Placer())
	}
	c.ProbeTargets(at(activeWindow))
	probed := c.ProbeSuccessors(at(activeWindow))
	if len(probed) == 0 {
		t.Fatal("those next in rank aren't probed")
	}
	c.Receive(at(activeWindow), probed[0], &Message{})
	if to := c.Placer(); to != probed[0] {
		t.Errorf("%q is asked, want %q, which answered", to, probed[0])
	}
}

// TestOldDirectoryLeadsToTheList checks that an instance that knows the zone by a directory alone reads the list of
// instances at once if nobody in the directory answers, and doesn't follow the platform before that.
func TestOldDirectoryLeadsToTheList(t *testing.T) {
	cores := newFleet(20, 1)
	var directory Directory
	for _, c := range cores {
		if d, ok := c.OwnDirectory(at(0)); ok {
			directory = d
		}
	}
	if directory.Size != len(cores) {
		t.Fatalf("the directory is %+v, want one of %d instances", directory, len(cores))
	}
	c := New(Peer{Name: "newcomer", Zone: directory.Zone, Address: "10.9.9.9:7", Cores: -1}, 1) // last in rank
	if !c.SetDirectories(at(0), []Directory{directory}) || c.NeedsList(at(0)) {
		t.Fatal("an instance with the directory of its zone needs the list at once")
	}
	for c.Placer() != "" {
		c.AnswerTimedOut(c.Placer())
	}
	c.ProbeSuccessors(at(startGrace))
	isolated := at(startGrace + IsolationTimeout)
	if !c.NeedsList(isolated) {
		t.Error("nobody in the directory answers, and the instance doesn't read the list")
	}
	if why := c.WhyUpstreams(isolated); why != NotNeeded {
		t.Errorf("the instance follows the upstreams before it has read the list: %s", why)
	}
}

// TestDirectoryNamesTheSamePlacers checks that an instance that knows a zone by its directory asks the same placer as one
// that knows all instances, and counts as many instances.
func TestDirectoryNamesTheSamePlacers(t *testing.T) {
	for _, n := range []int{20, 197, 394} {
		var all []Peer
		for _, c := range newFleet(n, 1) {
			all = append(all, c.self)
		}
		whole := make(map[string]*Core)
		var directory Directory
		for _, p := range all {
			c := New(p, 1)
			c.SetListed(at(0), all)
			whole[p.Name] = c
			if d, ok := c.OwnDirectory(at(0)); ok {
				directory = d
			}
		}
		for _, p := range all {
			c := New(p, 1)
			c.SetDirectories(at(0), []Directory{directory})
			if got, want := c.Placer(), whole[p.Name].Placer(); got != want {
				t.Fatalf("%d instances: %s asks %q by the directory, want %q", n, p.Name, got, want)
			}
			if got := c.Instances(); got != n {
				t.Fatalf("%d instances: %s knows of %d by the directory", n, p.Name, got)
			}
		}
	}
}

// TestInstanceWhoseSuccessorsFallSilentFollowsPlatform checks that an instance follows the platform itself if the only
// successor that answered its probes leaves its next request unanswered.
func TestInstanceWhoseSuccessorsFallSilentFollowsPlatform(t *testing.T) {
	c, _ := askerOf(t)
	for c.Placer() != "" {
		c.AnswerTimedOut(c.Placer())
	}
	probed := c.ProbeSuccessors(at(startGrace))
	c.Receive(at(startGrace), probed[0], &Message{})
	isolated := at(startGrace + IsolationTimeout)
	if c.NeedsUpstreams(isolated) {
		t.Error("the instance follows the upstreams although a successor answered")
	}
	c.AnswerTimedOut(probed[0])
	if !c.NeedsUpstreams(isolated) {
		t.Error("nobody answers any more, and the instance doesn't follow the upstreams")
	}
}

// TestInstanceThatKnowsUpstreamsIsAskedIfCandidatesCannotStart checks that an instance next in rank that knows upstreams
// but can't read the platform is asked if no candidate knows any: in a zone that is cut off from the platform, candidates
// that were restarted can't read it.
func TestInstanceThatKnowsUpstreamsIsAskedIfCandidatesCannotStart(t *testing.T) {
	c, _ := askerOf(t)
	successors := slices.Clone(c.successors())
	for _, starting := range []bool{false, true} {
		setCandidates(c, at(0), &Message{Unready: true, Starting: starting})
		for _, m := range successors[1:] {
			c.Receive(at(0), m.Address, &Message{Unready: true})
		}
		c.Receive(at(0), successors[0].Address, &Message{PlatformLost: true})
		if to := c.Placer(); to != successors[0].Address {
			t.Errorf("candidates are starting: %t; %q is asked, want the instance that knows upstreams, %q", starting, to, successors[0].Address)
		}
	}
}
