package gateway

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/ragworttrestle/ragworttrestle/internal/process/metrics"
)

// Labels of the gateway's metrics.
const (
	labelRoute   = "route"
	labelOutcome = "outcome"
)

// meters holds the gateway's metrics. Every name is listed in docs/operators/callers.md.
type meters struct {
	scope            tally.Scope
	retries          tally.Counter
	resumes          tally.Counter
	prefillFallbacks tally.Counter
	ejections        tally.Counter
	pollFailures     tally.Counter
	running          tally.Gauge
	queued           tally.Gauge
	version          tally.Gauge

	mu     sync.Mutex
	routes map[string]*routeMeters // by route name; "": requests refused before their route was known
}

// routeMeters holds the metrics of one route.
type routeMeters struct {
	scope       tally.Scope
	outcomes    map[string]tally.Counter
	late        tally.Counter
	prompt      tally.Counter
	output      tally.Counter
	firstToken  tally.Histogram
	tokenGap    tally.Histogram
	wholeAnswer tally.Histogram
}

func newMeters(scope tally.Scope) *meters {
	return &meters{
		scope:            scope,
		retries:          scope.Counter("retries_total"),
		resumes:          scope.Counter("resumes_total"),
		prefillFallbacks: scope.Counter("prefill_fallbacks_total"),
		ejections:        scope.Counter("upstream_ejections_total"),
		pollFailures:     scope.Counter("poll_failures_total"),
		running:          scope.Gauge("requests_running"),
		queued:           scope.Gauge("requests_queued"),
		version:          scope.Gauge("configuration_version"),
		routes:           make(map[string]*routeMeters),
	}
}

// route returns the metrics of a route. It must be called with mu held. Route names come from the
// configuration, so callers can't increase the number of metrics.
func (m *meters) route(name string) *routeMeters {
	r, ok := m.routes[name]
	if ok {
		return r
	}
	s := m.scope.Tagged(map[string]string{labelRoute: name})
	r = &routeMeters{
		scope:       s,
		outcomes:    make(map[string]tally.Counter),
		late:        s.Counter("late_total"),
		prompt:      s.Counter("prompt_tokens_total"),
		output:      s.Counter("output_tokens_total"),
		firstToken:  s.Histogram("first_token_seconds", metrics.LatencyBuckets),
		tokenGap:    s.Histogram("between_tokens_seconds", metrics.LatencyBuckets),
		wholeAnswer: s.Histogram("whole_answer_seconds", metrics.LatencyBuckets),
	}
	m.routes[name] = r
	return r
}

// outcome returns the counter of requests with an outcome.
func (r *routeMeters) outcome(name string) tally.Counter {
	c, ok := r.outcomes[name]
	if !ok {
		c = r.scope.Tagged(map[string]string{labelOutcome: name}).Counter("requests_total")
		r.outcomes[name] = c
	}
	return c
}

// callFinished records the end of a call to a model. x is nil if the call was refused by its account's
// limits.
func (m *meters) callFinished(c *call, x *execution, outcome string, late bool, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.route(c.routeName)
	r.outcome(outcome).Inc(1)
	if x == nil {
		return
	}
	if late {
		r.late.Inc(1)
	}
	r.prompt.Inc(int64(c.promptTokens))
	r.output.Inc(int64(x.tokens))
	if x.tokens == 0 {
		return
	}
	r.firstToken.RecordValue(x.firstToken.Sub(c.arrived).Seconds())
	r.tokenGap.RecordValue(meanTokenGap(x).Seconds())
	if outcome == outcomeWhole {
		r.wholeAnswer.RecordValue(now.Sub(c.arrived).Seconds())
	}
}

// serviceCallFinished records the end of a call to a plain service.
func (m *meters) serviceCallFinished(routeName, outcome string, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.route(routeName)
	r.outcome(outcome).Inc(1)
	r.wholeAnswer.RecordValue(took.Seconds())
}

// recordEarlyRefusal counts a request that was refused with an error kind before its route was known.
func (m *meters) recordEarlyRefusal(kind string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.route("").outcome(kind).Inc(1)
}
