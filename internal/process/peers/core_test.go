package peers

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/roles"
	"github.com/ragworttrestle/ragworttrestle/internal/request/place"
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func peer(i int, zone string) Peer {
	return Peer{Name: fmt.Sprintf("i%02d", i), Zone: zone, Address: fmt.Sprintf("10.0.0.%d:7", i)}
}

func work(n int) map[place.UpstreamKey]place.InFlight {
	return map[place.UpstreamKey]place.InFlight{1: {Requests: n}}
}

// TestASmallFleetTellsAllAndALargeOneItsZoneMost: in a large fleet each instance tells some
// of its availability zone of each change, and the others less often.
func TestASmallFleetTellsAllAndALargeOneItsZoneMost(t *testing.T) {
	fleet := func(n int) (near, far map[string][]string) {
		near, far = map[string][]string{}, map[string][]string{}
		var all []Peer
		for i := range n {
			all = append(all, peer(i, fmt.Sprint("z", i%3)))
		}
		for i := range n {
			c := New(all[i], 1)
			c.Listed(at(0), all)
			toNear, toFar := c.recipients(at(0))
			for _, to := range toNear {
				near[to] = append(near[to], all[i].Zone)
			}
			for _, to := range toFar {
				far[to] = append(far[to], all[i].Zone)
			}
		}
		return near, far
	}
	near, far := fleet(9)
	for to, by := range near {
		if len(by) != 8 || len(far[to]) > 0 {
			t.Errorf("%s of nine is told by %d", to, len(by))
		}
	}
	near, far = fleet(90)
	for i := range 90 {
		p := peer(i, fmt.Sprint("z", i%3))
		by := near[p.Address]
		if len(by) == 0 || len(by) > 29 || len(by)+len(far[p.Address]) != 89 {
			t.Errorf("%s of ninety is told by %d and %d", p.Name, len(by), len(far[p.Address]))
		}
		if slices.ContainsFunc(by, func(zone string) bool { return zone != p.Zone }) {
			t.Errorf("%s of %s is told by %v", p.Name, p.Zone, by)
		}
	}
}

// next gives the one message that a core sends, to all that it knows; nil: none.
func next(c *Core, now time.Time, work map[place.UpstreamKey]place.InFlight, demand map[string]roles.Demand) *Message {
	out := c.Next(now, work, demand)
	if len(out) == 0 {
		return nil
	}
	return &out[0].Message
}

// telling is a core that has somebody to tell.
func telling(self Peer, life uint64) *Core {
	c := New(self, life)
	c.Listed(at(0), []Peer{peer(90, self.Zone)})
	return c
}

func TestMessagesArePacedByChangesAndRecipients(t *testing.T) {
	c := New(peer(0, "z"), 1)
	for i := 1; i <= 8; i++ {
		c.Listed(at(0), []Peer{peer(i, "z")})
	}
	if next(c, at(time.Second), work(1), nil) == nil {
		t.Fatal("the first change isn't told")
	}
	if next(c, at(time.Second+30*time.Millisecond), work(2), nil) != nil {
		t.Error("told again within 40 ms by one of nine")
	}
	if m := next(c, at(time.Second+40*time.Millisecond), work(2), nil); m == nil || m.Rows[0].Requests != 2 || m.Sender != nil {
		t.Errorf("%+v, want the change alone", m)
	}
	if next(c, at(time.Second+500*time.Millisecond), work(2), nil) != nil {
		t.Error("told again although nothing changed")
	}
	if m := next(c, at(2100*time.Millisecond), work(2), nil); m == nil || m.Sender == nil {
		t.Errorf("%+v, want word of the sender after a second", m)
	}
}

// TestReadsAreTakenOnceThoughMessagesAreLostTwiceOrLate plays every loss of one message
// of a series, and each message twice and late.
func TestReadsAreTakenOnceThoughMessagesAreLostTwiceOrLate(t *testing.T) {
	for lost := -1; lost < 6; lost++ {
		from, to := telling(peer(1, "z"), 100), New(peer(2, "z"), 1)
		to.Listed(at(0), []Peer{peer(1, "z")})
		var got []int
		var before *Message
		for i := range 8 {
			now := at(time.Duration(i) * time.Second)
			if i < 6 {
				from.Note([]place.PartsRead{{Upstream: 1, Written: i}})
			}
			m := next(from, now, work(i), nil)
			if i != lost {
				for _, r := range take(t, to, now, m) {
					got = append(got, r.Written)
				}
				if reads := take(t, to, now, m); len(reads) > 0 {
					t.Errorf("message %d was taken twice", i)
				}
			}
			if before != nil {
				if news, _ := to.Heard(now, peer(1, "z").Address, before); news {
					t.Errorf("message %d was taken after a newer one", i-1)
				}
			}
			before = m
		}
		if want := []int{0, 1, 2, 3, 4, 5}; !slices.Equal(got, want) {
			t.Errorf("with message %d lost: %v, want %v", lost, got, want)
		}
	}
}

func take(t *testing.T, c *Core, now time.Time, m *Message) []Read {
	data, err := Encode(*m)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	_, reads := c.Heard(now, peer(1, "z").Address, &decoded)
	return reads
}

// TestARestartedInstanceIsHeardAgain: its numbers begin beyond those of the life before.
func TestARestartedInstanceIsHeardAgain(t *testing.T) {
	to := New(peer(2, "z"), 1)
	for life := range uint64(2) {
		from := telling(peer(1, "z"), 1_000*(life+1))
		from.Note([]place.PartsRead{{Upstream: 1, Written: 7}})
		if reads := take(t, to, at(0), next(from, at(0), work(1), nil)); len(reads) != 1 {
			t.Errorf("life %d: %d reads taken", life, len(reads))
		}
	}
}

func TestUnknownSendersArePassedOverUntilTheyIntroduceThemselves(t *testing.T) {
	c, p := New(peer(0, "z"), 1), peer(1, "z")
	if news, _ := c.Heard(at(0), p.Address, &Message{Sequence: 5}); news {
		t.Error("an unknown sender was taken")
	}
	if news, _ := c.Heard(at(0), "10.9.9.9:7", &Message{Sequence: 6, Sender: &p}); news {
		t.Error("a sender was taken that isn't where it says it is")
	}
	if news, _ := c.Heard(at(0), p.Address, &Message{Sequence: 6, Sender: &p}); !news {
		t.Error("a sender that introduces itself was passed over")
	}
}

// TestSilentInstancesDontHideWhatMostTell: in a large fleet, of which one hears its own
// zone, most are silent.
func TestSilentInstancesDontHideWhatMostTell(t *testing.T) {
	c := New(peer(0, "z"), 1)
	if c.MostHeard(at(0)) {
		t.Error("alone, it takes itself to have heard most")
	}
	var all []Peer
	for i := 1; i <= 5; i++ {
		all = append(all, peer(i, "z"))
	}
	c.Listed(at(0), all)
	for hear, want := range []bool{false, false, false, true, true, true} {
		now := at(time.Duration(2*hear+2) * time.Second)
		for i := 1; i <= hear; i++ {
			c.Heard(now, all[i-1].Address, &Message{Sequence: uint64(now.UnixMicro()), Sender: &all[i-1]})
		}
		if got := c.MostHeard(now); got != want {
			t.Errorf("%d of five heard: %v", hear, got)
		}
	}
}

// TestFarInstancesAreToldWhatWasReadButNotWhatIsUnderWay: requests of some ten ms have
// ended before the next message to those far, and would be counted for half a second.
func TestFarInstancesAreToldWhatWasReadButNotWhatIsUnderWay(t *testing.T) {
	c := New(peer(0, "z0"), 1)
	var all []Peer
	for i := 1; i < 40; i++ {
		all = append(all, peer(i, fmt.Sprint("z", i%2)))
	}
	c.Listed(at(0), all)
	c.Note([]place.PartsRead{{Upstream: 1, Written: 7}})
	out := c.Next(at(time.Second), work(3), nil)
	if len(out) != 2 {
		t.Fatalf("%d messages, want one to those near and one to those far", len(out))
	}
	near, far := out[0].Message, out[1].Message
	if !near.Near || len(near.Rows) != 1 || far.Near || len(far.Rows) > 0 || len(far.Reads) != 1 {
		t.Errorf("near %+v, far %+v", near, far)
	}
	receiver := New(all[0], 1)
	receiver.Heard(at(time.Second), c.self.Address, &far)
	if receiver.MostNear(at(time.Second)) || !receiver.MostHeard(at(time.Second)) {
		t.Error("a far instance counts as one that tells what it has under way")
	}
}

// TestTheFirstInstanceRemovesThoseThatAreGone: each of the others leaves it to it.
func TestTheFirstInstanceRemovesThoseThatAreGone(t *testing.T) {
	for i, want := range map[int]int{0: 1, 1: 0} {
		c := New(peer(i, "z"), 1)
		c.Listed(at(0), []Peer{peer(0, "z"), peer(1, "z"), peer(2, "z")})
		now := at(forgetAfter)
		other := peer(1-i, "z")
		c.Heard(now, other.Address, &Message{Sequence: 1, Sender: &other})
		if got := c.Abandoned(now); len(got) != want {
			t.Errorf("instance %d removes %v", i, got)
		}
	}
}

// TestDemandOfSilentInstancesIsTakenFromTheOthers: of four instances one is not heard.
func TestDemandOfSilentInstancesIsTakenFromTheOthers(t *testing.T) {
	c := New(peer(0, "z"), 1)
	c.Listed(at(0), []Peer{peer(1, "z"), peer(2, "z"), peer(3, "z")})
	now := at(5 * time.Second)
	for i := 1; i <= 2; i++ {
		from := telling(peer(i, "z"), 1)
		c.Heard(now, peer(i, "z").Address, next(from, now, nil, map[string]roles.Demand{"s": {Reading: 2, Holding: float64(i)}}))
	}
	got := c.Demand(now, map[string]roles.Demand{"s": {Reading: 2, Holding: 3}})
	if want := (roles.Demand{Reading: 8, Holding: 8}); got["s"] != want {
		t.Errorf("%+v, want %+v", got["s"], want)
	}
}

// TestTheLargestMessageFitsOneDatagram has more under way and read than one message tells.
func TestTheLargestMessageFitsOneDatagram(t *testing.T) {
	c := telling(Peer{Name: "an-instance-with-a-long-name", Zone: "a-zone-with-a-long-name", Address: "255.255.255.255:65535"}, uint64(time.Now().UnixMicro()))
	big := make(map[place.UpstreamKey]place.InFlight)
	for i := range place.UpstreamKey(200) {
		big[1<<31+i] = place.InFlight{Requests: 300, Reserved: 300, Tokens: 1 << 20}
		c.Note([]place.PartsRead{{Upstream: 1<<31 + i, Written: 1 << 20, Parts: []place.PartKey{1 << 31, 1 << 31, 1 << 31}}})
	}
	asked := make(map[string]roles.Demand)
	for i := range 9 {
		asked[fmt.Sprint("a-service-with-a-name-of-its-own-", i)] = roles.Demand{Reading: 1.5, Fetching: 2.5, Holding: 3.5}
	}
	data, err := Encode(*next(c, at(time.Second), big, asked))
	if err != nil || len(data) > MaxMessageBytes {
		t.Errorf("%d bytes (%v), want at most %d", len(data), err, MaxMessageBytes)
	}
}

func FuzzDecode(f *testing.F) {
	data, _ := Encode(Message{Sequence: 1, Rows: []Row{{Upstream: 1, Requests: 2}}, Reads: []Read{{Upstream: 3, Parts: []uint32{4}}}})
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data)
		if err != nil {
			return
		}
		for _, w := range m.Work() {
			if w.Requests < 0 || w.Reserved < 0 || w.Tokens < 0 {
				t.Errorf("negative work: %+v", w)
			}
		}
	})
}
