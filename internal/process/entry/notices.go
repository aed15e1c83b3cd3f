package entry

import (
	"sync"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/request/exchange"
)

// mostNotices bounds the lives of upstreams of which it is remembered what was logged.
const mostNotices = 4096

// notices remembers what was logged of the notices of upstreams, so that each is logged once.
type notices struct {
	mu      sync.Mutex
	leaving map[fleet.LifeID]bool
	resting map[fleet.LifeID]time.Time // until when
}

// heardNotices takes what an answer says of its upstream: that it leaves, or that it wants to rest.
// about names what was answered: a request's id, or a call of this process's own.
func (e *Entry) heardNotices(u *fleet.Upstream, told exchange.Told, about string) {
	if !told.Leaving && told.Rest == nil {
		return
	}
	now, life := time.Now(), u.Life()
	e.notices.mu.Lock()
	defer e.notices.mu.Unlock()
	if len(e.notices.leaving) >= mostNotices || len(e.notices.resting) >= mostNotices {
		e.notices.leaving, e.notices.resting = nil, nil
	}
	if e.notices.leaving == nil {
		e.notices.leaving, e.notices.resting = make(map[fleet.LifeID]bool), make(map[fleet.LifeID]time.Time)
	}
	if told.Leaving && !e.notices.leaving[life] {
		e.notices.leaving[life] = true
		logline.Info("upstream says that it leaves", "upstream", u.ID, "born", u.Born, "answer_to", about)
	}
	if r := told.Rest; r != nil && now.After(e.notices.resting[life]) {
		e.notices.resting[life] = now.Add(max(r.For, refusedRetryAfter))
		logline.Info("upstream asks for rest", "upstream", u.ID, "born", u.Born, "told", r.Text, "readable", r.Readable, "rest_ms", r.For.Milliseconds(), "answer_to", about)
	}
}
