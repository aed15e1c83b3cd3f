package member

import (
	"slices"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// remoteSilence is the silence after which a daemon that is no neighbor is suspected.
func (c *Core) remoteSilence() time.Duration {
	return time.Duration(remoteRelays*c.relayBeats()+remoteHops) * c.cfg.Interval
}

// evaluate sets the state of every record, and the links after a change.
func (c *Core) evaluate(now boottime.Time) []Action {
	for _, r := range c.records {
		c.refresh(now, r)
	}
	return c.afterChange()
}

// refresh sets the state of one record.
func (c *Core) refresh(now boottime.Time, r *record) {
	if s := c.stateOf(now, r); s != r.state {
		r.state = s
		c.changed = true
	}
}

func (c *Core) stateOf(now boottime.Time, r *record) State {
	silent := c.silent(now, r)
	if r.row.Leaving || (r.listed && r.listState == resource.InstanceLeaving) {
		if silent && !r.connected {
			return Gone
		}
		return Leaving
	}
	if !silent {
		return Live
	}
	if !r.listed && r.silence(now) > c.cfg.ForgetAfter {
		return Gone
	}
	return Suspected
}

// silent reports whether a daemon has not been heard of for too long. A neighbor
// that is newly silent is a suspicion to be passed on.
func (c *Core) silent(now boottime.Time, r *record) bool {
	if r.suspect {
		return true
	}
	silence := r.silence(now)
	if silence >= lostBeats*c.cfg.Interval && c.isNeighbor(r.row.Name) && !r.listedOnly() {
		limit := time.Duration(lostBeats) * c.cfg.Interval
		if r.connected {
			limit = suspectBeats * c.cfg.Interval
		}
		if silence >= limit && (r.direct || r.connected) {
			r.suspectAt(r.row.Beat)
			r.pass(pendingFull, "")
			return true
		}
	}
	return silence > c.remoteSilence()
}

func (c *Core) isNeighbor(name string) bool {
	return slices.ContainsFunc(c.links, func(a peer.Address) bool { return a.Name == name })
}

// forget drops daemons that are gone for good.
func (c *Core) forget(now boottime.Time) {
	for _, name := range c.names() {
		r := c.records[name]
		if r.state == Gone && !r.listed && r.silence(now) > 2*c.cfg.ForgetAfter {
			c.remove(r)
		}
	}
}

// afterChange sets the links anew after a change of the members.
func (c *Core) afterChange() []Action {
	if !c.changed {
		return nil
	}
	c.changed = false
	out := []Action{Changed{}}
	links := c.wantedLinks()
	if c.linked && slices.Equal(links, c.links) {
		return out
	}
	c.linked = true
	c.links = links
	return append(out, SetLinks{Addresses: links})
}

// wantedLinks lists the neighbors with their addresses, or the seeds while nobody
// is known. The neighbors among all members are wanted so that the two sides of a
// partition find each other again; those among the members that are not suspected
// take the place of neighbors that are.
func (c *Core) wantedLinks() []peer.Address {
	all := c.reachable(Live, Leaving, Suspected)
	heard := c.reachable(Live, Leaving)
	names := Neighbors(c.cfg.Self.Name, all, c.cfg.MaxLinks)
	if len(heard) < len(all) {
		names = append(names, Neighbors(c.cfg.Self.Name, heard, c.cfg.MaxLinks)...)
	}
	slices.Sort(names)
	var links []peer.Address
	for _, name := range slices.Compact(names) {
		links = append(links, peer.Address{Name: name, HostPort: c.records[name].row.PeerAddress})
	}
	if len(links) == 0 {
		return c.cfg.Seeds
	}
	return links
}

// reachable lists this daemon and those in one of the states that say where they
// listen.
func (c *Core) reachable(states ...State) []Member {
	members := []Member{c.self()}
	for _, r := range c.records {
		if slices.Contains(states, r.state) && r.row.PeerAddress != "" {
			members = append(members, r.member())
		}
	}
	return members
}
