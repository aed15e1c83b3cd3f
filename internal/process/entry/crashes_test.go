package entry

import (
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/request/quarantine"
	"github.com/ragworttrestle/ragworttrestle/internal/standin/platform"
)

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
