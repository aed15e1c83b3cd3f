package links

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// probeInterval is the time between two probes of a link that is down.
	probeInterval = 500 * time.Millisecond
	// minHold is how long a link must have answered all probes before requests use it again. It doubles with each
	// time that the link went down within failureMemory, up to maxHold, so that a link that comes and goes is
	// left alone.
	minHold       = time.Second
	maxHold       = 8 * time.Second
	failureMemory = 30 * time.Second
	// evidenceWindow is how long a link that worked counts as up when the links that are down are compared with
	// the others.
	evidenceWindow = 3 * time.Second
	// doubtWindow is the time without any link that worked after which the own links are in doubt.
	doubtWindow = time.Second
	// wantedWindow is how long a link that is down is probed after the last request that wanted it.
	wantedWindow = 10 * time.Second
	// forgetInterval is the time between two searches for links without recent evidence.
	forgetInterval = time.Second
	// minDown is the least number of links that are down at an instance that is cut off.
	minDown = 2
	// minProbes and maxProbes limit the probes that begin at once. The limit doubles with each probe that succeeds, so
	// that links return quickly, but in steps.
	minProbes = 8
	maxProbes = 64
)

// link is what is known of one link.
type link struct {
	zone      string    // of the upstream; empty: not known
	down      bool      // requests go through relays
	confirmed bool      // a relay reached the upstream while the link was down
	workedAt  time.Time // last evidence that the link works
	wantedAt  time.Time // last request for the upstream while the link was down
	failed    bool      // a probe failed since the link went down
	downAt    time.Time // when the link last went down
	failures  int       // how often it went down, each time within failureMemory of the time before
	probing   bool
	nextProbe time.Time
	upSince   time.Time // first of the probes since the last failed one; zero: the last probe failed
}

// Core tracks the links of this instance. It is not safe for concurrent use.
type Core struct {
	links          map[string]*link // by address; those without recent evidence are forgotten
	downCount      int
	confirmedCount int // links that are confirmed to be down, as of the last assessment
	cutOff         bool
	probeLimit     int       // of the probes that begin at once
	workedAt       time.Time // when any link last worked
	forgottenAt    time.Time // when links were last forgotten
}

// New returns a core that takes all links to work.
func New() *Core { return &Core{links: make(map[string]*link), probeLimit: minProbes} }

// UseOwn reports whether a request to an upstream is sent over the own link. While this instance is cut off, links
// without recent evidence are taken to be down, too.
func (c *Core) UseOwn(now time.Time, address string) bool {
	if c.downCount == 0 {
		return true
	}
	l := c.links[address]
	if l == nil || !l.down {
		if !c.cutOff || (l != nil && now.Sub(l.workedAt) < evidenceWindow) {
			return true
		}
		l = c.markDown(now, address)
	}
	l.wantedAt = now
	return false
}

// Worked records that the own link to an upstream works. A link that is down stays so until probes have succeeded
// for a while.
func (c *Core) Worked(now time.Time, address string) {
	l := c.link(address)
	if l.down {
		return
	}
	l.workedAt, c.workedAt = now, now
	if c.cutOff {
		c.assess(now)
	}
}

// Reached records that a request over the own link to an upstream in the given zone was answered.
func (c *Core) Reached(now time.Time, address, zone string) {
	c.Worked(now, address)
	c.link(address).zone = zone
}

// Neighbors returns up to n addresses in the zone of an upstream whose own links worked last, other than its own, the
// latest first. A link that worked longer than evidenceWindow ago isn't among them.
func (c *Core) Neighbors(now time.Time, address string, n int) []string {
	target, ok := c.links[address]
	if !ok || target.zone == "" {
		return nil
	}
	var out []string
	for other, l := range c.links {
		if other != address && l.zone == target.zone && now.Sub(l.workedAt) < evidenceWindow {
			out = append(out, other)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(c.links[b].workedAt.Compare(c.links[a].workedAt), strings.Compare(a, b))
	})
	return out[:min(len(out), n)]
}

// Failed records that a connection over the own link couldn't be opened, or became silent. The link is taken to be
// down until a relay fails to reach the upstream, too (Unreachable), or until it works again.
func (c *Core) Failed(now time.Time, address string) {
	if l := c.links[address]; l != nil && l.down {
		return
	}
	c.markDown(now, address).wantedAt = now
}

// Relayed records that a relay reached an upstream. It reports whether that newly confirms that the link is down. The
// first probe is then due at once: the link may have lost a single packet, or the upstream has just been started.
func (c *Core) Relayed(now time.Time, address string) (confirmed bool) {
	l := c.links[address]
	if l == nil || !l.down || l.confirmed {
		return false
	}
	l.confirmed, l.nextProbe = true, now
	c.assess(now)
	return true
}

// Unreachable records that a relay doesn't reach an upstream either: the upstream is down, and the failure says
// nothing about the link. A link that is confirmed to be down stays so.
func (c *Core) Unreachable(now time.Time, address string) {
	if l := c.links[address]; l != nil && l.down && !l.confirmed {
		l.failures--
		c.markUp(l)
		c.assess(now)
	}
}

// InDoubt reports whether a failure may well be due to the own links: no link worked lately, or one is down.
func (c *Core) InDoubt(now time.Time) bool {
	return c.confirmedCount > 0 || now.Sub(c.workedAt) >= doubtWindow
}

// CutOff reports whether this instance is cut off from most upstreams.
func (c *Core) CutOff() bool { return c.cutOff }

// Down returns the number of links that are down.
func (c *Core) Down() int { return c.downCount }

// IsDown reports whether a link is confirmed to be down.
func (c *Core) IsDown(address string) bool {
	l := c.links[address]
	return l != nil && l.confirmed
}

// MayTry reports whether a link that is down answered its last probe. If no relay is available, it may be used.
func (c *Core) MayTry(address string) bool {
	l := c.links[address]
	return l == nil || !l.down || !l.upSince.IsZero()
}

// ProbesDue returns the addresses of links to probe now. Each counts as being probed until Probed is called. It
// also forgets links without recent evidence.
func (c *Core) ProbesDue(now time.Time) []string {
	if now.Sub(c.forgottenAt) >= forgetInterval {
		c.forgottenAt = now
		c.forget(now)
	}
	if c.downCount == 0 {
		return nil
	}
	due := slices.DeleteFunc(slices.Collect(maps.Keys(c.links)), func(address string) bool {
		l := c.links[address]
		return !l.down || l.probing || now.Before(l.nextProbe)
	})
	slices.SortFunc(due, func(a, b string) int {
		return cmp.Or(c.links[a].nextProbe.Compare(c.links[b].nextProbe), strings.Compare(a, b))
	})
	due = due[:min(len(due), c.probeLimit)]
	for _, address := range due {
		c.links[address].probing = true
	}
	return due
}

// Probed records the result of a probe: whether a connection over the own link was established. It reports whether
// requests use the link again. That takes several probes (hold), unless the link failed for the first time and no
// probe failed.
func (c *Core) Probed(now time.Time, address string, reached bool) (restored bool) {
	l := c.links[address]
	if l == nil {
		return false
	}
	l.probing, l.nextProbe = false, now.Add(probeInterval)
	if !l.down {
		return false
	}
	if !reached {
		l.failed, l.upSince, c.probeLimit = true, time.Time{}, minProbes
		return false
	}
	c.probeLimit = min(2*c.probeLimit, maxProbes)
	if l.upSince.IsZero() {
		l.upSince = now
	}
	if single := !l.failed && l.failures == 1; !single && now.Sub(l.upSince) < l.hold() {
		return false
	}
	c.markUp(l)
	l.workedAt, c.workedAt = now, now
	c.assess(now)
	return true
}

// hold returns how long all probes must succeed before the link is used again.
func (l *link) hold() time.Duration {
	hold := minHold
	for i := 1; i < l.failures && hold < maxHold; i++ {
		hold *= 2
	}
	return hold
}

// link returns the link to an address.
func (c *Core) link(address string) *link {
	l, ok := c.links[address]
	if !ok {
		l = &link{}
		c.links[address] = l
	}
	return l
}

// markDown marks a link as down. The first probe is due after probeInterval.
func (c *Core) markDown(now time.Time, address string) *link {
	l := c.link(address)
	if now.Sub(l.downAt) >= failureMemory {
		l.failures = 0
	}
	l.down, l.confirmed, l.failed, l.downAt, l.upSince = true, false, false, now, time.Time{}
	l.failures++
	l.nextProbe = now.Add(probeInterval)
	c.downCount++
	return l
}

// markUp marks a link that is down as up.
func (c *Core) markUp(l *link) {
	l.down, l.confirmed = false, false
	c.downCount--
}

// forget drops links without recent evidence.
func (c *Core) forget(now time.Time) {
	for address, l := range c.links {
		switch {
		case l.down && now.Sub(l.wantedAt) >= wantedWindow && !l.probing:
			c.markUp(l)
			delete(c.links, address)
		case !l.down && now.Sub(l.workedAt) >= evidenceWindow && now.Sub(l.downAt) >= failureMemory:
			delete(c.links, address)
		}
	}
	c.assess(now)
}

// assess decides whether this instance is cut off: whether more links are confirmed to be down than work.
func (c *Core) assess(now time.Time) {
	confirmed, working := 0, 0
	for _, l := range c.links {
		switch {
		case l.confirmed:
			confirmed++
		case !l.down && !l.workedAt.IsZero() && now.Sub(l.workedAt) < evidenceWindow:
			working++
		}
	}
	c.confirmedCount, c.cutOff = confirmed, confirmed >= minDown && confirmed > working
}
