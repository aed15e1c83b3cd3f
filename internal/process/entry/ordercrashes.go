package entry

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/roles"
	"github.com/ragworttrestle/ragworttrestle/internal/request/quarantine"
)

// orderCrashes tracks the engines that ended after an order, by kind of order (service and role).
// Without it, an order that crashes engines would be sent to one engine after another, as the wanted
// split of roles stays the same when engines are lost. Orders of one kind are put on hold in the same
// way as requests for the same work: to package quarantine, an order is a send that broke off, until the
// engine has changed its role.
type orderCrashes struct {
	core        *quarantine.Core
	outstanding map[fleet.Incarnation]upstream.Role // roles that were ordered, while the outcome is unknown
}

func newOrderCrashes() *orderCrashes {
	return &orderCrashes{core: quarantine.New(), outstanding: make(map[fleet.Incarnation]upstream.Role)}
}

// orderContent identifies the orders to engines of a service to take a role.
func orderContent(service string, to upstream.Role) quarantine.Content {
	return quarantine.ContentOf("ORDER", service, string(to), nil)
}

// recordOrder records an order that an engine received or may still receive.
func (o *orderCrashes) recordOrder(now time.Time, u *fleet.Upstream, to upstream.Role) {
	o.core.SendBroken(now, orderContent(u.Service, to), incarnationOf(u), now)
	o.outstanding[u.Incarnation()] = to
}

// allowedChanges returns those of the changes of one decision that may be ordered. After one engine has
// ended following an order, the next order of that kind is sent to a single engine. After a second
// engine has ended, no order of that kind is sent for a while.
func (o *orderCrashes) allowedChanges(now time.Time, service string, changes []roles.Change) (allowed []roles.Change) {
	for _, c := range changes {
		content := orderContent(service, c.To)
		_, held := o.core.ActiveHold(now, content)
		if !held && (len(allowed) == 0 || !o.core.Suspected(content)) {
			allowed = append(allowed, c)
		}
	}
	return allowed
}

// update checks the outcome of outstanding orders. lookup returns what is known of an incarnation.
func (o *orderCrashes) update(now time.Time, engines map[string][]fleet.Upstream, lookup func(fleet.Incarnation) incarnationStatus) {
	for _, list := range engines {
		for i := range list {
			o.recordRoleChange(now, &list[i])
		}
	}
	for incarnation, to := range o.outstanding {
		switch status := lookup(incarnation); {
		case status.leaving:
			delete(o.outstanding, incarnation)
			o.core.UpstreamAlive(quarantine.Incarnation(incarnation), now)
		case status.ended:
			delete(o.outstanding, incarnation)
			o.recordEnd(now, incarnation, to)
		case !status.listed:
			delete(o.outstanding, incarnation)
		}
	}
	o.core.Forget(now)
}

// recordRoleChange records the success of an order if its engine has the new role.
func (o *orderCrashes) recordRoleChange(now time.Time, u *fleet.Upstream) {
	if to, ok := o.outstanding[u.Incarnation()]; ok && u.Role == to {
		delete(o.outstanding, u.Incarnation())
		o.core.UpstreamAlive(incarnationOf(u), now)
		o.core.Succeeded(now, orderContent(u.Service, to))
	}
}

// recordEnd records that an engine with an outstanding order has ended.
func (o *orderCrashes) recordEnd(now time.Time, incarnation fleet.Incarnation, to upstream.Role) {
	if len(o.core.UpstreamEnded(now, quarantine.Incarnation(incarnation))) == 0 {
		return // the order was too long ago to be the cause
	}
	logline.Info("engine ended under an order", "upstream", incarnation, "to", to)
	for _, content := range o.core.TakeNewHolds() {
		hold, _ := o.core.ActiveHold(now, content)
		logline.Info("orders held", "to", to, "until", hold.Until.Format(time.RFC3339), "times", hold.Times)
	}
}
