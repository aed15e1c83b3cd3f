package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
	"github.com/ragworttrestle/ragworttrestle/internal/request/admit"
	"github.com/ragworttrestle/ragworttrestle/internal/request/limit"
	"github.com/ragworttrestle/ragworttrestle/internal/request/retry"
	"github.com/ragworttrestle/ragworttrestle/internal/request/route"
	"github.com/ragworttrestle/ragworttrestle/internal/version/config"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// cores owns the pure cores of the request path. Each method holds the mutex for
// one decision and does no I/O, so that the lock is short.
type cores struct {
	mu        sync.Mutex
	zone      string
	zoneShare float64          // part of the account limits that holds in this zone
	snapshot  *config.Snapshot // newest in force

	tracker  *route.Tracker
	admit    *admit.Core
	limit    *limit.Core
	budget   *retry.Budget
	outliers *retry.Outliers
	learner  route.Learner
	services serviceLoad

	unreachable map[string]bool               // runners whose polls fail
	watched     watchedAttempts               // attempts that can go elsewhere
	waiting     map[string]waiter             // calls in the admission queue
	demand      map[demandKey]*peer.DemandRow // since the last report
	kick        chan struct{}                 // tells the queue loop that calls wait
}

// waiter is a call in the admission queue.
type waiter struct {
	request  route.Request
	decision chan admit.Action // holds one
}

func newCores(self settings.Instance, limits settings.Limits) *cores {
	return &cores{
		zone:        self.Zone,
		zoneShare:   1,
		tracker:     route.NewTracker(),
		admit:       admit.New(admit.Config{QueueRequests: limits.QueueRequests, QueueTokens: limits.QueueTokens}),
		limit:       limit.New(limit.Config{Self: self.Name}),
		budget:      retry.NewBudget(limits.RetryShare),
		outliers:    retry.NewOutliers(retry.OutlierConfig{MaxShare: limits.EjectShare}),
		services:    newServiceLoad(),
		unreachable: make(map[string]bool),
		watched:     make(watchedAttempts),
		waiting:     make(map[string]waiter),
		demand:      make(map[demandKey]*peer.DemandRow),
		kick:        make(chan struct{}, 1),
	}
}

// install takes in a newer snapshot.
func (c *cores) install(now time.Time, s *config.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.snapshot = s
	byModel := make(map[string][]string)
	for name, r := range s.Runners {
		byModel[r.Model] = append(byModel[r.Model], name)
	}
	for model, names := range byModel {
		slices.Sort(names)
		c.outliers.SetGroup("model/"+model, names)
	}
	for name, service := range s.Services {
		c.outliers.SetGroup("service/"+name, upstreamNames(service))
	}
	for name := range c.unreachable {
		if _, ok := s.Runners[name]; !ok {
			delete(c.unreachable, name)
		}
	}
	for name := range s.Runners {
		c.refreshSuspect(now, name)
	}
	c.learner.Keep(func(name string) bool { _, ok := s.Routes[name]; return ok })
}

// expectedOut is the learned number of output tokens of a request.
func (c *cores) expectedOut(routeName string, first, most int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.learner.Expected(routeName, first, most)
}

// reserve counts a request against its account's limits, or refuses it.
func (c *cores) reserve(now time.Time, account string, spec resource.ClientAccount, tokens int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if refusal := c.limit.Admit(now, account, c.zoneLimits(spec), tokens); refusal != nil {
		return refusal
	}
	c.budget.Request(now)
	return nil
}

// unreserve ends what reserve began.
func (c *cores) unreserve(now time.Time, account string, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit.Done(now, account, tokens)
}

// arrive asks for admission. The decision comes over the channel, at once or
// after a wait in the queue. An admitted request counts as sent from then on.
func (c *cores) arrive(now time.Time, q route.Request) <-chan admit.Action {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := waiter{request: q, decision: make(chan admit.Action, 1)}
	c.waiting[q.ID] = w
	row := c.demandOf(&q)
	row.Arrived++
	row.Prefill += q.PromptTokens
	row.Decode += q.ExpectedOut
	c.carryOut(now, c.admit.Arrive(now, q, c.tracker.ViewModel(now, c.snapshot, q.Model)))
	if len(c.waiting) > 0 {
		c.wakeQueue()
	}
	return w.decision
}

// leave takes a call out of the queue. It returns false if the decision came first.
func (c *cores) leave(now time.Time, id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.waiting[id]; !ok {
		return false
	}
	delete(c.waiting, id)
	c.admit.Leave(now, id)
	return true
}

// tick decides on waiting calls again. It returns the number still waiting.
func (c *cores) tick(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tickLocked(now)
	return len(c.waiting)
}

// tickLocked looks only at the runners of models for which calls wait.
func (c *cores) tickLocked(now time.Time) {
	if len(c.waiting) == 0 {
		return
	}
	for _, model := range c.admit.Waiting() {
		c.carryOut(now, c.admit.TickModel(now, model, c.tracker.ViewModel(now, c.snapshot, model)))
	}
}

// carryOut hands decisions to the calls that wait for them.
func (c *cores) carryOut(now time.Time, actions []admit.Action) {
	for _, a := range actions {
		w, ok := c.waiting[a.ID]
		if !ok {
			continue
		}
		delete(c.waiting, a.ID)
		if a.Choice != nil {
			c.sent(now, w.request, *a.Choice)
		} else {
			c.demandOf(&w.request).Late++
		}
		w.decision <- a
	}
}

func (c *cores) wakeQueue() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

func (c *cores) sent(now time.Time, q route.Request, choice route.Choice) {
	c.tracker.Sent(now, route.Send{
		ID:           q.ID,
		Runner:       choice.Runner,
		Prefill:      choice.Prefill,
		PromptTokens: q.PromptTokens,
		CachedTokens: choice.Predicted.CachedTokens,
		ExpectedOut:  q.ExpectedOut,
		PrefixHashes: q.PrefixHashes,
	})
}

// reroute chooses another runner for a request whose attempt failed. The request
// counts as sent there. An empty Runner means that there is none.
func (c *cores) reroute(now time.Time, q route.Request) route.Choice {
	c.mu.Lock()
	defer c.mu.Unlock()
	choice := route.Route(now, q, c.tracker.ViewModel(now, c.snapshot, q.Model))
	if choice.Runner != "" {
		c.sent(now, q, choice)
	}
	return choice
}

// elsewhere tells whether another runner could take a request.
func (c *cores) elsewhere(now time.Time, q route.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return route.Route(now, q, c.tracker.ViewModel(now, c.snapshot, q.Model)).Runner != ""
}

// sentTo counts a request as sent to a runner that was not chosen here (a claim names it).
func (c *cores) sentTo(now time.Time, q route.Request, runner string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent(now, q, route.Choice{Runner: runner})
}

// progress notes output tokens received.
func (c *cores) progress(now time.Time, id string, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Progress(now, id, tokens)
}

// finished notes that a request is no longer in flight. out is the number of
// tokens of a whole answer, negative for any other end.
func (c *cores) finished(now time.Time, q route.Request, first, out int, late bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Finished(now, q.ID)
	if out >= 0 {
		c.learner.Finished(q.Route, first, out)
	}
	if late {
		c.demandOf(&q).Late++
	}
	c.tickLocked(now)
}

// mayRetry counts a retry if the budget allows it.
func (c *cores) mayRetry(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget.Retry(now)
}

// allowsRetry tells whether the budget allows a retry; it counts nothing.
func (c *cores) allowsRetry(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget.Allows(now)
}

// explain gives one line with the scores of every candidate.
func (c *cores) explain(now time.Time, q route.Request) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return route.Explain(now, q, c.tracker.ViewModel(now, c.snapshot, q.Model))
}

// queued is the number of calls in the admission queue.
func (c *cores) queued() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waiting)
}
