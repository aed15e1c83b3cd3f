package entry

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/holds"
	"github.com/ragworttrestle/ragworttrestle/internal/request/quarantine"
	"github.com/ragworttrestle/ragworttrestle/internal/standin/platform"
)

// listenOrRefuse returns an address that accepts connections until the test ends, or one that refuses them.
func listenOrRefuse(t *testing.T, accepts bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if accepts {
		t.Cleanup(func() { _ = l.Close() })
	} else if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	return l.Addr().String()
}

// TestCutOffInstanceTakesNoUpstreamForEnded guards against sound work that is held for minutes: the links of an instance
// are cut, which breaks off its sends and refuses its connections as if the upstreams had ended.
func TestCutOffInstanceTakesNoUpstreamForEnded(t *testing.T) {
	for name, test := range map[string]struct {
		neighborZone    string
		neighborAccepts bool
		ended           bool
	}{
		"all links of the zone refuse":                {"z1", false, false},
		"another upstream of the zone is reached":     {"z1", true, true},
		"no other upstream of the zone was used":      {"z2", true, true},
		"nor is any of another zone reached any more": {"z2", false, true},
		"no link worked in the last second":           {"", false, false},
	} {
		e := newStepEntry(&stepDialect{reached: func(step) {}}, &countingEngines{}, "127.0.0.1:1")
		u := fleet.Upstream{ID: "a", StartedMS: 5, Zone: "z1", Address: listenOrRefuse(t, false)}
		if test.neighborZone != "" {
			e.links.reached(&u)
			e.links.reached(&fleet.Upstream{ID: "b", Zone: test.neighborZone, Address: listenOrRefuse(t, test.neighborAccepts)})
		}
		err := e.checkUpstreamEnded(context.Background(), incarnationOf(&u), u.Address, time.Second)
		if ended := holds.IsConnectionRefused(err); ended != test.ended {
			t.Errorf("%s: taken for ended: %t (%v), want %t", name, ended, err, test.ended)
		}
	}
}

// TestWorkIsHeldThoughRestartedUpstreamsAnswerBeforeTheList guards against work that goes on crashing upstreams: they
// restart under their names, and answer other requests before the list has their new starts.
func TestWorkIsHeldThoughRestartedUpstreamsAnswerBeforeTheList(t *testing.T) {
	e, _ := newPeerTestEntry(t, "i-1", "z1", platform.New(platform.Config{}))
	work := quarantine.ContentOf("GET", "h", "/p", nil)
	for _, id := range []string{"b", "c"} {
		u := fleet.Upstream{ID: id, StartedMS: 5, Service: "s", Address: "127.0.0.1:1", Zone: "z1", Slots: 8}
		e.updateFleet(func(now time.Time, f *fleet.Core) { f.Put(now, u) })
		sent := time.Now()
		time.Sleep(120 * time.Millisecond) // ends within 100 ms of each other count once
		e.holds.SendBroken(work, incarnationOf(&u), sent)
		next := u
		next.StartedMS = time.Now().UnixMilli()
		time.Sleep(2 * time.Millisecond)
		e.recordAnswer(&u, time.Now())
		e.updateFleet(func(now time.Time, f *fleet.Core) { f.Put(now, next) })
	}
	if !e.holds.Held(work) {
		t.Error("not held after two upstreams crashed")
	}
}
