package gateway

import (
	"math"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
	"github.com/ragworttrestle/ragworttrestle/internal/request/route"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// demandKey identifies a row of the demand that is reported to peers.
type demandKey struct{ model, route string }

// demandRow returns the row for the model and route of a request, and creates it if there is none.
// Demand is counted by route because the role policy needs the route's latency targets and priority. It
// must be called with mu held.
func (d *dispatcher) demandRow(q *route.Request) *peer.DemandRow {
	key := demandKey{q.Model, q.Route}
	row, ok := d.demand[key]
	if !ok {
		row = &peer.DemandRow{Model: q.Model, Route: q.Route}
		d.demand[key] = row
	}
	return row
}

// useReport returns the report that this gateway sends to its peers: its load on runners, the use of
// account limits, and the demand since the previous report.
func (d *dispatcher) useReport(now time.Time) peer.UseReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := peer.UseReport{Runners: d.tracker.Report(), Accounts: d.limit.Report(now)}
	for _, row := range d.demand {
		r.Demand = append(r.Demand, *row)
	}
	clear(d.demand)
	return r
}

// mergePeerUse applies a usage report of another gateway.
func (d *dispatcher) mergePeerUse(now time.Time, r *peer.UseReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracker.PeerUseReported(now, r.Origin, r.Runners)
	d.limit.PeerUseReported(now, r.Origin, r.Accounts)
}

// setGateways sets the gateways of this zone, which share the account limits, and the
// number of gateways in all zones. Usage reports stay within a zone, so the limits are
// split between zones in proportion to their gateways and shared within a zone.
func (d *dispatcher) setGateways(now time.Time, zoneGateways []string, total int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.zoneShare = 1
	if len(zoneGateways) > 0 && total > len(zoneGateways) {
		d.zoneShare = float64(len(zoneGateways)) / float64(total)
	}
	d.limit.SetGateways(now, zoneGateways)
}

// zoneLimits returns the account with its limits reduced to this zone's share. It must be called with mu
// held.
func (d *dispatcher) zoneLimits(spec resource.ClientAccount) resource.ClientAccount {
	spec.RequestsPerSec *= d.zoneShare
	spec.Burst = int(math.Ceil(float64(spec.Burst) * d.zoneShare))
	spec.TokensInFlight = int(math.Ceil(float64(spec.TokensInFlight) * d.zoneShare))
	return spec
}
