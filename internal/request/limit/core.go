package limit

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// Config says how use is shared.
type Config struct {
	Self       string
	StaleAfter time.Duration // a peer that was not heard for this long is cut off; 0: DefaultStaleAfter
}

// DefaultStaleAfter is three reports of a second each.
const DefaultStaleAfter = 3 * time.Second

// Core keeps the use of every client account. Not safe for concurrent use.
type Core struct {
	config   Config
	accounts map[string]*account
}

type account struct {
	inFlight int
	requests int // since the last report
}

// New makes a core.
func New(config Config) *Core {
	return &Core{config: config, accounts: make(map[string]*account)}
}

// SetGateways tells which gateways are known, this one included.
func (c *Core) SetGateways(now time.Time, names []string) {}

// Admit counts a request of tokens (prompt plus expected output) for an account,
// or refuses it. Each admitted request must be given to Done once.
func (c *Core) Admit(now time.Time, name string, spec resource.ClientAccount, tokens int) *errkind.Error {
	a, ok := c.accounts[name]
	if !ok {
		a = &account{}
		c.accounts[name] = a
	}
	if spec.TokensInFlight > 0 && a.inFlight+tokens > spec.TokensInFlight {
		return errkind.New(errkind.RateLimited, errkind.NotRun, "tokens in flight are used up").After(time.Second)
	}
	a.inFlight += tokens
	a.requests++
	return nil
}

// Done tells that an admitted request is no longer in flight.
func (c *Core) Done(_ time.Time, name string, tokens int) {
	if a, ok := c.accounts[name]; ok {
		a.inFlight -= tokens
	}
}

// PeerUse takes in the report of another gateway.
func (c *Core) PeerUse(now time.Time, origin string, rows []peer.AccountRow) {}

// Report gives this gateway's use since the previous call, for its peers.
func (c *Core) Report(now time.Time) []peer.AccountRow {
	var rows []peer.AccountRow
	for name, a := range c.accounts {
		rows = append(rows, peer.AccountRow{Account: name, Requests: a.requests, InFlight: a.inFlight})
		a.requests = 0
	}
	return rows
}
