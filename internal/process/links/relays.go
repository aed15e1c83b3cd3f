package links

import (
	"maps"
	"time"
)

const (
	// MaxRelays is the number of instances that are asked for one connection. Those of the own availability zone are at
	// most maxZoneRelays if there are others, as the whole zone may be cut off.
	MaxRelays     = 5
	maxZoneRelays = 2
	// minRelayBackoff is how long a relay that failed isn't asked again. It doubles with each failure in a row, up to
	// maxRelayBackoff, so that few requests are delayed if most instances are cut off.
	minRelayBackoff = time.Second
	maxRelayBackoff = 8 * time.Second
	// relayFailureTTL is how long after its backoff the failure of a relay is remembered. It is longer than a relay goes
	// unasked while others work.
	relayFailureTTL = 30 * time.Second
)

// Relays chooses the instances that are asked to forward connections. The zero value is ready to use.
type Relays struct {
	backoffs map[string]relayBackoff // by the relay's address
}

// relayBackoff is the time in which a relay isn't asked.
type relayBackoff struct {
	until  time.Time
	length time.Duration
}

// Choose returns the addresses of relays to ask, in this order. Those of the own availability zone come first, as their
// connections cost less. start is a random number, which spreads connections over the relays.
func (r *Relays) Choose(now time.Time, zone, others []string, start uint64) []string {
	zone = r.available(now, zone, start, MaxRelays)
	others = r.available(now, others, start, MaxRelays)
	fromZone := min(len(zone), max(maxZoneRelays, MaxRelays-len(others)))
	return append(zone[:fromZone], others[:min(len(others), MaxRelays-fromZone)]...)
}

// available returns at most n addresses of relays without a backoff, from a random position on.
func (r *Relays) available(now time.Time, list []string, start uint64, n int) []string {
	var out []string
	for i := range list {
		address := list[(uint64(i)+start)%uint64(len(list))]
		if len(out) < n && !now.Before(r.backoffs[address].until) {
			out = append(out, address)
		}
	}
	return out
}

// Failed records that a relay couldn't be used.
func (r *Relays) Failed(now time.Time, address string) {
	if r.backoffs == nil {
		r.backoffs = make(map[string]relayBackoff)
	}
	r.forget(now)
	length := min(max(minRelayBackoff, 2*r.backoffs[address].length), maxRelayBackoff)
	r.backoffs[address] = relayBackoff{until: now.Add(length), length: length}
}

// Worked records that a relay could be used.
func (r *Relays) Worked(address string) { delete(r.backoffs, address) }

// forget drops failures that are long past, also those of relays that are gone.
func (r *Relays) forget(now time.Time) {
	maps.DeleteFunc(r.backoffs, func(_ string, b relayBackoff) bool { return now.Sub(b.until) >= relayFailureTTL })
}
