package entry

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/mapentry"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/peers"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
	"github.com/ragworttrestle/ragworttrestle/internal/request/patience"
	"github.com/ragworttrestle/ragworttrestle/internal/request/place"
	"github.com/ragworttrestle/ragworttrestle/internal/version/routing"
)

// state holds what all requests share: the configuration, the known upstreams, placement and retry limits.
// It is safe for concurrent use.
type state struct {
	config atomic.Pointer[routing.Config]

	mu             sync.Mutex
	fleet          *fleet.Core
	tracker        *place.Tracker
	queue          *place.Queue
	waiters        map[string]chan place.Decision // where decisions on waiting requests are sent, by Query.ID
	retryLimits    map[string]*retryLimit         // by service
	patience       map[string]*patience.Route     // by route
	recorded       map[string]map[string]bool     // versions of software in the record of origins, by service; nil: not read
	streamed       map[string]bool                // services with routes that are answered by streams
	leadsTo        map[string]map[string]bool     // services to which such routes led since the start of this process, by host and path prefix
	bounds         settings.EntryBounds
	trackedVersion uint64    // version of fleet that tracker was last updated from; 0: update it again
	listed         bool      // the list of upstreams was read and is followed
	platformLostAt time.Time // when the list of upstreams was last up to date, before the platform became unreadable or this process stalled
	confirmation   confirmation
	startedAt      boottime.Time
}

func newState(s *settings.Entry) *state {
	tracker := place.NewTracker()
	tracker.SetSalt(rand.Uint64())
	tracker.SetRateShare(time.Now(), 1.0/peers.AssumedInstances) // as long as the number of instances isn't known
	upstreams := fleet.New()
	upstreams.SetHeartbeat(s.Bounds.Heartbeat())
	return &state{
		fleet:        upstreams,
		tracker:      tracker,
		queue:        place.NewQueue(tracker),
		waiters:      make(map[string]chan place.Decision),
		retryLimits:  make(map[string]*retryLimit),
		patience:     make(map[string]*patience.Route),
		bounds:       s.Bounds,
		confirmation: confirmation{clock: boottime.Now, onResume: func() {}},
		startedAt:    boottime.Now(),
	}
}

// install puts a configuration in force. It ignores a configuration that isn't newer than the one in force
// and returns false: reads of the platform may return late.
func (s *state) install(c *routing.Config) bool {
	for {
		old := s.config.Load()
		if old != nil && old.Version >= c.Version {
			return false
		}
		if s.config.CompareAndSwap(old, c) {
			s.applyConfig(c)
			return true
		}
	}
}

// applyConfig selects the usable upstreams by a new configuration, and drops what was learned about callers
// of removed routes.
func (s *state) applyConfig(c *routing.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trackedVersion = 0
	s.applyStreamedRoutes(c)
	s.syncTracker(time.Now())
	maps.DeleteFunc(s.patience, func(route string, _ *patience.Route) bool { return !c.HasRoute(route) })
}

// maxKnownRoutes limits leadsTo; beyond, it begins anew with the routes in force.
const maxKnownRoutes = 4096

// applyStreamedRoutes records the services to which routes lead that are answered by streams. Callers hold mu.
func (s *state) applyStreamedRoutes(c *routing.Config) {
	s.streamed = make(map[string]bool)
	if s.leadsTo == nil || len(s.leadsTo) > maxKnownRoutes {
		s.leadsTo = make(map[string]map[string]bool)
	}
	for i := range c.Routes {
		route := &c.Routes[i]
		for _, service := range route.StreamedServices() {
			s.streamed[service] = true
			if s.leadsTo[route.Prefix()] == nil {
				s.leadsTo[route.Prefix()] = make(map[string]bool)
			}
			s.leadsTo[route.Prefix()][service] = true
		}
	}
}

// leadsToOneService reports whether all streams on a path of a host began at one service since the start of this process.
func (s *state) leadsToOneService(host, path string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]bool)
	for prefix, services := range s.leadsTo {
		if strings.HasPrefix(host+path, prefix) {
			maps.Copy(all, services)
		}
	}
	return len(all) == 1
}

// updateFleet applies a change to the list of upstreams and then updates placement.
func (s *state) updateFleet(now time.Time, change func(f *fleet.Core)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detectStall()
	wasUpToDate := s.fleet.UpToDate(now)
	change(s.fleet)
	if wasUpToDate && !s.fleet.UpToDate(now) {
		s.platformLostAt = now
	}
	s.expireMissing(now)
	s.syncTracker(now)
	s.awaitsConfirmation(now) // decides on the postponed requests if the change confirmed the list
}

// forgetUpstreams drops the list of upstreams, because this instance no longer follows it.
func (s *state) forgetUpstreams(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.ClearList()
	s.listed, s.platformLostAt, s.trackedVersion, s.recorded = false, time.Time{}, 0, nil
	s.tracker.SetUpstreams(nil)
	s.awaitsConfirmation(now) // there is nothing left to confirm
	s.deliverDecisions(now)
}

// platformLostFor returns for how long the list of upstreams may lack changes, or has kept upstreams that
// other instances may know to be gone; 0: the list is up to date, or isn't followed.
func (s *state) platformLostFor(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detectStall()
	if !s.listed || s.fleet.UpToDate(now) {
		return 0
	}
	return now.Sub(s.platformLostAt)
}

// expireMissing removes upstreams that weren't listed again in time after an outage. Callers hold mu.
func (s *state) expireMissing(now time.Time) {
	for _, id := range s.fleet.Expire(now) {
		logline.Info("upstream gone", "upstream", id, "why", "still missing after the platform's outage")
	}
}

// syncTracker updates placement if the list of upstreams has changed. Callers hold mu.
func (s *state) syncTracker(now time.Time) {
	if s.trackedVersion == s.fleet.Version() {
		return
	}
	s.trackedVersion = s.fleet.Version()
	s.tracker.SetUpstreams(s.configuredUpstreams(s.fleet.Usable()))
	s.deliverDecisions(now)
}

// setRecorded sets the versions of software in the record of origins, by service.
func (s *state) setRecorded(now time.Time, recorded map[string]map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recorded, s.trackedVersion = recorded, 0
	s.syncTracker(now)
}

// isRecorded reports whether streams may begin at an upstream: its version of software is in the record of origins. It
// returns true for an upstream that begins none. Callers hold mu.
func (s *state) isRecorded(u *fleet.Upstream) bool {
	return !s.streamed[u.Service] || !u.BeginsStreams() || s.recorded[u.Service][u.Software]
}

// configuredUpstreams removes the upstreams of services that the configuration doesn't have, those at which no stream may
// begin yet, and the engines that report no role. Without a configuration it keeps all, as nothing is sent yet. It changes
// services and returns it.
func (s *state) configuredUpstreams(services map[string][]fleet.Upstream) map[string][]fleet.Upstream {
	c := s.config.Load()
	if c == nil {
		return services
	}
	for name, list := range services {
		list = slices.DeleteFunc(list, func(u fleet.Upstream) bool { return !s.isRecorded(&u) })
		services[name] = list
		service, ok := c.Services[name]
		switch {
		case !ok:
			delete(services, name)
		case service.Engine != nil:
			services[name] = slices.DeleteFunc(list, func(u fleet.Upstream) bool { return u.Role == "" })
		}
	}
	return services
}

// tick removes expired state and decides on waiting requests. It has to be called at intervals far shorter
// than the threshold of detectStall; stalls are detected from the first call on.
func (s *state) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmation.start()
	s.detectStall()
	s.awaitsConfirmation(now)
	s.expireMissing(now)
	s.syncTracker(now)
	s.tracker.ForgetStalePeers(now)
	s.tracker.ForgetRateLimits(now)
	s.tracker.ForgetBackoffs(now)
	s.deliverDecisions(now)
}

// deliverDecisions delivers the queue's decisions to waiting requests. Callers hold mu.
func (s *state) deliverDecisions(now time.Time) {
	if s.queue.Len() == 0 {
		return
	}
	if s.detectStall(); s.awaitsConfirmation(now) {
		return
	}
	s.deliver(s.queue.Tick(now))
}

// deliver delivers decisions to the requests that wait for them. Callers hold mu.
func (s *state) deliver(decisions []place.Decision) {
	for _, d := range decisions {
		if waiter, ok := s.waiters[d.ID]; ok {
			delete(s.waiters, d.ID)
			waiter <- d
		}
	}
}

// enqueue requests a place. The decision is sent on the returned channel, possibly before enqueue returns.
func (s *state) enqueue(now time.Time, q place.Query) <-chan place.Decision {
	decision := make(chan place.Decision, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiters[q.ID] = decision
	if s.detectStall(); s.awaitsConfirmation(now) {
		s.confirmation.postponed = append(s.confirmation.postponed, q)
		return decision
	}
	s.arrive(now, q)
	return decision
}

// arrive passes a request to the queue. If it is decided on at once, arrive delivers the decision. Callers
// hold mu.
func (s *state) arrive(now time.Time, q place.Query) {
	if d, decided := s.queue.Arrive(now, q); decided {
		s.waiters[q.ID] <- d
		delete(s.waiters, q.ID)
	}
}

// timeSpent estimates how much time the caller of a request has already spent on earlier attempts. left is
// the time left that the caller declares.
func (s *state) timeSpent(route string, left time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return mapentry.GetOrCreate(s.patience, route, mapentry.Zero[patience.Route]).TimeSpent(left)
}

// dequeue removes a request from the queue and returns the channel on which the request waited for a
// decision; nil: the request isn't in the queue, for example because it was decided on before.
func (s *state) dequeue(q place.Query) chan<- place.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.confirmation.remove(q.ID) && !s.queue.Remove(&q) {
		return nil
	}
	waiter := s.waiters[q.ID]
	delete(s.waiters, q.ID)
	return waiter
}

// withTracker calls f with the tracker while holding mu, and then gives freed places to waiting requests.
func (s *state) withTracker(now time.Time, f func(t *place.Tracker)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.tracker)
	s.deliverDecisions(now)
}

// probesDue returns the upstreams to probe now.
func (s *state) probesDue(now time.Time) []fleet.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.ProbesDue(now)
}

// loads returns the estimated number of requests at each upstream.
func (s *state) loads(now time.Time) map[fleet.Incarnation]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Loads(now)
}

// usable reports whether an upstream may get work now.
func (s *state) usable(incarnation fleet.Incarnation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Usable(incarnation)
}

// markLeaving records that an upstream reported that it is leaving, in response to a request that was sent at the given
// time (zero: not known). It returns whether that is new.
func (s *state) markLeaving(now, sent time.Time, incarnation fleet.Incarnation) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed = s.fleet.MarkLeaving(now, sent, incarnation)
	s.syncTracker(now)
	return changed
}

// isLeaving reports whether an incarnation of an upstream is leaving, according to the list of upstreams or
// to a response.
func (s *state) isLeaving(incarnation fleet.Incarnation) bool {
	return s.incarnationStatus(incarnation).leaving
}

// backoffLeft returns the rest of the backoff that an upstream requested in a response; 0: none.
func (s *state) backoffLeft(now time.Time, incarnation fleet.Incarnation) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.BackoffLeft(now, incarnation)
}

// backingOffCount returns the number of upstreams that are backing off.
func (s *state) backingOffCount(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.BackingOff(now)
}

// incarnationStatus is what is known of an incarnation of an upstream.
type incarnationStatus struct {
	listed  bool
	leaving bool // or was leaving when it was removed from the list
	ended   bool // seen to end (see fleet.Core.SeenToEnd)
	end     fleet.End
}

// incarnationStatus returns what is known of an incarnation of an upstream.
func (s *state) incarnationStatus(incarnation fleet.Incarnation) incarnationStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnationStatusLocked(incarnation)
}

// incarnationStatusLocked is incarnationStatus for callers that hold mu.
func (s *state) incarnationStatusLocked(incarnation fleet.Incarnation) incarnationStatus {
	listed, leaving := s.fleet.Listed(incarnation)
	if !listed && !leaving {
		_, leaving = s.fleet.RecentlyGone(incarnation)
	}
	end, ended := s.fleet.SeenToEnd(incarnation)
	return incarnationStatus{listed: listed, leaving: leaving, ended: ended, end: end}
}

// eligible returns the number of upstreams that could serve a request, whatever their load.
func (s *state) eligible(now time.Time, q *place.Query) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Eligible(now, q)
}

// takeOwnLoad returns what a placer sends to others: the load of this process at each upstream, and the
// prompts prefilled or fetched for it since the last call. mostReport: most of the other placers report
// their load to this instance.
func (s *state) takeOwnLoad(mostReport bool) (map[place.UpstreamKey]place.InFlight, []place.CacheUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.SetPeersReporting(mostReport)
	return s.tracker.OwnLoad(), s.tracker.TakeCacheUpdates()
}

// clearPeerReports records that other instances don't report their load to this one, which isn't a placer
// and decides at most on its own requests. It also drops the prompts that takeOwnLoad would return.
func (s *state) clearPeerReports() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.SetPeersReporting(false)
	s.tracker.TakeCacheUpdates()
}

// waitingCount returns the number of waiting requests.
func (s *state) waitingCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Len() + len(s.confirmation.postponed)
}

// upstreamsListed reports whether the list of upstreams was read and is followed.
func (s *state) upstreamsListed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listed
}

// platformUnreadable reports whether the platform didn't answer the last call that reads upstreams.
func (s *state) platformUnreadable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.IsPlatformLost()
}

// platformOutage reports whether the platform has an outage in which entries may lapse.
func (s *state) platformOutage() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.InOutage()
}

// steadilyConnected reports whether the list of upstreams has been up to date for minConnectedTime, in which
// this process ran.
func (s *state) steadilyConnected(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detectStall()
	return s.listed && s.fleet.ConnectedFor(now) >= minConnectedTime
}

// engines returns the engines by service.
func (s *state) engines() map[string][]fleet.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configuredUpstreams(s.fleet.Engines())
}

// hasEngines reports whether any engine is known.
func (s *state) hasEngines() bool { return len(s.engines()) > 0 }

// engineTime returns how long the prefill of a request's prompt keeps an engine busy. The engine has the
// role that the query's work requires.
func (s *state) engineTime(now time.Time, q *place.Query) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.PrefillTime(now, q)
}
