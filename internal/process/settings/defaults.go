package settings

// Defaults. Each can be set in the file; docs/operators/settings.md lists them.
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

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// SetDefaults fills fields that the file leaves out.
func (g *Gateway) SetDefaults() {
	setCommonDefaults(&g.Platform, &g.Peer, &g.Stop)
	setDefault(&g.Limits.BodyBytes, DefaultBodyBytes)
	setDefault(&g.Limits.QueueRequests, DefaultQueueRequests)
	setDefault(&g.Limits.QueueTokens, DefaultQueueTokens)
	setDefault(&g.Limits.DefaultDeadlineMS, DefaultDeadlineMS)
	setDefault(&g.Limits.RetryShare, DefaultRetryShare)
	setDefault(&g.Limits.EjectShare, DefaultEjectShare)
	setDefault(&g.Limits.ClaimKeepSeconds, DefaultClaimKeepSeconds)
}

// SetDefaults fills fields that the file leaves out.
func (c *Controller) SetDefaults() {
	setCommonDefaults(&c.Platform, &c.Peer, &c.Stop)
	setDefault(&c.Lease.TTLMS, DefaultLeaseTTLMS)
	setDefault(&c.Lease.MarginMS, DefaultLeaseMarginMS)
	setDefault(&c.Lease.OrderLifeMS, DefaultOrderLifeMS)
	setDefault(&c.Policy.RoleChangePrice, DefaultRoleChangePrice)
	setDefault(&c.Policy.HorizonSeconds, DefaultHorizonSeconds)
	setDefault(&c.Policy.WeightLoadsPerMinute, DefaultWeightLoadsPerMinute)
}

func setCommonDefaults(p *Platform, peer *Peer, stop *Stop) {
	setDefault(&p.CallsPerSecond, DefaultCallsPerSecond)
	setDefault(&p.TimeoutMS, DefaultPlatformTimeoutMS)
	setDefault(&peer.MaxLinks, DefaultMaxLinks)
	setDefault(&peer.HeartbeatMS, DefaultHeartbeatMS)
	setDefault(&peer.Advertise, peer.Listen.Address)
	setDefault(&stop.BalancerMS, DefaultBalancerMS)
	setDefault(&stop.DrainMS, DefaultDrainMS)
}
