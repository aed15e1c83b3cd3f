package fleet

import (
	"maps"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/mapentry"
)

// softwareMemory is how long it is remembered that an upstream of some version left a service.
const softwareMemory = 15 * time.Minute

// MaxSoftwareWindow is the longest window that SoftwareOf can answer for.
const MaxSoftwareWindow = softwareMemory

// SoftwareState says what the list tells of the versions of software that served a service.
type SoftwareState int

// The states.
const (
	SoftwareUnknown SoftwareState = iota // the list has not been up to date for long enough
	SoftwareSole                         // all upstreams had one version
	SoftwareMixed                        // upstreams had at least two versions
)

// softwareVersions counts the upstreams of one service by the version of their software.
type softwareVersions struct {
	listed map[string]int       // entries, including those of upstreams that are leaving or missing
	leftAt map[string]time.Time // when the last entry of a version was removed; none: it is listed, or it was long ago
}

// SoftwareOf returns which versions of software the upstreams of a service had within window, and the version if it
// was the only one. It doesn't conclude that there was only one unless the list was read without interruption for all
// that time, and is up to date.
func (c *Core) SoftwareOf(now time.Time, service string, window time.Duration) (software string, state SoftwareState) {
	v := c.software[service]
	if v == nil {
		return "", SoftwareUnknown
	}
	n := len(v.listed)
	for version := range v.listed {
		software = version
	}
	for version, at := range v.leftAt {
		if now.Sub(at) < window {
			software, n = version, n+1
		}
	}
	switch {
	case n > 1:
		return "", SoftwareMixed
	case n == 0 || !c.UpToDate(now) || c.ConnectedFor(now) < min(window, MaxSoftwareWindow):
		return "", SoftwareUnknown
	}
	return software, SoftwareSole
}

// HasSoftware reports whether an upstream of a service with a version of software is listed that isn't leaving.
func (c *Core) HasSoftware(service, software string) bool {
	for _, e := range c.entries {
		if e.Service == service && e.Software == software && !e.Leaving {
			return true
		}
	}
	return false
}

// countSoftware counts an entry that is added.
func (c *Core) countSoftware(u *Upstream) {
	v := mapentry.GetOrCreate(c.software, u.Service, func() *softwareVersions {
		return &softwareVersions{listed: make(map[string]int), leftAt: make(map[string]time.Time)}
	})
	v.listed[u.Software]++
	delete(v.leftAt, u.Software)
}

// uncountSoftware no longer counts an entry, which is removed.
func (c *Core) uncountSoftware(now time.Time, u *Upstream) {
	v := c.software[u.Service]
	if v.listed[u.Software]--; v.listed[u.Software] == 0 {
		delete(v.listed, u.Software)
		v.leftAt[u.Software] = now
	}
}

// forgetSoftware drops versions that left long ago.
func (c *Core) forgetSoftware(now time.Time) {
	for service, v := range c.software {
		maps.DeleteFunc(v.leftAt, func(_ string, at time.Time) bool { return now.Sub(at) >= softwareMemory })
		if len(v.listed)+len(v.leftAt) == 0 {
			delete(c.software, service)
		}
	}
}
