package entry

import (
	"strconv"
	"sync"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/peers"
	"github.com/ragworttrestle/ragworttrestle/internal/request/place"
)

const (
	// grantExpirySlack is how long after the request's deadline a place is kept for an instance that no
	// longer reports anything about that place.
	grantExpirySlack = 500 * time.Millisecond
	// defaultGrantTime is how long a place is kept for a request without a deadline.
	defaultGrantTime = 30 * time.Second
	// maxGrants limits the open grants to other instances. It is far more than the places that one placer
	// gives in any deployment.
	maxGrants = 8192
)

// placementServer keeps the place requests of other instances and the places given to them.
type placementServer struct {
	mu     sync.Mutex
	grants map[grantKey]*placeGrant
}

// grantKey identifies a place request.
type grantKey struct {
	from string // address of the instance that asks
	id   uint64
}

// placeGrant is the state of a place request, which waits in the queue, was refused, or has a place.
type placeGrant struct {
	query            place.Query
	expires          time.Time
	answer           peers.PlaceResponse // with Waiting set until the decision
	held             *heldPlace          // nil: waiting, refused or released
	awaitingResponse bool                // the request counts as sent to the upstream, and no response was reported yet
}

func newPlacementServer() *placementServer {
	return &placementServer{grants: make(map[grantKey]*placeGrant)}
}

// handlePlaceRequests answers the place requests of another instance. While this instance isn't ready,
// its answers say so.
func (s *peerExchange) handlePlaceRequests(now time.Time, from string, requests []peers.PlaceRequest) {
	for i := range requests {
		request := &requests[i]
		switch {
		case request.Cancel:
			s.cancelGrant(grantKey{from, request.ID})
		case s.e.cannotPlaceReason() != "":
			s.send(peers.Message{PlaceResponses: []peers.PlaceResponse{{ID: request.ID, Refused: string(peers.NotReady)}}}, from)
		default:
			s.send(peers.Message{PlaceResponses: []peers.PlaceResponse{s.answerPlaceRequest(now, from, request)}}, from)
		}
	}
}

// answerPlaceRequest returns the answer to a place request. A repeated place request gets the same
// answer.
func (s *peerExchange) answerPlaceRequest(now time.Time, from string, request *peers.PlaceRequest) peers.PlaceResponse {
	key := grantKey{from, request.ID}
	s.placementServer.mu.Lock()
	defer s.placementServer.mu.Unlock()
	if g, ok := s.placementServer.grants[key]; ok {
		return g.answer
	}
	st := s.e.state
	query := request.Query(now, from+"/"+strconv.FormatUint(request.ID, 10), s.self.Zone, st.incarnationByKey)
	if request.Route != "" {
		s.e.recordDemand(now, query, request.Route)
	}
	g := &placeGrant{query: query, expires: now.Add(defaultGrantTime), answer: peers.PlaceResponse{ID: request.ID, Waiting: true}}
	if request.LeftUS > 0 {
		g.expires = now.Add(time.Duration(request.LeftUS)*time.Microsecond + grantExpirySlack)
	}
	if len(s.placementServer.grants) >= maxGrants {
		logline.Info("no place given", "to", from, "why", "too many places are granted")
		return peers.PlaceResponse{ID: request.ID, Refused: string(place.Outranked), RetryUS: defaultRetryAfter.Microseconds()}
	}
	s.placementServer.grants[key] = g
	decision := st.enqueue(now, query)
	select {
	case d := <-decision:
		s.recordDecision(key, g, &d)
	default:
		s.e.spawn(func() { s.awaitDecision(key, g, decision) })
	}
	return g.answer
}

// awaitDecision waits for the decision on a place request and sends it, unless this process stops
// first. It releases the place if the place request was canceled or has expired meanwhile.
func (s *peerExchange) awaitDecision(key grantKey, g *placeGrant, decision <-chan place.Decision) {
	var d place.Decision
	select {
	case d = <-decision:
	case <-s.stopped:
		return
	}
	s.placementServer.mu.Lock()
	s.recordDecision(key, g, &d)
	answer := g.answer
	_, open := s.placementServer.grants[key]
	if !open && g.held != nil {
		s.releaseGrant(g)
	}
	s.placementServer.mu.Unlock()
	if open {
		s.send(peers.Message{PlaceResponses: []peers.PlaceResponse{answer}}, key.from)
	}
}

// recordDecision records the decision on a place request in its grant. Callers hold the lock.
func (s *peerExchange) recordDecision(key grantKey, g *placeGrant, d *place.Decision) {
	if d.Refused == "" {
		g.held = &heldPlace{grant: place.NewGrant(&g.query, d.Choice)}
		g.awaitingResponse = d.Choice.Work != place.Reserve
	} else {
		g.expires = time.Now().Add(grantExpirySlack) // the grant is kept only to answer a repeated place request
	}
	g.answer = peers.PlaceResponseOf(key.id, d)
	if q := &g.query; d.Refused == place.NoUpstream && q.Continues() && !s.e.state.hasSoftware(q.Service, q.Software) {
		g.answer.Refused = string(peers.SoftwareGone)
	}
	if g.held != nil {
		g.answer.Sole = s.e.soleSoftware(g.held.upstream().Service)
	}
}

// cancelGrant cancels a place request for which the other instance no longer wants a place.
func (s *peerExchange) cancelGrant(key grantKey) {
	s.placementServer.mu.Lock()
	defer s.placementServer.mu.Unlock()
	g, ok := s.placementServer.grants[key]
	if !ok {
		return
	}
	delete(s.placementServer.grants, key)
	s.releaseGrant(g)
}

// releaseGrant releases the place of a grant, or removes its request from the queue. Callers hold
// the lock.
func (s *peerExchange) releaseGrant(g *placeGrant) {
	if g.held == nil {
		s.e.state.cancelQueued(g.query)
		return
	}
	s.stopAwaitingResponse(g)
	s.e.release(g.held)
	g.held = nil
}

// stopAwaitingResponse records that no report of a response is expected any more for the request of a
// grant. The report is missing if its message was lost, or if the instance that was to send it is gone.
// Without this call, the upstream would count as unresponsive for as long as this process is a placer.
func (s *peerExchange) stopAwaitingResponse(g *placeGrant) {
	if g.awaitingResponse {
		g.awaitingResponse = false
		s.e.recordEvents(g.held, place.Event{Kind: place.Unresolved})
	}
}

// updateAwaitingResponse updates awaitingResponse after an event of the place.
func (g *placeGrant) updateAwaitingResponse(e place.Event) {
	switch e.Kind {
	case place.Claimed:
		g.awaitingResponse = true
	case place.Answered, place.FailedUnanswered, place.Abandoned:
		g.awaitingResponse = false
	}
}

// handleEventReports applies the event reports of another instance. Each says what happened to a
// request that got its place from this instance, such as that a response came or that the place was
// released.
func (s *peerExchange) handleEventReports(from string, reports []peers.EventReport) {
	if len(reports) == 0 {
		return
	}
	s.placementServer.mu.Lock()
	defer s.placementServer.mu.Unlock()
	for i := range reports {
		key := grantKey{from, reports[i].ID}
		g, ok := s.placementServer.grants[key]
		if !ok || g.held == nil {
			continue
		}
		s.applyEvents(key, g, reports[i].PlaceEvents())
	}
}

// applyEvents applies the events of one place, up to its release. Callers hold the lock.
func (s *peerExchange) applyEvents(key grantKey, g *placeGrant, events []place.Event) {
	for _, e := range events {
		g.updateAwaitingResponse(e)
		if e.Kind == place.Released {
			delete(s.placementServer.grants, key)
			s.releaseGrant(g)
			return
		}
		s.e.recordEventsOf(key.from, g.held, e)
	}
}

// expireGrants removes the grants whose time is over, and releases their places: the instances that hold
// those places no longer report anything about them.
func (s *peerExchange) expireGrants(now time.Time) {
	s.placementServer.mu.Lock()
	defer s.placementServer.mu.Unlock()
	for key, g := range s.placementServer.grants {
		if now.Before(g.expires) {
			continue
		}
		delete(s.placementServer.grants, key)
		if g.held != nil {
			logline.Info("place taken back", "upstream", g.held.upstream().ID, "from", key.from, "why", "the deadline of its request has passed")
		}
		s.releaseGrant(g)
	}
}

// incarnationByKey returns the incarnation of the upstream with a key. It returns false if there is none
// that may get work.
func (s *state) incarnationByKey(key place.UpstreamKey) (fleet.Incarnation, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u, ok := s.tracker.ByKey(key)
	return u.Incarnation(), ok
}

// cancelQueued removes another instance's request from the queue, if the request waits there.
func (s *state) cancelQueued(q place.Query) {
	if w := s.dequeue(q); w != nil {
		w <- place.Decision{ID: q.ID, Refused: place.NoPlaceInTime} // ends awaitDecision
	}
}
