package authority

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a live controller according to the membership.
type Candidate struct {
	Name string
	Zone string
}

// Rank returns the ranking of the candidate named self for the lease of zone. Candidates
// of the zone (home candidates) and those of other zones are ranked separately, by a hash
// of name and zone, so that no instance is first for every lease. Processes may temporarily
// disagree about the ranks, which is harmless: ranks only determine who tries first.
func Rank(self, selfZone, zone string, live []Candidate) Ranking {
	ranking := Ranking{SameZone: selfZone == zone}
	ownHash := rankHash(self, zone)
	for _, other := range live {
		if other.Name == self {
			continue
		}
		if other.Zone == zone {
			ranking.SameZoneLive = true
		}
		if (other.Zone == zone) != ranking.SameZone {
			continue
		}
		if ranksBefore(rankHash(other.Name, zone), other.Name, ownHash, self) {
			ranking.Rank++
		}
	}
	return ranking
}

// Order returns the candidates sorted by their rank for the lease of zone, home
// candidates first.
func Order(zone string, live []Candidate) []Candidate {
	out := slices.Clone(live)
	slices.SortFunc(out, func(a, b Candidate) int {
		if (a.Zone == zone) != (b.Zone == zone) {
			if a.Zone == zone {
				return -1
			}
			return 1
		}
		if c := cmp.Compare(rankHash(a.Name, zone), rankHash(b.Name, zone)); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return out
}

func rankHash(name, zone string) uint64 { return xxhash.Sum64String(name + "/" + zone) }

func ranksBefore(aHash uint64, a string, bHash uint64, b string) bool {
	if aHash != bHash {
		return aHash < bHash
	}
	return a < b
}
