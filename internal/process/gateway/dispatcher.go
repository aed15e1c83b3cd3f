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

// dispatcher holds the state that admission, routing, account limits, retries and
// outlier ejection share, under one mutex. Each method takes the mutex for one decision
// and does no I/O, so that the mutex is held only briefly.
type dispatcher struct {
	mu        sync.Mutex
	zone      string
	zoneShare float64          // fraction of the account limits that applies in this zone, 0 to 1
	snapshot  *config.Snapshot // the configuration in force; nil before the first

	tracker  *route.Tracker
	admit    *admit.Core
	limit    *limit.Core
	budget   *retry.Budget
	outliers *retry.Outliers
	learner  route.OutputLengthEstimator // learns the output length of each route
	services serviceLoad

	unreachable map[string]bool               // runners whose polls fail
	watched     watchedAttempts               // attempts that are canceled if they stall while their runner is unreachable
	waiting     map[string]queuedCall         // calls in the admission queue, by request ID
	demand      map[demandKey]*peer.DemandRow // demand since the last report to peers
	queueWake   chan struct{}                 // wakes queueLoop when calls wait
}

// queuedCall is a call in the admission queue.
type queuedCall struct {
	request  route.Request
	decision chan admit.Action // has a buffer of one, so that sending never blocks
}

func newDispatcher(self settings.Instance, limits settings.Limits) *dispatcher {
	return &dispatcher{
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
		waiting:     make(map[string]queuedCall),
		demand:      make(map[demandKey]*peer.DemandRow),
		queueWake:   make(chan struct{}, 1),
	}
}

// install puts a newer snapshot in force. It drops the unreachable marks of removed runners and the
// learned output lengths of removed routes.
func (d *dispatcher) install(now time.Time, s *config.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.snapshot = s
	byModel := make(map[string][]string)
	for name, r := range s.Runners {
		byModel[r.Model] = append(byModel[r.Model], name)
	}
	for model, names := range byModel {
		slices.Sort(names)
		d.outliers.SetGroup("model/"+model, names)
	}
	for name, service := range s.Services {
		d.outliers.SetGroup("service/"+name, upstreamNames(service))
	}
	for name := range d.unreachable {
		if _, ok := s.Runners[name]; !ok {
			delete(d.unreachable, name)
		}
	}
	for name := range s.Runners {
		d.refreshSuspect(now, name)
	}
	d.learner.Retain(func(name string) bool { _, ok := s.Routes[name]; return ok })
}

// expectedOut returns the expected number of output tokens of a request, learned from earlier requests
// of its route. initial is the number that the route declares and limit the request's limit.
func (d *dispatcher) expectedOut(routeName string, initial, limit int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.learner.Expected(routeName, initial, limit)
}

// reserve counts a request and its tokens against the limits of its account. It returns an error and
// counts nothing if the request exceeds them. After a success, releaseReservation must be called.
func (d *dispatcher) reserve(now time.Time, account string, spec resource.ClientAccount, tokens int) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if refusal := d.limit.Admit(now, account, d.zoneLimits(spec), tokens); refusal != nil {
		return refusal
	}
	d.budget.Request(now)
	return nil
}

// releaseReservation releases what reserve counted.
func (d *dispatcher) releaseReservation(now time.Time, account string, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limit.Done(now, account, tokens)
}

// requestAdmission asks for the admission of a request. The decision is sent on the returned channel,
// before requestAdmission returns or after a wait in the queue. From an admission on, the request counts
// as sent to the chosen runner until recordEnd.
func (d *dispatcher) requestAdmission(now time.Time, q route.Request) <-chan admit.Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := queuedCall{request: q, decision: make(chan admit.Action, 1)}
	d.waiting[q.ID] = w
	row := d.demandRow(&q)
	row.Arrived++
	row.Prefill += q.PromptTokens
	row.Decode += q.ExpectedOut
	d.deliverDecisions(now, d.admit.Arrive(now, q, d.tracker.ViewModel(now, d.snapshot, q.Model)))
	if len(d.waiting) > 0 {
		d.wakeQueue()
	}
	return w.decision
}

// leaveQueue removes a call from the queue. It returns false if the call is no longer queued, because
// its decision was already made.
func (d *dispatcher) leaveQueue(now time.Time, id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.waiting[id]; !ok {
		return false
	}
	delete(d.waiting, id)
	d.admit.Remove(now, id)
	return true
}

// recheckQueue repeats the admission decision for the calls in the queue and returns how many remain.
func (d *dispatcher) recheckQueue(now time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recheckQueueLocked(now)
	return len(d.waiting)
}

// recheckQueueLocked is recheckQueue for callers that hold mu. It examines only the runners of models
// for which calls wait.
func (d *dispatcher) recheckQueueLocked(now time.Time) {
	if len(d.waiting) == 0 {
		return
	}
	for _, model := range d.admit.Waiting() {
		d.deliverDecisions(now, d.admit.TickModel(now, model, d.tracker.ViewModel(now, d.snapshot, model)))
	}
}

// deliverDecisions sends admission decisions to the calls that wait for them. Admitted calls count as
// sent, refused ones as late in the demand. It must be called with mu held.
func (d *dispatcher) deliverDecisions(now time.Time, actions []admit.Action) {
	for _, a := range actions {
		w, ok := d.waiting[a.ID]
		if !ok {
			continue
		}
		delete(d.waiting, a.ID)
		if a.Choice != nil {
			d.recordSendLocked(now, w.request, *a.Choice)
		} else {
			d.demandRow(&w.request).Late++
		}
		w.decision <- a
	}
}

// wakeQueue wakes queueLoop. It never blocks: one pending wake-up is enough.
func (d *dispatcher) wakeQueue() {
	select {
	case d.queueWake <- struct{}{}:
	default:
	}
}

// recordSendLocked counts a request as sent to the chosen runner. It must be called with mu held.
func (d *dispatcher) recordSendLocked(now time.Time, q route.Request, choice route.Choice) {
	d.tracker.Sent(now, route.Send{
		ID:           q.ID,
		Runner:       choice.Runner,
		Prefill:      choice.Prefill,
		PromptTokens: q.PromptTokens,
		CachedTokens: choice.Predicted.CachedTokens,
		ExpectedOut:  q.ExpectedOut,
		PrefixHashes: q.PrefixHashes,
	})
}

// reroute chooses another runner for a request whose attempt failed or was not sent, and counts the
// request as sent to that runner. An empty Runner in the result means that no runner can take it.
func (d *dispatcher) reroute(now time.Time, q route.Request) route.Choice {
	d.mu.Lock()
	defer d.mu.Unlock()
	choice := route.Route(now, q, d.tracker.ViewModel(now, d.snapshot, q.Model))
	if choice.Runner != "" {
		d.recordSendLocked(now, q, choice)
	}
	return choice
}

// hasAlternative reports whether another runner could take a request.
func (d *dispatcher) hasAlternative(now time.Time, q route.Request) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return route.Route(now, q, d.tracker.ViewModel(now, d.snapshot, q.Model)).Runner != ""
}

// recordSend counts a request as sent to a runner that this gateway didn't choose but a claim names.
func (d *dispatcher) recordSend(now time.Time, q route.Request, runner string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordSendLocked(now, q, route.Choice{Runner: runner})
}

// recordProgress counts output tokens that a request received.
func (d *dispatcher) recordProgress(now time.Time, id string, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracker.Progress(now, id, tokens)
}

// recordEnd records that a request is no longer in flight and rechecks the queue. initial is the number
// of output tokens that the route declares. out is the number of tokens of a complete answer, or
// negative if the answer is not complete. If late is true, the request counts as late in the demand.
func (d *dispatcher) recordEnd(now time.Time, q route.Request, initial, out int, late bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracker.Finished(now, q.ID)
	if out >= 0 {
		d.learner.Finished(q.Route, initial, out)
	}
	if late {
		d.demandRow(&q).Late++
	}
	d.recheckQueueLocked(now)
}

// consumeRetry takes a retry from the budget. It returns false if the budget is used up.
func (d *dispatcher) consumeRetry(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget.Retry(now)
}

// retryAllowed reports whether the budget allows a retry, without taking one.
func (d *dispatcher) retryAllowed(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget.Allows(now)
}

// explain returns one line with the scores that routing gives every candidate runner for a request.
func (d *dispatcher) explain(now time.Time, q route.Request) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return route.Explain(now, q, d.tracker.ViewModel(now, d.snapshot, q.Model))
}

// queued returns the number of calls in the admission queue.
func (d *dispatcher) queued() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.waiting)
}
