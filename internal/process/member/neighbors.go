package member

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// crossPerZone is how many links at least lead out of each availability zone.
const crossPerZone = 10

// minCrossPerPair is how many links at least join each pair of zones.
const minCrossPerPair = 2

// A zone keeps connected when daemons vanish before the others notice. More rings
// than maxRings would cost more messages than they spare rounds.
const (
	minRings = 2
	maxRings = 6
)

// crossReserve is the part of a daemon's links that is left to other zones.
const crossReserve = 2

// Neighbors gives the daemons to which self keeps a connection, in order. It is
// symmetric: if b is a neighbor of a, then a is one of b, as long as both see the
// same members. A daemon has no more than about the given number of links, whatever
// the size of the fleet.
//
// While the fleet is small, everybody is a neighbor of everybody. A larger zone is
// joined by several rings, each in the order of another hash of the names: the
// union of random rings has a small diameter and stays connected when a part of
// its members vanishes, and a member that joins or leaves changes only the links
// next to it. Each pair of zones is joined by the daemons that rank highest for
// that pair.
func Neighbors(self string, members []Member, links int) []string {
	return topologyOf(members, links)[self]
}

// topology lists the neighbors of each daemon, in order.
type topology map[string][]string

// topologyOf computes the whole graph over the members that are daemons.
func topologyOf(members []Member, links int) topology {
	zones := map[string][]string{}
	total := 0
	for _, m := range members {
		zones[m.Zone] = append(zones[m.Zone], m.Name)
		total++
	}
	g := topology{}
	if total-1 <= links {
		g.joinAll(slices.Concat(sortedValues(zones)...))
		return g.sorted()
	}
	for zone, names := range zones {
		if len(names)-1 <= links-crossReserve {
			g.joinAll(names)
			continue
		}
		g.joinRings(zone, names, rings(links))
	}
	g.joinZones(zones)
	return g.sorted()
}

func rings(links int) int {
	const linksPerRing = 2
	return max(minRings, min(maxRings, (links-crossReserve)/linksPerRing))
}

func sortedValues(zones map[string][]string) [][]string {
	var out [][]string
	for _, zone := range sortedKeys(zones) {
		out = append(out, zones[zone])
	}
	return out
}

func sortedKeys(zones map[string][]string) []string {
	var keys []string
	for k := range zones {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
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

// joinRings joins a zone by rings.
func (g topology) joinRings(zone string, names []string, rings int) {
	for r := range rings {
		order := ranked(names, zone+"\x00ring"+strconv.Itoa(r))
		for i, name := range order {
			g.join(name, order[(i+1)%len(order)])
		}
	}
}

// joinZones joins each pair of zones.
func (g topology) joinZones(zones map[string][]string) {
	names := sortedKeys(zones)
	for i, a := range names {
		for _, b := range names[i+1:] {
			fromA := ranked(zones[a], "cross\x00"+a+"\x00"+b)
			fromB := ranked(zones[b], "cross\x00"+a+"\x00"+b)
			for l := range crossPerPair(len(names)) {
				g.join(fromA[l%len(fromA)], fromB[l%len(fromB)])
			}
		}
	}
}

func crossPerPair(zones int) int {
	others := zones - 1
	return max(minCrossPerPair, (crossPerZone+others-1)/others)
}

// ranked orders names by a hash with a salt.
func ranked(names []string, salt string) []string {
	rank := make(map[string]uint64, len(names))
	for _, n := range names {
		rank[n] = xxhash.Sum64String(salt + "\x00" + n)
	}
	out := slices.Clone(names)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank[a], rank[b]), cmp.Compare(a, b))
	})
	return out
}

func (g topology) sorted() topology {
	for name, ns := range g {
		slices.Sort(ns)
		g[name] = slices.Compact(ns)
	}
	return g
}
