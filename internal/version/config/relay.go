package config

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// RelaysPerZone is how many daemons of an availability zone hold a watch at the
// platform. Two, so that the loss of one does not delay a change.
const RelaysPerZone = 2

// Candidate is a live daemon that could hold a watch.
type Candidate struct {
	Name string
	Zone string
}

// Relays ranks the live daemons of a zone by a hash of zone and name and gives
// the first RelaysPerZone. Daemons whose views differ for a moment may have more
// or fewer relays between them; both are safe, because only newer versions are
// applied and a daemon that hears no peer watches by itself.
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

// MustWatch reports whether a daemon has to hold a watch at the platform: as a
// relay of its zone, or because it has no configuration yet or hears no peer.
func MustWatch(name, zone string, installed, hearsPeers bool, live []Candidate) bool {
	if !installed || !hearsPeers {
		return true
	}
	return slices.Contains(Relays(zone, live), name)
}
