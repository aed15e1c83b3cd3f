package member

import (
	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
)

// UseReportRoutes computes and caches the relay trees of the use reports in one zone. A use
// report says what work a gateway sent since its previous report. UseReportRoutes is not safe for
// concurrent use.
type UseReportRoutes struct {
	self     string
	zone     string
	graph    topology
	zoneOf   map[string]string // zones of the members by name
	trees    map[string]tree   // by origin
	gateways int               // number of gateways in the zone
}

// NewUseReportRoutes returns the routes as seen by self. Only members that are live or leaving
// relay and receive reports. links is the approximate limit of links, see Neighbors.
func NewUseReportRoutes(self peer.Hello, members []Member, links int) *UseReportRoutes {
	u := &UseReportRoutes{self: self.Name, zone: self.Zone, zoneOf: map[string]string{}, trees: map[string]tree{}}
	var reachable []Member
	for _, m := range members {
		if m.State != Live && m.State != Leaving {
			continue
		}
		reachable = append(reachable, m)
		u.zoneOf[m.Name] = m.Zone
		if m.Zone == self.Zone && m.Role == RoleGateway {
			u.gateways++
		}
	}
	u.graph = topologyOf(self.Zone, reachable, links)
	return u
}

// Next returns the daemons to which self relays a report of origin, or sends it if self is
// the origin. It returns none if origin is in another zone or unknown, since reports do
// not leave their zone.
func (u *UseReportRoutes) Next(origin string) []string {
	if u.zoneOf[origin] != u.zone {
		return nil
	}
	t, known := u.trees[origin]
	if !known {
		t = u.graph.treeFrom(origin, u.zoneOf)
		u.trees[origin] = t
	}
	return t[u.self]
}

// Sequences holds the sequence number of the latest use report of each origin, to detect
// reports that were received before.
type Sequences map[string]uint64

// Accept reports whether a report is new, and records it if so. A report with a lower or
// equal sequence number than the latest one is not new, unless the number is so far
// below that the gateway must have restarted, see minRestartGap.
func (s Sequences) Accept(r peer.UseReport) bool {
	last, known := s[r.Origin]
	if known && r.Sequence <= last && last-r.Sequence < minRestartGap {
		return false
	}
	s[r.Origin] = r.Sequence
	return true
}

// minRestartGap is how far a sequence number must be below the latest one for the report
// to count as one of a restarted gateway instead of a late one.
const minRestartGap = 8

// RoleGateway and RoleController are the roles of daemons.
const (
	RoleGateway    = "gateway"
	RoleController = "controller"
)

// useBytesPerTick limits the bytes of all use reports that a daemon receives, and the
// bytes of its own reports that it sends, per heartbeat interval on average.
const useBytesPerTick = 3000

// Period returns the number of heartbeat intervals between two use reports of this
// gateway, if they have the given size. Every daemon of the zone receives every
// report, so the bytes that it receives grow with the number of gateways and the size of
// their reports. The period grows likewise, to stay within useBytesPerTick.
func (u *UseReportRoutes) Period(reportBytes int) int {
	copies := max(u.gateways, len(u.Next(u.self)))
	return max(1, (copies*reportBytes+useBytesPerTick-1)/useBytesPerTick)
}
