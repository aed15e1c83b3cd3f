package entry

import (
	"net/http"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/peers"
	"github.com/ragworttrestle/ragworttrestle/internal/request/exchange"
	"github.com/ragworttrestle/ragworttrestle/internal/request/place"
)

// handleNotices records what the response to a caller's request, which was sent at the given time, says about its
// upstream, and informs the placer if the upstream is leaving. A backoff is only logged here; it is recorded with the events of
// the place (see responseEvents).
func (q *request) handleNotices(held *heldPlace, sent time.Time, info exchange.ResponseInfo) {
	u := held.upstream()
	q.e.logBackoff(u, info.Backoff, q.info.ID)
	if q.e.recordLeaving(u, sent, info, q.info.ID) && held.placer != "" {
		q.e.peers.send(peers.Message{Incarnations: []peers.IncarnationState{{Incarnation: u.Incarnation(), Leaving: true}}}, held.placer)
	}
}

// ownCallID is logged in place of a request id for responses to this process's own calls to engines.
const ownCallID = "a call of this process"

// handleOwnCallNotices records what the response to one of this process's own calls to an engine says
// about that engine.
func (e *Entry) handleOwnCallNotices(u fleet.Upstream, info exchange.ResponseInfo) {
	e.recordLeaving(&u, time.Time{}, info, ownCallID)
	if backoff := info.Backoff; backoff != nil && backoff.Valid {
		e.logBackoff(&u, backoff, ownCallID)
		now := time.Now()
		e.state.withTracker(now, func(t *place.Tracker) { t.Rejected(now, u.Incarnation(), backoff.Duration) })
	}
}

// recordLeaving records that an upstream is leaving, if its response says so. It reports whether that is
// new. sent is when the request was sent (zero: not known), answerTo its id, for the log.
func (e *Entry) recordLeaving(u *fleet.Upstream, sent time.Time, info exchange.ResponseInfo, answerTo string) (changed bool) {
	if !info.Leaving || !e.state.markLeaving(time.Now(), sent, u.Incarnation()) {
		return false
	}
	logline.Info("upstream says that it leaves", "upstream", u.ID, "born", u.StartedMS, "answer_to", answerTo)
	e.holds.UpstreamStopped(incarnationOf(u))
	return true
}

// logBackoff logs that an upstream asks for a backoff, unless one is in progress. answerTo is the id of
// the request, for the log.
func (e *Entry) logBackoff(u *fleet.Upstream, backoff *exchange.Backoff, answerTo string) {
	if backoff == nil || e.state.backoffLeft(time.Now(), u.Incarnation()) > 0 {
		return
	}
	logline.Info("upstream asks for rest", "upstream", u.ID, "born", u.StartedMS, "told", backoff.Text, "readable", backoff.Valid,
		"rest_ms", backoff.Duration.Milliseconds(), "answer_to", answerTo)
}

// rejection reports whether a response rejects its request, and returns the duration of the backoff that
// the upstream asks for; 0: the upstream asks for none.
func rejection(status int, info exchange.ResponseInfo) (rejected bool, duration time.Duration) {
	if backoff := info.Backoff; backoff != nil && backoff.Valid && backoff.Duration > 0 {
		return true, backoff.Duration
	}
	overloaded := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	return overloaded && info.NotRun, 0
}
