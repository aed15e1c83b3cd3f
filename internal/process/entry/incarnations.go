package entry

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/peers"
	"github.com/ragworttrestle/ragworttrestle/internal/request/quarantine"
)

// incarnationQueryInterval is how often an instance without a list of upstreams asks its placer for
// the state of upstreams with broken sends. Only the list tells whether an upstream crashed or stopped
// as planned.
const incarnationQueryInterval = 300 * time.Millisecond

// queryIncarnations asks the placer for the state of upstreams with broken sends, if this instance has
// no list of upstreams and the next query is due.
func (s *peerExchange) queryIncarnations(now time.Time) {
	if s.e.state.upstreamsListed() || now.Sub(s.incarnationsAskedAt) < incarnationQueryInterval {
		return
	}
	unresolved := s.e.holds.UpstreamsToCheck()
	to := s.placer()
	if len(unresolved) == 0 || to == "" {
		return
	}
	s.incarnationsAskedAt = now
	var m peers.Message
	for _, incarnation := range unresolved[:min(len(unresolved), peers.MaxIncarnations)] {
		m.IncarnationsWanted = append(m.IncarnationsWanted, fleet.Incarnation(incarnation))
	}
	s.send(m, to)
}

// handleIncarnations answers another instance's query for the state of upstreams, and applies the
// states that the other instance reports.
func (s *peerExchange) handleIncarnations(from string, m *peers.Message) {
	if len(m.IncarnationsWanted) > 0 {
		if states, restarts := s.e.state.incarnationStates(m.IncarnationsWanted); len(states) > 0 {
			s.send(peers.Message{Incarnations: states, Restarts: restarts}, from)
		}
	}
	ends := make(map[fleet.Incarnation]fleet.End, len(m.Restarts))
	for _, r := range m.Restarts {
		ends[r.Incarnation] = fleet.End{Next: r.Next, NextStartedMS: r.NextStartedMS}
	}
	listed := s.e.state.upstreamsListed() // if so, the list of this instance decides which upstreams are gone
	for _, state := range m.Incarnations {
		switch incarnation := quarantine.Incarnation(state.Incarnation); {
		case state.Leaving:
			s.recordPeerLeaving(from, state.Incarnation)
			s.e.holds.UpstreamStopped(incarnation)
		case state.Gone && !listed:
			s.e.recordListedEnd(incarnation, ends[state.Incarnation])
		}
	}
}

// recordPeerLeaving records that another instance reports that an upstream is leaving.
func (s *peerExchange) recordPeerLeaving(from string, incarnation fleet.Incarnation) {
	if s.e.state.markLeaving(time.Now(), time.Time{}, incarnation) {
		logline.Info("upstream told to leave", "upstream", incarnation, "by", from)
	}
}

// incarnationStates returns the states of those of the incarnations that are leaving or gone, and which of them were
// replaced by a later incarnation; nil if this instance has no list of upstreams.
func (s *state) incarnationStates(incarnations []fleet.Incarnation) (states []peers.IncarnationState, restarts []peers.Restart) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listed {
		return nil, nil
	}
	for _, incarnation := range incarnations {
		status := s.incarnationStatusLocked(incarnation)
		if status.leaving || status.ended {
			states = append(states, peers.IncarnationState{Incarnation: incarnation, Leaving: status.leaving, Gone: status.ended})
		}
		if end := status.end; end.Next != "" {
			restarts = append(restarts, peers.Restart{Incarnation: incarnation, Next: end.Next, NextStartedMS: end.NextStartedMS})
		}
	}
	return states, restarts
}
