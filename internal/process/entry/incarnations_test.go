package entry

import (
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
)

// TestUpstreamMissingAfterOutageIsNotToldAsGone guards against sound work that is taken to have crashed an upstream: the
// upstream's entry lapsed in an outage of the platform and isn't written again in time, so nobody saw the upstream end. An
// instance that is told that the upstream is gone counts its broken sends there as crashes. A removal that was seen is
// told.
func TestUpstreamMissingAfterOutageIsNotToldAsGone(t *testing.T) {
	now := time.Unix(100, 0)
	u := fleet.Upstream{ID: "a", StartedMS: 5, Service: "s", Address: "10.0.0.1:80", Slots: 1}
	for name, test := range map[string]struct {
		outage bool
		gone   bool
	}{
		"lapsed in an outage": {outage: true, gone: false},
		"seen to be removed":  {outage: false, gone: true},
	} {
		s := newState(&settings.Entry{})
		s.listed = true
		s.fleet.Replace(now, 1, []fleet.Change{{Kind: fleet.Listed, ID: u.ID, Upstream: u}})
		if test.outage {
			s.fleet.PlatformLost()
			s.fleet.PlatformRestored(now.Add(time.Second))
		}
		s.fleet.Replace(now.Add(time.Second), 1, nil)
		s.fleet.Expire(now.Add(time.Second + fleet.RestoreGrace))
		if listed, _ := s.fleet.Listed(u.Incarnation()); listed {
			t.Fatalf("%s: the upstream is still listed", name)
		}
		states, _ := s.incarnationStates([]fleet.Incarnation{u.Incarnation()})
		if got := len(states) == 1 && states[0].Gone; got != test.gone {
			t.Errorf("%s: told as gone: %t, want %t", name, got, test.gone)
		}
	}
}
