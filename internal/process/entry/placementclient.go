package entry

import (
	"context"
	"sync"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/peers"
	"github.com/ragworttrestle/ragworttrestle/internal/request/place"
)

const (
	// waitingPollInterval is the interval at which a place request is repeated while it waits in the
	// placer's queue, so that this instance notices if the placer is gone.
	waitingPollInterval = 50 * time.Millisecond
	// streamReportInterval is the minimum interval between two reported events of the stream of one
	// response: the pace of an engine is averaged over many events, so a sample is enough.
	streamReportInterval = 100 * time.Millisecond
	// releaseSends is the number of messages in which the release of a place is sent. If the placer
	// received none of them, the place would stay occupied until the request's deadline.
	releaseSends = 2
)

// placementClient keeps the place requests of this instance that have no final answer yet, the places
// that it got from placers and holds, and the event reports that are still to be sent to them.
type placementClient struct {
	mu      sync.Mutex
	lastID  uint64                              // of the newest place request
	pending map[uint64]chan peers.PlaceResponse // where answers are delivered, by place request id
	held    map[uint64]bool                     // ids of place requests whose places are held
	outbox  map[string][]queuedReport           // by the placer's address
}

// queuedReport is an event report with the number of messages in which it is still to be sent.
type queuedReport struct {
	report    peers.EventReport
	sendsLeft int
}

// newPlacementClient returns a client whose place requests get ids greater than first, so that they
// don't repeat those of an earlier incarnation of this process.
func newPlacementClient(first uint64) *placementClient {
	return &placementClient{
		lastID: first, pending: make(map[uint64]chan peers.PlaceResponse),
		held: make(map[uint64]bool), outbox: make(map[string][]queuedReport),
	}
}

// register returns a new place request id and the channel on which its answers are delivered.
func (c *placementClient) register() (uint64, chan peers.PlaceResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	answers := make(chan peers.PlaceResponse, 4)
	c.pending[c.lastID] = answers
	return c.lastID, answers
}

// unregister ends the delivery of answers to a place request.
func (c *placementClient) unregister(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// markHeld records that the place from the answer to a place request is held until it is released.
func (c *placementClient) markHeld(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held[id] = true
}

// deliver passes an answer to the request that waits for it. It returns false if the answer has a place
// that no request waits for or holds: a place request that is sent twice may be answered twice.
func (c *placementClient) deliver(answer peers.PlaceResponse) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	answers, ok := c.pending[answer.ID]
	if !ok {
		return c.held[answer.ID] || answer.Waiting || answer.Refused != ""
	}
	select {
	case answers <- answer:
	default: // the request has several answers already, and needs one
	}
	return true
}

// maxPlacerQueries limits how many times an instance asks placers for one place. It applies to an
// instance that doesn't follow the list of upstreams and so can't choose an upstream itself. It is large,
// because a placer that can't choose one either says so at once.
const maxPlacerQueries = 24

// findPlace finds a place for a request. It asks the placer, or uses this process's own queue if this
// process is the placer. If the placer gives no usable answer, findPlace does one of two things. If this
// process has a list of upstreams, it uses the own queue at once. Otherwise it asks the next placer. The
// error is that of ctx.
func (q *request) findPlace(ctx context.Context, query place.Query) (place.Decision, *heldPlace, error) {
	e := q.e
	for range maxPlacerQueries {
		to := e.peers.placer()
		if to == "" {
			break
		}
		d, held, ok := q.askPlacer(ctx, to, query)
		if ok || ctx.Err() != nil {
			return d, held, ctx.Err()
		}
		query.Excluded = q.excluded // askPlacer may have added an upstream
		if e.state.upstreamsListed() {
			break
		}
	}
	if !q.demandCounted {
		q.demandCounted = true
		e.recordDemand(q.arrived, query, q.route.Name)
	}
	d, err := e.state.awaitPlace(ctx, query)
	if err != nil || d.Refused != "" {
		return d, nil, err
	}
	return d, &heldPlace{grant: place.NewGrant(&query, d.Choice)}, nil
}

// awaitPlace waits for a decision of this process's own queue. If ctx ends first, it removes the request
// from the queue and returns the error of ctx.
func (s *state) awaitPlace(ctx context.Context, query place.Query) (place.Decision, error) {
	decision := s.enqueue(time.Now(), query)
	select {
	case d := <-decision:
		return d, nil
	default:
	}
	select {
	case d := <-decision:
		return d, nil
	case <-ctx.Done():
		if s.dequeue(query) != nil {
			return place.Decision{}, ctx.Err()
		}
		return <-decision, nil // decided before the request could leave the queue
	}
}

// askPlacer asks another instance for a place and waits for its decision. ok is false if ctx ends, or if
// the other instance doesn't answer, isn't ready, or has another view of the upstreams: it chose an
// upstream that this process doesn't know or use, or found none although this process knows some.
func (q *request) askPlacer(ctx context.Context, to string, query place.Query) (d place.Decision, held *heldPlace, ok bool) {
	s := q.e.peers
	stalls := q.e.state.stallCount()
	id, answers := s.placementClient.register()
	defer s.placementClient.unregister(id)
	for {
		askedAt := time.Now()
		answer, received := q.askWithRetry(ctx, to, id, &query, answers)
		if !received {
			s.handleNoAnswer(ctx, to, id)
			return d, nil, false
		}
		if answer.Refused == string(peers.NotReady) {
			return d, nil, false // the message had Unready set, so peers.Core.Placer now returns another instance
		}
		q.demandCounted = true
		s.recordAnswer(to, time.Since(askedAt))
		if answer.Waiting && s.isPlatformLost(to) {
			s.sendPlaceRequest(to, peers.PlaceRequest{ID: id, Cancel: true})
			return d, nil, false // its decisions may wait for the platform
		}
		if answer.Waiting {
			answer, received = s.awaitAnswer(ctx, answers, waitingPollInterval)
		}
		switch {
		case ctx.Err() != nil && (!received || answer.Waiting):
			s.sendPlaceRequest(to, peers.PlaceRequest{ID: id, Cancel: true})
			return d, nil, false
		case received && !answer.Waiting:
			d, held, ok = q.acceptAnswer(to, id, &query, answer)
			if held != nil {
				held.stalls = stalls
			}
			return d, held, ok
		}
	}
}

// askWithRetry sends a place request and waits for its answer. It repeats the place request once, as
// datagrams may be lost.
func (q *request) askWithRetry(ctx context.Context, to string, id uint64, query *place.Query, answers <-chan peers.PlaceResponse) (peers.PlaceResponse, bool) {
	s := q.e.peers
	for range 2 {
		s.sendPlaceRequest(to, q.newPlaceRequest(id, query))
		if answer, received := s.awaitAnswer(ctx, answers, s.answerTimeout()); received || ctx.Err() != nil {
			return answer, received
		}
	}
	return peers.PlaceResponse{}, false
}

// newPlaceRequest returns the place request for a query. Until the demand of the request is counted, it
// contains the route, so that the placer counts the demand.
func (q *request) newPlaceRequest(id uint64, query *place.Query) peers.PlaceRequest {
	now := time.Now()
	left, _ := q.timeLeft(now)
	out := peers.PlaceRequestOf(now, id, query, max(left, 0))
	if !q.demandCounted {
		out.Route = q.route.Name
	}
	return out
}

// awaitAnswer waits for the next answer. It returns false if none came within wait, or if ctx ended
// first.
func (s *peerExchange) awaitAnswer(ctx context.Context, answers <-chan peers.PlaceResponse, wait time.Duration) (peers.PlaceResponse, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case answer := <-answers:
		return answer, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return peers.PlaceResponse{}, false
}

// acceptAnswer checks a decision of another instance against what this process knows. If it doesn't
// accept the decision, it returns false and cancels the place, if there is one.
func (q *request) acceptAnswer(to string, id uint64, query *place.Query, answer peers.PlaceResponse) (place.Decision, *heldPlace, bool) {
	st, d := q.e.state, answer.Decision()
	if d.Refused == place.NoUpstream && st.eligible(time.Now(), query) > 0 {
		return d, nil, false // this instance knows upstreams that the placer doesn't
	}
	if d.Refused != "" {
		return d, nil, true
	}
	if q.rejectIfUnusable(to, id, answer.Incarnation()) {
		return d, nil, false
	}
	// A placer that can't read the platform may not know that an upstream has left.
	if q.e.peers.isPlatformLost(to) || !st.adoptPlace(time.Now(), query.Service, &answer, &d.Choice) {
		q.e.peers.sendPlaceRequest(to, peers.PlaceRequest{ID: id, Cancel: true})
		return d, nil, false
	}
	// markHeld has to be called before askPlacer calls unregister. In the opposite order, a repeated answer
	// could arrive between the two calls. The function deliver would then return false, and handleAnswers
	// would cancel the place.
	q.e.peers.placementClient.markHeld(id)
	if query.Continues() && d.Choice.Upstream.Software != query.Software {
		// The placer runs an older program, which passes over the version that is required.
		q.e.release(&heldPlace{grant: place.NewGrant(query, d.Choice)}) // adoptPlace counted it
		q.e.peers.sendPlaceRequest(to, peers.PlaceRequest{ID: id, Cancel: true})
		return place.Decision{Refused: place.NoUpstream, RetryAfter: defaultRetryAfter}, nil, !st.upstreamsListed()
	}
	if !answer.Sole {
		q.e.peers.copyRows(query.Service)
	}
	return d, &heldPlace{grant: place.NewGrant(query, d.Choice), placer: to, placeRequestID: id, sole: answer.Sole}, true
}

// rejectIfUnusable rejects a place if this process knows that its upstream is leaving or backing off. It
// then cancels the place and informs the placer about the upstream. It reports whether it rejected the
// place.
func (q *request) rejectIfUnusable(to string, id uint64, incarnation fleet.Incarnation) bool {
	st := q.e.state
	leaving, backoff := st.isLeaving(incarnation), st.backoffLeft(time.Now(), incarnation)
	if !leaving && backoff == 0 {
		return false
	}
	q.excluded = append(q.excluded, incarnation)
	logline.Info("place rejected", "by", to, "upstream", incarnation, "leaves", leaving, "rest_ms", backoff.Milliseconds())
	m := peers.Message{PlaceRequests: []peers.PlaceRequest{{ID: id, Cancel: true}}}
	if leaving {
		m.Incarnations = []peers.IncarnationState{{Incarnation: incarnation, Leaving: true}}
	}
	if backoff > 0 {
		m.EventReports = []peers.EventReport{peers.EventReportOf(id, []place.Event{{Kind: place.Rejected, Duration: backoff}})}
	}
	q.e.peers.send(m, to)
	return true
}

// adoptPlace completes the choice c, which another instance made. If this process has the list of
// upstreams, adoptPlace completes c from the list and counts the place; ok is false if the upstream may
// get no work according to the list. Without the list, adoptPlace completes c from the answer; ok is
// false if the answer doesn't describe the upstream.
func (s *state) adoptPlace(now time.Time, service string, answer *peers.PlaceResponse, c *place.Choice) (ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listed {
		return answer.CompleteChoice(service, c)
	}
	if c.Upstream, ok = s.tracker.ByKey(place.UpstreamKey(answer.Upstream)); !ok {
		return false
	}
	c.CopyFrom = s.tracker.Source(place.UpstreamKey(answer.CopyFrom))
	s.tracker.Granted(now, c)
	return true
}

// reportEvents sends the events of a place to its placer. Events that may let waiting requests start,
// or that affect further decisions, are sent at once, along with the reports queued before. Others are
// sent within reportDelay. Of the events of a stream, only a sample is sent (see streamReportInterval).
func (s *peerExchange) reportEvents(h *heldPlace, events []place.Event) {
	now := time.Now()
	urgent, released := false, false
	selected := make([]place.Event, 0, len(events))
	for _, e := range events {
		switch e.Kind {
		case place.StreamEvent:
			if now.Sub(h.streamReportedAt) < streamReportInterval {
				continue
			}
			h.streamReportedAt = now
		case place.Released:
			urgent, released = true, true
		case place.Claimed, place.Prefilled, place.PrefilledAndDecoding, place.FailedUnanswered, place.Misdirected, place.Rejected:
			urgent = true
		}
		selected = append(selected, e)
	}
	if len(selected) > 0 {
		s.placementClient.enqueue(h, peers.EventReportOf(h.placeRequestID, selected), released)
	}
	switch {
	case urgent:
		s.flushReports(h.placer)
	case len(selected) > 0:
		time.AfterFunc(reportDelay, func() { s.flushReports(h.placer) })
	}
}

// enqueue queues an event report until it is sent. released says that it includes the release of the
// place.
func (c *placementClient) enqueue(h *heldPlace, report peers.EventReport, released bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := queuedReport{report: report, sendsLeft: 1}
	if released {
		q.sendsLeft = releaseSends
		delete(c.held, h.placeRequestID)
	}
	c.outbox[h.placer] = append(c.outbox[h.placer], q)
}

// maxReportsPerMessage limits the event reports in one message.
const maxReportsPerMessage = 16

// dequeueReports returns the event reports for the next message to an instance. Of these, it keeps in
// the queue those that have to be sent again, reduced to the release of the place.
func (c *placementClient) dequeueReports(to string) []peers.EventReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	queued := c.outbox[to]
	n := min(len(queued), maxReportsPerMessage)
	reports := make([]peers.EventReport, 0, n)
	var repeats []queuedReport
	for _, q := range queued[:n] {
		reports = append(reports, q.report)
		if q.sendsLeft--; q.sendsLeft > 0 {
			q.report.Events = []peers.ReportedEvent{{Kind: uint8(place.Released)}}
			repeats = append(repeats, q)
		}
	}
	if queued = append(repeats, queued[n:]...); len(queued) == 0 {
		delete(c.outbox, to)
	} else {
		c.outbox[to] = queued
	}
	return reports
}

// flushReports sends queued event reports to an instance.
func (s *peerExchange) flushReports(to string) {
	if reports := s.placementClient.dequeueReports(to); len(reports) > 0 {
		s.send(peers.Message{EventReports: reports}, to)
	}
}

// flushAllReports sends the queued event reports to all instances.
func (s *peerExchange) flushAllReports() {
	s.placementClient.mu.Lock()
	to := make([]string, 0, len(s.placementClient.outbox))
	for address := range s.placementClient.outbox {
		to = append(to, address)
	}
	s.placementClient.mu.Unlock()
	for _, address := range to {
		s.flushReports(address)
	}
}

// sendPlaceRequest sends a place request, along with queued event reports.
func (s *peerExchange) sendPlaceRequest(to string, request peers.PlaceRequest) {
	s.send(peers.Message{PlaceRequests: []peers.PlaceRequest{request}, EventReports: s.placementClient.dequeueReports(to)}, to)
}

// handleAnswers delivers answers to the requests that wait for them. It cancels the place in an answer if
// no request waits for that place or holds it.
func (s *peerExchange) handleAnswers(from string, answers []peers.PlaceResponse) {
	for _, answer := range answers {
		if !s.placementClient.deliver(answer) {
			s.sendPlaceRequest(from, peers.PlaceRequest{ID: answer.ID, Cancel: true})
		}
	}
}

// placer returns the address of the instance to ask for places, or "" if this instance chooses upstreams
// itself.
func (s *peerExchange) placer() string {
	if s == nil {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Placer()
}

// isPlatformLost reports whether the instance at the given address can't read the platform and there is
// another placer to ask instead, which may be able to read it.
func (s *peerExchange) isPlatformLost(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.IsPlatformLost(address) && s.core.Placer() != address
}

// estimatedAnswerTimeout returns how long to wait for an answer of the placer, from the times that answers
// have taken.
func (s *peerExchange) estimatedAnswerTimeout() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.AnswerTimeout()
}

// recordAnswer records that an instance answered a place request, and after what time.
func (s *peerExchange) recordAnswer(from string, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.AnswerReceived(time.Now(), from, latency)
}

// probeSuccessors probes the instances that can replace the candidates of the zone once none of these answers any
// more. If nobody answers, this instance begins to follow the platform. Callers hold mu.
func (s *peerExchange) probeSuccessors(now time.Time) {
	if to := s.core.ProbeSuccessors(now); len(to) > 0 {
		s.send(s.introduction(true), to...)
		time.AfterFunc(peers.IsolationTimeout, s.recheckFollowing)
	}
}

// handleNoAnswer cancels a place request that got no answer. Unless that is because the request has ended, the
// placer isn't asked again until it sends a message.
func (s *peerExchange) handleNoAnswer(ctx context.Context, to string, id uint64) {
	if ctx.Err() == nil {
		s.mu.Lock()
		s.core.AnswerTimedOut(to)
		s.probeSuccessors(time.Now())
		s.mu.Unlock()
		logline.Info("places not given", "by", to, "why", "no answer in time", "then", "another instance is asked until this placer sends a message")
	}
	s.sendPlaceRequest(to, peers.PlaceRequest{ID: id, Cancel: true})
}
