package limit

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
)

// leastRetryAfter is the least time after which a refused caller is told to come back.
const leastRetryAfter = 100 * time.Millisecond

// tokensRetryAfter is told when tokens in flight are used up: how long they stay is not known here.
const tokensRetryAfter = time.Second

// repeatAfter is the time after which a report is told again.
const repeatAfter = 5 * time.Second

// idleAfter is how long an account without use is kept. Its bucket is full again
// by then, unless the rate is below burst/idleAfter.
const idleAfter = 10 * time.Minute

// bounds is what an account may use, as one gateway sees it.
type bounds struct {
	rate, burst, tokens float64
	alone               bool // only this gateway's use counts
}

// account is the state of one client account: a copy of its token bucket and
// the tokens in flight here and at the peers.
type account struct {
	level    float64 // requests that may go; below zero: owed
	at       time.Time
	used     time.Time
	started  bool
	inFlight int       // tokens, here
	requests int       // admitted here since the last report
	told     int       // inFlight of the last report
	repeat   time.Time // when the last report is told again; zero: not
	peers    []peerTokens
}

// peerTokens is what a peer last reported in flight.
type peerTokens struct {
	name   string
	tokens int
}

func newAccount(now time.Time) *account { return &account{at: now, used: now} }

// refill adds what the rate has given since the last call, up to the burst.
func (a *account) refill(now time.Time, b bounds) {
	if now.After(a.at) {
		a.level += b.rate * now.Sub(a.at).Seconds()
		a.at = now
	}
	a.level = min(a.level, b.burst)
	a.used = now
}

// checkTokens refuses a request that would exceed the tokens in flight.
func (a *account) checkTokens(b bounds, tokens int) *errkind.Error {
	if b.tokens <= 0 {
		return nil
	}
	if float64(tokens) > b.tokens && !b.alone {
		return errkind.New(errkind.RateLimited, errkind.NotRun, "the request alone exceeds the account's tokens in flight")
	}
	inUse := a.inFlight
	if !b.alone {
		inUse += a.peerTotal()
	}
	if float64(inUse+tokens) <= b.tokens {
		return nil
	}
	return refusal("the account's tokens in flight are used up", tokensRetryAfter)
}

func (a *account) peerTotal() int {
	total := 0
	for i := range a.peers {
		total += a.peers[i].tokens
	}
	return total
}

// setPeer keeps what a peer has in flight; zero removes its entry.
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

// forgetPeers drops the entries of gateways that are no longer known.
func (a *account) forgetPeers(known map[string]time.Time) {
	kept := a.peers[:0]
	for _, p := range a.peers {
		if _, ok := known[p.name]; ok {
			kept = append(kept, p)
		}
	}
	a.peers = kept
}

// tells tells whether the next report speaks of the account.
func (a *account) tells(now time.Time) bool {
	if a.requests != 0 || a.inFlight != a.told {
		return true
	}
	return !a.repeat.IsZero() && !now.Before(a.repeat)
}

// toldNow notes that a report speaks of the account. What is in flight is told
// again and again, its end twice.
func (a *account) toldNow(now time.Time) {
	again := a.inFlight > 0 || a.told != a.inFlight
	a.requests = 0
	a.told = a.inFlight
	a.repeat = time.Time{}
	if again {
		a.repeat = now.Add(repeatAfter)
	}
}

// idle tells whether nothing is known of the account that a new one would not have.
func (a *account) idle(now time.Time) bool {
	return a.inFlight == 0 && a.requests == 0 && a.told == 0 && len(a.peers) == 0 && now.Sub(a.used) > idleAfter
}
