package entry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/peers"
	"github.com/ragworttrestle/ragworttrestle/internal/request/place"
	"github.com/ragworttrestle/ragworttrestle/internal/standin/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/version/routing"
)

// startTestZone starts n instances of one availability zone that know each other. It returns the
// placer and one of its clients.
func startTestZone(t *testing.T, n int) (placer, client *Entry) {
	t.Helper()
	placer, clients := startTestZoneAll(t, n)
	return placer, clients[len(clients)-1]
}

// startTestZoneAll is like startTestZone, but returns all instances other than the placer.
func startTestZoneAll(t *testing.T, n int) (placer *Entry, clients []*Entry) {
	t.Helper()
	store := platform.New(platform.Config{})
	ctx, cancel := context.WithCancel(context.Background())
	var all []*Entry
	for i := range n {
		e, exchange := newPeerTestEntry(t, fmt.Sprint("i-", i), "z1", store)
		e.peers = exchange
		e.spawn(func() { exchange.run(ctx) })
		all = append(all, e)
	}
	t.Cleanup(func() {
		cancel()
		for _, e := range all {
			awaitEnd(t, e)
		}
	})
	return awaitPlacer(t, all)
}

// awaitPlacer waits until the instances of an availability zone agree on a placer. It returns the placer and
// the other instances.
func awaitPlacer(t *testing.T, all []*Entry) (placer *Entry, clients []*Entry) {
	t.Helper()
	introduceAll(t, all)
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		placer, clients = nil, nil
		agreed := make(map[string]bool)
		for _, e := range all {
			if to := e.peers.placer(); to == "" {
				placer = e
				agreed[e.peers.self.Address] = true
			} else {
				clients = append(clients, e)
				agreed[to] = true
			}
		}
		if placer != nil && len(clients) == len(all)-1 && len(agreed) == 1 {
			return placer, clients
		}
	}
	t.Fatal("the instances never agreed on a placer")
	return nil, nil
}

// introduceAll waits until all instances know each other. An instance that starts introduces itself
// only to some others, and which others it finds on the platform's list depends on the order in
// which they start.
func introduceAll(t *testing.T, all []*Entry) {
	t.Helper()
	eventually(t, "all instances know each other", func() bool {
		complete := true
		for _, e := range all {
			e.peers.mu.Lock()
			known := len(e.peers.core.Addresses())
			e.peers.mu.Unlock()
			complete = complete && known == len(all)-1
			for _, other := range all {
				e.peers.introduce(other.peers.self.Address)
			}
		}
		return complete
	})
}

// newTestRequest returns a request that arrives now at an instance and has to start and end within left, and
// its query for a place.
func newTestRequest(e *Entry, id string, left time.Duration) (*request, place.Query) {
	now := time.Now()
	q := &request{
		e: e, arrived: now, deadline: now.Add(left), service: "s", queueID: id,
		route: &routing.Route{Name: "r"},
	}
	q.response = &responseRelay{req: q}
	return q, place.Query{ID: id, Service: "s", Zone: "z1", Arrived: now, StartBy: now.Add(left)}
}

// acquireTestPlace has an instance acquire a place for a new request.
func acquireTestPlace(t *testing.T, e *Entry, left time.Duration) (*request, place.Query, *heldPlace) {
	t.Helper()
	q, query := newTestRequest(e, "q", left)
	_, held, err := q.findPlace(context.Background(), query)
	if err != nil || held == nil {
		t.Fatalf("%+v %v", held, err)
	}
	return q, query, held
}

// eventually waits up to 20 s until ok returns true, and fails the test otherwise.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Errorf("timed out waiting: %s", what)
}

// receiveTimeout only ends a test that would hang.
const receiveTimeout = 30 * time.Second

// receive returns the next value of a channel. It fails the test if none comes within receiveTimeout.
func receive[T any](t *testing.T, what string, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(receiveTimeout):
		t.Fatalf("timed out waiting: %s", what)
		panic("unreachable")
	}
}

// awaitEnd waits until all goroutines of an instance have ended. It fails the test if they don't end within
// receiveTimeout.
func awaitEnd(t *testing.T, e *Entry) {
	t.Helper()
	ended := make(chan struct{})
	go func() {
		e.goroutines.Wait()
		close(ended)
	}()
	receive(t, "the end of "+e.cfg.Settings.Instance.Name, ended)
}

// countedLoad returns the number of requests that an instance counts at upstream a.
func countedLoad(e *Entry) float64 { return e.state.loads(time.Now())["a"] }

// slowAnswerTimeout is for tests that need the decision of the placer, however late it is. With the usual
// timeout an instance decides itself if the placer gets no processor time for some 50 ms.
const slowAnswerTimeout = 4 * time.Second

// TestPlacerDecidesForOthers checks the decisions of a placer for an instance that asks for more places than
// the upstream has. The placer has to count the places that it gives, keep the other requests in its queue,
// give freed places to them, and count no place once all are released.
func TestPlacerDecidesForOthers(t *testing.T) {
	placer, client := startTestZone(t, 3)
	const slots, queued, wanted = 8, 2, 14
	client.peers.answerTimeout = func() time.Duration { return slowAnswerTimeout }
	var wg sync.WaitGroup
	got := make(chan *heldPlace, wanted)
	for i := range wanted {
		q, query := newTestRequest(client, fmt.Sprint("q", i), 10*time.Second)
		wg.Add(1)
		go func() {
			defer wg.Done()
			d, held, err := q.findPlace(context.Background(), query)
			if err != nil || d.Refused != "" || held.placer != placer.peers.self.Address {
				t.Errorf("%+v %+v %v, want a place decided on by the placer", d, held, err)
				return
			}
			got <- held
		}()
	}
	eventually(t, "all places are taken", func() bool { return countedLoad(placer) == slots+queued && countedLoad(client) == slots+queued })
	for i := range wanted {
		client.release(receive(t, fmt.Sprintf("place %d of %d", i+1, wanted), got))
	}
	wg.Wait()
	eventually(t, "no place is taken any more", func() bool { return countedLoad(placer) == 0 && countedLoad(client) == 0 })
}

// TestRepeatedPlaceRequestGetsOnePlace checks that a place request that is repeated, as if its answer was late, gets
// one place although several answers arrive. An additional answer or a late cancellation must neither
// release the place early nor release it twice.
func TestRepeatedPlaceRequestGetsOnePlace(t *testing.T) {
	placer, client := startTestZone(t, 2)
	q, query, held := acquireTestPlace(t, client, 10*time.Second)
	for range 3 {
		client.peers.sendPlaceRequest(held.placer, q.newPlaceRequest(held.placeRequestID, &query))
	}
	client.recordEvents(held, place.Event{Kind: place.Answered})
	time.Sleep(100 * time.Millisecond) // the additional answers arrive; they must not make the client return the place
	if countedLoad(placer) != 1 {
		t.Errorf("%v places are counted, want 1", countedLoad(placer))
	}
	client.release(held)
	eventually(t, "the place is released", func() bool { return countedLoad(placer) == 0 })
	client.peers.sendPlaceRequest(held.placer, peers.PlaceRequest{ID: held.placeRequestID, Cancel: true})
	time.Sleep(50 * time.Millisecond)
	if countedLoad(placer) != 0 {
		t.Errorf("%v places are counted after a late cancellation", countedLoad(placer))
	}
}

// TestPlacesOfSilentClientAreReleased checks that the placer releases a place soon after the request's
// deadline if the instance that holds the place reports nothing, and that the upstream doesn't count as
// unresponsive because no response was reported.
func TestPlacesOfSilentClientAreReleased(t *testing.T) {
	placer, client := startTestZone(t, 2)
	_, query, _ := acquireTestPlace(t, client, 200*time.Millisecond)
	eventually(t, "the place is released at its deadline", func() bool { return countedLoad(placer) == 0 })
	time.Sleep(600 * time.Millisecond) // longer than an upstream may leave a request unanswered
	if n := placer.state.eligible(time.Now(), &query); n != 1 {
		t.Error("the upstream counts as silent")
	}
}

// TestUpstreamIsResponsiveAlthoughAnswerNoteIsLost checks that an upstream doesn't count as unresponsive if
// a place there is released, but no event report arrived that the upstream responded, as if that datagram was lost.
func TestUpstreamIsResponsiveAlthoughAnswerNoteIsLost(t *testing.T) {
	placer, client := startTestZone(t, 2)
	_, query, held := acquireTestPlace(t, client, 10*time.Second)
	client.release(held)
	eventually(t, "the place is released", func() bool { return countedLoad(placer) == 0 })
	time.Sleep(600 * time.Millisecond)
	if n := placer.state.eligible(time.Now(), &query); n != 1 {
		t.Error("the upstream counts as silent")
	}
}

// TestUnresponsivePlacerIsSkipped checks that an instance with a list of upstreams decides on a place itself
// if its placer doesn't answer, and that its later requests don't wait for that placer. The placer doesn't
// answer as the test closes its socket.
func TestUnresponsivePlacerIsSkipped(t *testing.T) {
	placer, client := startTestZone(t, 2)
	placer.peers.sockets.Load().datagrams.Close()
	for i := range 3 {
		q, query := newTestRequest(client, fmt.Sprint("q", i), 10*time.Second)
		startedAt := time.Now()
		d, held, err := q.findPlace(context.Background(), query)
		if err != nil || d.Refused != "" || held.placer != "" {
			t.Fatalf("%+v %+v %v, want a place decided on here", d, held, err)
		}
		if took := time.Since(startedAt); i > 0 && took > time.Second {
			t.Errorf("request %d waited for %v", i, took)
		}
	}
}

// TestPlaceAtUnknownUpstreamIsReleased checks that an instance returns a place at an upstream that its own,
// outdated list of upstreams lacks, and decides by that list itself.
func TestPlaceAtUnknownUpstreamIsReleased(t *testing.T) {
	placer, client := startTestZone(t, 2)
	placer.updateFleet(func(now time.Time, f *fleet.Core) {
		f.Remove(now, "a")
		f.Put(now, fleet.Upstream{ID: "b", Service: "s", Slots: 8})
	})
	q, query := newTestRequest(client, "q", 10*time.Second)
	_, held, err := q.findPlace(context.Background(), query)
	if err != nil || held == nil || held.placer != "" || held.upstream().ID != "a" {
		t.Errorf("%+v %v, want a place of this instance's own", held, err)
	}
	eventually(t, "the place is returned", func() bool { return placer.state.loads(time.Now())["b"] == 0 })
}

// TestCanceledRequestLeavesPlacerQueue checks that a request of another instance that ends while it waits
// for a place is removed from the placer's queue.
func TestCanceledRequestLeavesPlacerQueue(t *testing.T) {
	placer, client := startTestZone(t, 2)
	var places []*heldPlace
	for i := range 10 {
		q, query := newTestRequest(client, fmt.Sprint("q", i), 10*time.Second)
		if _, held, _ := q.findPlace(context.Background(), query); held != nil {
			places = append(places, held)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	q, query := newTestRequest(client, "waits", 10*time.Second)
	go func() {
		_, _, err := q.findPlace(ctx, query)
		done <- err
	}()
	eventually(t, "the request waits", func() bool { return placer.state.waitingCount() == 1 })
	cancel()
	if err := receive(t, "the end of the canceled request", done); err == nil {
		t.Error("a request that ended has a place")
	}
	eventually(t, "the request has left the queue", func() bool { return placer.state.waitingCount() == 0 })
	for _, held := range places {
		client.release(held)
	}
	eventually(t, "no place is taken any more", func() bool { return countedLoad(placer) == 0 })
}

// TestProcessStopsWhileOthersWait checks that a process stops although a request of another instance waits
// for a place in its queue. The cleanup of startTestZone stops both instances; it fails the test if one
// of them doesn't stop.
func TestProcessStopsWhileOthersWait(t *testing.T) {
	placer, client := startTestZone(t, 2)
	for i := range 11 {
		q, query := newTestRequest(client, fmt.Sprint("q", i), 10*time.Second)
		request := q.newPlaceRequest(uint64(i+1), &query)
		client.peers.placementClient.markHeld(request.ID) // otherwise the client would return the place
		client.peers.sendPlaceRequest(placer.peers.self.Address, request)
	}
	eventually(t, "a request waits", func() bool { return placer.state.waitingCount() == 1 })
}

// forgetListedUpstreams puts an instance into the state of one that was started during an outage of the
// platform: it has no list of upstreams yet.
func forgetListedUpstreams(e *Entry) {
	e.updateFleet(func(now time.Time, f *fleet.Core) {
		f.Remove(now, "a")
		e.state.listed = false
	})
}

// TestInstanceWithoutUpstreamsIsNoPlacer checks that a placer that knows no upstreams, as after a restart
// during an outage of the platform, isn't asked for places until it knows some. Without that,
// a placer refused 195 requests of two zones as "no upstream" within four seconds, although the instances
// that asked it knew thirteen upstreams.
func TestInstanceWithoutUpstreamsIsNoPlacer(t *testing.T) {
	placer, client := startTestZone(t, 2)
	address := placer.peers.self.Address
	forgetListedUpstreams(placer)
	for i := range 3 {
		q, query := newTestRequest(client, fmt.Sprint("q", i), 10*time.Second)
		d, held, err := q.findPlace(context.Background(), query)
		if err != nil || d.Refused != "" || held.placer != "" {
			t.Fatalf("%+v %+v %v, want a place decided on here", d, held, err)
		}
		client.release(held)
	}
	eventually(t, "the placer isn't asked any more", func() bool { return client.peers.placer() != address })
	time.Sleep(time.Second) // meanwhile the placer is probed, and responds
	if client.peers.placer() == address {
		t.Error("the placer is asked again before it knows an upstream")
	}
	placer.updateFleet(func(now time.Time, f *fleet.Core) {
		f.Put(now, fleet.Upstream{ID: "a", Service: "s", Slots: 8})
		placer.state.listed = true
	})
	eventually(t, "the placer is asked again", func() bool { return client.peers.placer() == address })
}

// TestPlacerWithoutUpstreamDoesNotRefuseForOthers checks that a request isn't refused if the placer is ready
// but knows no upstream of the service, while the instance that asks it knows one.
func TestPlacerWithoutUpstreamDoesNotRefuseForOthers(t *testing.T) {
	placer, client := startTestZone(t, 2)
	placer.updateFleet(func(now time.Time, f *fleet.Core) { f.Remove(now, "a") })
	q, query := newTestRequest(client, "q", 10*time.Second)
	d, held, err := q.findPlace(context.Background(), query)
	if err != nil || d.Refused != "" || held.placer != "" {
		t.Errorf("%+v %+v %v, want a place decided on here", d, held, err)
	}
	client.updateFleet(func(now time.Time, f *fleet.Core) { f.Remove(now, "a") })
	q, query = newTestRequest(client, "q2", 10*time.Second)
	if d, _, _ := q.findPlace(context.Background(), query); d.Refused != place.NoUpstream {
		t.Errorf("%+v, want a refusal when neither knows an upstream", d)
	}
}
