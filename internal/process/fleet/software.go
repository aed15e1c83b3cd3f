package fleet

import (
	"maps"
	"slices"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// BeginsStreams reports whether the upstream can send the first event of a stream. An engine that only computes prompts
// can't.
func (u *Upstream) BeginsStreams() bool { return u.Role != upstream.RolePrefill }

// Software returns the versions of software of the listed upstreams of a service that can begin streams, including
// those that are leaving or missing, in ascending order.
func (c *Core) Software(service string) []string {
	return slices.Sorted(maps.Keys(c.software[service]))
}

// HasSoftware reports whether an upstream of a service with a version of software is listed that can begin streams and
// isn't leaving.
func (c *Core) HasSoftware(service, software string) bool {
	for _, e := range c.entries {
		if e.Service == service && e.Software == software && e.BeginsStreams() && !e.Leaving {
			return true
		}
	}
	return false
}

// countSoftware counts an entry that is added.
func (c *Core) countSoftware(u *Upstream) {
	if !u.BeginsStreams() {
		return
	}
	if c.software[u.Service] == nil {
		c.software[u.Service] = make(map[string]int)
	}
	c.software[u.Service][u.Software]++
}

// uncountSoftware no longer counts an entry, which is removed.
func (c *Core) uncountSoftware(u *Upstream) {
	versions := c.software[u.Service]
	if !u.BeginsStreams() {
		return
	}
	if versions[u.Software]--; versions[u.Software] == 0 {
		delete(versions, u.Software)
	}
	if len(versions) == 0 {
		delete(c.software, u.Service)
	}
}
