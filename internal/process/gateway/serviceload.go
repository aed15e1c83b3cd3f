package gateway

import (
	"slices"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// serviceLoad counts this gateway's calls in flight at each upstream of the plain services, by the upstream's
// name.
type serviceLoad struct {
	inFlight map[string]int
}

func newServiceLoad() serviceLoad {
	return serviceLoad{inFlight: make(map[string]int)}
}

// upstreamNames returns the names of a service's upstreams.
func upstreamNames(s resource.Service) []string {
	names := make([]string, 0, len(s.Upstreams))
	for _, u := range s.Upstreams {
		names = append(names, u.Name)
	}
	return names
}

// acquireService chooses an upstream for a call and counts the call there until releaseService: in this
// gateway's zone if possible, the upstream with the fewest calls in flight. seed breaks ties, so that not all
// gateways start with the same upstream. It returns false if no upstream is usable.
func (d *dispatcher) acquireService(now time.Time, s resource.Service, excluded []string, seed uint64) (resource.ServiceUpstream, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	usable := d.usableUpstreams(now, s, excluded)
	if len(usable) == 0 {
		return resource.ServiceUpstream{}, false
	}
	start := int(seed % uint64(len(usable)))
	best := usable[start]
	for i := range usable {
		u := usable[(start+i)%len(usable)]
		if d.isBetterUpstream(u, best) {
			best = u
		}
	}
	d.services.inFlight[best.Name]++
	return best, true
}

// usableUpstreams returns the upstreams that are not leaving, excluded or ejected as outliers. It must be
// called with mu held.
func (d *dispatcher) usableUpstreams(now time.Time, s resource.Service, excluded []string) []resource.ServiceUpstream {
	var usable []resource.ServiceUpstream
	for _, u := range s.Upstreams {
		if u.State != "" && u.State != resource.RunnerServing {
			continue
		}
		if d.snapshot.Leaving(u.Name) || d.outliers.Ejected(now, u.Name) || slices.Contains(excluded, u.Name) {
			continue
		}
		usable = append(usable, u)
	}
	return usable
}

// isBetterUpstream reports whether u is preferred to other. It must be called with mu held.
func (d *dispatcher) isBetterUpstream(u, other resource.ServiceUpstream) bool {
	local, otherLocal := u.Zone == d.zone, other.Zone == d.zone
	if local != otherLocal {
		return local
	}
	return d.services.inFlight[u.Name] < d.services.inFlight[other.Name]
}

// releaseService ends the count of a call that acquireService counted at the upstream.
func (d *dispatcher) releaseService(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.services.inFlight[name]--
	if d.services.inFlight[name] <= 0 {
		delete(d.services.inFlight, name)
	}
}
