// Package portguard gives each port of a process a caller.Guard that tells what it decides: gauges of what is held,
// counters of closed connections by reason, and a log line when the port begins and ceases to be short of room.
package portguard

import (
	"math"
	"sync"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/caller"
	"github.com/ragworttrestle/ragworttrestle/internal/process/budget"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
)

// Shares of the instance's memory and descriptors for what callers' connections hold. The rest is for the process
// itself, for its other connections, and for garbage that isn't collected yet.
const (
	CallerMemoryShare     = 0.3
	CallerDescriptorShare = 0.6
)

// processBytes is what a process needs for itself before it holds anything for callers: its program, the runtime, and
// lists of a small fleet.
const processBytes = 16 << 20

// smallMemoryFactor is how much larger a port's share of the memory beyond processBytes may be than that of all memory.
const smallMemoryFactor = 4.0 / 3

// runtimeShare is the share of the memory that the Go runtime may use at most.
const runtimeShare = 0.75

// fallbackDescriptors is used if the limit on descriptors isn't known.
const fallbackDescriptors = 1024

// Port is the guard of one port. Report must be called by one goroutine at a time.
type Port struct {
	*caller.Guard
	name        string
	scope       tally.Scope
	largestBody int64

	bytes       []tally.Gauge // by budget.Purpose
	connections []tally.Gauge // by budget.Phase
	short       bool          // as last logged

	mu       sync.Mutex
	counters map[budget.Reason]tally.Counter
}

// New returns the guard of a port. name is that of the port in metrics and log lines.
func New(name string, total budget.Limits, limits caller.CallerLimits, scope tally.Scope) *Port {
	p := &Port{name: name, scope: scope.Tagged(map[string]string{"port": name}), largestBody: total.LargestBody(), counters: make(map[budget.Reason]tally.Counter)}
	p.Guard = caller.NewGuard(total, limits, p)
	for purpose := range budget.Purposes {
		p.bytes = append(p.bytes, p.scope.Tagged(map[string]string{"purpose": purpose.String()}).Gauge("held_bytes"))
	}
	for phase := range budget.Phases {
		p.connections = append(p.connections, p.scope.Tagged(map[string]string{"phase": phase.String()}).Gauge("connections"))
	}
	p.scope.Gauge("held_bytes_limit").Update(float64(total.Bytes))
	p.scope.Gauge("connections_limit").Update(float64(total.Connections))
	return p
}

// LargestBody returns the size of the largest body, in bytes, that a request can have.
func (p *Port) LargestBody() int64 { return p.largestBody }

// ConnectionClosed implements caller.Events.
func (p *Port) ConnectionClosed(_ budget.Phase, reason budget.Reason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.counters[reason]
	if !ok {
		c = p.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("connections_closed")
		p.counters[reason] = c
	}
	c.Inc(1)
}

// Report updates the gauges, and logs when the port begins or ceases to be short of room.
func (p *Port) Report() {
	u := p.Usage()
	for purpose, gauge := range p.bytes {
		gauge.Update(float64(u.ByPurpose[purpose]))
	}
	for phase, gauge := range p.connections {
		gauge.Update(float64(u.Connections[phase]))
	}
	if p.short == u.Short {
		return
	}
	p.short = u.Short
	event := "room for connections again"
	if u.Short {
		event = "no room for connections"
	}
	logline.Info(event, "port", p.name, "bytes", u.Bytes, "heads", u.ByPurpose[budget.Heads], "bodies", u.ByPurpose[budget.Bodies],
		"responses", u.ByPurpose[budget.Responses], "unused", u.Connections[budget.Unused], "in_head", u.Connections[budget.Head],
		"in_body", u.Connections[budget.Body], "running", u.Connections[budget.Running], "idle", u.Connections[budget.Idle],
		"lingering", u.Connections[budget.Lingering])
}

// Limits returns the limits of a port that may use shares of an instance's memory, in MiB, and of its descriptors. Of a
// small memory it may use less, as the process itself needs a larger part of it.
func Limits(memoryMB int, memoryShare float64, descriptors int, descriptorShare float64) budget.Limits {
	memory := float64(int64(memoryMB) << 20)
	usable := max(0, memory-processBytes)
	bytes := memoryShare * min(memory, smallMemoryFactor*usable)
	return budget.NewLimits(int64(bytes), int(descriptorShare*float64(descriptors)))
}

// RuntimeLimit returns the memory limit of the Go runtime, in bytes, for an instance's memory in MiB. The rest is for memory
// that the runtime doesn't count, such as the program itself and sockets' buffers, and for what it uses beyond the limit in
// a burst.
func RuntimeLimit(memoryMB int) int64 {
	memory := int64(memoryMB) << 20
	return min(int64(runtimeShare*float64(memory)), max(memory-processBytes, memory/4))
}

// Descriptors returns the limit on descriptors of this process: the configured one, or the kernel's if that is lower.
func Descriptors(configured int) int {
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
