package member

import (
	"slices"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// remoteTimeout returns the silence after which any daemon is suspected, whether or not
// it is a neighbor. It covers maxMissedRelays relay intervals and the delay of relays.
func (c *Core) remoteTimeout() time.Duration {
	return time.Duration(maxMissedRelays*c.relayInterval()+relayDelayBeats) * c.cfg.Interval
}

// evaluate updates the states of all records, and the links if the members have changed.
func (c *Core) evaluate(now boottime.Time) []Action {
	for _, r := range c.records {
		c.updateState(now, r)
	}
	return c.updateLinks()
}

// updateState sets the state of one record to stateOf.
func (c *Core) updateState(now boottime.Time, r *record) {
	if s := c.stateOf(now, r); s != r.state {
		r.state = s
		c.changed = true
	}
}

// stateOf returns the state of a daemon. It may mark the daemon as suspected, see
// checkSilence.
func (c *Core) stateOf(now boottime.Time, r *record) State {
	silent := c.checkSilence(now, r)
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

// checkSilence reports whether a daemon is suspected or has been silent for too long. If
// a neighbor has been silent for its time limit, checkSilence marks it as suspected and
// has the suspicion relayed.
func (c *Core) checkSilence(now boottime.Time, r *record) bool {
	if r.suspected {
		return true
	}
	silence := r.silence(now)
	if silence >= disconnectedTimeoutBeats*c.cfg.Interval && c.isNeighbor(r.row.Name) && !r.listedOnly() {
		limit := time.Duration(disconnectedTimeoutBeats) * c.cfg.Interval
		if r.connected {
			limit = suspectTimeoutBeats * c.cfg.Interval
		}
		if silence >= limit && (r.direct || r.connected) {
			r.markSuspect(r.row.Beat)
			r.relayAs(relayFull, "")
			return true
		}
	}
	return silence > c.remoteTimeout()
}

func (c *Core) isNeighbor(name string) bool {
	return slices.ContainsFunc(c.links, func(a peer.Address) bool { return a.Name == name })
}

// forget removes the daemons that are gone, not listed, and have been silent for more
// than 2*ForgetAfter.
func (c *Core) forget(now boottime.Time) {
	for _, name := range c.names() {
		r := c.records[name]
		if r.state == Gone && !r.listed && r.silence(now) > 2*c.cfg.ForgetAfter {
			c.remove(r)
		}
	}
}

// updateLinks computes the links again if the members have changed. It returns a Changed,
// and a SetLinks if the links differ or none was returned before.
func (c *Core) updateLinks() []Action {
	if !c.changed {
		return nil
	}
	c.changed = false
	out := []Action{Changed{}}
	links := c.desiredLinks()
	if c.linksSet && slices.Equal(links, c.links) {
		return out
	}
	c.linksSet = true
	c.links = links
	return append(out, SetLinks{Addresses: links})
}

// desiredLinks returns the addresses of the neighbors, or the seeds while no other
// daemon is known. It computes the neighbors twice: among all members including the
// suspected ones, so that the two sides of a network partition reconnect; and among the
// unsuspected members, which adds replacements for suspected neighbors.
func (c *Core) desiredLinks() []peer.Address {
	all := c.membersInState(Live, Leaving, Suspected)
	unsuspected := c.membersInState(Live, Leaving)
	names := Neighbors(c.cfg.Self.Name, all, c.cfg.MaxLinks)
	if len(unsuspected) < len(all) {
		names = append(names, Neighbors(c.cfg.Self.Name, unsuspected, c.cfg.MaxLinks)...)
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

// membersInState returns this daemon and the daemons in one of the states whose
// address is known.
func (c *Core) membersInState(states ...State) []Member {
	members := []Member{c.self()}
	for _, r := range c.records {
		if slices.Contains(states, r.state) && r.row.PeerAddress != "" {
			members = append(members, r.member())
		}
	}
	return members
}
