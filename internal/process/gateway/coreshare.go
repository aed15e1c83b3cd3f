package gateway

import (
	"math"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
	"github.com/ragworttrestle/ragworttrestle/internal/request/route"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// demandKey names one row of the demand that is reported to peers.
type demandKey struct{ model, route string }

// demandOf gives the row for a request's model and route. The role policy needs the
// route: it tells what counts as on time, and which requests go first.
func (c *cores) demandOf(q *route.Request) *peer.DemandRow {
	key := demandKey{q.Model, q.Route}
	row, ok := c.demand[key]
	if !ok {
		row = &peer.DemandRow{Model: q.Model, Route: q.Route}
		c.demand[key] = row
	}
	return row
}

// report gives this gateway's use since the last call, for its peers.
func (c *cores) report(now time.Time) peer.UseReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := peer.UseReport{Runners: c.tracker.Report(), Accounts: c.limit.Report(now)}
	for _, row := range c.demand {
		r.Demand = append(r.Demand, *row)
	}
	clear(c.demand)
	return r
}

// peerUse takes in another gateway's report.
func (c *cores) peerUse(now time.Time, r *peer.UseReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.PeerUse(now, r.Origin, r.Runners)
	c.limit.PeerUse(now, r.Origin, r.Accounts)
}

// setGateways tells which gateways of this zone share the account limits, and how
// many there are in all zones. Use reports stay in their zone, so that the limits
// are split between zones by their gateways and shared within a zone.
func (c *cores) setGateways(now time.Time, zone []string, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.zoneShare = 1
	if len(zone) > 0 && all > len(zone) {
		c.zoneShare = float64(len(zone)) / float64(all)
	}
	c.limit.SetGateways(now, zone)
}

// zoneLimits gives an account's limits in this zone.
func (c *cores) zoneLimits(spec resource.ClientAccount) resource.ClientAccount {
	spec.RequestsPerSec *= c.zoneShare
	spec.Burst = int(math.Ceil(float64(spec.Burst) * c.zoneShare))
	spec.TokensInFlight = int(math.Ceil(float64(spec.TokensInFlight) * c.zoneShare))
	return spec
}
