package place

import (
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
)

// continueTracker returns a tracker with one upstream of one slot of each of two versions, and a queue.
func continueTracker() (*Tracker, *Queue) {
	t := NewTracker()
	t.SetUpstreams(map[string][]fleet.Upstream{"s": {
		{ID: "old", Service: "s", Slots: 1, Address: "a:1", Software: "v1"},
		{ID: "new", Service: "s", Slots: 1, Address: "b:1", Software: "v2"},
	}})
	return t, NewQueue(t)
}

// TestContinuedStreamGetsItsVersion guards against a stream that goes on at an upstream of another version because that
// has more room, and against new requests that take the last place of a version first.
func TestContinuedStreamGetsItsVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker, queue := continueTracker()
	query := func(id, software string) Query {
		return Query{ID: id, Service: "s", Arrived: now, StartBy: now.Add(time.Second), Software: software}
	}
	for tracker.fullAt(now, "old") == false {
		tracker.Sent(now, "old", Serve)
	}
	if d, decided := queue.Arrive(now, query("continued", "v1")); decided {
		t.Fatalf("decided although its version has no place: %+v", d)
	}
	if d, decided := queue.Arrive(now, query("new", "")); !decided || d.Choice.Upstream.ID != "new" {
		t.Errorf("the waiting stream holds back a new request: %+v %v", d, decided)
	}
	for tracker.fullAt(now, "new") == false {
		tracker.Sent(now, "new", Serve)
	}
	urgent := query("urgent", "")
	urgent.Urgency = -1
	if _, decided := queue.Arrive(now, urgent); decided {
		t.Fatal("placed although all is full")
	}
	for !hasRoom(tracker, now, "old") {
		tracker.Ended("old", Serve)
	}
	decisions := queue.Tick(now)
	if len(decisions) == 0 || decisions[0].ID != "continued" || decisions[0].Choice.Upstream.ID != "old" {
		t.Errorf("decisions %+v, want the continued stream first", decisions)
	}
}

// TestNoUpstreamOfVersionIsRefusedAtOnce checks that a stream whose version no upstream has doesn't wait.
func TestNoUpstreamOfVersionIsRefusedAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	_, queue := continueTracker()
	q := Query{ID: "q", Service: "s", Arrived: now, StartBy: now.Add(time.Second), Software: "v3"}
	if d, decided := queue.Arrive(now, q); !decided || d.Refused != NoUpstream {
		t.Errorf("%+v %v", d, decided)
	}
}

// hasRoom reports whether an upstream may get a request.
func hasRoom(t *Tracker, now time.Time, id string) bool {
	software := map[string]string{"old": "v1", "new": "v2"}[id]
	_, ok := t.Pick(now, &Query{Service: "s", Software: software})
	return ok
}

// fullAt reports whether an upstream may get no request.
func (t *Tracker) fullAt(now time.Time, id string) bool { return !hasRoom(t, now, id) }
