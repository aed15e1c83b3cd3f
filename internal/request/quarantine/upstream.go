package quarantine

import "github.com/cespare/xxhash/v2"

// Life names one life of an upstream's process, as far as lives are told apart.
type Life string

// Upstream is a short name of a life, for messages.
type Upstream uint32

// UpstreamOf gives the short name of a life.
func UpstreamOf(life Life) Upstream { return Upstream(xxhash.Sum64String(string(life))) }
