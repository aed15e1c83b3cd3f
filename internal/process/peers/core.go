package peers

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragworttrestle/ragworttrestle/internal/process/roles"
	"github.com/ragworttrestle/ragworttrestle/internal/request/place"
)

// Peer describes an instance.
type Peer struct {
	Name    string  `cbor:"1,keyasint" json:"name"`
	Zone    string  `cbor:"2,keyasint" json:"zone"`
	Address string  `cbor:"3,keyasint" json:"address"`                   // host:port, UDP
	Cores   float32 `cbor:"4,keyasint,omitempty" json:"cores,omitempty"` // CPU cores that it may use; 0: unknown
}

const (
	// askersPerPlacer is the number of instances of an availability zone per placer (an instance that
	// chooses upstreams for the requests of others). With a larger number, each placer would know more
	// of all requests in flight, but one instance couldn't process the datagrams.
	askersPerPlacer = 100
	// maxRecipients limits to how many instances a load report is sent. All placers by rank get it (the
	// first instances of each availability zone in the order of ensureRanking), even if there are more
	// than this. Instances that substitute for unavailable placers are added only up to this number.
	maxRecipients = 32
	// gapPerRecipient is the minimum interval between load reports, per recipient. It limits an
	// instance to about 200 messages per second.
	gapPerRecipient = 5 * time.Millisecond
	// minGap is the minimum interval between load reports for any number of recipients, so that
	// changes at about the same time are sent in one message.
	minGap = 10 * time.Millisecond
	// repeatInterval is the interval between load reports while nothing changes, and the minimum
	// interval between probes of an instance.
	repeatInterval = 500 * time.Millisecond
	// introductionInterval is how often a load report includes its sender and the demand.
	introductionInterval = time.Second
	// activeWindow is used for three times. An instance counts as active for this long after it sent a
	// message. It counts as reporting its load for this long after it sent a load report. And it acts
	// as a placer for this long after it was asked for a place. It is longer than repeatInterval.
	activeWindow = 1500 * time.Millisecond
	// readTransmissions is the number of messages in which each read is sent, because datagrams may be
	// lost. A read is the report of one prompt that an upstream prefilled or fetched (type Read).
	readTransmissions = 2
	// maxPendingReads bounds the reads that wait to be sent.
	maxPendingReads = 4 * maxReads
	// deadAfter is the time without a message after which an instance is considered dead. It is
	// longer than a partition or a restart usually lasts.
	deadAfter = 30 * time.Second
	// zoneProbeInterval is how often the first placer of an availability zone probes all inactive
	// instances of the zone.
	zoneProbeInterval = 5 * time.Second
	// maxPlacerSilence is how long an instance goes without a message from its placer before it probes
	// the placer. While the instance has no requests, its placer has no other reason to send it
	// messages. The reply also says which configuration version the placer has in force.
	maxPlacerSilence = time.Second
)

// member is what this instance knows of another instance. In the ranking it also stands for this
// instance itself (Core.selfMember).
type member struct {
	Peer
	hash         uint64    // of the name
	lastSeen     time.Time // when its last message arrived, or when it was added
	sequence     uint64    // of its newest load report
	nextRead     uint64    // number of the first read that was not received yet
	demand       []ServiceDemand
	reportedAt   time.Time // when its last load report arrived; zero: never
	unavailable  bool      // its last message said that it is not ready, or it left a place request unanswered and sent nothing since
	starting     bool      // it is unavailable only until it has read the platform, according to a message that isn't old
	silent       bool      // it is unavailable and leaves requests or probes unanswered
	heard        bool      // it sent a message since the last unanswered request or ProbeSuccessors
	platformLost bool      // it can't read the platform, so its list of upstreams is out of date
	probedAt     time.Time // when it was last probed

	instances int // number of instances that it knows; 0: not reported
}

// Core tracks the other instances: which are available, which are placers, and what to send to
// whom. It is not safe for concurrent use.
type Core struct {
	self     Peer
	members  map[string]*member // by address
	sequence uint64             // of the last load report that this instance sent
	nextRead uint64             // number of the next read to be queued

	ranking            map[string][]*member // by availability zone, in rank; nil: to be computed. Includes selfMember.
	selfMember         *member              // this instance; has no address
	lastPlaceRequestAt time.Time            // when another instance last asked for a place
	zoneProbedAt       time.Time            // when this instance, as the first placer, last probed the zone
	answerRTT          rttEstimator
	successorsProbedAt time.Time      // when ProbeSuccessors returned instances; zero: not since a candidate was last heard
	ready              bool           // see SetReady
	hasUnlisted        bool           // an instance that the platform's last list lacks was added
	listed             bool           // the platform's list, or the directory of the zone, was received at least once
	listedWhole        bool           // the platform's list was received at least once
	firstListedAt      time.Time      // when listed was set
	zoneSizes          map[string]int // number of instances by availability zone, from directories; nil: all instances are known

	sentAt       time.Time                            // of the last load report
	introducedAt time.Time                            // of the last load report with Sender and Demand
	lastReported map[place.UpstreamKey]place.InFlight // in the last load report
	pendingReads []pendingRead

	shares shareState
}

// pendingRead is a read that is to be sent in sendsLeft more messages.
type pendingRead struct {
	read      Read
	sendsLeft int
}

// Outgoing is a message and the addresses to send it to.
type Outgoing struct {
	Message Message
	To      []string
}

// New returns a core that knows no other instance. incarnation must be greater than in earlier
// runs of this instance: its sequence numbers start there.
func New(self Peer, incarnation uint64) *Core {
	return &Core{
		self: self, members: make(map[string]*member), sequence: incarnation, nextRead: incarnation,
		selfMember: &member{Peer: Peer{Name: self.Name, Zone: self.Zone, Cores: self.Cores}, hash: xxhash.Sum64String(self.Name)},
		shares:     shareState{serial: incarnation}, // so that answers to requests of an earlier incarnation are ignored
	}
}

// SetListed sets the instances that the platform lists. An instance that isn't listed any more stays
// known until a call after it is dead. A dead instance that is still listed stays known too, and is
// used again once it sends a message.
func (c *Core) SetListed(now time.Time, list []Peer) {
	listed := make(map[string]bool, len(list))
	for _, p := range list {
		listed[p.Address] = true
		c.addOrUpdate(now, p)
	}
	c.ranking, c.hasUnlisted, c.listedWhole, c.zoneSizes = nil, false, true, nil
	c.setListed(now)
	maps.DeleteFunc(c.members, func(address string, m *member) bool {
		return !listed[address] && m.dead(now)
	})
}

// setListed records that this instance knows whom it may ask.
func (c *Core) setListed(now time.Time) {
	if !c.listed {
		c.listed, c.firstListedAt = true, now
	}
}

// HasUnlistedPeers reports whether a message introduced an instance that the platform's last list
// lacks.
func (c *Core) HasUnlistedPeers() bool { return c.hasUnlisted }

// InstancesToRemove returns the names of dead instances of the local availability zone that are to
// be removed from the platform's list. It returns none unless this instance is the first placer of the
// zone. It also returns none unless most of the instances that aren't dead sent a message lately:
// otherwise this instance may be cut off itself.
func (c *Core) InstancesToRemove(now time.Time) []string {
	if !c.isFirstPlacer(now) {
		return nil
	}
	var dead []string
	active, total := 0, 0
	for _, m := range c.zonePeers() {
		total++
		switch {
		case m.dead(now):
			dead = append(dead, m.Name)
		case now.Sub(m.lastSeen) < 2*zoneProbeInterval:
			active++
		}
	}
	if 2*active <= total-len(dead) || len(dead) == total {
		return nil
	}
	return dead
}

// addOrUpdate adds the instance p or updates what is known of it.
func (c *Core) addOrUpdate(now time.Time, p Peer) {
	if p.Address == c.self.Address || p.Address == "" {
		return
	}
	m, ok := c.members[p.Address]
	if !ok {
		m = &member{lastSeen: now}
		c.members[p.Address] = m
		c.hasUnlisted = true
	}
	if m.Peer != p {
		m.Peer, m.hash = p, xxhash.Sum64String(p.Name)
		c.ranking = nil
	}
}

// dead reports whether the instance sent nothing for deadAfter.
func (m *member) dead(now time.Time) bool { return now.Sub(m.lastSeen) >= deadAfter }

// Receive processes a message that came from the address from. A message of an unknown sender is
// ignored unless its field Sender has that address. isNew reports whether the message is a load report
// that is newer than the last one from this sender. The result reads has the reads of the message that
// were not received before.
func (c *Core) Receive(now time.Time, from string, msg *Message) (isNew bool, reads []Read) {
	if msg.Sender != nil && msg.Sender.Address == from {
		c.addOrUpdate(now, *msg.Sender)
	}
	m, ok := c.members[from]
	if !ok {
		return false, nil
	}
	m.lastSeen, m.platformLost = now, msg.PlatformLost
	m.unavailable, m.starting, m.silent, m.heard = msg.Unready, msg.Unready && msg.Starting, false, true
	if msg.Instances > 0 {
		m.instances = msg.Instances
	}
	if msg.Sequence <= m.sequence {
		return false, nil
	}
	m.sequence, m.reportedAt = msg.Sequence, now
	if msg.Sender != nil {
		m.demand = msg.Demand
	}
	for i, r := range msg.Reads {
		if number := msg.FirstRead + uint64(i); number >= m.nextRead {
			reads = append(reads, r)
			m.nextRead = number + 1
		}
	}
	return true, reads
}

// QueueCacheUpdates queues reads for the next load reports.
func (c *Core) QueueCacheUpdates(reads []place.CacheUpdate) {
	for i := range reads {
		c.pendingReads = append(c.pendingReads, pendingRead{read: readOf(reads[i]), sendsLeft: readTransmissions})
	}
	c.nextRead += uint64(len(reads))
}

// Work is what a load report is made of: the requests in flight by upstream, and the demand by
// service. Demand is called only if the report includes the demand.
type Work struct {
	InFlight map[place.UpstreamKey]place.InFlight
	Demand   func() map[string]roles.Demand
}

// NextLoadReport returns the load report to send now, or nil if none is due. If this instance doesn't
// act as a placer or there are no recipients, it returns nil and discards the queued reads.
func (c *Core) NextLoadReport(now time.Time, work Work) *Outgoing {
	to := c.recipients(now)
	if len(to) == 0 || !c.ActsAsPlacer(now) {
		c.pendingReads = nil
		return nil
	}
	sinceSent := now.Sub(c.sentAt)
	gap := max(minGap, time.Duration(len(to))*gapPerRecipient)
	if sinceSent < gap || (sinceSent < repeatInterval && maps.Equal(work.InFlight, c.lastReported)) {
		return nil
	}
	c.sentAt, c.lastReported = now, work.InFlight
	c.sequence++
	m := Message{Sequence: c.sequence, Rows: rowsOf(work.InFlight)}
	m.FirstRead, m.Reads = c.takeReads()
	if now.Sub(c.introducedAt) >= introductionInterval {
		c.introducedAt = now
		m.Sender, m.Demand = &c.self, demandOf(work.Demand())
	}
	return &Outgoing{Message: m, To: to}
}

// takeReads returns the reads of the next message and the number of the first one. A message has at
// most maxReads; the other reads follow in later messages. If more than maxPendingReads wait, the
// oldest ones are dropped.
func (c *Core) takeReads() (first uint64, reads []Read) {
	if excess := len(c.pendingReads) - maxPendingReads; excess > 0 {
		c.pendingReads = c.pendingReads[excess:]
	}
	first = c.nextRead - uint64(len(c.pendingReads))
	for i := range c.pendingReads[:min(len(c.pendingReads), maxReads)] {
		reads = append(reads, c.pendingReads[i].read)
		c.pendingReads[i].sendsLeft--
	}
	sent := 0
	for sent < len(c.pendingReads) && c.pendingReads[sent].sendsLeft <= 0 {
		sent++
	}
	c.pendingReads = slices.Clone(c.pendingReads[sent:])
	return first, reads
}

// recipients returns the sorted addresses that load reports go to. These are the placers by rank of all
// availability zones, except dead ones. Other instances that send load reports, because they substitute
// for a placer, are added while there are fewer than maxRecipients addresses.
func (c *Core) recipients(now time.Time) []string {
	c.ensureRanking()
	to := make(map[string]bool)
	for _, list := range c.ranking {
		for _, m := range list[:min(len(list), c.placerCount(list))] {
			if m != c.selfMember && !m.dead(now) {
				to[m.Address] = true
			}
		}
	}
	for address, m := range c.members {
		if len(to) < maxRecipients && m.reportsLoad(now) {
			to[address] = true
		}
	}
	return slices.Sorted(maps.Keys(to))
}

// Placers returns the addresses of the other placers of all availability zones, including
// instances that substitute for one.
func (c *Core) Placers(now time.Time) []string { return c.recipients(now) }

// Successors returns, for each availability zone, the addresses of the placers by rank and of the
// instance that follows them in rank, without this instance. Information that is sent to all of them
// survives the loss of any one of them. Inactive instances are included, because most instances of
// other zones never send anything to this one.
func (c *Core) Successors() []string {
	c.ensureRanking()
	var to []string
	for _, list := range c.ranking {
		for _, m := range list[:min(len(list), c.placerCount(list)+1)] {
			if m != c.selfMember {
				to = append(to, m.Address)
			}
		}
	}
	return to
}

// Addresses returns the addresses of all other instances.
func (c *Core) Addresses() []string { return slices.Collect(maps.Keys(c.members)) }

// AnnounceTargets returns the addresses to which an instance announces its start: the candidates
// of its own availability zone and the successors of all zones. The other instances of its zone
// are introduced when they are probed (ProbeTargets).
func (c *Core) AnnounceTargets() []string {
	to := make(map[string]bool)
	for _, address := range c.Successors() {
		to[address] = true
	}
	for _, m := range c.candidates() {
		if m != c.selfMember {
			to[m.Address] = true
		}
	}
	return slices.Sorted(maps.Keys(to))
}

// Instances returns the number of instances, this one included. It is the number of instances that
// this instance knows, or the greatest number that a candidate of its zone reported if that is greater.
// Candidates may know more instances, because new instances introduce themselves to candidates.
func (c *Core) Instances() int {
	c.ensureRanking()
	n := 0
	for _, list := range c.ranking {
		n += c.zoneSize(list)
	}
	for _, m := range c.candidates() {
		n = max(n, m.instances)
	}
	return n
}

// AssumedInstances returns an upper bound of the number of instances.
func (c *Core) AssumedInstances() int { return max(AssumedInstances, c.Instances()) }

// ensureRanking computes the ranking of each availability zone if it isn't current. Machines with
// more cores come first, equal ones in the order of a hash of their names, so that all instances
// agree without communication.
func (c *Core) ensureRanking() {
	if c.ranking != nil {
		return
	}
	c.ranking = map[string][]*member{c.self.Zone: {c.selfMember}}
	for _, m := range c.members {
		c.ranking[m.Zone] = append(c.ranking[m.Zone], m)
	}
	for _, list := range c.ranking {
		slices.SortFunc(list, func(a, b *member) int {
			return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.hash, b.hash), cmp.Compare(a.Name, b.Name))
		})
	}
}

// zoneSize returns the number of instances of an availability zone. zone has those that are known.
func (c *Core) zoneSize(zone []*member) int {
	if len(zone) == 0 {
		return 0
	}
	return max(len(zone), c.zoneSizes[zone[0].Zone])
}

// placerCount returns the number of placers of an availability zone.
func (c *Core) placerCount(zone []*member) int {
	return (c.zoneSize(zone) + askersPerPlacer - 1) / askersPerPlacer
}

// groupSize returns the size of the groups into which the instances of an availability zone are divided
// by their rank. The size is twice the number of placers, plus one. The instances of the first group
// follow the upstreams. They include more instances than placers, so that the others can substitute for
// placers that are unavailable or can't read the platform.
func (c *Core) groupSize(zone []*member) int { return 2*c.placerCount(zone) + 1 }

// maxGroups is the number of groups of a zone (see groupSize) whose instances may be asked for places.
// These are the first groups in rank. A later group is used only if no instance of the groups before it
// can read the platform. The instances of the first group always follow the upstreams. An instance of a
// later group starts to follow them when it is asked for a place. If no instance of these groups can
// read the platform, the platform is assumed to be unreachable for all.
const maxGroups = 3

// candidates returns the first group of the local availability zone, in rank: the instances that may
// become placers.
func (c *Core) candidates() []*member {
	list := c.rankedZone()
	return list[:min(len(list), c.groupSize(list))]
}

// placers returns the placers of the local availability zone: the first available instances in rank.
// In a zone where not all instances follow the upstreams, a placer must also be able to read the
// platform. In a zone where all instances follow them, a placer that can't read the platform stays a
// placer, for two reasons: each instance checks the upstream that a placer chose against its own list,
// and the next instance in rank doesn't know which requests are in flight and which prompts the engines
// hold.
func (c *Core) placers() []*member {
	list := c.rankedZone()
	if c.zoneSize(list) > c.groupSize(list) {
		return c.platformFollowers()
	}
	available := slices.DeleteFunc(slices.Clone(list), func(m *member) bool { return m.unavailable })
	return available[:min(len(available), c.placerCount(list))]
}

// rankedZone returns the instances of the local availability zone, in rank.
func (c *Core) rankedZone() []*member {
	c.ensureRanking()
	return c.ranking[c.self.Zone]
}

// platformFollowers returns the instances of the local availability zone that follow all of the
// platform's state. There are at most as many as the zone has placers. They are the first instances in
// rank that are available and can read the platform. Instances outside the first group (see groupSize)
// are included only if no instance of the groups before theirs qualifies and none of these is starting:
// an instance of a later group would have to read the platform, too, and delay the one that is starting.
//
// If no candidate (instance of the first group) answers, an instance of a later group is included only if
// it does: this instance may be cut off, and asking one silent instance after the other takes long.
//
// If no instance of the first maxGroups groups can read the platform, it is assumed to be unreachable for
// all. The result is then the first of these instances that are available and know upstreams, although
// their state is out of date.
func (c *Core) platformFollowers() []*member {
	list := c.rankedZone()
	n, size := c.placerCount(list), c.groupSize(list)
	for group := 1; group <= maxGroups; group++ {
		members := list[:min(len(list), group*size)]
		if out := c.eligiblePlacers(members, size); len(out) > 0 {
			return out[:min(len(out), n)]
		}
		if slices.ContainsFunc(members, func(m *member) bool { return m.starting }) {
			break // it will be ready before an instance of a later group
		}
	}
	withoutPlatform := slices.DeleteFunc(c.availablePlacers(list[:min(len(list), maxGroups*size)], size), func(m *member) bool { return !m.platformLost })
	return withoutPlatform[:min(len(withoutPlatform), n)]
}

// candidatesSilent reports whether no candidate answers any more.
func (c *Core) candidatesSilent() bool {
	return !slices.ContainsFunc(c.candidates(), func(m *member) bool { return m == c.selfMember || !m.silent })
}

// successors returns the other instances of the second to maxGroups-th group of the local availability zone.
func (c *Core) successors() []*member {
	list := c.rankedZone()
	size := c.groupSize(list)
	out := slices.Clone(list[min(len(list), size):min(len(list), maxGroups*size)])
	return slices.DeleteFunc(out, func(m *member) bool { return m == c.selfMember })
}

// IsolationTimeout is how long successors may take to answer the probes that are sent to all of them at once when
// no candidate answers. It is longer than a placer whose CPU is throttled takes.
const IsolationTimeout = 2 * maxAnswerTimeout

// ProbeSuccessors returns the addresses of the successors, once no candidate answers any more. If none of them
// answers a probe within IsolationTimeout, this instance is assumed to be cut off from the others. Further
// calls return none until a candidate was heard again.
func (c *Core) ProbeSuccessors(now time.Time) []string {
	if !c.candidatesSilent() {
		c.successorsProbedAt = time.Time{}
		return nil
	}
	if !c.successorsProbedAt.IsZero() {
		return nil
	}
	c.successorsProbedAt = now
	var out []string
	for _, m := range c.successors() {
		m.heard, m.probedAt = false, now
		out = append(out, m.Address)
	}
	return out
}

// startGrace is how long after its first list or directory an instance assumes that the others may be starting, too.
// Instances that start together do so within some tenths of a second.
const startGrace = time.Second

// isolated reports whether neither a candidate nor a successor answers, although they had time to start.
func (c *Core) isolated(now time.Time) bool {
	return c.candidatesSilent() && !c.successorsProbedAt.IsZero() && now.Sub(c.successorsProbedAt) >= IsolationTimeout &&
		now.Sub(c.firstListedAt) >= startGrace && !slices.ContainsFunc(c.successors(), func(m *member) bool { return m.heard })
}

// eligiblePlacers returns the instances of list that are available and can read the platform.
func (c *Core) eligiblePlacers(list []*member, firstGroupSize int) []*member {
	return slices.DeleteFunc(c.availablePlacers(list, firstGroupSize), func(m *member) bool { return m.platformLost })
}

// availablePlacers returns the instances of list that are available. If this instance is not among the
// first firstGroupSize of the list, it is included only if it is ready (SetReady). If no candidate
// answers, the others are included only if they were heard.
func (c *Core) availablePlacers(list []*member, firstGroupSize int) []*member {
	var out []*member
	silent := c.candidatesSilent()
	for i, m := range list {
		usable := !silent || m.heard
		if m == c.selfMember {
			usable = i < firstGroupSize || c.ready
		}
		if usable && !m.unavailable {
			out = append(out, m)
		}
	}
	return out
}

// SetReady records whether this instance could be a placer, that is, whether it has a configuration,
// knows the upstreams and isn't stopping.
func (c *Core) SetReady(ready bool) { c.ready = ready }

// SetPlatformLost records whether this instance can't read the platform.
func (c *Core) SetPlatformLost(lost bool) { c.selfMember.platformLost = lost }

// IsPlatformLost reports whether the instance at the given address said in its last message that it
// can't read the platform.
func (c *Core) IsPlatformLost(address string) bool {
	m, ok := c.members[address]
	return ok && m.platformLost
}

// FollowReason says why an instance has to follow a part of the platform's state.
type FollowReason string

// Reasons to follow a part of the platform's state.
const (
	NotNeeded      FollowReason = ""                               // it doesn't have to
	ByRank         FollowReason = "rank"                           // it is a placer, or may soon become one
	AskedForPlaces FollowReason = "asked for places"               // another instance asked it for a place
	NobodyToAsk    FollowReason = "no other instance can be asked" // no instance that may be asked is available
)

// WhyUpstreams returns why this instance has to follow the upstreams itself. The other instances of an
// availability zone make no calls to the platform and don't follow changes of upstreams, because
// such changes matter to them only when they ask for a place.
func (c *Core) WhyUpstreams(now time.Time) FollowReason {
	if why := c.WhyPlatform(now); why != NotNeeded {
		return why
	}
	if c.listed && (c.ActsAsPlacer(now) || c.inFirstGroup()) {
		return ByRank
	}
	return NotNeeded
}

// NeedsUpstreams reports whether this instance has to follow the upstreams itself.
func (c *Core) NeedsUpstreams(now time.Time) bool { return c.WhyUpstreams(now) != NotNeeded }

// inFirstGroup reports whether this instance belongs to the first group of its availability zone
// when unavailable instances that aren't starting aren't counted. Instances that have stopped stay in
// the ranking for a while.
func (c *Core) inFirstGroup() bool {
	c.ensureRanking()
	list := c.ranking[c.self.Zone]
	before := 0
	for _, m := range list {
		if m == c.selfMember {
			break
		}
		if !m.unavailable || m.starting {
			before++
		}
	}
	return before < c.groupSize(list)
}

// isFirstPlacer reports whether this instance is the first live placer of its availability zone.
func (c *Core) isFirstPlacer(now time.Time) bool {
	for _, m := range c.placers() {
		if m == c.selfMember {
			return true
		}
		if !m.dead(now) {
			return false
		}
	}
	return false
}

// IsPlacer reports whether this instance is a placer by rank.
func (c *Core) IsPlacer() bool { return slices.Contains(c.placers(), c.selfMember) }

// Rank returns the position of this instance among the instances of all availability zones that follow
// all of the platform's state; 0 is the first. The position is counted in the order of a hash of the
// instances' names, and only other placers that report load and can read the platform are counted. ok
// is false if this instance is not one of the platform followers of its zone. This rank is not the rank
// within a zone (ensureRanking).
func (c *Core) Rank(now time.Time) (rank int, ok bool) {
	if !slices.Contains(c.platformFollowers(), c.selfMember) {
		return 0, false
	}
	ownHash := xxhash.Sum64String(c.self.Name)
	for _, address := range c.recipients(now) {
		if m := c.members[address]; m.reportsLoad(now) && !m.platformLost && xxhash.Sum64String(m.Name) < ownHash {
			rank++
		}
	}
	return rank, true
}

// ActsAsPlacer reports whether this instance acts as a placer: by rank, or because it was asked for
// a place within activeWindow.
func (c *Core) ActsAsPlacer(now time.Time) bool {
	return c.IsPlacer() || (!c.lastPlaceRequestAt.IsZero() && now.Sub(c.lastPlaceRequestAt) < activeWindow)
}

// PlaceRequestReceived records that another instance asked for a place.
func (c *Core) PlaceRequestReceived(now time.Time) { c.lastPlaceRequestAt = now }

// Placer returns the address of the instance to ask for places, or "" if this instance decides
// itself. The instances of a zone are spread evenly over its placers by rendezvous hashing.
func (c *Core) Placer() string {
	var best *member
	bestWeight := uint64(0)
	for _, m := range c.placers() {
		if m == c.selfMember {
			return ""
		}
		if w := xxhash.Sum64String(c.self.Name + "/" + m.Name); best == nil || w > bestWeight {
			best, bestWeight = m, w
		}
	}
	if best == nil {
		return ""
	}
	return best.Address
}

// WhyPlatform returns why this instance has to follow all of the platform's state. It returns NotNeeded
// until this instance knows others from a list or a directory.
func (c *Core) WhyPlatform(now time.Time) FollowReason {
	followers := c.platformFollowers()
	switch {
	case !c.listed:
		return NotNeeded
	case slices.Contains(followers, c.selfMember):
		return ByRank
	case len(followers) == 0 && c.listedWhole && c.isolated(now):
		return NobodyToAsk
	case !c.lastPlaceRequestAt.IsZero() && now.Sub(c.lastPlaceRequestAt) < activeWindow:
		return AskedForPlaces
	}
	return NotNeeded
}

// MustFollowPlatform reports whether this instance has to follow all of the platform's state.
func (c *Core) MustFollowPlatform(now time.Time) bool { return c.WhyPlatform(now) != NotNeeded }

// ProbeTargets returns the addresses to probe now. These are unavailable instances of the first
// maxGroups groups, and the placer of this instance if nothing was received from the placer for
// maxPlacerSilence. If this instance is the first placer of its zone, it also probes all inactive
// instances of the zone every zoneProbeInterval.
func (c *Core) ProbeTargets(now time.Time) []string {
	var out []string
	c.ensureRanking()
	list := c.ranking[c.self.Zone]
	for _, m := range list[:min(len(list), maxGroups*c.groupSize(list))] {
		if m.unavailable && now.Sub(m.lastSeen) >= activeWindow {
			m.starting, m.silent, m.heard = false, true, false // several probes were left unanswered
		}
		if m != c.selfMember && m.unavailable && now.Sub(m.probedAt) >= repeatInterval {
			m.probedAt = now
			out = append(out, m.Address)
		}
	}
	if m, ok := c.members[c.Placer()]; ok && now.Sub(m.lastSeen) >= maxPlacerSilence && now.Sub(m.probedAt) >= repeatInterval {
		m.probedAt = now
		out = append(out, m.Address)
	}
	if now.Sub(c.zoneProbedAt) >= zoneProbeInterval && c.isFirstPlacer(now) {
		c.zoneProbedAt = now
		out = append(out, c.inactiveZonePeers(now)...)
	}
	return out
}

// inactiveZonePeers returns the addresses of the other instances of the local availability zone that
// sent nothing within activeWindow.
func (c *Core) inactiveZonePeers(now time.Time) []string {
	var out []string
	for _, m := range c.zonePeers() {
		if now.Sub(m.lastSeen) >= activeWindow {
			out = append(out, m.Address)
		}
	}
	return out
}

// ActiveWithin returns the addresses of the other instances that sent a message within a duration.
func (c *Core) ActiveWithin(now time.Time, within time.Duration) []string {
	var out []string
	for address, m := range c.members {
		if now.Sub(m.lastSeen) < within {
			out = append(out, address)
		}
	}
	return out
}

// ZoneAddresses returns the addresses of the other instances of the local availability zone.
func (c *Core) ZoneAddresses() []string {
	var out []string
	for _, m := range c.zonePeers() {
		out = append(out, m.Address)
	}
	return out
}

// RelayCandidates returns the addresses of the other instances that may forward connections to upstreams: those of the
// local availability zone and those of the others, without instances that are stopping or don't answer.
func (c *Core) RelayCandidates() (zone, others []string) {
	c.ensureRanking()
	for name, list := range c.ranking {
		for _, m := range list {
			switch {
			case m == c.selfMember || m.unavailable:
			case name == c.self.Zone:
				zone = append(zone, m.Address)
			default:
				others = append(others, m.Address)
			}
		}
	}
	return zone, others
}

// KnowsHost reports whether an instance has the given IP address.
func (c *Core) KnowsHost(host netip.Addr) bool {
	for address := range c.members {
		if a, err := netip.ParseAddrPort(address); err == nil && a.Addr() == host {
			return true
		}
	}
	return false
}

// zonePeers returns the other instances of the local availability zone, in rank.
func (c *Core) zonePeers() []*member {
	c.ensureRanking()
	return slices.DeleteFunc(slices.Clone(c.ranking[c.self.Zone]), func(m *member) bool { return m == c.selfMember })
}

// Demand returns the demand of all callers by service. own is the demand that this instance counted;
// it is not modified. Demand adds to it the demand that other placers report, and scales the sum up to
// include the placers that don't report.
func (c *Core) Demand(now time.Time, own map[string]roles.Demand) map[string]roles.Demand {
	out := maps.Clone(own)
	for _, m := range c.members {
		if !m.reportsLoad(now) {
			continue
		}
		for i := range m.demand {
			out[m.demand[i].Service] = out[m.demand[i].Service].Add(m.demand[i].demand())
		}
	}
	active, total := c.countPlacers(now)
	for service, d := range out {
		out[service] = d.Scale(float64(total+1) / float64(active+1))
	}
	return out
}

// reportsLoad reports whether a load report of the instance arrived within activeWindow.
func (m *member) reportsLoad(now time.Time) bool {
	return !m.reportedAt.IsZero() && now.Sub(m.reportedAt) < activeWindow
}

// MostPlacersActive reports whether this instance acts as a placer and more than half of the other
// placers report their load to it. A placer that doesn't report has crashed or is cut off; in both
// cases it sends little to upstreams that this instance reaches. If there are no other placers, a
// placer by rank knows all requests in flight, provided that it received the platform's list.
func (c *Core) MostPlacersActive(now time.Time) bool {
	active, total := c.countPlacers(now)
	if total == 0 {
		return c.listed && c.IsPlacer()
	}
	return 2*active > total && c.ActsAsPlacer(now)
}

// countPlacers returns two numbers of other instances: active is the number of those that report load,
// and total is the number of all placers. If an instance substitutes for a placer of its availability
// zone and reports load, the instance is counted and that placer is not.
func (c *Core) countPlacers(now time.Time) (active, total int) {
	c.ensureRanking()
	for zone, list := range c.ranking {
		others := c.otherPlacerCount(now, zone)
		reporting := 0
		for _, m := range list {
			if m != c.selfMember && m.reportsLoad(now) {
				reporting++
			}
		}
		active += reporting
		total += max(others, reporting)
	}
	return active, total
}

// otherPlacerCount returns the number of placers that an availability zone should have, without this
// instance if it acts as one of them. There are no more placers than instances that aren't dead.
func (c *Core) otherPlacerCount(now time.Time, zone string) int {
	list := c.ranking[zone]
	present := 0
	for _, m := range list {
		if m == c.selfMember || !m.dead(now) {
			present++
		}
	}
	n := min(c.placerCount(list), present)
	if zone == c.self.Zone && c.ActsAsPlacer(now) {
		n--
	}
	return max(n, 0)
}
