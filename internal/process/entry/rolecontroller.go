package entry

import (
	"context"
	"slices"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/mapentry"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/roles"
)

const (
	// candidateTick is how often a candidate for the lease checks whether the lease has to be read or
	// renewed, and whether a decision on roles is due.
	candidateTick = 100 * time.Millisecond
	// standbyTick is how often an instance that isn't a candidate checks whether it has become one.
	standbyTick = 500 * time.Millisecond
	// decideInterval is the time between two decisions on how many engines have which role.
	decideInterval = time.Second
	// announceSlack is the time that the announcement of a change of role may take to reach an instance
	// that follows the upstreams, in addition to the delay between two calls for changes (the function
	// seriesDelay). The order for the change is sent after the sum of both. Within that time, all these
	// instances see the announcement and stop sending requests to the engine.
	announceSlack = 150 * time.Millisecond
)

// roleController acquires and renews the lease. While this process holds it, roleController decides on
// the roles of engines and orders engines to change them. It is used by one goroutine.
type roleController struct {
	e             *Entry
	lease         *lease
	cores         map[string]*roles.Core // decide on the roles of a service's engines; by service
	nextDecision  time.Time              // no decision before this
	lastReason    map[string]string      // reason of the last logged decision, by service
	unknownOrders unknownOrders
	orderCrashes  *orderCrashes
}

func newRoleController(e *Entry) *roleController {
	s := e.cfg.Settings
	return &roleController{
		e:          e,
		lease:      newLease(e.cfg.Records, e.platformEra, s.Instance.Name, time.Duration(s.Bounds.LeaseMS)*time.Millisecond, s.Bounds.FencingEnforced),
		cores:      make(map[string]*roles.Core),
		lastReason: make(map[string]string),

		unknownOrders: make(unknownOrders),
		orderCrashes:  newOrderCrashes(),
	}
}

// run maintains the lease and the roles of engines until ctx ends, then releases the lease. It starts
// once this process knows an engine or reports usage.
func (rc *roleController) run(ctx context.Context) {
	for !rc.e.state.hasEngines() && rc.e.usage == nil {
		if platform.Sleep(ctx, rc.pause()) != nil {
			return
		}
	}
	for platform.Sleep(ctx, rc.pause()) == nil {
		rank, candidate := rc.e.leaseRank(time.Now())
		rc.lease.setCandidate(ctx, rank, candidate)
		rc.lease.tick(ctx)
		rc.e.duties.Store(rc.lease.duties())
		now := time.Now()
		if _, ok := rc.lease.orderFence(); ok && !now.Before(rc.nextDecision) {
			rc.nextDecision = now.Add(decideInterval)
			rc.decide(ctx)
		}
	}
	rc.e.duties.Store(nil)
	stopCtx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	rc.lease.release(stopCtx)
	for !rc.lease.core.Stopped() && platform.Sleep(stopCtx, candidateTick) == nil {
		rc.lease.tick(stopCtx) // the release has to wait for a call that was in progress when ctx ended
	}
}

// pause returns the time until the next round of run.
func (rc *roleController) pause() time.Duration {
	if _, candidate := rc.e.leaseRank(time.Now()); candidate {
		return candidateTick
	}
	return standbyTick
}

// decide decides on the roles of each service's engines, and orders the changes.
func (rc *roleController) decide(ctx context.Context) {
	demand := rc.demand(time.Now())
	enginesByService := rc.e.state.engines()
	rc.orderCrashes.update(time.Now(), enginesByService, rc.e.state.incarnationStatus)
	for service, engines := range enginesByService {
		core := mapentry.GetOrCreate(rc.cores, service, roles.New)
		core.SetShare(rc.prefillShare())
		d := core.Decide(time.Now(), engineViews(engines, rc.e.state.loads(time.Now())), demand[service])
		if allowed := rc.orderCrashes.allowedChanges(time.Now(), service, d.Changes); len(allowed) < len(d.Changes) {
			d.Changes, d.Reason = allowed, "engines ended after orders of the same kind"
		}
		rc.logDecision(service, demand[service], d)
		if len(d.Changes) > 0 {
			rc.applyChanges(ctx, engines, d)
		}
	}
}

// prefillShare returns the share of engines that prefill, as set by an operator. 0 means that the share
// follows the demand.
func (rc *roleController) prefillShare() float64 { return rc.e.liveSettings.Load().roles.PrefillShare }

// leaseRank returns this instance's rank among the candidates for the lease, and whether this instance is
// a candidate. The candidates are the instances that receive the demand of all others, because decisions
// on roles depend on that demand. There are few candidates, so the platform also gets few reads of the
// lease.
func (e *Entry) leaseRank(now time.Time) (rank int, candidate bool) {
	if e.peers == nil {
		return 0, true
	}
	return e.peers.placerRank(now)
}

// demand returns the demand at all instances, or only at this one if it exchanges no messages with
// others, by service.
func (rc *roleController) demand(now time.Time) map[string]roles.Demand {
	if rc.e.peers == nil {
		return rc.e.demand.perSecond(now)
	}
	return rc.e.peers.totalDemand(now)
}

// engineViews returns what a decision on roles needs to know about engines. An engine that is changing
// its role counts with the new role.
func engineViews(engines []fleet.Upstream, loads map[fleet.Incarnation]float64) []roles.Engine {
	out := make([]roles.Engine, 0, len(engines))
	for _, u := range engines {
		e := roles.Engine{ID: u.ID, Zone: u.Zone, Role: u.Role, Slots: u.Slots, Changing: u.Changing(), Load: loads[u.Incarnation()]}
		if e.Changing {
			e.Role = u.NextRole
		}
		out = append(out, e)
	}
	return out
}

// logDecision logs a decision. A decision that changes nothing is logged only if its reason differs
// from that of the last logged one.
func (rc *roleController) logDecision(service string, demand roles.Demand, d roles.Decision) {
	if len(d.Changes) == 0 && rc.lastReason[service] == d.Reason {
		return
	}
	rc.lastReason[service] = d.Reason
	logline.Info("roles", "service", service, "prefill_now", d.Prefill, "prefill_wanted", d.TargetPrefill,
		"utilization_now", d.Utilization, "utilization_then", d.TargetUtilization, "reading", demand.Reading, "fetching", demand.Fetching, "slots_held", demand.Holding,
		"changes", len(d.Changes), "why", d.Reason)
}

// applyChanges announces changes of role, waits until other instances have seen the announcements, and
// sends the orders. It removes the announcement of a change that certainly won't happen.
func (rc *roleController) applyChanges(ctx context.Context, engines []fleet.Upstream, d roles.Decision) {
	var announced []announcedChange
	for _, c := range d.Changes {
		i := slices.IndexFunc(engines, func(u fleet.Upstream) bool { return u.ID == c.ID })
		if i < 0 {
			continue
		}
		if err := rc.e.cfg.Upstreams.AnnounceRoleChange(ctx, engines[i], c.To); err != nil {
			logline.Info("change of role not announced", "upstream", c.ID, "to", c.To, "error", err)
			continue
		}
		announced = append(announced, announcedChange{engines[i], c})
	}
	if platform.Sleep(ctx, rc.e.seriesDelay()+announceSlack) != nil {
		return
	}
	for _, a := range announced {
		if !rc.sendOrder(ctx, a.engine, a.change) {
			rc.unmark(ctx, a.engine)
		}
	}
}

// announcedChange is a change of role that has been announced but not ordered yet. It applies only to
// the incarnation of the engine for which it was decided.
type announcedChange struct {
	engine fleet.Upstream
	change roles.Change
}

// sendOrder orders one engine to change its role. It returns false if the engine will certainly not
// change it: no order was sent, or the engine refused the order.
func (rc *roleController) sendOrder(ctx context.Context, u fleet.Upstream, c roles.Change) bool {
	if backoff := rc.e.state.backoffLeft(time.Now(), u.Incarnation()); backoff > 0 {
		logline.Info("order not given", "upstream", u.ID, "to", c.To, "why", "the engine asked for a backoff", "rest_ms", backoff.Milliseconds())
		return false
	}
	engineState, err := rc.e.cfg.Engines.State(ctx, u)
	if err != nil || engineState.Busy {
		logline.Info("order not given", "upstream", u.ID, "to", c.To, "busy", engineState.Busy, "error", err)
		return false
	}
	if rc.e.state.isLeaving(u.Incarnation()) {
		logline.Info("order not given", "upstream", u.ID, "to", c.To, "why", "the engine is leaving")
		return false
	}
	now := boottime.Now()
	if reason := rc.unknownOrders.blockedReason(now, &u, engineState.StartedMS); reason != "" {
		logline.Info("order not given", "upstream", u.ID, "to", c.To, "born", u.StartedMS, "born_told", engineState.StartedMS, "why", reason)
		return false
	}
	fence, ok := rc.lease.orderFence()
	if !ok {
		logline.Info("order not given", "upstream", u.ID, "to", c.To, "why", "the lease has expired")
		return false
	}
	result, err := rc.e.cfg.Engines.SetRole(ctx, u, c.To, engineState.Orders, rc.e.cfg.Settings.Instance.Name, fence)
	if result == OrderUnknown {
		rc.unknownOrders.add(now, &u)
	}
	if result == OrderUnknown || result == OrderAccepted {
		rc.orderCrashes.recordOrder(time.Now(), &u, c.To)
	}
	logline.Info("order", "upstream", u.ID, "born", u.StartedMS, "from", u.Role, "to", c.To, "fence", fence, "after", engineState.Orders, "result", result, "error", err)
	return result != OrderRefused && result != OrderNotSent
}

// unmark removes the announcement of a change of role.
func (rc *roleController) unmark(ctx context.Context, u fleet.Upstream) {
	if err := rc.e.cfg.Upstreams.AnnounceRoleChange(ctx, u, ""); err != nil {
		logline.Info("announcement not taken back", "upstream", u.ID, "error", err)
	}
}
