package route

import (
	"github.com/cespare/xxhash/v2"

	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// SeedOf returns the seed of a request: a hash of its id, the same at every gateway.
func SeedOf(id string) uint64 { return xxhash.Sum64String(id) }

// ChooseVersion returns a version drawn by weight. The same seed returns the same
// version as long as the weights stay the same, so a retry of a request keeps its
// version. Without a positive weight it returns "": any version serves.
func ChooseVersion(weights []resource.VersionWeight, seed uint64) string {
	total := uint64(0)
	for _, w := range weights {
		total += uint64(max(w.Weight, 0))
	}
	if total == 0 {
		return ""
	}
	point := mix(seed) % total
	for _, w := range weights {
		weight := uint64(max(w.Weight, 0))
		if point < weight {
			return w.Version
		}
		point -= weight
	}
	return ""
}

// mix spreads the bits of a seed, so that draws derived from it are independent of
// each other.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// unitFloat maps a seed to a number in [0, 1).
func unitFloat(seed uint64) float64 { return float64(mix(seed)>>11) / (1 << 53) }
