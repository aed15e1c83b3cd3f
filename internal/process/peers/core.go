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
	// mostRecipients bounds the instances that one tells. A fleet up to this size shares
	// everything; in a larger one, instances tell others of their availability zone,
	// which mostly use the same upstreams.
	mostRecipients = 16
	// gapEach is the least pause between two messages, for each recipient: at most 200
	// messages a second leave an instance, some 12 KB/s at 60 B each.
	gapEach = 5 * time.Millisecond
	// leastGap keeps the changes of one moment in one message.
	leastGap = 10 * time.Millisecond
	// repeatEvery is the pause between messages while nothing changes.
	repeatEvery = 500 * time.Millisecond
	// introduceEvery is how often a message says who its sender is.
	introduceEvery = time.Second
	// fresh is how long an instance counts as heard.
	fresh = 1200 * time.Millisecond
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
}

// Core is the state. It is not safe for concurrent use.
type Core struct {
	self         Peer
	known        map[string]*known // by address
	sentAt       time.Time
	introducedAt time.Time
	sequence     uint64
	told         map[place.UpstreamKey]place.InFlight // in the last message
	reads        []untold
	nextRead     uint64
}

// untold is a read that is still to be told in so many messages.
type untold struct {
	read  Read
	times int
}

// New makes a core that knows nobody else. life is greater for each life of the instance.
func New(self Peer, life uint64) *Core {
	return &Core{self: self, known: make(map[string]*known), sequence: life, nextRead: life}
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
	k.sequence, k.heardAt = m.Sequence, now
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
	for _, r := range reads {
		c.reads = append(c.reads, untold{read: readOf(r), times: tellTimes})
	}
	c.nextRead += uint64(len(reads))
}

// Next gives the message to send now; nil: none is due.
func (c *Core) Next(now time.Time, work map[place.UpstreamKey]place.InFlight, demand map[string]roles.Demand) *Message {
	since := now.Sub(c.sentAt)
	gap := max(leastGap, time.Duration(min(len(c.known), mostRecipients))*gapEach)
	if since < gap || (since < repeatEvery && maps.Equal(work, c.told)) {
		return nil
	}
	c.sentAt, c.told = now, work
	c.sequence++
	m := &Message{Sequence: c.sequence, Rows: rowsOf(work)}
	m.FirstRead, m.Reads = c.takeReads()
	if now.Sub(c.introducedAt) >= introduceEvery {
		c.introducedAt = now
		m.Sender, m.Demand = &c.self, asksOf(demand)
	}
	return m
}

// takeReads gives the reads of the next message. Those beyond its bound are left to
// later ones, and the oldest are dropped if there are too many for that.
func (c *Core) takeReads() (first uint64, reads []Read) {
	if over := len(c.reads) - mostUntold; over > 0 {
		c.reads = c.reads[over:]
	}
	first = c.nextRead - uint64(len(c.reads))
	for i := range c.reads[:min(len(c.reads), maxReads)] {
		reads = append(reads, c.reads[i].read)
		c.reads[i].times--
	}
	done := 0
	for done < len(c.reads) && c.reads[done].times <= 0 {
		done++
	}
	c.reads = slices.Clone(c.reads[done:])
	return first, reads
}

// Recipients gives the addresses to tell: all others, or in a large fleet those of the
// own availability zone that follow in the order of names.
func (c *Core) Recipients(now time.Time) []string {
	list := make([]*known, 0, len(c.known))
	for _, k := range c.known {
		if !k.gone(now) {
			list = append(list, k)
		}
	}
	if len(list) > mostRecipients {
		list = slices.DeleteFunc(list, func(k *known) bool { return k.Zone != c.self.Zone })
	}
	slices.SortFunc(list, func(a, b *known) int {
		return cmp.Or(cmp.Compare(c.turn(a), c.turn(b)), cmp.Compare(a.Name, b.Name))
	})
	out := make([]string, 0, min(len(list), mostRecipients))
	for _, k := range list[:min(len(list), mostRecipients)] {
		out = append(out, k.Address)
	}
	return out
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

// MostHeard reports whether most of the other instances tell what they do. One that
// is silent has crashed or is cut off: in both cases it sends little to upstreams
// that this instance reaches.
func (c *Core) MostHeard(now time.Time) bool {
	heard, silent := 0, 0
	for _, k := range c.known {
		switch {
		case k.gone(now):
		case now.Sub(k.heardAt) >= fresh:
			silent++
		default:
			heard++
		}
	}
	return heard > silent
}
