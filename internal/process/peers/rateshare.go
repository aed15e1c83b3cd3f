package peers

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
)

// Limits that upstreams name hold for all instances together. Each instance has an equal part of
// every limit, which needs no word from anybody and outlives kills, cuts and freezes. While
// limits are in force an instance lends its part to the placer of its availability zone, which
// sends for it, and uses none of it meanwhile; the loan ends by itself. So the parts in use
// never add up to more than one, whoever gives places to whom.

// MostInstances is how many instances a process takes the deployment to have where it doesn't
// know. It is more than any deployment has.
const MostInstances = 400

const (
	// loanTerm is how long a part is lent, from the request for it.
	loanTerm = 2500 * time.Millisecond
	// askSharesEvery is how often a placer asks for the parts of its availability zone.
	askSharesEvery = time.Second
	// settledAfter is how long after it first read the list of instances one has its own part:
	// until then the list may lack others that started with it, and others may not know of it.
	settledAfter = 5 * time.Second
	// mostAsksKept bounds the requests for parts whose answers are still of use.
	mostAsksKept = 4
)

// shares is what an instance knows of the parts of limits that it may use.
type shares struct {
	settledAt boottime.Time // 0: no list was read yet
	lentTo    string
	lentUntil boottime.Time
	borrowed  map[string]loan // by the lender's address
	asks      []shareAsk      // the newest last
	serial    uint64
}

// loan is a part that another instance doesn't use until a time.
type loan struct {
	share float64
	until boottime.Time
}

// shareAsk is a request for the parts of others.
type shareAsk struct {
	serial uint64
	at     boottime.Time
}

// Settle notes that the list of instances was read.
func (c *Core) Settle(now boottime.Time) {
	if c.shares.settledAt == 0 {
		c.shares.settledAt = now.Add(settledAfter)
	}
}

// ownShare is this instance's part, lent or not.
func (c *Core) ownShare(now boottime.Time) float64 {
	if c.shares.settledAt == 0 || now.Before(c.shares.settledAt) {
		return 1.0 / MostInstances
	}
	return 1 / float64(len(c.known)+1)
}

// RateShare is the part of each limit that this instance may use now.
func (c *Core) RateShare(now boottime.Time) float64 {
	share := 0.0
	if !now.Before(c.shares.lentUntil) {
		share = c.ownShare(now)
	}
	for from, l := range c.shares.borrowed {
		if !now.Before(l.until) {
			delete(c.shares.borrowed, from)
			continue
		}
		share += l.share
	}
	return min(share, 1)
}

// AskShares gives the serial of a request for the parts of other instances, and their addresses, if
// one is due.
func (c *Core) AskShares(now time.Time, boot boottime.Time) (serial uint64, to []string) {
	s := &c.shares
	if n := len(s.asks); !c.Placing(now) || (n > 0 && boot.Sub(s.asks[n-1].at) < askSharesEvery) {
		return 0, nil
	}
	s.serial++
	s.asks = append(s.asks, shareAsk{serial: s.serial, at: boot})
	if len(s.asks) > mostAsksKept {
		s.asks = s.asks[1:]
	}
	return s.serial, c.Zone()
}

// LendShare answers a request for this instance's part. ok is false if it isn't lent: another
// instance has it, or this one gives places itself.
func (c *Core) LendShare(now time.Time, boot boottime.Time, to string) (share float64, ok bool) {
	s := &c.shares
	k, known := c.known[to]
	switch {
	case !known || k.Zone != c.self.Zone || c.Placing(now):
		return 0, false
	case s.lentTo != to && boot.Before(s.lentUntil):
		return 0, false
	case c.Placer() != to:
		return 0, false
	}
	s.lentTo, s.lentUntil = to, boot.Add(loanTerm)
	return c.ownShare(boot), true
}

// BorrowShare takes the part of another instance, the answer to the request with a serial. The loan
// counts from the request, so that an answer that comes late doesn't make it longer than the
// lender takes it to be.
func (c *Core) BorrowShare(now boottime.Time, from string, serial uint64, share float64) {
	s := &c.shares
	for _, a := range s.asks {
		if until := a.at.Add(loanTerm); a.serial == serial && now.Before(until) && share <= 1 {
			if s.borrowed == nil {
				s.borrowed = make(map[string]loan)
			}
			s.borrowed[from] = loan{share: share, until: until}
		}
	}
}
