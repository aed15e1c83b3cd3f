package config

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// RelaysPerZone is the number of daemons in an availability zone that watch the
// platform. There are two so that the loss of one does not delay changes.
const RelaysPerZone = 2

// Candidate is a live daemon that can be a relay.
type Candidate struct {
	Name string
	Zone string
}

// Relays returns the names of the relays of an availability zone. It ranks the live
// daemons of the zone by a hash of zone and name (rendezvous hashing) and returns the
// first RelaysPerZone of them. Each daemon computes the relays from its own list of live
// daemons, so while these lists differ, more or fewer daemons may act as relays. Both are
// safe: with more, a daemon receives a change several times but applies only newer
// versions; with fewer, a daemon that receives nothing from peers watches the platform
// itself.
func Relays(zone string, live []Candidate) []string {
	type ranked struct {
		rank uint64
		name string
	}
	var all []ranked
	for _, c := range live {
		if c.Zone == zone {
			all = append(all, ranked{xxhash.Sum64String(zone + "\x00" + c.Name), c.Name})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name))
	})
	all = slices.Compact(all)
	var names []string
	for _, r := range all[:min(len(all), RelaysPerZone)] {
		names = append(names, r.name)
	}
	return names
}

// MustWatch reports whether a daemon must watch the platform: because it is a relay of its
// zone, has no configuration yet (installed is false), or has received nothing from peers
// recently (hasRecentPeer is false).
func MustWatch(name, zone string, installed, hasRecentPeer bool, live []Candidate) bool {
	if !installed || !hasRecentPeer {
		return true
	}
	return slices.Contains(Relays(zone, live), name)
}
