package peers

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/roles"
	"github.com/ragworttrestle/ragworttrestle/internal/request/place"
)

// Peer is one instance that shares what it has under way.
type Peer struct {
	Name    string `cbor:"1,keyasint" json:"name"`
	Zone    string `cbor:"2,keyasint" json:"zone"`
	Address string `cbor:"3,keyasint" json:"address"` // host:port, UDP
}

const (
	// mostNear bounds the instances that one tells of each change. A fleet up to this size
	// is near as a whole; in a larger one, near are others of the availability zone.
	mostNear = 16
	// mostFar bounds the instances that are told less often.
	mostFar = 96
	// nearGap and farGap are the least pauses between two messages, for each recipient:
	// some 200 messages a second leave an instance for those near, and 100 for those far.
	nearGap = 5 * time.Millisecond
	farGap  = 10 * time.Millisecond
	// leastGap keeps the changes of one moment in one message.
	leastGap = 10 * time.Millisecond
	// repeatEvery is the pause between messages while nothing changes.
	repeatEvery = 500 * time.Millisecond
	// introduceEvery is how often a message says who its sender is.
	introduceEvery = time.Second
	// fresh is how long an instance counts as heard: longer than the pause between
	// messages to those far.
	fresh = 1500 * time.Millisecond
	// tellTimes is in how many messages a read is told: datagrams are lost now and then.
	tellTimes = 2
	// mostUntold bounds the reads that wait to be told.
	mostUntold = 4 * maxReads
	// forgetAfter is the silence after which an instance is taken to be gone. It is
	// longer than a partition or a restart usually lasts.
	forgetAfter = 30 * time.Second
)

// known is one other instance.
type known struct {
	Peer
	heardAt  time.Time
	sequence uint64
	nextRead uint64 // number of the first read that is news
	demand   []Ask
	near     bool // it tells this one of each change
}

// Core is the state. It is not safe for concurrent use.
type Core struct {
	self     Peer
	known    map[string]*known // by address
	sequence uint64
	nextRead uint64
	near     channel
	far      channel
}

// channel is what was told, and is to be told, to one group of instances. Those far are
// told what was read and what is asked for, but not what is under way: most of it has
// ended before the next message.
type channel struct {
	near         bool
	gap          time.Duration // for each recipient
	sentAt       time.Time
	introducedAt time.Time
	told         map[place.UpstreamKey]place.InFlight // in the last message
	reads        []untold
}

// untold is a read that is still to be told in so many messages.
type untold struct {
	read  Read
	times int
}

// Outgoing is a message with the addresses to send it to.
type Outgoing struct {
	Message Message
	To      []string
}

// New makes a core that knows nobody else. life is greater for each life of the instance.
func New(self Peer, life uint64) *Core {
	return &Core{
		self: self, known: make(map[string]*known), sequence: life, nextRead: life,
		near: channel{near: true, gap: nearGap}, far: channel{gap: farGap},
	}
}

// Listed takes the instances that the platform lists. One that was silent for too long
// stays out of use until it is heard.
func (c *Core) Listed(now time.Time, list []Peer) {
	listed := make(map[string]bool, len(list))
	for _, p := range list {
		listed[p.Address] = true
		c.meet(now, p)
	}
	maps.DeleteFunc(c.known, func(address string, k *known) bool { return k.gone(now) && !listed[address] })
}

// Abandoned gives the names of listed instances that are taken to be gone, if it is this
// one's part to remove them from the list: the first one's in the order of names.
func (c *Core) Abandoned(now time.Time) []string {
	var out []string
	for _, k := range c.known {
		switch {
		case k.gone(now):
			out = append(out, k.Name)
		case k.Name < c.self.Name:
			return nil
		}
	}
	return out
}

func (c *Core) meet(now time.Time, p Peer) {
	if p.Address == c.self.Address || p.Address == "" {
		return
	}
	k, ok := c.known[p.Address]
	if !ok {
		k = &known{heardAt: now}
		c.known[p.Address] = k
	}
	k.Peer = p
}

// gone reports whether the instance was silent for so long that it is taken to be gone.
func (k *known) gone(now time.Time) bool { return now.Sub(k.heardAt) >= forgetAfter }

// Heard takes a message that came from an address. news: it is newer than the ones before
// and from an instance that is known; reads are those that were not told before.
func (c *Core) Heard(now time.Time, from string, m *Message) (news bool, reads []Read) {
	if m.Sender != nil && m.Sender.Address == from {
		c.meet(now, *m.Sender)
	}
	k, ok := c.known[from]
	if !ok || m.Sequence <= k.sequence {
		return false, nil
	}
	k.sequence, k.heardAt, k.near = m.Sequence, now, m.Near
	if m.Sender != nil {
		k.demand = m.Demand
	}
	for i, r := range m.Reads {
		if number := m.FirstRead + uint64(i); number >= k.nextRead {
			reads = append(reads, r)
			k.nextRead = number + 1
		}
	}
	return true, reads
}

// Note takes what was read since the last call.
func (c *Core) Note(reads []place.PartsRead) {
	for i := range reads {
		u := untold{read: readOf(reads[i]), times: tellTimes}
		c.near.reads = append(c.near.reads, u)
		c.far.reads = append(c.far.reads, u)
	}
	c.nextRead += uint64(len(reads))
}

// Next gives the messages to send now.
func (c *Core) Next(now time.Time, work map[place.UpstreamKey]place.InFlight, demand map[string]roles.Demand) []Outgoing {
	near, far := c.recipients(now)
	var out []Outgoing
	for _, group := range []struct {
		ch *channel
		to []string
	}{{&c.near, near}, {&c.far, far}} {
		if len(group.to) == 0 {
			group.ch.reads = nil
			continue
		}
		if m := c.next(now, group.ch, len(group.to), work, demand); m != nil {
			out = append(out, Outgoing{Message: *m, To: group.to})
		}
	}
	return out
}

// next gives the message to one group; nil: none is due.
func (c *Core) next(now time.Time, ch *channel, recipients int, work map[place.UpstreamKey]place.InFlight, demand map[string]roles.Demand) *Message {
	since := now.Sub(ch.sentAt)
	gap := max(leastGap, time.Duration(recipients)*ch.gap)
	if since < gap || (since < repeatEvery && maps.Equal(work, ch.told)) {
		return nil
	}
	ch.sentAt, ch.told = now, work
	c.sequence++
	m := &Message{Sequence: c.sequence, Near: ch.near}
	if ch.near {
		m.Rows = rowsOf(work)
	}
	m.FirstRead, m.Reads = ch.takeReads(c.nextRead)
	if now.Sub(ch.introducedAt) >= introduceEvery {
		ch.introducedAt = now
		m.Sender, m.Demand = &c.self, asksOf(demand)
	}
	return m
}

// takeReads gives the reads of the next message and the number of the first of them;
// end is the number after the newest. Those beyond the bound of a message are left to
// later ones, and the oldest are dropped if there are too many for that.
func (ch *channel) takeReads(end uint64) (first uint64, reads []Read) {
	if over := len(ch.reads) - mostUntold; over > 0 {
		ch.reads = ch.reads[over:]
	}
	first = end - uint64(len(ch.reads))
	for i := range ch.reads[:min(len(ch.reads), maxReads)] {
		reads = append(reads, ch.reads[i].read)
		ch.reads[i].times--
	}
	done := 0
	for done < len(ch.reads) && ch.reads[done].times <= 0 {
		done++
	}
	ch.reads = slices.Clone(ch.reads[done:])
	return first, reads
}

// recipients gives the addresses to tell of each change, and those to tell less often. In
// a large fleet those near are the ones of the own availability zone that follow
// in the order of names.
func (c *Core) recipients(now time.Time) (near, far []string) {
	list := make([]*known, 0, len(c.known))
	for _, k := range c.known {
		if !k.gone(now) {
			list = append(list, k)
		}
	}
	slices.SortFunc(list, func(a, b *known) int {
		return cmp.Or(cmp.Compare(c.away(a), c.away(b)), cmp.Compare(c.turn(a), c.turn(b)), cmp.Compare(a.Name, b.Name))
	})
	small := len(list) <= mostNear
	for _, k := range list {
		switch {
		case len(near) < mostNear && (small || c.away(k) == 0):
			near = append(near, k.Address)
		case len(far) < mostFar:
			far = append(far, k.Address)
		}
	}
	return near, far
}

// away puts the instances of the own availability zone before the others.
func (c *Core) away(k *known) int {
	if k.Zone == c.self.Zone {
		return 0
	}
	return 1
}

// turn puts the instances that follow this one in the order of names before the others,
// so that each tells others and each is told.
func (c *Core) turn(k *known) int {
	if k.Name > c.self.Name {
		return 0
	}
	return 1
}

// Demand adds up what callers ask, from own and from what others tell. Instances that
// are known and not heard are taken to be asked as much as those that are.
func (c *Core) Demand(now time.Time, own map[string]roles.Demand) map[string]roles.Demand {
	out := maps.Clone(own)
	heard, all := 1, 1
	for _, k := range c.known {
		if k.gone(now) {
			continue
		}
		all++
		if now.Sub(k.heardAt) >= fresh {
			continue
		}
		heard++
		for i := range k.demand {
			out[k.demand[i].Service] = out[k.demand[i].Service].Add(k.demand[i].demand())
		}
	}
	for service, d := range out {
		out[service] = d.Scale(float64(all) / float64(heard))
	}
	return out
}

// MostHeard reports whether most of the other instances are heard. One that
// is silent has crashed or is cut off: in both cases it sends little to upstreams
// that this instance reaches.
func (c *Core) MostHeard(now time.Time) bool {
	heard, all := c.count(now)
	return 2*heard > all
}

// MostNear reports whether most of the other instances tell this one of each change.
func (c *Core) MostNear(now time.Time) bool {
	near := 0
	for _, k := range c.known {
		if k.near && now.Sub(k.heardAt) < fresh {
			near++
		}
	}
	_, all := c.count(now)
	return 2*near > all
}

// count gives how many of the other instances are heard, and how many there are.
func (c *Core) count(now time.Time) (heard, all int) {
	for _, k := range c.known {
		if k.gone(now) {
			continue
		}
		all++
		if now.Sub(k.heardAt) < fresh {
			heard++
		}
	}
	return heard, all
}
