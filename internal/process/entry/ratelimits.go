package entry

import (
	"net/http"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/request/exchange"
	"github.com/ragworttrestle/ragworttrestle/internal/request/place"
)

// heardRateLimit takes what an answer to a request that was sent at a time says of its upstream's limit.
func (e *Entry) heardRateLimit(u *fleet.Upstream, sent time.Time, status int, told exchange.Told, request string) {
	if status == http.StatusMisdirectedRequest {
		return // it may be of another upstream at the same address
	}
	now, news := time.Now(), false
	e.state.withBook(now, func(b *place.Book) {
		switch l := told.RateLimit; {
		case l != nil:
			news = b.RateLimited(now, u.Life(), *l)
		case !told.NotRun && told.RequestID == request:
			news = b.NotRateLimited(sent, u.Life())
		}
	})
	if !news {
		return
	}
	if l := told.RateLimit; l != nil {
		logline.Info("limit of an upstream heard", "upstream", u.ID, "per_second", l.PerSecond, "readable", l.Readable, "request", request)
		return
	}
	logline.Info("limit of an upstream ended", "upstream", u.ID, "request", request)
}
