package quarantine

import "github.com/cespare/xxhash/v2"

// Incarnation identifies one run of an upstream's process, from its start to its end. If the time of the
// start isn't known, the incarnation is the upstream's name alone and stays the same after a restart.
type Incarnation string

// IncarnationHash identifies an incarnation in messages between instances.
type IncarnationHash uint32

// HashOf returns the hash of an incarnation, which is the same at all instances.
func HashOf(incarnation Incarnation) IncarnationHash {
	return IncarnationHash(xxhash.Sum64String(string(incarnation)))
}
