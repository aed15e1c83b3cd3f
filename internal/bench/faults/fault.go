package faults

import (
	"time"

	standin "github.com/ragworttrestle/ragworttrestle/internal/standin/platform"
)

// fault is one thing that goes wrong in the middle of the streams.
type fault struct {
	name   string
	strike func(f *fleet, outage time.Duration)
}

// The gateway, zone and runners that faults hit.
const (
	hitZone     = 0
	otherZone   = 1
	hitRunner   = 0 // in hitZone
	otherRunner = 1 // in otherZone
)

// faults are measured one after the other, each with a fleet of its own.
var faults = []fault{
	{"runner", func(f *fleet, outage time.Duration) { f.crash(hitRunner, outage) }},
	{"gateway", func(f *fleet, _ time.Duration) { f.kill(hitZone) }},
	{"zone", func(f *fleet, outage time.Duration) { f.cutZone(hitZone, outage) }},
	{"gateway+runner", func(f *fleet, outage time.Duration) {
		f.kill(hitZone)
		f.crash(otherRunner, outage)
	}},
	{"gateway+zone", func(f *fleet, outage time.Duration) {
		f.kill(hitZone)
		f.cutZone(otherZone, outage)
	}},
	{"platform+gateway", func(f *fleet, outage time.Duration) {
		f.platformOut(outage)
		f.kill(hitZone)
	}},
}

// crash ends a runner's process, which comes back after down with nothing kept.
func (f *fleet) crash(i int, down time.Duration) {
	f.mu.Lock()
	f.crashed = append(f.crashed, i)
	f.mu.Unlock()
	f.runners[i].Crash(down)
	for _, m := range f.gateways {
		m.runners[i].cut()
	}
	f.later(down, func() {
		for _, m := range f.gateways {
			m.runners[i].heal()
		}
	})
}

// kill takes every connection from a gateway for good, at once and without drain.
// Its memory lives on, but nothing it does can be seen from outside any more,
// which is what the end of its process looks like to all others.
func (f *fleet) kill(i int) {
	m := f.gateways[i]
	f.mu.Lock()
	m.killed = true
	f.mu.Unlock()
	for _, l := range m.links() {
		l.cut()
	}
	for _, other := range f.others(i) {
		other.peers.cutFrom(gatewayName(i))
	}
}

// cutZone parts a zone from the other zones and from the platform. Its callers
// still reach its gateway, and the gateway its zone's upstreams.
func (f *fleet) cutZone(i int, outage time.Duration) {
	across := f.across(i)
	for _, l := range across {
		l.cut()
	}
	for _, other := range f.others(i) {
		other.peers.cutFrom(gatewayName(i))
	}
	f.later(outage, func() {
		for _, l := range across {
			l.heal()
		}
		for _, other := range f.others(i) {
			other.peers.healFrom(gatewayName(i))
		}
	})
}

// across are the links between a zone and what is outside of it.
func (f *fleet) across(zone int) []*link {
	here := f.gateways[zone]
	out := []*link{here.platform, here.peers}
	for g, m := range f.gateways {
		for r, l := range m.runners {
			if (g == zone) != (zoneOf(r) == zone) {
				out = append(out, l)
			}
		}
		for s, l := range m.services {
			if (g == zone) != (s == zone) {
				out = append(out, l)
			}
		}
	}
	return out
}

// platformOut makes the platform refuse every call for a while.
func (f *fleet) platformOut(outage time.Duration) {
	f.store.SetFault(standin.Fault{Outage: true})
	f.later(outage, func() { f.store.SetFault(standin.Fault{}) })
}

func (f *fleet) others(i int) []*member {
	var out []*member
	for g, m := range f.gateways {
		if g != i {
			out = append(out, m)
		}
	}
	return out
}

// later heals what a fault broke.
func (f *fleet) later(after time.Duration, heal func()) {
	f.healing.Go(func() {
		time.Sleep(after)
		heal()
	})
}

func (f *fleet) isKilled(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gateways[i].killed
}

// ran counts the executions of a marker at all upstreams.
func (f *fleet) ran(mark string) int {
	n := 0
	for _, r := range f.runners {
		n += r.Executions().Marks[mark]
	}
	for _, s := range f.services {
		n += s.Calls()[mark]
	}
	return n
}

// ranAtCrashed tells whether a marker ran at a runner that crashed.
func (f *fleet) ranAtCrashed(mark string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range f.crashed {
		if f.runners[i].Executions().Marks[mark] > 0 {
			return true
		}
	}
	return false
}
