package entry

import (
	"sync"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/peers"
	"github.com/ragworttrestle/ragworttrestle/internal/request/exchange"
)

// mostNotices bounds the lives of upstreams of which it is remembered what was logged.
const mostNotices = 4096

// notices remembers what was logged of the notices of upstreams, so that each is logged once.
type notices struct {
	mu      sync.Mutex
	resting map[fleet.LifeID]time.Time // until when
}

// heardAt takes what an answer to a request of a caller says of the upstream at a place.
func (q *request) heardAt(at *held, told exchange.Told) {
	if q.e.heardNotices(at.upstream(), told, q.declared.ID) && at.placer != "" {
		q.e.shared.send(peers.Message{Lives: []peers.LifeState{{Life: at.upstream().Life(), Leaving: true}}}, at.placer)
	}
}

// heardNotices takes what an answer says of its upstream: that it leaves, or that it wants to rest.
// about names what was answered: a request's id, or a call of this process's own. It reports whether the
// leaving is news.
func (e *Entry) heardNotices(u *fleet.Upstream, told exchange.Told, about string) (leaving bool) {
	now := time.Now()
	if told.Leaving && e.state.saysItLeaves(now, u.Life()) {
		leaving = true
		logline.Info("upstream says that it leaves", "upstream", u.ID, "born", u.Born, "answer_to", about)
		e.holds.Left(lifeName(u))
	}
	if told.Rest != nil {
		e.notices.log(now, u, told.Rest, about)
	}
	return leaving
}

func (n *notices) log(now time.Time, u *fleet.Upstream, r *exchange.Rest, about string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.resting == nil || len(n.resting) >= mostNotices {
		n.resting = make(map[fleet.LifeID]time.Time)
	}
	if life := u.Life(); now.After(n.resting[life]) {
		n.resting[life] = now.Add(max(r.For, refusedRetryAfter))
		logline.Info("upstream asks for rest", "upstream", u.ID, "born", u.Born, "told", r.Text, "readable", r.Readable, "rest_ms", r.For.Milliseconds(), "answer_to", about)
	}
}
