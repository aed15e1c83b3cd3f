package authority

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a live controller as the membership shows it.
type Candidate struct {
	Name string
	Zone string
}

// Rank gives the standing of the candidate named self for the lease of zone. Home
// candidates are ranked among themselves, and so are those of other zones, by a
// hash of name and zone, so that no instance is first for every lease. Ranks that
// differ between processes for a moment are harmless: they only say who tries first.
func Rank(self, selfZone, zone string, live []Candidate) Standing {
	standing := Standing{Home: selfZone == zone}
	own := weight(self, zone)
	for _, other := range live {
		if other.Name == self {
			continue
		}
		if other.Zone == zone {
			standing.HomeLive = true
		}
		if (other.Zone == zone) != standing.Home {
			continue
		}
		if before(weight(other.Name, zone), other.Name, own, self) {
			standing.Rank++
		}
	}
	return standing
}

// Order sorts candidates by their rank for the lease of zone, home ones first.
func Order(zone string, live []Candidate) []Candidate {
	out := slices.Clone(live)
	slices.SortFunc(out, func(a, b Candidate) int {
		if (a.Zone == zone) != (b.Zone == zone) {
			if a.Zone == zone {
				return -1
			}
			return 1
		}
		if c := cmp.Compare(weight(a.Name, zone), weight(b.Name, zone)); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return out
}

func weight(name, zone string) uint64 { return xxhash.Sum64String(name + "/" + zone) }

func before(aWeight uint64, a string, bWeight uint64, b string) bool {
	if aWeight != bWeight {
		return aWeight < bWeight
	}
	return a < b
}
