package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
)

// TestSurgeStartsFirstAttemptsBeforeLateRetries guards against giving places to retries of refused
// requests that are late by then, while first attempts wait. In a surge of twice the capacity of an
// upstream, half of the places went to such retries, and as many first attempts became late.
func TestSurgeStartsFirstAttemptsBeforeLateRetries(t *testing.T) {
	tr := newTestTracker(up("a", "z1", 1))
	r := NewQueue(tr)
	late, inTime := 0, 0
	countStart := func(d Decision) {
		if d.Refused != "" {
			return
		}
		if d.ID[0] == 'l' {
			late++
		} else {
			inTime++
		}
	}
	for i := range 300 { // one start and two arrivals every 10 ms
		now := at(time.Duration(i) * 10 * time.Millisecond)
		for _, kind := range []string{"late", "new"} {
			q := query(fmt.Sprint(kind, i))
			q.Arrived, q.StartBy, q.Late = now, now.Add(70*time.Millisecond), kind == "late"
			if d, decided := r.Arrive(now, q); decided {
				countStart(d)
			}
		}
		tr.Responded(now, "a", true)
		tr.Ended("a", Serve)
		for _, d := range r.Tick(now) {
			countStart(d)
		}
	}
	if inTime < 270 || late > 30 {
		t.Errorf("started %d first attempts and %d late retries, with capacity for 300", inTime, late)
	}
}

// TestLateRetriesUseSpareCapacity checks that a late retry starts at once at an idle upstream.
func TestLateRetriesUseSpareCapacity(t *testing.T) {
	r := NewQueue(newTestTracker(up("a", "z1", 8)))
	q := query("late")
	q.Late = true
	if d, decided := r.Arrive(at(0), q); !decided || d.Refused != "" {
		t.Errorf("a late retry isn't started at an idle upstream: %+v", d)
	}
}

// TestUrgentLateRetriesPrecedeLessUrgentFirstAttempts checks that urgency takes precedence
// over lateness.
func TestUrgentLateRetriesPrecedeLessUrgentFirstAttempts(t *testing.T) {
	urgent, other := query("urgent"), query("other")
	urgent.Late, other.Urgency = true, 1
	if urgent.compare(&other) >= 0 || other.compare(&urgent) <= 0 {
		t.Error("a less urgent request goes before an urgent one")
	}
}

// engines returns the incarnations of two prefill engines with 4 slots each and of two decode engines
// with 16 slots each, and a tracker of them.
func engines() (prefill, decode []fleet.Incarnation, tr *Tracker) {
	p, q := up("p1", "z1", 4), up("p2", "z1", 4)
	d, e := up("d1", "z1", 16), up("d2", "z1", 16)
	p.Role, q.Role, d.Role, e.Role = upstream.RolePrefill, upstream.RolePrefill, upstream.RoleDecode, upstream.RoleDecode
	return []fleet.Incarnation{"p1", "p2"}, []fleet.Incarnation{"d1", "d2"}, newTestTracker(p, q, d, e)
}

// TestWaitingPromptUsesFirstFreeEngineOfEitherRole guards against a prompt that waits for engines of
// only one role. All prefill and decode engines are full, and then one engine, of either role, becomes
// free.
func TestWaitingPromptUsesFirstFreeEngineOfEitherRole(t *testing.T) {
	for _, freed := range []Work{Prefill, LocalPrefill} {
		prefill, decode, tr := engines()
		for _, id := range prefill {
			for range 8 {
				tr.Sent(at(0), id, Prefill)
			}
		}
		for _, id := range decode {
			for range 16 {
				tr.Sent(at(0), id, Decode)
			}
		}
		r := NewQueue(tr)
		q := query("waits")
		q.Work, q.AllowLocalPrefill, q.Prompt = Prefill, true, Prompt{UnsharedTokens: 2000}
		if _, decided := r.Arrive(at(0), q); decided {
			t.Fatal("placed although all are full")
		}
		list, work := prefill, Prefill
		if freed == LocalPrefill {
			list, work = decode, Decode
		}
		for range 16 {
			tr.Ended(list[0], work)
		}
		out := r.Tick(at(10 * time.Millisecond))
		if len(out) != 1 || out[0].Choice.Work != freed || out[0].Choice.Upstream.Incarnation() != list[0] {
			t.Errorf("freed for %s: %+v", freed, out)
		}
	}
}

// TestSharedPartsAreCopiedFromEngineThatHasThem guards against prefilling shared parts more than
// once. If a prompt is placed at an engine without these parts, the choice must name an engine to copy
// them from, which prefilled or fetched them before for this process or for a peer.
func TestSharedPartsAreCopiedFromEngineThatHasThem(t *testing.T) {
	_, _, tr := engines()
	tr.SetPeersReporting(true)
	for id, u := range tr.byIncarnation {
		u.up.Address = string(id) + ":1"
	}
	q := query("r")
	q.KVCapacity, q.Prompt = 100_000, Prompt{Key: 7, Parts: []Part{{KeyOfPart("p"), 3000}}, UnsharedTokens: 1000}
	q.Work = Prefill
	if first, _ := tr.Pick(at(0), &q); first.CopyFrom.Address != "" || first.Tokens != 4000 {
		t.Errorf("the first prompt with the parts: %+v, want all of it prefilled", first)
	}
	tr.PeerCacheUpdated(at(0), CacheUpdate{Upstream: KeyOf("d2"), Written: 4000, Parts: q.Prompt.partKeys()})
	choice, _ := tr.Pick(at(0), &q)
	if choice.CopyFrom.Address != "d2:1" || choice.Tokens >= 4000 {
		t.Errorf("%+v, want the shared part copied from the engine that fetched it for a peer", choice)
	}
	tr.Prefilled(at(time.Second), &choice, &q.Prompt, 10*time.Millisecond, 0)
	if again, _ := tr.Pick(at(time.Second), &q); again.Upstream.ID != choice.Upstream.ID || again.CopyFrom.Address != "" || again.Tokens != 1000 {
		t.Errorf("%+v, want the prompt prefilled where the shared part is, without a copy", again)
	}
	q.Work = Decode
	if c, _ := tr.Pick(at(time.Second), &q); c.CopyFrom.Address != "" {
		t.Errorf("a decode copies from %q; it fetches the whole prompt", c.CopyFrom.Address)
	}
}

// TestPartsExpireOnceCacheMemoryIsRewritten guards against assuming that an engine still has a part
// in its cache after so many other tokens were written there that it must have evicted the part.
func TestPartsExpireOnceCacheMemoryIsRewritten(t *testing.T) {
	tr := newTestTracker(up("a", "z1", 4))
	part := KeyOfPart("p")
	tr.PeerCacheUpdated(at(0), CacheUpdate{Upstream: KeyOf("a"), Written: 4000, Parts: []PartKey{part}})
	for range 6 {
		tr.PeerCacheUpdated(at(0), CacheUpdate{Upstream: KeyOf("a"), Written: 10_000})
	}
	cache := &tr.byIncarnation["a"].cache
	if !cache.has(at(time.Minute), part, 100_000) {
		t.Error("the part isn't assumed to be cached although the cache had room for all tokens")
	}
	if cache.has(at(0), part, 80_000) {
		t.Error("the part is assumed to be cached after 60,000 of 80,000 tokens were written")
	}
}

// TestNoCopyFromUnavailableEngine guards against a prefill that waits for a copy of shared parts from
// an engine that is down, although another engine has them, too.
func TestNoCopyFromUnavailableEngine(t *testing.T) {
	_, _, tr := engines()
	tr.SetPeersReporting(true)
	for id, u := range tr.byIncarnation {
		u.up.Address = string(id) + ":1"
	}
	q := query("r")
	q.Work, q.Prompt = Prefill, Prompt{Key: 7, Parts: []Part{{KeyOfPart("p"), 3000}}, UnsharedTokens: 1000}
	for i, id := range []fleet.Incarnation{"d1", "d2"} {
		tr.PeerCacheUpdated(at(time.Duration(i)), CacheUpdate{Upstream: KeyOf(id), Written: 4000, Parts: q.Prompt.partKeys()})
	}
	first, _ := tr.Pick(at(0), &q)
	if first.CopyFrom.Address == "" {
		t.Fatal("nothing is copied although two engines cache the part")
	}
	tr.Failed(at(0), fleet.Incarnation(first.CopyFrom.Address[:2]), true)
	if second, _ := tr.Pick(at(time.Millisecond), &q); second.CopyFrom.Address == first.CopyFrom.Address || second.CopyFrom.Address == "" {
		t.Errorf("copied from %q after it failed", second.CopyFrom.Address)
	}
}

// TestEngineNearEventGapLimitGetsNoPrefill guards against prefills that slow down long answers at the
// same engine so much that these exceed their time limits. More than half of the longest answers were
// cut off that way. Each of two decode engines has a long answer; at one of them the event gap is close
// to the answer's limit.
func TestEngineNearEventGapLimitGetsNoPrefill(t *testing.T) {
	_, _, tr := engines()
	for id, gap := range map[fleet.Incarnation]time.Duration{"d1": 60 * time.Millisecond, "d2": 20 * time.Millisecond} {
		tr.LongStreamStarted(id, 70*time.Millisecond)
		for range 20 {
			tr.GapObserved(at(0), id, gap)
		}
	}
	q := query("r")
	q.Work, q.Prompt = LocalPrefill, Prompt{UnsharedTokens: 2000}
	for range 4 {
		c, ok := tr.Pick(at(time.Millisecond), &q)
		if !ok || c.Upstream.ID != "d2" {
			t.Fatalf("picked %q (%v), want only d2", c.Upstream.ID, ok)
		}
		tr.Sent(at(time.Millisecond), "d2", LocalPrefill)
		tr.PrefillStarted("d2", c.Tokens)
	}
	tr.LongStreamEnded("d1", 70*time.Millisecond)
	if c, ok := tr.Pick(at(time.Millisecond), &q); !ok || c.Upstream.ID != "d1" {
		t.Errorf("picked %q (%v) after the long answer has ended", c.Upstream.ID, ok)
	}
}

// TestReservedPlacesCountPartially guards against counting a reserved request, whose prompt is still
// being prefilled elsewhere, like a running one. An engine with 16 slots must take more than 16 reserved
// requests, as each will use its slot only part of the time, but not any number of them.
func TestReservedPlacesCountPartially(t *testing.T) {
	d := up("d1", "z1", 16)
	d.Role = upstream.RoleDecode
	tr := newTestTracker(d)
	r := NewQueue(tr)
	placed := 0
	for i := range 200 {
		q := query(fmt.Sprint("r", i))
		q.Work, q.StartBy = Reserve, at(time.Millisecond)
		if d, decided := r.Arrive(at(0), q); decided && d.Refused == "" && d.Choice.Work == Reserve {
			placed++
		}
	}
	if placed < 40 || placed > 60 {
		t.Errorf("%d reserved; 16 slots at a weight of %v", placed, ReservedShare)
	}
	for range placed {
		tr.Ended("d1", Reserve)
	}
	if got := tr.byIncarnation["d1"].totalRequests(at(0)); got != 0 {
		t.Errorf("%v requests counted after all have ended", got)
	}
}

// TestLongPromptsAtIdleEngineDontLowerLimit guards against a concurrency limit that falls because the
// prefill time of long prompts is taken for a wait. Short and long prompts are prefilled one by one at
// an idle engine. The long ones take longer than a prompt should wait, but none of them waits, so each
// must find a place. The estimated time per token must stay right.
func TestLongPromptsAtIdleEngineDontLowerLimit(t *testing.T) {
	tr := newTestTracker(prefillEngine("p1", "z1"))
	const perToken = 2 * time.Microsecond
	for i := range 500 {
		tokens := 1000
		if i%5 == 4 {
			tokens = 20_000 // 40 ms
		}
		q := query("r")
		now := at(time.Duration(i) * 100 * time.Millisecond)
		q.Work, q.Objective, q.StartBy, q.Prompt.UnsharedTokens = Prefill, 100*time.Millisecond, now.Add(time.Millisecond), tokens
		c, ok := tr.Pick(now, &q)
		if !ok {
			t.Fatalf("prompt %d finds no place at an idle engine", i)
		}
		tr.Prefilled(now, &c, &q.Prompt, time.Duration(tokens)*perToken, 20*time.Millisecond)
	}
	q := query("r")
	q.Work, q.Prompt.UnsharedTokens = Prefill, 10_000
	if got := tr.PrefillTime(at(0), &q); got < 19*time.Millisecond || got > 21*time.Millisecond {
		t.Errorf("10,000 tokens are estimated to take %v, want 20 ms", got)
	}
}

// TestPeerLoadReportsSpreadSurge guards against instances that crowd the same engines in a surge. Three
// instances send prompts to six engines before any engine has reported its load. Without the load
// reports of peers, each instance takes engines for idle that others use, and picks the same ones.
func TestPeerLoadReportsSpreadSurge(t *testing.T) {
	busiest := func(report bool) int {
		trackers := make([]*Tracker, 3)
		for i := range trackers {
			trackers[i] = newTestTracker(prefillEngine("a", "z1"), prefillEngine("b", "z1"), prefillEngine("c", "z1"), prefillEngine("d", "z1"), prefillEngine("e", "z1"), prefillEngine("f", "z1"))
			prefillAlone(trackers[i], "a", 10*time.Microsecond)
		}
		sent := map[string]int{}
		for i := range 24 {
			tr := trackers[i%3]
			q := query(fmt.Sprint("r", i))
			q.Work, q.Prompt.UnsharedTokens, q.Arrived = Prefill, 3000, at(0)
			c, ok := tr.Pick(at(0), &q)
			if !ok {
				continue
			}
			tr.Sent(at(0), c.Upstream.Incarnation(), Prefill)
			tr.PrefillStarted(c.Upstream.Incarnation(), c.Tokens)
			sent[c.Upstream.ID]++
			for j := range trackers {
				if report && j != i%3 {
					trackers[j].SetPeerLoad(at(0), fmt.Sprint("peer", i%3), tr.OwnLoad())
				}
			}
		}
		most := 0
		for _, n := range sent {
			most = max(most, n)
		}
		return most
	}
	if alone, reporting := busiest(false), busiest(true); reporting != 4 || alone <= reporting {
		t.Errorf("the busiest of six engines got %d of 24 prompts, and %d without peer load; want 4, and more than that", reporting, alone)
	}
}

// TestPeerLoadIsReplacedAndExpires guards against load that is counted twice or forever. A newer report
// must replace the earlier one of the same peer, and the report of a peer that stops reporting must
// expire. A change of the list of upstreams must not change what is counted.
func TestPeerLoadIsReplacedAndExpires(t *testing.T) {
	tr := newTestTracker(prefillEngine("a", "z1"))
	tr.SetPeerLoad(at(0), "peer", map[UpstreamKey]InFlight{KeyOf("a"): {Requests: 5, Tokens: 9000}})
	tr.SetPeerLoad(at(0), "peer", map[UpstreamKey]InFlight{KeyOf("a"): {Requests: 2, Tokens: 3000}})
	if u := tr.byIncarnation["a"]; u.totalRequests(at(0)) != 2 || u.backlogTokens() != 3000 {
		t.Errorf("%v requests and %d tokens, want those of the newer report", u.totalRequests(at(0)), u.backlogTokens())
	}
	tr.SetUpstreams(map[string][]fleet.Upstream{"s": {prefillEngine("a", "z1"), prefillEngine("b", "z1")}})
	if u := tr.byIncarnation["a"]; u.backlogTokens() != 3000 {
		t.Errorf("%d tokens after a change of the list", u.backlogTokens())
	}
	tr.ForgetStalePeers(at(peerLoadTTL))
	if u := tr.byIncarnation["a"]; u.totalRequests(at(0)) != 0 || u.backlogTokens() != 0 {
		t.Errorf("%v requests and %d tokens of a peer that stopped reporting", u.totalRequests(at(0)), u.backlogTokens())
	}
}

// TestUpstreamReportsCountBesidesPeerLoad checks that the requests of instances that don't report to
// this one are counted by the load reports of upstreams, unless peers are known to report all load.
func TestUpstreamReportsCountBesidesPeerLoad(t *testing.T) {
	tr := newTestTracker(prefillEngine("a", "z1"))
	tr.SetPeerLoad(at(0), "peer", map[UpstreamKey]InFlight{KeyOf("a"): {Requests: 3}})
	tr.LoadReported(at(0), "a", 4, 6, 64)
	if got := tr.byIncarnation["a"].totalRequests(at(0)); got != 10 {
		t.Errorf("%v requests, want the ten reported", got)
	}
	tr.SetPeersReporting(true)
	if got := tr.byIncarnation["a"].totalRequests(at(0)); got != 3 {
		t.Errorf("%v requests, want the three of the peer: the load report is older", got)
	}
}

// TestRefusalDetails checks the details of the refusal of a prefill while the only engine is full.
func TestRefusalDetails(t *testing.T) {
	tr := newTestTracker(prefillEngine("p1", "z1"))
	prefillAlone(tr, "p1", 10*time.Microsecond)
	r := NewQueue(tr)
	var last Decision
	for i := range 20 {
		q := query(fmt.Sprint("r", i))
		q.Work, q.Objective, q.Prompt.UnsharedTokens, q.StartBy = Prefill, 100*time.Millisecond, 3000, at(40*time.Millisecond)
		if d, decided := r.Arrive(at(0), q); decided {
			last = d
		}
	}
	for _, d := range r.Tick(at(50 * time.Millisecond)) {
		last = d
	}
	details := last.Details
	if last.Refused != NoPlaceInTime || details.Work != Prefill || details.Eligible != 1 || details.ConcurrencyLimit < minLimit || details.Oldest >= 0 {
		t.Errorf("%+v, want the work, the eligible engines, the limit and no load report", last)
	}
}

// TestNextRequestIsNotRefusedAtLatestStart guards against refusing the only waiting request at its
// latest start although a place is about to come free. Such a request was asked to retry after 0.2 to
// 2 s, with 20 s left until its deadline, while the prompt ahead of it needed only some 10 ms more. If
// other requests wait in the queue, all of them must be refused at their latest start.
func TestNextRequestIsNotRefusedAtLatestStart(t *testing.T) {
	for _, others := range []int{0, 1} {
		tr := newTestTracker(fleet.Upstream{ID: "reader", Zone: "z1", Service: "s", Slots: 8, Role: upstream.RolePrefill})
		tr.SetPeersReporting(true)
		r := NewQueue(tr)
		prompt := func(id string, arrived time.Duration) Query {
			q := query(id)
			q.Work, q.Prompt, q.Arrived = Prefill, Prompt{UnsharedTokens: 20_000}, at(arrived) // 160 ms of prefill
			q.Objective, q.StartBy, q.Deadline = 500*time.Millisecond, at(arrived+225*time.Millisecond), at(arrived+20*time.Second)
			return q
		}
		first, decided := r.Arrive(at(0), prompt("first", 0))
		if !decided || first.Refused != "" {
			t.Fatalf("no place at an idle engine: %+v", first)
		}
		if _, decided := r.Arrive(at(0), prompt("next", 0)); decided {
			t.Fatal("the next request doesn't wait")
		}
		for i := range others {
			if _, decided := r.Arrive(at(0), prompt(fmt.Sprint("other", i), 0)); decided {
				t.Fatal("another request doesn't wait")
			}
		}
		out := r.Tick(at(230 * time.Millisecond)) // the engine takes longer than estimated
		if want := 0; others == 0 && len(out) != want {
			t.Fatalf("the only waiting request was refused: %+v", out)
		}
		if others > 0 {
			if len(out) != 1+others || out[0].Refused != NoPlaceInTime {
				t.Errorf("with others in the queue: %+v", out)
			}
			continue
		}
		g := Grant{Choice: first.Choice, Prompt: Prompt{UnsharedTokens: 20_000}}
		tr.Apply(at(300*time.Millisecond), &g, Event{Kind: Released})
		if out = r.Tick(at(300 * time.Millisecond)); len(out) != 1 || out[0].Refused != "" || out[0].ID != "next" {
			t.Errorf("when the engine became free: %+v", out)
		}
	}
}

// TestRefusedRequestIsNotAheadOfItself guards against a log line of a refusal that counts the refused
// request among those ahead of it. A request that waited alone was logged as the second in its queue.
func TestRefusedRequestIsNotAheadOfItself(t *testing.T) {
	tr := newTestTracker(up("a", "z1", 1))
	tr.LoadReported(at(0), "a", 9, 9, 1)
	r := NewQueue(tr)
	q := query("alone")
	q.Arrived, q.StartBy = at(0), at(100*time.Millisecond)
	if _, decided := r.Arrive(at(0), q); decided {
		t.Fatal("the request doesn't wait")
	}
	out := r.Tick(at(110 * time.Millisecond))
	if len(out) != 1 || out[0].Refused != NoPlaceInTime || out[0].Details.Ahead != 0 {
		t.Errorf("%+v, want a refusal with no request ahead", out)
	}
}

// TestRequestWithExtendedWaitYieldsToTimelyOnes guards against a request that may wait beyond its latest
// start and then delays a request that can still be in time.
func TestRequestWithExtendedWaitYieldsToTimelyOnes(t *testing.T) {
	tr := newTestTracker(fleet.Upstream{ID: "reader", Zone: "z1", Service: "s", Slots: 8, Role: upstream.RolePrefill})
	tr.SetPeersReporting(true)
	r := NewQueue(tr)
	prompt := func(id string, arrived time.Duration) Query {
		q := query(id)
		q.Work, q.Prompt, q.Arrived = Prefill, Prompt{UnsharedTokens: 20_000}, at(arrived)
		q.Objective, q.StartBy, q.Deadline = 500*time.Millisecond, at(arrived+225*time.Millisecond), at(arrived+20*time.Second)
		return q
	}
	first, _ := r.Arrive(at(0), prompt("first", 0))
	r.Arrive(at(0), prompt("late", 0))
	if out := r.Tick(at(230 * time.Millisecond)); len(out) != 0 {
		t.Fatalf("the late request doesn't keep waiting: %+v", out)
	}
	if _, decided := r.Arrive(at(240*time.Millisecond), prompt("in time", 240*time.Millisecond)); decided {
		t.Fatal("the new request doesn't wait")
	}
	g := Grant{Choice: first.Choice, Prompt: Prompt{UnsharedTokens: 20_000}}
	tr.Apply(at(300*time.Millisecond), &g, Event{Kind: Released})
	if out := r.Tick(at(300 * time.Millisecond)); len(out) != 1 || out[0].ID != "in time" {
		t.Errorf("%+v, want the request that can be in time", out)
	}
}
