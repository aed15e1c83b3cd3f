package entry

import (
	"math"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/caller"
	"github.com/ragworttrestle/ragworttrestle/internal/process/budget"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
	"github.com/ragworttrestle/ragworttrestle/internal/version/routing"
)

// Shares of the instance's memory and descriptors for what each port holds. The rest is for the process itself, for
// connections to upstreams, to the platform and to other instances, and for garbage that isn't collected yet.
const (
	callerMemoryShare     = 0.3
	callerDescriptorShare = 0.6
	peerMemoryShare       = 0.1
	peerDescriptorShare   = 0.1
	otherDescriptorShare  = 0.04 // of the readiness check, and of operators
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
	// fallbackDescriptors is used if the limit on descriptors isn't known.
	fallbackDescriptors = 1024
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

// portGuard is the guard of one port, and tells what it decides.
type portGuard struct {
	*caller.Guard
	port        string
	scope       tally.Scope
	largestBody int64 // that a request can have

	bytes       []tally.Gauge // by budget.Purpose
	connections []tally.Gauge // by budget.Phase

	mu       sync.Mutex
	counters map[budget.Reason]tally.Counter
	short    bool // as last logged
}

// guards are the guards of all ports.
type guards struct {
	callers, ready, operators, peers *portGuard

	// Used by one goroutine.
	sweptAt  time.Time // last check of the limits on time
	gaugedAt time.Time // last update of the gauges

	warnedOf uint64 // version of the configuration whose limit on bodies was last found too large
}

// newGuards returns the guards for an instance.
func (e *Entry) newGuards(l settings.EntryLimits, scope tally.Scope) *guards {
	memory := float64(int64(l.MemoryMB) << 20)
	descriptors := float64(descriptorLimit(l.Descriptors))
	other := budget.NewLimits(otherPortBytes, min(maxOtherConnections, int(otherDescriptorShare*descriptors)))
	return &guards{
		callers:   newPortGuard(portCallers, budget.NewLimits(int64(callerMemoryShare*memory), int(callerDescriptorShare*descriptors)), e.callerLimits, scope),
		peers:     newPortGuard(portPeers, budget.NewLimits(int64(peerMemoryShare*memory), int(peerDescriptorShare*descriptors)), defaultCallerLimits, scope),
		ready:     newPortGuard(portReady, other, defaultCallerLimits, scope),
		operators: newPortGuard(portOperators, other, defaultCallerLimits, scope),
	}
}

func newPortGuard(port string, total budget.Limits, limits caller.CallerLimits, scope tally.Scope) *portGuard {
	g := &portGuard{port: port, scope: scope.Tagged(map[string]string{"port": port}), largestBody: total.LargestBody(), counters: make(map[budget.Reason]tally.Counter)}
	g.Guard = caller.NewGuard(total, limits, g)
	for p := range budget.Purposes {
		g.bytes = append(g.bytes, g.scope.Tagged(map[string]string{"purpose": p.String()}).Gauge("held_bytes"))
	}
	for p := range budget.Phases {
		g.connections = append(g.connections, g.scope.Tagged(map[string]string{"phase": p.String()}).Gauge("connections"))
	}
	g.scope.Gauge("held_bytes_limit").Update(float64(total.Bytes))
	g.scope.Gauge("connections_limit").Update(float64(total.Connections))
	return g
}

// descriptorLimit returns the limit on descriptors: the configured one, or the kernel's if that is lower.
func descriptorLimit(configured int) int {
	var kernel unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &kernel); err != nil {
		logline.Error(err, "limit on descriptors unknown", "then", "the settings' or a default is used")
		kernel.Cur = math.MaxUint64
	}
	limit := uint64(configured)
	if configured == 0 || kernel.Cur < limit {
		limit = kernel.Cur
	}
	if limit > math.MaxInt32 {
		return fallbackDescriptors
	}
	return int(limit)
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

// ConnectionClosed implements caller.Events.
func (g *portGuard) ConnectionClosed(phase budget.Phase, reason budget.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c, ok := g.counters[reason]
	if !ok {
		c = g.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("connections_closed")
		g.counters[reason] = c
	}
	c.Inc(1)
}

// report updates the gauges, and logs when the port begins or ceases to be short of room.
func (g *portGuard) report() {
	u := g.Usage()
	for p, gauge := range g.bytes {
		gauge.Update(float64(u.ByPurpose[p]))
	}
	for p, gauge := range g.connections {
		gauge.Update(float64(u.Connections[p]))
	}
	if g.short == u.Short {
		return
	}
	g.short = u.Short
	event := "room for connections again"
	if u.Short {
		event = "no room for connections"
	}
	logline.Info(event, "port", g.port, "bytes", u.Bytes, "heads", u.ByPurpose[budget.Heads], "bodies", u.ByPurpose[budget.Bodies],
		"responses", u.ByPurpose[budget.Responses], "unused", u.Connections[budget.Unused], "in_head", u.Connections[budget.Head],
		"in_body", u.Connections[budget.Body], "running", u.Connections[budget.Running], "idle", u.Connections[budget.Idle],
		"lingering", u.Connections[budget.Lingering])
}

// tick checks the limits on time and updates the gauges, if that is due.
func (g *guards) tick(now time.Time) {
	all := []*portGuard{g.callers, g.ready, g.operators, g.peers}
	if now.Sub(g.sweptAt) >= sweepInterval {
		g.sweptAt = now
		for _, p := range all {
			p.Sweep(now)
		}
	}
	if now.Sub(g.gaugedAt) >= usageInterval {
		g.gaugedAt = now
		for _, p := range all {
			p.report()
		}
	}
}

// checkBodyLimit logs if the configuration in force allows bodies that this instance can't hold.
func (g *guards) checkBodyLimit(c *routing.Config) {
	if c == nil || c.Version == g.warnedOf || bodyLimit(c) <= g.callers.largestBody {
		return
	}
	g.warnedOf = c.Version
	logline.Info("larger bodies allowed than this instance can hold", "config", c.Version, "allowed_bytes", bodyLimit(c),
		"held_bytes", g.callers.largestBody, "setting", "limits.memoryMB", "then", "larger bodies are refused as too large")
}
