package entry

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/ragworttrestle/ragworttrestle/internal/process/budget"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/portguard"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
	"github.com/ragworttrestle/ragworttrestle/internal/version/routing"
)

// Shares of the instance's memory and descriptors for what the ports other than the callers' hold.
const (
	peerMemoryShare      = 0.1
	peerDescriptorShare  = 0.1
	otherDescriptorShare = 0.04 // of the readiness check, and of operators
)

const (
	// maxOtherConnections limits the connections of the readiness check, and of operators.
	maxOtherConnections = 64
	// otherPortBytes is what the readiness check, and operators, may make the process hold.
	otherPortBytes = 2 << 20
	// maxServerHeadBytes is the limit of net/http on a head. It is above any limit of a configuration that is kept.
	maxServerHeadBytes = 1 << 20
	// sweepInterval is how often the limits on time are checked.
	sweepInterval = 250 * time.Millisecond
	// usageInterval is how often the gauges of what is held are updated.
	usageInterval = time.Second
)

// Limits on a single caller if the configuration has none, or isn't known yet.
const (
	defaultHeadTimeout = 15 * time.Second
	defaultIdleTimeout = 2 * time.Minute
	defaultHeadBytes   = 64 << 10
)

// Names of ports in metrics and log lines.
const (
	portCallers   = "callers"
	portReady     = "ready"
	portOperators = "operators"
	portPeers     = "peers"
)

// guards are the guards of all ports.
type guards struct {
	callers, ready, operators, peers *portguard.Port

	// Used by one goroutine.
	sweptAt  time.Time // last check of the limits on time
	gaugedAt time.Time // last update of the gauges

	warnedOf uint64 // version of the configuration whose limit on bodies was last found too large
}

// newGuards returns the guards for an instance.
func (e *Entry) newGuards(l settings.EntryLimits, scope tally.Scope) *guards {
	descriptors := portguard.Descriptors(l.Descriptors)
	callers := portguard.Limits(l.MemoryMB, portguard.CallerMemoryShare, descriptors, portguard.CallerDescriptorShare)
	peers := portguard.Limits(l.MemoryMB, peerMemoryShare, descriptors, peerDescriptorShare)
	other := budget.NewLimits(otherPortBytes, min(maxOtherConnections, int(otherDescriptorShare*float64(descriptors))))
	return &guards{
		callers:   portguard.New(portCallers, callers, e.callerLimits, scope),
		peers:     portguard.New(portPeers, peers, defaultCallerLimits, scope),
		ready:     portguard.New(portReady, other, defaultCallerLimits, scope),
		operators: portguard.New(portOperators, other, defaultCallerLimits, scope),
	}
}

// defaultCallerLimits returns the limits on a single caller of a port whose limits the configuration doesn't set.
func defaultCallerLimits() budget.CallerLimits {
	return budget.CallerLimits{HeadBytes: defaultHeadBytes, HeadTimeout: defaultHeadTimeout, IdleTimeout: defaultIdleTimeout}
}

// callerLimits returns the limits on a single caller that the configuration in force sets.
func (e *Entry) callerLimits() budget.CallerLimits {
	limits := defaultCallerLimits()
	config := e.state.config.Load()
	if config == nil {
		return limits
	}
	if n := config.Limits.HeaderBytes; n > 0 {
		limits.HeadBytes = min(n, maxServerHeadBytes)
	}
	if d := config.Limits.HeaderTimeout; d > 0 {
		limits.HeadTimeout = d
	}
	if d := config.Limits.IdleTimeout; d > 0 {
		limits.IdleTimeout = d
	}
	return limits
}

// tick checks the limits on time and updates the gauges, if that is due.
func (g *guards) tick(now time.Time) {
	all := []*portguard.Port{g.callers, g.ready, g.operators, g.peers}
	if now.Sub(g.sweptAt) >= sweepInterval {
		g.sweptAt = now
		for _, p := range all {
			p.Sweep(now)
		}
	}
	if now.Sub(g.gaugedAt) >= usageInterval {
		g.gaugedAt = now
		for _, p := range all {
			p.Report()
		}
	}
}

// checkBodyLimit logs if the configuration in force allows bodies that this instance can't hold.
func (g *guards) checkBodyLimit(c *routing.Config) {
	if c == nil || c.Version == g.warnedOf || bodyLimit(c) <= g.callers.LargestBody() {
		return
	}
	g.warnedOf = c.Version
	logline.Info("larger bodies allowed than this instance can hold", "config", c.Version, "allowed_bytes", bodyLimit(c),
		"held_bytes", g.callers.LargestBody(), "setting", "limits.memoryMB", "then", "larger bodies are refused as too large")
}
