package entry

import (
	"net/http"
	"slices"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/peers"
	"github.com/ragworttrestle/ragworttrestle/internal/request/exchange"
	"github.com/ragworttrestle/ragworttrestle/internal/request/place"
)

// recordRateLimit records what the response to a request says about its upstream's rate limit, and
// reports a change to other instances. sent is when the request was sent.
func (e *Entry) recordRateLimit(u *fleet.Upstream, sent time.Time, status int, info exchange.ResponseInfo, requestID string) {
	if status == http.StatusMisdirectedRequest {
		return // the response may be from another upstream at the same address
	}
	now, changed := time.Now(), false
	e.state.withTracker(now, func(t *place.Tracker) {
		switch l := info.RateLimit; {
		case l != nil:
			changed = t.RateLimited(now, u.Incarnation(), *l)
		case !info.NotRun && info.RequestID == requestID:
			changed = t.NotRateLimited(sent, u.Incarnation())
		}
	})
	if !changed {
		return
	}
	if l := info.RateLimit; l != nil {
		logline.Info("limit of an upstream heard", "upstream", u.ID, "per_second", l.PerSecond, "readable", l.Valid, "request", requestID)
	} else {
		logline.Info("limit of an upstream ended", "upstream", u.ID, "request", requestID)
	}
	if s := e.peers; s != nil {
		s.limits.add(true, place.KeyOf(u.Incarnation()))
		s.flushRateLimits(now)
	}
}

// flushRateLimits sends the changed limits that are due: to the placers those that this instance learned
// from upstreams, and to its availability zone all of them if this instance acts as a placer.
func (s *peerExchange) flushRateLimits(now time.Time) {
	own, all := s.limits.next()
	if len(all) == 0 {
		return
	}
	s.mu.Lock()
	placers, zone, placing := s.core.Placers(now), s.core.ZoneAddresses(), s.core.ActsAsPlacer(now)
	s.mu.Unlock()
	s.sendRateLimits(s.e.state.rateLimitsOf(now, own), 0, placers)
	if placing {
		s.sendRateLimits(s.e.state.rateLimitsOf(now, all), 0, zone)
	}
}

// updateRateLimits sends the changed limits that are due, sets the share of each limit that this process
// may use, and, when that is due, sends all limits along with a request for the receivers' shares.
func (s *peerExchange) updateRateLimits(now time.Time) {
	s.flushRateLimits(now)
	bootNow := boottime.Now()
	s.mu.Lock()
	share := s.core.RateShare(bootNow)
	s.mu.Unlock()
	s.e.state.setRateShare(now, share)
	limits := s.e.state.rateLimits(now)
	s.updateLimitMetrics(limits, share)
	if len(limits) == 0 {
		return
	}
	s.mu.Lock()
	serial, zone := s.core.RequestShares(now, bootNow)
	placers := s.core.Placers(now)
	s.mu.Unlock()
	if serial == 0 {
		return
	}
	s.sendRateLimits(limits, serial, zone)
	if !s.e.state.limitsBind(now) {
		serial = 0 // this instance needs no more than it has: the other placers keep their shares
	}
	s.sendRateLimits(limits, serial, placers)
}

// updateLimitMetrics updates the metrics of rate limits while there are any, and once more after the last
// one has ended.
func (s *peerExchange) updateLimitMetrics(limits []place.PeerRateLimit, share float64) {
	n := 0
	for _, l := range limits {
		if !l.Ended {
			n++
		}
	}
	if n > 0 || s.limitedCount > 0 {
		s.e.metrics.setLimitedUpstreams(n)
		s.e.metrics.setLimitShare(share)
	}
	s.limitedCount = n
}

// sendRateLimits sends limits, in as many messages as needed. Unless shareRequest is 0, the first message
// also requests the receivers' shares of the limits, with shareRequest as its serial number.
func (s *peerExchange) sendRateLimits(limits []place.PeerRateLimit, shareRequest uint64, to []string) {
	for chunk := range slices.Chunk(limits, peers.MaxRateLimits) {
		m := peers.Message{ShareRequest: shareRequest}
		for _, l := range chunk {
			m.RateLimits = append(m.RateLimits, peers.RateLimitOf(l))
		}
		s.send(m, to...)
		shareRequest = 0
	}
}

// handleRateLimits handles what another instance sends about limits: the limits themselves, a
// request for this instance's share of them, or a loan of its own share.
func (s *peerExchange) handleRateLimits(now time.Time, from string, m *peers.Message) {
	if len(m.RateLimits) > 0 {
		s.mergeRateLimits(now, from, m.RateLimits)
	}
	if m.Sender != nil && m.Sequence == 0 {
		s.sendLimitsToNewPeer(now, from)
	}
	if m.ShareRequest != 0 {
		s.lendRateShare(now, from, m.ShareRequest)
	}
	if loan := m.ShareLoan; loan != nil {
		s.mu.Lock()
		s.core.BorrowShare(boottime.Now(), from, loan.Serial, loan.Loan())
		s.mu.Unlock()
	}
}

// sendLimitsToNewPeer sends the limits to an instance that introduces itself, as it may have just
// started.
func (s *peerExchange) sendLimitsToNewPeer(now time.Time, to string) {
	s.mu.Lock()
	placing := s.core.ActsAsPlacer(now)
	s.mu.Unlock()
	if placing {
		s.sendRateLimits(s.e.state.rateLimits(now), 0, []string{to})
	}
}

// mergeRateLimits applies the limits that another instance reports, and passes on those that were new or
// have changed.
func (s *peerExchange) mergeRateLimits(now time.Time, from string, limits []peers.RateLimit) {
	for _, l := range limits {
		limit, changed := l.PeerRateLimit(), false
		s.e.state.withTracker(now, func(t *place.Tracker) { changed = t.MergeRateLimit(now, limit) })
		if !changed {
			continue
		}
		incarnation, _ := s.e.state.incarnationByKey(limit.Upstream)
		logline.Info("limit of an upstream told", "upstream", incarnation, "per_second", limit.PerSecond, "ended", limit.Ended,
			"age_ms", limit.Age.Milliseconds(), "by", from)
		s.limits.add(false, limit.Upstream)
	}
	s.flushRateLimits(now)
}

// lendRateShare lends a share of the limits to another instance that requests it, if there is one to
// spare. This instance stops using the share before it sends the loan.
func (s *peerExchange) lendRateShare(now time.Time, to string, serial uint64) {
	bootNow, needed := boottime.Now(), s.e.state.limitsBind(now)
	s.mu.Lock()
	loan, ok := s.core.LendShare(now, bootNow, to, needed)
	ownShare := s.core.RateShare(bootNow)
	s.mu.Unlock()
	if ok {
		s.e.state.setRateShare(now, ownShare)
		s.send(peers.Message{ShareLoan: &peers.ShareLoan{Serial: serial, Share: loan.Share, TermMS: loan.Term.Milliseconds()}}, to)
	}
}

// limitsBind reports whether rate limits have recently prevented that a request was sent.
func (s *state) limitsBind(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.RateLimitsBind(now)
}

// setRateShare sets the share of each limit that this process may use.
func (s *state) setRateShare(now time.Time, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.SetRateShare(now, share)
}

// rateLimits returns the rate limits that this instance knows, including those that have ended recently.
func (s *state) rateLimits(now time.Time) []place.PeerRateLimit {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.RateLimits(now)
}

// rateLimitsOf returns the known limits of the upstreams with the given keys.
func (s *state) rateLimitsOf(now time.Time, keys []place.UpstreamKey) []place.PeerRateLimit {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []place.PeerRateLimit
	for _, key := range keys {
		if l, ok := s.tracker.RateLimitOf(now, key); ok {
			out = append(out, l)
		}
	}
	return out
}
