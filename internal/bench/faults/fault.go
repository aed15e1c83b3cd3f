package faults

import (
	"time"

	standin "github.com/ragworttrestle/ragworttrestle/internal/standin/platform"
)

// fault is one thing that goes wrong in the middle of the streams. Its strike
// tells how many connections it broke that were carrying an answer.
type fault struct {
	name   string
	strike func(f *fleet, outage time.Duration) (broken int)
}

// What faults hit.
const (
	hitZone   = 0 // and its gateway
	otherZone = 2 // and its gateway, if two faults come at once
	longer    = 3 // times the outage; more than a gateway tries to resume a stream or waits for a claim
	hitRunner = 1 // not in hitZone; it has streams of its own zone's gateway and of hitZone's
)

// faults are measured one after the other, each with a fleet of its own.
var faults = []fault{
	{"runner", func(f *fleet, outage time.Duration) int { return f.crash(hitRunner, outage) }},
	{"gateway", func(f *fleet, _ time.Duration) int { return f.kill(hitZone) }},
	{"zone", func(f *fleet, outage time.Duration) int { return f.cutZone(hitZone, outage) }},
	{"zone for long", func(f *fleet, outage time.Duration) int { return f.cutZone(hitZone, longer*outage) }},
	{"zone, silent", func(f *fleet, outage time.Duration) int { return f.stallZone(hitZone, longer*outage) }},
	{"gateway+runner", func(f *fleet, outage time.Duration) int {
		return f.kill(hitZone) + f.crash(hitRunner, outage)
	}},
	{"gateway+zone", func(f *fleet, outage time.Duration) int {
		return f.kill(otherZone) + f.cutZone(hitZone, outage)
	}},
	{"platform+gateway", func(f *fleet, outage time.Duration) int {
		f.platformOut(longer * outage)
		return f.kill(hitZone)
	}},
}

// crash ends a runner's process, which comes back after down with nothing kept.
func (f *fleet) crash(i int, down time.Duration) int {
	broken := 0
	for _, m := range f.gateways {
		broken += m.runners[i].streaming()
	}
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
	return broken
}

// kill takes every connection from a gateway for good, at once and without drain.
// Its memory lives on, but nothing it does can be seen from outside any more,
// which is what the end of its process looks like to all others.
func (f *fleet) kill(i int) int {
	m := f.gateways[i]
	f.mu.Lock()
	m.killed = true
	f.mu.Unlock()
	broken := streaming(m.runners) + streaming(m.services)
	for _, l := range m.links() {
		l.cut()
	}
	for _, other := range f.others(i) {
		other.peers.cutFrom(gatewayName(i))
	}
	return broken
}

// cutZone parts a zone from the other zones and from the platform. Its callers
// still reach its gateway, and the gateway its zone's upstreams.
func (f *fleet) cutZone(i int, outage time.Duration) int {
	here, across := f.gateways[i], f.across(i)
	broken := streaming(across)
	across = append(across, here.platform, here.peers)
	for _, l := range across {
		l.cut()
	}
	for _, other := range f.others(i) {
		other.peers.cutFrom(gatewayName(i))
	}
	f.later(outage, func() { f.joinZone(i, across) })
	return broken
}

func streaming(links []*link) int {
	n := 0
	for _, l := range links {
		n += l.streaming()
	}
	return n
}

// across are the links between a zone's gateway or upstreams and those outside of it.
func (f *fleet) across(zone int) []*link {
	var out []*link
	for g, m := range f.gateways {
		for r, l := range m.runners {
			if (g == zone) != (zoneOf(r) == zone) {
				out = append(out, l)
			}
		}
		for s, l := range m.services {
			if (g == zone) != (zoneOfService(s) == zone) {
				out = append(out, l)
			}
		}
	}
	return out
}

// stallZone does the same, but nobody is told: connections stay open and carry
// nothing, and what was sent into them arrives when the zone is joined again.
func (f *fleet) stallZone(i int, outage time.Duration) int {
	here, across := f.gateways[i], f.across(i)
	broken, held := streaming(across), newGate()
	across = append(across, here.platform, here.peers)
	for _, l := range across {
		l.stall(held)
	}
	for _, other := range f.others(i) {
		other.peers.stallFrom(gatewayName(i), held)
	}
	f.later(outage, func() { f.joinZone(i, across); held.open() })
	return broken
}

// joinZone takes back the cuts of a zone.
func (f *fleet) joinZone(i int, across []*link) {
	for _, l := range across {
		l.heal()
	}
	for _, other := range f.others(i) {
		other.peers.healFrom(gatewayName(i))
	}
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

func (f *fleet) anyCrashed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.crashed) > 0
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
