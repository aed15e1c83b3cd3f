package links

import (
	"slices"
	"testing"
	"time"
)

// TestChooseRelays checks which instances are asked, and that a whole availability zone without links doesn't hide the
// instances of other zones.
func TestChooseRelays(t *testing.T) {
	zone, others := []string{"a1", "a2", "a3"}, []string{"b1", "b2", "b3", "b4"}
	for name, test := range map[string]struct {
		zone, others []string
		wantZone     int
		want         int
	}{
		"both":       {zone, others, maxZoneRelays, MaxRelays},
		"no others":  {zone, nil, 3, 3},
		"few others": {zone, others[:1], 3, 4},
		"no zone":    {nil, others, 0, 4},
		"none":       {nil, nil, 0, 0},
	} {
		var r Relays
		for start := range uint64(5) {
			got := r.Choose(at(0), test.zone, test.others, start)
			n := 0
			for i, address := range got {
				if slices.Contains(test.zone, address) {
					n++
				}
				if slices.Contains(got[:i], address) {
					t.Errorf("%s: %v has an address twice", name, got)
				}
			}
			if len(got) != test.want || n != test.wantZone || (n > 0 && !slices.Contains(test.zone, got[0])) {
				t.Errorf("%s: %v, want %d with %d of the zone first", name, got, test.want, test.wantZone)
			}
		}
	}
}

// TestRelaysAreSpread checks that all instances of the zone are asked first about equally often.
func TestRelaysAreSpread(t *testing.T) {
	var r Relays
	zone, first := []string{"a1", "a2", "a3", "a4"}, make(map[string]int)
	for start := range uint64(100) {
		first[r.Choose(at(0), zone, nil, start)[0]]++
	}
	for _, address := range zone {
		if first[address] != 25 {
			t.Errorf("%s was first %d times of 100", address, first[address])
		}
	}
}

// TestFailedRelayIsLeftAlone checks that a relay that failed isn't asked for a while, which grows up to a limit, until
// it works again.
func TestFailedRelayIsLeftAlone(t *testing.T) {
	var r Relays
	zone := []string{"a1"}
	for _, length := range []time.Duration{minRelayBackoff, 2 * minRelayBackoff, 4 * minRelayBackoff, maxRelayBackoff, maxRelayBackoff} {
		r.Failed(at(0), zone[0])
		if got := r.Choose(at(length-time.Millisecond), zone, nil, 0); len(got) > 0 {
			t.Errorf("asked %v after a failure", length-time.Millisecond)
		}
		if got := r.Choose(at(length), zone, nil, 0); len(got) != 1 {
			t.Errorf("not asked %v after a failure", length)
		}
	}
	r.Worked(zone[0])
	if got := r.Choose(at(0), zone, nil, 0); len(got) != 1 {
		t.Error("not asked after it worked")
	}
}

// TestRelayFailureLongAgoIsForgotten guards against a relay that isn't asked for many seconds because of failures that are
// long past: in a small deployment it may be the only way to the upstreams.
func TestRelayFailureLongAgoIsForgotten(t *testing.T) {
	var r Relays
	zone := []string{"a1"}
	for n := range 5 {
		failedAt := time.Duration(n) * time.Hour
		r.Failed(at(failedAt), zone[0])
		if got := r.Choose(at(failedAt+minRelayBackoff), zone, nil, 0); len(got) != 1 {
			t.Errorf("failure %d, an hour after the one before: not asked after %v", n+1, minRelayBackoff)
		}
	}
}
