package limit

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
)

// minRetryAfter is the minimum retry-after time of a refusal.
const minRetryAfter = 100 * time.Millisecond

// tokensRetryAfter is the retry-after time of a refusal because of the tokens in flight. It is fixed because it isn't
// known here when running requests end and release their tokens.
const tokensRetryAfter = time.Second

// reportRepeatDelay is the time after which the tokens in flight of an account are reported again.
const reportRepeatDelay = 5 * time.Second

// idleTimeout is how long an account without use is kept. By then its bucket is full again,
// unless the rate is below burst/idleTimeout.
const idleTimeout = 10 * time.Minute

// bounds holds the limits of an account that one gateway enforces.
type bounds struct {
	rate, burst, tokens float64 // requests per second, requests, tokens in flight; rate or tokens 0: no such limit
	localOnly           bool    // the limits are this gateway's share, and only its own use counts
}

// account is the state of one client account: this gateway's copy of its token bucket, and
// the tokens in flight here and at the peers.
type account struct {
	level            float64 // level of the bucket in requests; may be below zero after reports of peers
	refilledAt       time.Time
	lastUsed         time.Time
	initialized      bool      // the first request here has filled the bucket
	inFlight         int       // tokens, here
	requests         int       // admitted here since the last report
	reportedInFlight int       // inFlight in the last report
	repeatAt         time.Time // when the tokens in flight are reported again; zero: never
	peers            []peerTokens
}

// peerTokens holds the tokens in flight that a peer last reported.
type peerTokens struct {
	name   string
	tokens int
}

func newAccount(now time.Time) *account { return &account{refilledAt: now, lastUsed: now} }

// refill refills the bucket for the time since the last call, up to the burst.
func (a *account) refill(now time.Time, b bounds) {
	if now.After(a.refilledAt) {
		a.level += b.rate * now.Sub(a.refilledAt).Seconds()
		a.refilledAt = now
	}
	a.level = min(a.level, b.burst)
	a.lastUsed = now
}

// checkTokens returns an error if a request with this many tokens would exceed the limit on tokens in flight. The error
// has no retry-after time if the request alone exceeds the limit.
func (a *account) checkTokens(b bounds, tokens int) *errkind.Error {
	if b.tokens <= 0 {
		return nil
	}
	if float64(tokens) > b.tokens && !b.localOnly {
		return errkind.New(errkind.RateLimited, errkind.NotRun, "the request alone exceeds the account's tokens in flight")
	}
	inUse := a.inFlight
	if !b.localOnly {
		inUse += a.peerTotal()
	}
	if float64(inUse+tokens) <= b.tokens {
		return nil
	}
	return refusal("the account's tokens in flight are used up", tokensRetryAfter)
}

// peerTotal returns the tokens in flight at all peers.
func (a *account) peerTotal() int {
	total := 0
	for i := range a.peers {
		total += a.peers[i].tokens
	}
	return total
}

// setPeer sets the tokens that a peer has in flight; zero removes its entry.
func (a *account) setPeer(name string, tokens int) {
	for i := range a.peers {
		if a.peers[i].name != name {
			continue
		}
		if tokens > 0 {
			a.peers[i].tokens = tokens
			return
		}
		a.peers = append(a.peers[:i], a.peers[i+1:]...)
		return
	}
	if tokens > 0 {
		a.peers = append(a.peers, peerTokens{name, tokens})
	}
}

// forgetPeers drops the entries of peers that are not in gateways.
func (a *account) forgetPeers(gateways map[string]time.Time) {
	kept := a.peers[:0]
	for _, p := range a.peers {
		if _, ok := gateways[p.name]; ok {
			kept = append(kept, p)
		}
	}
	a.peers = kept
}

// needsReport reports whether the next report has to include the account.
func (a *account) needsReport(now time.Time) bool {
	if a.requests != 0 || a.inFlight != a.reportedInFlight {
		return true
	}
	return !a.repeatAt.IsZero() && !now.Before(a.repeatAt)
}

// markReported records that a report includes the account. While the account has tokens in flight they are reported
// again every reportRepeatDelay, and a change to zero is reported twice.
func (a *account) markReported(now time.Time) {
	repeat := a.inFlight > 0 || a.reportedInFlight != a.inFlight
	a.requests = 0
	a.reportedInFlight = a.inFlight
	a.repeatAt = time.Time{}
	if repeat {
		a.repeatAt = now.Add(reportRepeatDelay)
	}
}

// idle reports whether the account can be dropped: nothing is in flight or left to report, and its bucket has had
// idleTimeout to fill.
func (a *account) idle(now time.Time) bool {
	return a.inFlight == 0 && a.requests == 0 && a.reportedInFlight == 0 && len(a.peers) == 0 && now.Sub(a.lastUsed) > idleTimeout
}
