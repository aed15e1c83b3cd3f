package entry

import (
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
)

// unknownOrders tracks the last order with an unknown result, by engine id. Such an order may still be
// carried out late.
//
// An order contains the number of orders that the engine has accepted so far, and the engine refuses the
// order if that number is wrong. So an incarnation of an engine refuses a late order if it has accepted a
// newer one since. But an engine that restarts with the same id counts from zero again. A late order to its
// former incarnation could then contain the right number by chance, and undo newer orders to the new
// incarnation. Therefore orders to a new incarnation wait until no late order to the former one can arrive.
type unknownOrders map[string]unknownOrder

// unknownOrder is an order with an unknown result.
type unknownOrder struct {
	incarnation fleet.Incarnation
	until       boottime.Time // a late order may be carried out before this time
}

// add records an order with an unknown result.
func (o unknownOrders) add(now boottime.Time, u *fleet.Upstream) {
	o[u.ID] = unknownOrder{incarnation: u.Incarnation(), until: now.Add(maxOrderDelay)}
}

// blockedReason returns why no order may be sent to an engine now; empty: an order may be sent.
// reportedStart is the start of the incarnation that responds at the engine's address; 0: not reported.
func (o unknownOrders) blockedReason(now boottime.Time, u *fleet.Upstream, reportedStart int64) string {
	if u.StartedMS != 0 && reportedStart != u.StartedMS {
		return "another incarnation of the engine responds"
	}
	last, ok := o[u.ID]
	switch {
	case !ok:
	case !now.Before(last.until):
		delete(o, u.ID)
	case last.incarnation != u.Incarnation():
		return "an order to its former incarnation may still arrive"
	}
	return ""
}
