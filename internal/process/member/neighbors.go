package member

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// minLinksPerZone is the minimum number of links from an availability zone to all others
// together.
const minLinksPerZone = 10

// minLinksPerZonePair is the minimum number of links between two zones.
const minLinksPerZonePair = 2

// Limits of the number of rings that connect the daemons of a zone. With at least
// minRings, a zone stays connected when daemons fail and the others have not noticed it
// yet. Rings beyond maxRings would save few relay rounds and cost many messages.
const (
	minRings = 2
	maxRings = 6
)

// crossZoneReserve is how many links of a daemon are kept free for other zones.
const crossZoneReserve = 2

// Neighbors returns the sorted names of the daemons to which self keeps a connection, or
// nil if self is not among the members. If two daemons see the same members, either both
// are neighbors of each other or neither is. A daemon has about the given number of links
// at most, regardless of the size of the fleet.
//
// In a small fleet all daemons are neighbors of each other, and so are the daemons of a
// small zone. A larger zone is connected by several rings, each ordered by a different
// hash of the names. The union of random rings has a small diameter and stays connected
// when some members fail, and a member that joins or leaves changes only the links of the
// daemons next to it. Each pair of zones is connected by links between the daemons that
// come first in an order by a hash for that pair.
func Neighbors(self string, members []Member, links int) []string {
	for _, m := range members {
		if m.Name == self {
			return topologyOf(m.Zone, members, links)[self]
		}
	}
	return nil
}

// topology holds the neighbors of each daemon by name.
type topology map[string][]string

// topologyOf returns the links within one zone and between it and other zones. Links
// between other zones are missing, unless the fleet is so small that all daemons are
// neighbors of each other.
func topologyOf(zone string, members []Member, links int) topology {
	zones := map[string][]string{}
	for _, m := range members {
		zones[m.Zone] = append(zones[m.Zone], m.Name)
	}
	g := topology{}
	if len(members)-1 <= links {
		g.joinAll(namesOf(members))
		return g.sorted()
	}
	if names := zones[zone]; len(names)-1 <= links-crossZoneReserve {
		g.joinAll(names)
	} else {
		g.joinRings(zone, names, ringCount(links))
	}
	for other := range zones {
		if other != zone {
			g.joinZones(zones, min(zone, other), max(zone, other))
		}
	}
	return g.sorted()
}

func namesOf(members []Member) []string {
	names := make([]string, 0, len(members))
	for _, m := range members {
		names = append(names, m.Name)
	}
	return names
}

// ringCount returns the number of rings of a large zone whose daemons have about the given
// number of links.
func ringCount(links int) int {
	const linksPerRing = 2
	return max(minRings, min(maxRings, (links-crossZoneReserve)/linksPerRing))
}

func (g topology) join(a, b string) {
	if a == b {
		return
	}
	g[a] = append(g[a], b)
	g[b] = append(g[b], a)
}

func (g topology) joinAll(names []string) {
	for i, a := range names {
		for _, b := range names[i+1:] {
			g.join(a, b)
		}
	}
}

// joinRings connects the daemons of a zone by rings.
func (g topology) joinRings(zone string, names []string, rings int) {
	for r := range rings {
		order := ranked(names, zone+"\x00ring"+strconv.Itoa(r))
		for i, name := range order {
			g.join(name, order[(i+1)%len(order)])
		}
	}
}

// joinZones connects two zones. The name of zone a must sort before that of b, so that
// both zones compute the same links.
func (g topology) joinZones(zones map[string][]string, a, b string) {
	salt := "cross\x00" + a + "\x00" + b
	fromA, fromB := ranked(zones[a], salt), ranked(zones[b], salt)
	for l := range linksPerZonePair(len(zones)) {
		g.join(fromA[l%len(fromA)], fromB[l%len(fromB)])
	}
}

// linksPerZonePair returns the number of links between each pair of zones.
func linksPerZonePair(zones int) int {
	others := zones - 1
	return max(minLinksPerZonePair, (minLinksPerZone+others-1)/others)
}

// ranked returns the names ordered by a hash of each name and the salt.
func ranked(names []string, salt string) []string {
	type entry struct {
		rank uint64
		name string
	}
	entries := make([]entry, 0, len(names))
	for _, n := range names {
		entries = append(entries, entry{xxhash.Sum64String(salt + "\x00" + n), n})
	}
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name))
	})
	out := make([]string, 0, len(names))
	for _, e := range entries {
		out = append(out, e.name)
	}
	return out
}

// sorted sorts the neighbors of each daemon, removes duplicates, and returns g.
func (g topology) sorted() topology {
	for name, ns := range g {
		slices.Sort(ns)
		g[name] = slices.Compact(ns)
	}
	return g
}
