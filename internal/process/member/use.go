package member

import (
	"cmp"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
)

// UseRoutes computes the ways of use reports through one zone from the members.
// It is immutable.
type UseRoutes struct {
	self     string
	zone     string
	graph    topology
	zoneOf   map[string]string
	gateways int // of the zone
}

// NewUseRoutes computes the routes at self over the members that can be reached.
func NewUseRoutes(self peer.Hello, members []Member, links int) *UseRoutes {
	u := &UseRoutes{self: self.Name, zone: self.Zone, zoneOf: map[string]string{}}
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
	u.graph = topologyOf(reachable, links)
	return u
}

// Next gives the daemons to which self passes on a report of origin. Origin must
// be of the same zone; reports do not leave their zone.
func (u *UseRoutes) Next(origin string) []string {
	if u.zoneOf[origin] != u.zone {
		return nil
	}
	return u.graph.children(origin, u.self, u.zoneOf)
}

// Gateways is the number of gateways that report in this zone.
func (u *UseRoutes) Gateways() int { return u.gateways }

// Sequences keeps the latest report of each gateway, so that each is taken once.
type Sequences map[string]uint64

// First reports whether a report was not seen yet. A sequence number that falls
// far back is that of a restarted gateway.
func (s Sequences) First(r peer.UseReport) bool {
	last, known := s[r.Origin]
	if known && r.Sequence <= last && last-r.Sequence < restartGap {
		return false
	}
	s[r.Origin] = r.Sequence
	return true
}

// restartGap tells a late report from one of a restarted gateway.
const restartGap = 8

// RoleGateway and RoleController are the roles of daemons.
const (
	RoleGateway    = "gateway"
	RoleController = "controller"
)

// ReportEvery is the number of ticks between the use reports of one gateway. Each
// report goes to every daemon of the zone, so that what a daemon gets grows with
// the number of gateways there; from perTick gateways on they report more rarely.
func ReportEvery(gateways int) int {
	return cmp.Or((gateways+reportsPerTick-1)/reportsPerTick, 1)
}

// reportsPerTick bounds the use reports that a daemon gets in one heartbeat interval.
const reportsPerTick = 8
