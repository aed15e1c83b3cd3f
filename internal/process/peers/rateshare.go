package peers

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
)

// This file divides the rate limits that upstreams announce. Such a limit applies to all instances
// together, so each instance owns an equal share of every limit: one divided by the number of
// instances. Owning a share needs no messages, so it is not affected by crashes, partitions or
// frozen processes.
//
// Shares can be lent for a time. While there are limits, each instance lends its share to the placer
// of its availability zone, which places the requests of the zone, and doesn't use the share itself
// until the loan expires. A placer whose requests are blocked by the limits also borrows most of the
// spare share of the placers of other availability zones. A share is never used by lender and
// borrower at the same time, so the shares in use never add up to more than one, whichever instances
// are placers.

// AssumedInstances is the number of instances that an instance assumes if it knows fewer and its
// list of instances may be incomplete.
const AssumedInstances = 400

const (
	// loanTerm is how long an instance lends its own share to its placer, counted from the request for
	// the share.
	loanTerm = 2500 * time.Millisecond
	// spareTerm is how long a placer lends its spare share to another placer. It is slightly longer
	// than shareRequestInterval, so that a loan can be renewed before it expires. A share that the
	// placer has borrowed itself is lent on only if that loan lasts for at least spareTerm more.
	spareTerm = 1200 * time.Millisecond
	// spareRatio is the fraction of its spare share that a placer lends to one borrower. It keeps the
	// rest for its own requests. If the rate limits block some of these, it lends nothing.
	spareRatio = 0.8
	// shareRequestInterval is how often a placer requests the shares of its availability zone.
	shareRequestInterval = time.Second
	// settleTime is the time from the first list of instances until an instance computes its share
	// from the number of instances that it knows. Until then it assumes at least AssumedInstances:
	// the list may lack instances that started at the same time, and they may not know this one.
	settleTime = 3 * time.Second
	// maxShareRequests is how many of its latest requests an instance remembers. A reply to an older
	// one is ignored.
	maxShareRequests = 4
)

// shareState holds the loans of shares that an instance granted and received.
type shareState struct {
	settledAt boottime.Time   // when settleTime ends; 0: no list was read yet
	lentTo    string          // address of the placer that the own share was last lent to
	lentUntil boottime.Time   // when the loan to lentTo ends; 0: never lent
	lentSpare map[string]loan // spare shares lent to other placers, by the borrower's address
	borrowed  map[string]loan // by the lender's address
	requests  []shareRequest  // newest last, at most maxShareRequests
	serial    uint64          // of the last request
}

// loan is a share that the borrower may use, and the lender doesn't use, until a time.
type loan struct {
	share float64
	until boottime.Time
}

// shareRequest is a request for the shares of other instances.
type shareRequest struct {
	serial uint64
	sentAt boottime.Time
}

// InstanceListRead records that the list of instances was read. The first call starts settleTime.
func (c *Core) InstanceListRead(now boottime.Time) {
	if c.shares.settledAt == 0 {
		c.shares.settledAt = now.Add(settleTime)
	}
}

// ownShare returns the share that this instance owns, whether it is lent or not.
func (c *Core) ownShare(now boottime.Time) float64 {
	if c.shares.settledAt == 0 || now.Before(c.shares.settledAt) {
		return 1 / float64(c.AssumedInstances())
	}
	return 1 / float64(c.Instances())
}

// RateShare returns the share of each rate limit that this instance may use now, from 0 to 1: its
// own share unless it is lent, plus what it borrowed, minus what it lent to other placers.
func (c *Core) RateShare(now boottime.Time) float64 {
	s := &c.shares
	share := c.shareFor(now, 0)
	return min(max(share-s.spareLent(now), 0), 1)
}

// spareLent returns the sum of the shares that are lent to other placers, and removes expired loans.
func (s *shareState) spareLent(now boottime.Time) float64 {
	sum := 0.0
	for to, l := range s.lentSpare {
		if !now.Before(l.until) {
			delete(s.lentSpare, to)
			continue
		}
		sum += l.share
	}
	return sum
}

// shareFor returns the share that this instance holds: its own one unless it is lent to the placer,
// plus the borrowed ones whose loans last for at least term more. The shares that it has lent to
// other placers as spare are not subtracted. Expired loans are removed.
func (c *Core) shareFor(now boottime.Time, term time.Duration) float64 {
	s, share := &c.shares, 0.0
	if !now.Before(s.lentUntil) {
		share = c.ownShare(now)
	}
	for from, l := range s.borrowed {
		switch {
		case !now.Before(l.until):
			delete(s.borrowed, from)
		case !l.until.Before(now.Add(term)):
			share += l.share
		}
	}
	return share
}

// RequestShares returns the serial number of a new request for the shares of other instances and the
// addresses to send it to: all other instances of the availability zone. serial is 0 if no request
// is due, because this instance doesn't act as a placer or because the last request was sent less
// than shareRequestInterval ago. now and boot are the same time on two clocks.
func (c *Core) RequestShares(now time.Time, boot boottime.Time) (serial uint64, to []string) {
	s := &c.shares
	if n := len(s.requests); !c.ActsAsPlacer(now) || (n > 0 && boot.Sub(s.requests[n-1].sentAt) < shareRequestInterval) {
		return 0, nil
	}
	s.serial++
	s.requests = append(s.requests, shareRequest{serial: s.serial, sentAt: boot})
	if len(s.requests) > maxShareRequests {
		s.requests = s.requests[1:]
	}
	return s.serial, c.ZoneAddresses()
}

// Loan is a share of all rate limits that is lent for a time.
type Loan struct {
	Share float64
	Term  time.Duration // the lender counts it from receiving the request, the borrower from sending it
}

// LendShare handles a request for the share of this instance by the instance at address to. An
// instance that acts as a placer lends most of its spare share to instances of other availability
// zones, unless needed is true, which means that the limits block its own requests. Any other
// instance lends all of its own share to its placer, and to no second one until that loan ends. ok
// is false if nothing is lent.
func (c *Core) LendShare(now time.Time, boot boottime.Time, to string, needed bool) (l Loan, ok bool) {
	s := &c.shares
	m, found := c.members[to]
	switch {
	case !found:
		return Loan{}, false
	case c.ActsAsPlacer(now):
		return c.lendSpare(boot, m, needed)
	case c.Placer() != to || (s.lentTo != to && boot.Before(s.lentUntil)):
		return Loan{}, false
	}
	s.lentTo, s.lentUntil = to, boot.Add(loanTerm)
	return Loan{Share: c.ownShare(boot), Term: loanTerm}, true
}

// lendSpare lends the fraction spareRatio of this placer's spare share to a placer of another
// availability zone. The new loan replaces an earlier one to the same borrower, but this
// placer goes on to withhold the greater of the two shares from its own use, since the borrower may
// still use the earlier loan. ok is false if the placer needs its share or has nothing to spare.
func (c *Core) lendSpare(now boottime.Time, to *member, needed bool) (l Loan, ok bool) {
	if needed || to.Zone == c.self.Zone {
		return Loan{}, false
	}
	s := &c.shares
	available := c.shareFor(now, spareTerm) - s.spareLent(now)
	previous := s.lentSpare[to.Address].share // 0 if nothing is lent to this borrower
	share := spareRatio * (available + previous)
	if share <= 0 {
		return Loan{}, false
	}
	if s.lentSpare == nil {
		s.lentSpare = make(map[string]loan)
	}
	s.lentSpare[to.Address] = loan{share: max(share, previous), until: now.Add(spareTerm)}
	return Loan{Share: share, Term: spareTerm}, true
}

// BorrowShare records a loan that the instance at address from granted in reply to the request with
// the serial number. The term counts from when the request was sent, so that a late reply doesn't
// make the loan last longer than the lender assumes. The loan is ignored if the request is unknown,
// if its term is over already, or if its share is greater than 1.
func (c *Core) BorrowShare(now boottime.Time, from string, serial uint64, l Loan) {
	s := &c.shares
	for _, r := range s.requests {
		until := r.sentAt.Add(min(l.Term, loanTerm))
		if r.serial != serial || !now.Before(until) || l.Share > 1 {
			continue
		}
		if s.borrowed == nil {
			s.borrowed = make(map[string]loan)
		}
		s.borrowed[from] = loan{share: l.Share, until: until}
	}
}
