package place

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/request/exchange"
)

const (
	// leastRate, in requests a second of all instances, goes on to an upstream that takes
	// fewer: only an answer can tell that its limit has ended.
	leastRate = 0.1
	// unreadableRate is taken for a limit that can't be read, where none was known before.
	unreadableRate = 1.0
	// rateStep is the least change of a limit, as a part of it, that is news to others.
	rateStep = 0.05
	// mostRateLimits bounds the limits that are kept.
	mostRateLimits = 4096
)

// rateLimit is what is known of the limit of one upstream.
type rateLimit struct {
	perSecond float64
	ended     bool
	at        time.Time // when an answer said so
}

// perSecondOf gives the requests a second that are named; known is what was named before.
func perSecondOf(named exchange.RateLimit, known *rateLimit) float64 {
	switch {
	case named.Readable:
		return named.PerSecond
	case known != nil && !known.ended:
		return known.perSecond
	}
	return unreadableRate
}

// RateLimited notes that an answer of an upstream named its limit. It reports whether that is
// news.
func (b *Book) RateLimited(now time.Time, id fleet.LifeID, named exchange.RateLimit) (news bool) {
	key := KeyOf(id)
	l := b.rateLimits[key]
	perSecond := perSecondOf(named, l)
	if l == nil {
		if len(b.rateLimits) >= mostRateLimits {
			return false
		}
		b.rateLimits[key] = &rateLimit{perSecond: perSecond, at: now}
		return true
	}
	news = l.differs(perSecond)
	l.perSecond, l.ended, l.at = perSecond, false, now
	return news
}

// differs reports whether a limit of so much is news.
func (l *rateLimit) differs(perSecond float64) bool {
	change := perSecond - l.perSecond
	return l.ended || max(change, -change) > rateStep*l.perSecond
}

// NotRateLimited notes that an answer of an upstream named no limit, to a request that was sent
// at a time. An answer to one that was sent before the limit was heard of says nothing: it
// may be older. It reports whether the end of a limit is news.
func (b *Book) NotRateLimited(sent time.Time, id fleet.LifeID) (news bool) {
	l := b.rateLimits[KeyOf(id)]
	if l == nil || l.ended || !sent.After(l.at) {
		return false
	}
	l.ended, l.at = true, sent
	return true
}
