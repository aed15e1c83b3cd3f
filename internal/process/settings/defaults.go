package settings

import "github.com/ragworttrestle/ragworttrestle/internal/defaults"

// Defaults of the settings of gateways and controllers, for fields that are missing or
// zero. docs/operators/settings.md lists them.
const (
	DefaultCallsPerSecond       = 50
	DefaultPlatformTimeoutMS    = 2000
	DefaultMaxLinks             = 16
	DefaultHeartbeatMS          = 1000
	DefaultBalancerMS           = 2000
	DefaultDrainMS              = 60_000
	DefaultBodyBytes            = 4 << 20
	DefaultQueueRequests        = 512
	DefaultQueueTokens          = 4 << 20
	DefaultDeadlineMS           = 60_000
	DefaultRetryShare           = 0.1
	DefaultEjectShare           = 0.3
	DefaultClaimKeepSeconds     = 600
	DefaultLeaseTTLMS           = 6000
	DefaultLeaseMarginMS        = 1500
	DefaultOrderLifeMS          = 1000
	DefaultRoleChangePrice      = 5
	DefaultHorizonSeconds       = 120
	DefaultWeightLoadsPerMinute = 6
)

// SetDefaults sets the defaults of fields that are zero.
func (g *Gateway) SetDefaults() {
	setCommonDefaults(&g.Platform, &g.Peer, &g.Stop)
	defaults.Set(&g.Limits.BodyBytes, DefaultBodyBytes)
	defaults.Set(&g.Limits.MemoryMB, DefaultMemoryMB)
	defaults.Set(&g.Limits.QueueRequests, DefaultQueueRequests)
	defaults.Set(&g.Limits.QueueTokens, DefaultQueueTokens)
	defaults.Set(&g.Limits.DefaultDeadlineMS, DefaultDeadlineMS)
	defaults.Set(&g.Limits.RetryShare, DefaultRetryShare)
	defaults.Set(&g.Limits.EjectShare, DefaultEjectShare)
	defaults.Set(&g.Limits.ClaimKeepSeconds, DefaultClaimKeepSeconds)
}

// SetDefaults sets the defaults of fields that are zero.
func (c *Controller) SetDefaults() {
	setCommonDefaults(&c.Platform, &c.Peer, &c.Stop)
	defaults.Set(&c.Lease.TTLMS, DefaultLeaseTTLMS)
	defaults.Set(&c.Lease.MarginMS, DefaultLeaseMarginMS)
	defaults.Set(&c.Lease.OrderLifeMS, DefaultOrderLifeMS)
	defaults.Set(&c.Policy.RoleChangePrice, DefaultRoleChangePrice)
	defaults.Set(&c.Policy.HorizonSeconds, DefaultHorizonSeconds)
	defaults.Set(&c.Policy.WeightLoadsPerMinute, DefaultWeightLoadsPerMinute)
}

// setCommonDefaults sets the defaults of the sections that gateways and controllers share.
func setCommonDefaults(p *Platform, peer *Peer, stop *Stop) {
	defaults.Set(&p.CallsPerSecond, DefaultCallsPerSecond)
	defaults.Set(&p.TimeoutMS, DefaultPlatformTimeoutMS)
	defaults.Set(&peer.MaxLinks, DefaultMaxLinks)
	defaults.Set(&peer.HeartbeatMS, DefaultHeartbeatMS)
	defaults.Set(&peer.Advertise, peer.Listen.Address)
	defaults.Set(&stop.BalancerMS, DefaultBalancerMS)
	defaults.Set(&stop.DrainMS, DefaultDrainMS)
}
