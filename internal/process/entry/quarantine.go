package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/request/quarantine"
)

// errHeld means that the work was held before the send.
var errHeld = errors.New("upstreams crashed under the same work")

// held gives the hold of a request's work. A request is only hashed while some work is
// suspected.
func (q *request) held() (hold quarantine.Hold, ok bool) {
	st := q.e.state
	if !st.suspects() {
		return hold, false
	}
	content := q.content()
	st.withCrashes(func(c *quarantine.Core) { hold, ok = c.Held(time.Now(), content) })
	return hold, ok
}

// quarantined refuses a request whose work is held; nil: it isn't. The caller is told when
// it may be tried again, which is long after the request's own time.
func (q *request) quarantined() *errkind.Error {
	hold, ok := q.held()
	if !ok {
		return nil
	}
	return errkind.New(errkind.Quarantined, errkind.NotRun, errHeld.Error()).After(time.Until(hold.Until))
}

// brokeOff notes that an upstream ended a send before its answer was whole, and has it found
// out whether it crashed.
func (q *request) brokeOff(u *fleet.Upstream, sent time.Time) {
	now, content := time.Now(), q.content()
	news, check := q.e.state.brokeOff(now, content, u.Life(), sent)
	q.e.crashed(news, u.Life(), "it had ended before")
	if check {
		q.e.loop(func() { q.e.checkEnd(*u) })
	}
}

// cutShort reports whether an answer ended before it was whole, by its upstream's doing.
func cutShort(ctx context.Context, err error) bool {
	return ctx.Err() == nil && errors.Is(err, errNotWhole)
}

// wasWhole notes that the request's work was answered whole.
func (q *request) wasWhole() {
	st := q.e.state
	if !st.suspects() {
		return
	}
	var voided []quarantine.Crash
	lifted, content := false, q.content()
	st.withCrashes(func(c *quarantine.Core) { voided, lifted = c.Succeeded(time.Now(), content) })
	if len(voided) > 0 {
		logline.Info("work cleared", "content", content, "crashes", len(voided), "held", lifted, "why", "it was answered whole")
		q.e.tellCrashes(voided)
	}
	if lifted {
		q.e.loop(func() { q.e.deleteHold(q.e.work, content) })
	}
}
