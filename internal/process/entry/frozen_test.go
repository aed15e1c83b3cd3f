package entry

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/peers"
	"github.com/ragworttrestle/ragworttrestle/internal/request/place"
	standin "github.com/ragworttrestle/ragworttrestle/internal/standin/platform"
)

const (
	// frozenTime is how long the instances of these tests don't run. None of their goroutines and handlers
	// runs in that time, so that the test chooses what runs first afterwards.
	frozenTime = 4 * time.Second
	// frozenTestWait limits each wait of these tests for an event that has to come.
	frozenTestWait = 5 * time.Second
	// frozenTestSilence is how long these tests wait for a message that must not come.
	frozenTestSilence = 100 * time.Millisecond
)

// watchAnswer is the answer to a watch call of a heldFeed.
type watchAnswer struct {
	changes  []fleet.Change
	revision uint64
}

// heldFeed is a list of upstreams with upstream a. Its watch calls wait until the test answers them.
type heldFeed struct {
	watching chan uint64 // receives the revision of each watch call
	answers  chan watchAnswer
}

// List implements UpstreamFeed.
func (f *heldFeed) List(context.Context) ([]fleet.Change, uint64, error) {
	return []fleet.Change{listedUpstream("a", false)}, 5, nil
}

// Watch implements UpstreamFeed.
func (f *heldFeed) Watch(ctx context.Context, from uint64, _ time.Duration) ([]fleet.Change, uint64, error) {
	select {
	case f.watching <- from:
	case <-ctx.Done():
		return nil, 0, platform.ErrUnavailable
	}
	select {
	case answer := <-f.answers:
		return answer.changes, answer.revision, nil
	case <-ctx.Done():
		return nil, 0, platform.ErrUnavailable
	}
}

// AnnounceRoleChange implements UpstreamFeed.
func (f *heldFeed) AnnounceRoleChange(context.Context, fleet.Upstream, upstream.Role) error {
	return nil
}

// listedUpstream returns the change that lists an upstream of service s.
func listedUpstream(id string, leaving bool) fleet.Change {
	return fleet.Change{Kind: fleet.Listed, ID: id, Upstream: fleet.Upstream{ID: id, Service: "s", Slots: 8, Leaving: leaving}}
}

// frozenPlacer is an instance that gives places to asker. Only its watch and its probes of the platform
// run, and both wait for the test's answers. The test calls all else.
type frozenPlacer struct {
	t      *testing.T
	e      *Entry
	s      *peerExchange
	feed   *heldFeed
	probed chan struct{} // receives a value when a probe of the platform is sent
	alive  chan struct{} // a value answers a probe
	asker  *net.UDPConn
	lastID uint64 // of the asker's newest place request
}

// newFrozenPlacer returns an instance that has listed its upstreams and waits for changes. It has given a
// place to show that it can.
func newFrozenPlacer(t *testing.T) *frozenPlacer {
	t.Helper()
	e, s := newPeerTestEntry(t, "i-1", "z1", standin.New(standin.Config{}))
	e.peers = s
	p := &frozenPlacer{
		t: t, e: e, s: s, probed: make(chan struct{}, 100), alive: make(chan struct{}),
		feed: &heldFeed{watching: make(chan uint64, 100), answers: make(chan watchAnswer)},
	}
	e.cfg.Upstreams = p.feed
	ctx, cancel := context.WithCancel(context.Background())
	e.cfg.PingStore = func(context.Context) error { // an answer that lies ready counts, even if it is read late
		p.probed <- struct{}{}
		select {
		case <-p.alive:
			return nil
		case <-ctx.Done():
			return platform.ErrUnavailable
		}
	}
	e.spawn(func() { e.followUpstreams(ctx) })
	e.spawn(func() { e.probePlatform(ctx) })
	p.asker = listenTestPeer(t)
	t.Cleanup(func() {
		cancel()
		s.sockets.Load().datagrams.Close()
		close(s.stopped)
		e.goroutines.Wait()
	})
	receive(t, "the upstreams are watched", p.feed.watching)
	receive(t, "the platform is probed", p.probed)
	p.ask()
	if m, r := p.nextResponse(); !isUsablePlace(m, r) {
		t.Fatalf("%+v %+v before the freeze, want a place", m, r)
	}
	p.report(place.Event{Kind: place.Released})
	return p
}

// listenTestPeer opens the socket of an instance that the test plays.
func listenTestPeer(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// freeze runs each periodic task of the instance once, and then nothing for frozenTime.
func (p *frozenPlacer) freeze() {
	p.s.sendUpdates(time.Now())
	p.e.state.tick(time.Now())
	time.Sleep(frozenTime)
}

// ask has the instance handle a new place request.
func (p *frozenPlacer) ask() {
	p.lastID++
	request := peers.PlaceRequest{
		ID: p.lastID, Service: "s", Work: string(place.Serve),
		StartInUS: frozenTestWait.Microseconds(), LeftUS: 10 * frozenTestWait.Microseconds(),
	}
	p.receive(peers.Message{PlaceRequests: []peers.PlaceRequest{request}})
}

// report has the instance handle a report of events of the newest place.
func (p *frozenPlacer) report(events ...place.Event) {
	p.receive(peers.Message{EventReports: []peers.EventReport{peers.EventReportOf(p.lastID, events)}})
}

// receive has the instance handle a message of the asker.
func (p *frozenPlacer) receive(m peers.Message) {
	address := p.asker.LocalAddr().String()
	m.Sender = &peers.Peer{Name: "i-2", Zone: "z1", Address: address}
	p.s.handleMessage(time.Now(), address, &m)
}

// nextResponse returns the next message to the asker with a response to a place request, and that
// response. It fails the test if none comes in time.
func (p *frozenPlacer) nextResponse() (peers.Message, peers.PlaceResponse) {
	p.t.Helper()
	for {
		m, ok := readTestMessage(p.t, p.asker, frozenTestWait)
		if !ok {
			p.t.Fatal("timed out waiting: a response to a place request")
		}
		if len(m.PlaceResponses) > 0 {
			return m, m.PlaceResponses[0]
		}
	}
}

// readTestMessage reads the next message from a socket; ok is false if none comes within wait.
func readTestMessage(t *testing.T, conn *net.UDPConn, wait time.Duration) (m peers.Message, ok bool) {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(wait)); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, peers.MaxMessageBytes)
	n, _, err := conn.ReadFromUDPAddrPort(buf)
	if err != nil {
		return m, false
	}
	if m, err = peers.Decode(buf[:n]); err != nil {
		t.Fatal(err)
	}
	return m, true
}

// isUsablePlace reports whether an asker without a list of upstreams uses the place in a response.
func isUsablePlace(m peers.Message, r peers.PlaceResponse) bool {
	return !m.PlatformLost && !m.Unready && !r.Waiting && r.Refused == ""
}

// TestFrozenPlacerGivesNoPlaceByOldList guards against places at upstreams that left while the instance
// that gives the places was frozen: it woke with its old list, which counted as up to date, and was asked
// before its watch had told it of any change. Each case is another order of what runs first afterwards.
func TestFrozenPlacerGivesNoPlaceByOldList(t *testing.T) {
	for _, tc := range []struct {
		first string
		run   func(p *frozenPlacer)
	}{
		{"a place request", func(*frozenPlacer) {}},
		{"the heartbeat", func(p *frozenPlacer) { p.s.sendUpdates(time.Now()) }},
		{"the tick", func(p *frozenPlacer) { p.e.state.tick(time.Now()) }},
		{"the heartbeat twice and the tick", func(p *frozenPlacer) {
			p.s.sendUpdates(time.Now())
			p.e.state.tick(time.Now())
			p.s.sendUpdates(time.Now())
		}},
		{"an introduction of another instance", func(p *frozenPlacer) { p.receive(peers.Message{ReplyWanted: true}) }},
		{"an empty answer to the watch, sent before", func(p *frozenPlacer) {
			p.feed.answers <- watchAnswer{revision: 5}
			receive(p.t, "the upstreams are watched again", p.feed.watching)
		}},
		{"an answer with a change, sent before", func(p *frozenPlacer) {
			p.feed.answers <- watchAnswer{changes: []fleet.Change{listedUpstream("b", true)}, revision: 6}
			eventually(p.t, "the change is applied", func() bool { return p.e.state.isLeaving("b") })
		}},
		{"the answer to a probe, sent before", func(p *frozenPlacer) {
			p.alive <- struct{}{}
			receive(p.t, "the platform is probed again", p.probed)
		}},
	} {
		t.Run(tc.first, func(t *testing.T) {
			t.Parallel()
			p := newFrozenPlacer(t)
			p.freeze()
			tc.run(p)
			p.ask()
			if m, r := p.nextResponse(); isUsablePlace(m, r) {
				t.Errorf("after %v without running, the first response is a place at %+v, and its message says PlatformLost=%v, Unready=%v",
					frozenTime, r.At, m.PlatformLost, m.Unready)
			}
		})
	}
}

// TestFrozenPlacerGivesWaitingRequestNoPlaceByOldList guards against the same for a request that waited in
// the placer's queue during the freeze: the first message afterwards releases a place, and the request gets
// that place by the old list, in a message that nobody asked for just then.
func TestFrozenPlacerGivesWaitingRequestNoPlaceByOldList(t *testing.T) {
	t.Parallel()
	p := newFrozenPlacer(t)
	for {
		p.ask()
		if _, r := p.nextResponse(); r.Waiting {
			break
		}
		p.report(place.Event{Kind: place.Answered}) // otherwise the upstream would count as unresponsive
		if p.lastID > 100 {
			t.Fatal("no place request waits")
		}
	}
	p.freeze()
	p.receive(peers.Message{EventReports: []peers.EventReport{peers.EventReportOf(p.lastID-1, []place.Event{{Kind: place.Released}})}})
	for {
		m, ok := readTestMessage(t, p.asker, frozenTestSilence)
		if !ok {
			return
		}
		for _, r := range m.PlaceResponses {
			if isUsablePlace(m, r) {
				t.Errorf("after %v without running, request %d gets a place at %+v, and its message says PlatformLost=%v, Unready=%v",
					frozenTime, r.ID, r.At, m.PlatformLost, m.Unready)
			}
		}
	}
}

// TestFrozenPlacerSaysSoInFirstMessage guards against a first message after a freeze that says nothing of
// the old list: it brings the instance, which others skipped as it was silent, back into use.
func TestFrozenPlacerSaysSoInFirstMessage(t *testing.T) {
	t.Parallel()
	p := newFrozenPlacer(t)
	p.freeze()
	for ok := true; ok; { // messages from before the freeze
		_, ok = readTestMessage(t, p.asker, frozenTestSilence)
	}
	p.s.introduce(p.asker.LocalAddr().String())
	m, ok := readTestMessage(t, p.asker, frozenTestWait)
	if !ok {
		t.Fatal("no introduction arrived")
	}
	if !m.PlatformLost && !m.Unready {
		t.Errorf("after %v without running, the first message says PlatformLost=%v, Unready=%v", frozenTime, m.PlatformLost, m.Unready)
	}
}

// TestRunningPlacerGivesPlaces checks that an instance whose watch is silent for as long as a freeze gives
// places all the while: it runs, and its probes of the platform are answered.
func TestRunningPlacerGivesPlaces(t *testing.T) {
	t.Parallel()
	p := newFrozenPlacer(t)
	clock := useTestClock(p.e.state) // this process may itself not run for a while on a busy machine
	for end := time.Now().Add(frozenTime); time.Now().Before(end); time.Sleep(placerTick) {
		clock.now.Add(int64(placerTick))
		select {
		case p.alive <- struct{}{}:
		default:
		}
		p.s.sendUpdates(time.Now())
		p.e.state.tick(time.Now())
	}
	p.ask()
	if m, r := p.nextResponse(); !isUsablePlace(m, r) {
		t.Errorf("%+v, PlatformLost=%v, Unready=%v, want a place", r, m.PlatformLost, m.Unready)
	}
}

// TestThawedPlacerGivesPlacesAgain checks that an instance that was frozen gives places again soon after
// the platform has answered calls that the instance made afterwards, and none at an upstream that left.
func TestThawedPlacerGivesPlacesAgain(t *testing.T) {
	t.Parallel()
	p := newFrozenPlacer(t)
	p.freeze()
	p.ask()
	p.nextResponse()
	stop := make(chan struct{})
	defer close(stop)
	p.e.spawn(func() { // the platform answers from now on
		answer := watchAnswer{changes: []fleet.Change{listedUpstream("a", true), listedUpstream("b", false)}, revision: 7}
		for {
			select {
			case p.feed.answers <- answer:
				answer = watchAnswer{revision: 7}
				time.Sleep(50 * time.Millisecond)
			case p.alive <- struct{}{}:
			case <-stop:
				return
			}
		}
	})
	eventually(t, "places are given again", func() bool {
		p.s.sendUpdates(time.Now())
		p.ask()
		m, r := p.nextResponse()
		p.report(place.Event{Kind: place.Released})
		return isUsablePlace(m, r) && r.At != nil && r.At.ID == "b"
	})
}

// frozenAsker is an instance without a list of upstreams that gets its places from placer. The test calls
// all that it does.
type frozenAsker struct {
	e      *Entry
	s      *peerExchange
	placer *peerExchange
	q      *request
	query  place.Query
}

// newFrozenAsker returns an asker with a new request. None of the two instances is started.
func newFrozenAsker(t *testing.T) *frozenAsker {
	t.Helper()
	store := standin.New(standin.Config{})
	placer, placerExchange := newPeerTestEntry(t, "i-1", "z1", store)
	e, s := newPeerTestEntry(t, "i-2", "z1", store)
	placer.peers, e.peers = placerExchange, s
	t.Cleanup(func() {
		placerExchange.sockets.Load().datagrams.Close()
		s.sockets.Load().datagrams.Close()
	})
	forgetListedUpstreams(e)
	a := &frozenAsker{e: e, s: s, placer: placerExchange}
	s.handleMessage(time.Now(), placerExchange.self.Address, &peers.Message{Sender: &placerExchange.self})
	a.q, a.query = newTestRequest(e, "q", 10*frozenTestWait)
	return a
}

// grantPlace returns the placer's response to a place request of the asker.
func (a *frozenAsker) grantPlace(id uint64) peers.PlaceResponse {
	request := a.q.newPlaceRequest(id, &a.query)
	return a.placer.answerPlaceRequest(time.Now(), a.s.self.Address, &request)
}

// freeze runs each periodic task of the asker once, and then nothing for frozenTime.
func (a *frozenAsker) freeze() {
	a.s.sendUpdates(time.Now())
	a.e.state.tick(time.Now())
	time.Sleep(frozenTime)
}

// TestFrozenAskerDoesNotUseHeldPlace guards against a request that is sent to an upstream that left while
// the instance that holds the request was frozen: the instance got the place before the freeze and checks
// nothing that tells it how old the place is.
func TestFrozenAskerDoesNotUseHeldPlace(t *testing.T) {
	for _, tc := range []struct {
		first string
		run   func(a *frozenAsker)
	}{
		{"the request", func(*frozenAsker) {}},
		{"the heartbeat", func(a *frozenAsker) { a.s.sendUpdates(time.Now()) }},
		{"the tick", func(a *frozenAsker) { a.e.state.tick(time.Now()) }},
	} {
		t.Run(tc.first, func(t *testing.T) {
			t.Parallel()
			a := newFrozenAsker(t)
			id, _ := a.s.placementClient.register()
			_, held, ok := a.q.acceptAnswer(a.placer.self.Address, id, &a.query, a.grantPlace(id))
			if !ok || a.e.checkUsable(held) != nil {
				t.Fatalf("%+v isn't usable before the freeze", held)
			}
			a.freeze()
			tc.run(a)
			if a.e.checkUsable(held) == nil {
				t.Errorf("after %v without running, the place at %s counts as usable", frozenTime, held.upstream().ID)
			}
		})
	}
}

// TestFrozenAskerDoesNotUseBufferedAnswer guards against the same for an answer that arrived during the
// freeze, or just before it, and is read from the socket afterwards, before the wait for it has timed out.
func TestFrozenAskerDoesNotUseBufferedAnswer(t *testing.T) {
	for _, tc := range []struct {
		first string
		run   func(a *frozenAsker)
	}{
		{"the answer", func(*frozenAsker) {}},
		{"the heartbeat", func(a *frozenAsker) { a.s.sendUpdates(time.Now()) }},
	} {
		t.Run(tc.first, func(t *testing.T) {
			t.Parallel()
			a := newFrozenAsker(t)
			id, answers := a.s.placementClient.register()
			a.placer.send(peers.Message{PlaceResponses: []peers.PlaceResponse{a.grantPlace(id)}}, a.s.self.Address)
			a.freeze()
			tc.run(a)
			m, ok := readTestMessage(t, a.s.sockets.Load().datagrams, frozenTestWait)
			if !ok {
				t.Fatal("no answer is in the socket's buffer")
			}
			a.s.handleMessage(time.Now(), a.placer.self.Address, &m)
			answer := receive(t, "the answer is delivered", answers)
			_, held, ok := a.q.acceptAnswer(a.placer.self.Address, id, &a.query, answer)
			if ok && a.e.checkUsable(held) == nil {
				t.Errorf("after %v without running, the place at %s from an answer in the buffer is accepted and counts as usable",
					frozenTime, held.upstream().ID)
			}
		})
	}
}

// TestFrozenInstanceGivesOwnRequestNoPlaceByOldList guards against the same for a request of the instance's
// own that waited in its queue: the first event after the freeze frees a place, and the request gets it by
// the old list although other instances can be asked.
func TestFrozenInstanceGivesOwnRequestNoPlaceByOldList(t *testing.T) {
	t.Parallel()
	p := newFrozenPlacer(t)
	_, query := newTestRequest(p.e, "own", 10*frozenTestWait)
	var held *heldPlace
	for i := range 100 {
		query.ID = fmt.Sprint("own", i)
		decision := p.e.state.enqueue(time.Now(), query)
		select {
		case d := <-decision:
			held = &heldPlace{grant: place.NewGrant(&query, d.Choice)}
			p.e.recordEvents(held, place.Event{Kind: place.Answered}) // otherwise the upstream would count as unresponsive
			continue
		default:
		}
		p.freeze()
		p.e.release(held)
		select {
		case d := <-decision:
			own := &heldPlace{grant: place.NewGrant(&query, d.Choice)}
			if d.Refused == "" && p.e.checkUsable(own) == nil {
				t.Errorf("after %v without running, a request in the own queue gets a place at %s that counts as usable", frozenTime, own.upstream().ID)
			}
		case <-time.After(frozenTestSilence):
		}
		return
	}
	t.Fatal("no request waits")
}
