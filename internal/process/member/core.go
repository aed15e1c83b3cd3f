package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// Defaults of a Config, and limits of a Core. Numbers whose names end in Beats are in
// heartbeat intervals.
const (
	DefaultInterval    = time.Second
	DefaultMaxLinks    = 16
	DefaultForgetAfter = 5 * time.Minute

	// suspectTimeoutBeats is the silence after which a connected neighbor is suspected.
	suspectTimeoutBeats = 4
	// disconnectedTimeoutBeats is the silence after which a neighbor without a
	// connection is suspected.
	disconnectedTimeoutBeats = 2
	// relayedRowsPerInterval limits the heartbeats of other daemons that a daemon
	// relays over each link, per interval on average.
	relayedRowsPerInterval = 25
	// maxMissedRelays is the number of relayed beats of a daemon that may be missing until
	// it is suspected by daemons that are not its neighbors, even if no neighbor of it
	// reports a suspicion.
	maxMissedRelays = 3
	// relayDelayBeats is the time that a beat may take to be relayed across the fleet.
	relayDelayBeats = 8
)

// roleUpstream is the role of listed instances that run no daemon of this system, which
// are not members.
const roleUpstream = "upstream"

// Config configures a Core. Zero numbers take the defaults.
type Config struct {
	Self        peer.Hello
	Interval    time.Duration  // heartbeat interval, the time between two ticks
	MaxLinks    int            // approximate limit of links, see Neighbors
	ForgetAfter time.Duration  // silence after which a daemon that the platform does not list is gone
	Seeds       []peer.Address // dialed while no other daemon is known
}

// Core is the state machine of membership, without I/O. It combines the platform's
// list of instances, which lags behind, with heartbeats and the state of connections.
//
// A daemon increments its beat and sends it to its neighbors in each interval. It also
// relays the beats of other daemons, at intervals that grow with the fleet. Starts,
// graceful stops and suspicions are relayed with the next heartbeat.
//
// A neighbor that gets no heartbeats of a daemon suspects it and reports that. Another
// neighbor that still gets them refutes the suspicion by relaying a beat higher than
// the one at which the suspicion arose. A suspected member is not considered stopped:
// only a graceful stop, or long silence of an instance that the platform does not list,
// makes a member gone.
//
// An incarnation identifies one start of a daemon and distinguishes it from earlier
// starts under the same name. The incarnation of an open connection takes precedence.
// Without a connection, a reported incarnation replaces the known one if it is higher,
// or if the known one has been silent for long.
type Core struct {
	cfg     Config
	beat    uint64 // number of ticks so far
	applied uint64 // configuration version in force at this daemon
	leaving bool

	records      map[string]*record // other daemons by name
	ids          map[uint32]*record // the same by RowID, without those that are only listed
	refreshIndex int                // index among the sorted names of the last daemon whose full row was repeated
	links        []peer.Address     // of the last SetLinks
	linksSet     bool               // a SetLinks was returned before
	changed      bool               // the set or the states of the members changed since the last Changed
}

// New returns a Core that knows no other daemons.
func New(cfg Config) *Core {
	cfg.Interval = cmp.Or(cfg.Interval, DefaultInterval)
	cfg.MaxLinks = cmp.Or(cfg.MaxLinks, DefaultMaxLinks)
	cfg.ForgetAfter = cmp.Or(cfg.ForgetAfter, DefaultForgetAfter)
	return &Core{cfg: cfg, records: map[string]*record{}, ids: map[uint32]*record{}, changed: true}
}

// Step handles one event and returns the actions to perform. now is the boot time of
// this machine. After heartbeats and changes of connections, the links are computed only
// at the next tick, so that many such events cause one computation.
func (c *Core) Step(now boottime.Time, e Event) []Action {
	switch e := e.(type) {
	case Tick:
		actions := c.tick(now)
		return append(actions, c.evaluate(now)...)
	case InstancesListed:
		c.setInstances(now, e.Instances)
		return c.evaluate(now)
	case HeartbeatReceived:
		return c.mergeHeartbeat(now, e)
	case Connected:
		return c.connected(now, e.Peer)
	case Disconnected:
		c.disconnected(now, e.Name)
	case Applied:
		return c.setApplied(e.Version)
	case Leave:
		return c.leave()
	}
	return nil
}

// Members returns all known daemons including this one, ordered by name.
func (c *Core) Members() []Member {
	out := []Member{c.self()}
	for _, r := range c.records {
		out = append(out, r.member())
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// self returns this daemon as a member.
func (c *Core) self() Member {
	h := c.cfg.Self
	m := Member{
		Name: h.Name, Role: h.Role, Zone: h.Zone, PeerAddress: h.PeerAddress,
		Incarnation: h.Incarnation, Applied: c.applied, State: Live, Connected: true,
	}
	if c.leaving {
		m.State = Leaving
	}
	return m
}

// ownRow returns the row about this daemon.
func (c *Core) ownRow() peer.MemberRow {
	row := rowOf(c.cfg.Self)
	row.Beat = c.beat
	row.Applied = c.applied
	row.Leaving = c.leaving
	return row
}

// setInstances adds the daemons that the platform newly lists, and records for each known
// daemon whether it is listed. The addresses of daemons that are known from a heartbeat
// or a connection stay.
func (c *Core) setInstances(now boottime.Time, instances map[string]resource.Instance) {
	for _, r := range c.records {
		r.listed = false
	}
	for name, i := range instances {
		if i.Role == roleUpstream || name == c.cfg.Self.Name {
			continue
		}
		r := c.records[name]
		if r == nil {
			row := peer.MemberRow{Name: name, Role: i.Role, Zone: i.Zone, PeerAddress: i.PeerAddress}
			r = c.add(now, row)
		}
		r.listed = true
		r.listState = i.State
		if r.listedOnly() {
			r.row.PeerAddress = i.PeerAddress
		}
	}
}

func (c *Core) add(now boottime.Time, row peer.MemberRow) *record {
	r := &record{row: row, lastSeenAt: now}
	c.records[row.Name] = r
	c.index(r)
	c.changed = true
	return r
}

// index adds a record to ids. A daemon that is only listed has no incarnation yet.
func (c *Core) index(r *record) {
	if !r.listedOnly() {
		c.ids[RowID(r.row.Name, r.row.Incarnation)] = r
	}
}

func (c *Core) remove(r *record) {
	delete(c.records, r.row.Name)
	delete(c.ids, RowID(r.row.Name, r.row.Incarnation))
	c.changed = true
}

// restart replaces the row of a record by the row of another incarnation.
func (c *Core) restart(now boottime.Time, r *record, row peer.MemberRow) {
	delete(c.ids, RowID(r.row.Name, r.row.Incarnation))
	r.row = row
	r.suspected = false
	r.relayedBeat = 0
	r.lastSeenAt = now
	c.index(r)
	c.changed = true
}

// connected handles a new connection. It accepts the incarnation of the peer, ends a
// suspicion, and sends the peer the rows of all daemons.
func (c *Core) connected(now boottime.Time, h peer.Hello) []Action {
	r := c.records[h.Name]
	switch {
	case r == nil:
		r = c.add(now, rowOf(h))
		r.relayAs(relayFull, h.Name)
	case r.row.Incarnation != h.Incarnation:
		c.restart(now, r, rowOf(h))
		r.relayAs(relayFull, h.Name)
	}
	r.connected = true
	r.direct = true
	r.lastSeenAt = now
	if r.suspected {
		r.suspected = false
		r.relayAs(relayFull, h.Name)
	}
	c.updateState(now, r)
	return []Action{SendHeartbeat{To: h.Name, Heartbeat: c.fullHeartbeat(h.Name)}}
}

func (c *Core) disconnected(now boottime.Time, name string) {
	if r := c.records[name]; r != nil {
		r.connected = false
		c.updateState(now, r)
	}
}

// setApplied records the configuration version in force at this daemon. It reports the
// version to the connected peers at once, so that those that lag behind can fetch it.
func (c *Core) setApplied(version uint64) []Action {
	if version == c.applied {
		return nil
	}
	c.applied = version
	return c.toNeighbors(peer.Heartbeat{Beat: c.beat, Applied: c.applied})
}

// leave reports to the connected peers that this daemon is stopping gracefully.
func (c *Core) leave() []Action {
	if c.leaving {
		return nil
	}
	c.leaving = true
	c.changed = true
	row := []peer.MemberRow{c.ownRow()}
	return c.toNeighbors(peer.Heartbeat{Beat: c.beat, Applied: c.applied, Rows: row})
}

// toNeighbors returns actions that send a heartbeat to all connected peers.
func (c *Core) toNeighbors(h peer.Heartbeat) []Action {
	var out []Action
	for _, name := range c.connectedNames() {
		out = append(out, SendHeartbeat{To: name, Heartbeat: h})
	}
	return out
}

// connectedNames returns the sorted names of the connected peers.
func (c *Core) connectedNames() []string {
	var names []string
	for name, r := range c.records {
		if r.connected {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
