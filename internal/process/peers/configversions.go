package peers

import (
	"maps"
	"time"
)

const (
	// fetchDelay is how long an instance waits for the platform when a peer has a newer version of
	// the configuration, because usually the platform sends the version to all instances within a
	// second. The delay is shorter than the time within which a version must be in force.
	fetchDelay = 1500 * time.Millisecond
	// fetchInterval is the minimum interval between two attempts to fetch a version from a peer.
	fetchInterval = time.Second
	// notifyInterval is the minimum interval between two messages to a peer that has an older
	// version.
	notifyInterval = 500 * time.Millisecond
)

// ConfigVersions tracks which peer has the newest version of the configuration. An instance that
// can't get it from the platform fetches it from that peer. It is not safe for concurrent use.
type ConfigVersions struct {
	newest    uint64               // newest version that a peer reported; 0: none
	source    string               // address of the peer that last reported newest
	firstSeen time.Time            // when a peer first reported newest
	fetchedAt time.Time            // last attempt to fetch a version
	notified  map[string]time.Time // when a peer was last notified that its version is old, by address
}

// NewConfigVersions returns a ConfigVersions that knows no version.
func NewConfigVersions() *ConfigVersions {
	return &ConfigVersions{notified: make(map[string]time.Time)}
}

// Observe records that a peer, whose address is from, has the given version in force. own is the
// version that this instance has in force. notify is true if this instance should now tell the peer
// that own is newer.
func (v *ConfigVersions) Observe(now time.Time, from string, version, own uint64) (notify bool) {
	if version > v.newest {
		v.newest, v.firstSeen = version, now
	}
	if version == v.newest {
		v.source = from
	}
	if version >= own || now.Sub(v.notified[from]) < notifyInterval {
		return false
	}
	maps.DeleteFunc(v.notified, func(_ string, at time.Time) bool { return now.Sub(at) >= notifyInterval })
	v.notified[from] = now
	return true
}

// FetchFrom returns the address of a peer that has a newer version than own, the version of this
// instance. ok is false if there is no such peer or if the version must not be fetched now. follows
// says that this instance itself reads the configuration from the platform. In this case FetchFrom
// first gives the platform the time fetchDelay to send the version. After a call that returned true,
// the next attempt is due after fetchInterval.
func (v *ConfigVersions) FetchFrom(now time.Time, own uint64, follows bool) (from string, ok bool) {
	if v.newest <= own || now.Sub(v.fetchedAt) < fetchInterval || (follows && now.Sub(v.firstSeen) < fetchDelay) {
		return "", false
	}
	v.fetchedAt = now
	return v.source, true
}
