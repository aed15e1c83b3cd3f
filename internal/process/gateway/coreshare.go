package gateway

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
)

func (c *cores) demandOf(model string) *peer.DemandRow {
	row, ok := c.demand[model]
	if !ok {
		row = &peer.DemandRow{Model: model}
		c.demand[model] = row
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

// setGateways tells which gateways share the account limits.
func (c *cores) setGateways(now time.Time, names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit.SetGateways(now, names)
}
