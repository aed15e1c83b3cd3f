package limit

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// Config configures a Core.
type Config struct {
	Self       string        // name of this gateway
	StaleAfter time.Duration // a peer without a report for this long counts as disconnected; 0: DefaultStaleAfter
}

// DefaultStaleAfter is the default of Config.StaleAfter, a few report periods.
const DefaultStaleAfter = 3 * time.Second

// Core tracks the use of every client account across all gateways. It is not safe for
// concurrent use.
//
// Each gateway has a copy of the account's token bucket. Its own requests are
// deducted at once, those of other gateways when their report arrives. The
// level may fall below zero; requests are then refused until it has refilled,
// which makes up for the excess. Tokens in flight are the gateway's own plus those that the
// others last reported.
//
// Overshoot: the limits may be exceeded because reports take time. Let N be the number of
// gateways, d the longest time from a request until its report has reached the others
// (report period plus delay), R the rate and B the burst. While all gateways receive each
// other's reports:
//
//	requests admitted in any time W <= B + R*W + (N-1)*(B + R*d)
//	tokens in flight                <= N * TokensInFlight, for at most d after
//	                                   gateways admitted at the same time
//
// Fallback: while reports of a known gateway are missing, this gateway enforces an equal
// share by its own use only: R/N, B/N (at least one request) and TokensInFlight/N. If all
// gateways fall back, together they admit at most max(B, N) + R*W requests.
type Core struct {
	config     Config
	accounts   map[string]*account
	gateways   []string             // known gateways except this one
	lastReport map[string]time.Time // time of each gateway's last report
}

// New returns a core without other gateways.
func New(config Config) *Core {
	if config.StaleAfter <= 0 {
		config.StaleAfter = DefaultStaleAfter
	}
	return &Core{config: config, accounts: make(map[string]*account), lastReport: make(map[string]time.Time)}
}

// SetGateways sets the known gateways; names may include this one. A new
// gateway counts as connected for StaleAfter.
func (c *Core) SetGateways(now time.Time, names []string) {
	previous := c.lastReport
	c.lastReport = make(map[string]time.Time)
	c.gateways = c.gateways[:0]
	for _, name := range names {
		if name == c.config.Self {
			continue
		}
		c.gateways = append(c.gateways, name)
		c.lastReport[name] = now
		if at, ok := previous[name]; ok {
			c.lastReport[name] = at
		}
	}
	for _, a := range c.accounts {
		a.forgetPeers(c.lastReport)
	}
}

// CutOff reports whether a known gateway has not reported for longer than StaleAfter. This gateway
// then enforces its share of the limits only.
func (c *Core) CutOff(now time.Time) bool {
	for _, name := range c.gateways {
		if now.Sub(c.lastReport[name]) > c.config.StaleAfter {
			return true
		}
	}
	return false
}

// bounds returns the limits of an account that this gateway enforces now.
func (c *Core) bounds(now time.Time, spec *resource.ClientAccount) bounds {
	b := bounds{
		rate:   spec.RequestsPerSec,
		burst:  max(float64(spec.Burst), 1),
		tokens: float64(spec.TokensInFlight),
	}
	if !c.CutOff(now) {
		return b
	}
	gateways := float64(len(c.gateways) + 1)
	b.localOnly = true
	b.rate /= gateways
	b.burst = max(b.burst/gateways, 1)
	b.tokens /= gateways
	return b
}

// Admit counts a request for an account, or returns an error and counts nothing. tokens is its
// prompt plus its expected output. Done must be called once for each admitted request, with the
// same tokens.
func (c *Core) Admit(now time.Time, name string, spec resource.ClientAccount, tokens int) *errkind.Error {
	a := c.accountFor(now, name, &spec)
	b := c.bounds(now, &spec)
	a.refill(now, b)
	if b.rate > 0 && a.level < 1 {
		wait := time.Duration((1 - a.level) / b.rate * float64(time.Second))
		return refusal("the account's rate of requests is used up", wait)
	}
	if err := a.checkTokens(b, tokens); err != nil {
		return err
	}
	if b.rate > 0 {
		a.level--
	}
	a.inFlight += tokens
	a.requests++
	return nil
}

// Done records that an admitted request with this many tokens is no longer in flight.
func (c *Core) Done(_ time.Time, name string, tokens int) {
	if a, ok := c.accounts[name]; ok {
		a.inFlight = max(a.inFlight-tokens, 0)
	}
}

// PeerUseReported applies the report of another gateway. A report without rows shows only that the gateway is
// connected.
func (c *Core) PeerUseReported(now time.Time, origin string, rows []peer.AccountRow) {
	if origin == c.config.Self {
		return
	}
	c.lastReport[origin] = now
	for _, row := range rows {
		a, ok := c.accounts[row.Account]
		if !ok {
			a = newAccount(now)
			c.accounts[row.Account] = a
		}
		a.level -= float64(max(row.Requests, 0))
		a.setPeer(origin, max(row.InFlight, 0))
	}
}

// Report returns the use to report to peers: for each account the requests admitted since the
// previous report of it, and the tokens in flight now. It includes accounts with new requests or
// changed tokens in flight. The tokens in flight, but not the requests, are reported again after
// reportRepeatDelay, in case a report is lost.
func (c *Core) Report(now time.Time) []peer.AccountRow {
	var rows []peer.AccountRow
	for name, a := range c.accounts {
		if a.needsReport(now) {
			rows = append(rows, peer.AccountRow{Account: name, Requests: a.requests, InFlight: a.inFlight})
			a.markReported(now)
		}
		if a.idle(now) {
			delete(c.accounts, name)
		}
	}
	return rows
}

// accountFor returns the state of an account for a request at this gateway. The first such request fills the
// account's bucket.
func (c *Core) accountFor(now time.Time, name string, spec *resource.ClientAccount) *account {
	a, ok := c.accounts[name]
	if !ok {
		a = newAccount(now)
		c.accounts[name] = a
	}
	if !a.initialized {
		a.initialized = true
		a.level += max(float64(spec.Burst), 1)
	}
	return a
}

// refusal returns the error for a request that is refused now and may be admitted after wait.
func refusal(message string, wait time.Duration) *errkind.Error {
	return errkind.New(errkind.RateLimited, errkind.NotRun, message).WithRetryAfter(max(wait, minRetryAfter))
}
