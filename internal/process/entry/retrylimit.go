package entry

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/ragworttrestle/ragworttrestle/internal/mapentry"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
	"github.com/ragworttrestle/ragworttrestle/internal/request/retry"
)

// retryRatioShare is the share of the allowed retry ratio that a process uses once it has counted for a
// whole window. A process in its first window uses only the rest, because a process that ran before it may
// have used its share within the same window.
const retryRatioShare = 0.85

// retryLimit is the retry limit of a service.
type retryLimit struct {
	window *retry.Window
	retryCounts
}

// retryCounts counts the retries of a service since the last report.
type retryCounts struct {
	arrived  int // reached an upstream
	returned int // were allowed and not sent, mostly as there was no place
	denied   int // were not allowed
}

// retryReport says how the retry limit of a service was used since the last report.
type retryReport struct {
	retryCounts
	service string
	usage   retry.WindowUsage
}

// countRequest counts a request of a service towards its retry limit.
func (s *state) countRequest(now boottime.Time, service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryLimit(service).window.Request(now)
}

// reserveRetry reports whether the service's retry limit allows a further send of a request, and reserves that
// send until retryArrived or returnRetries. instances is the number of instances that share the slack of the limit.
func (s *state) reserveRetry(now boottime.Time, service string, instances int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.retryLimit(service)
	l.window.SetSlack(s.bounds.RetrySlack / float64(instances))
	if !l.window.Reserve(now) {
		l.denied++
		return false
	}
	return true
}

// retryArrived counts a reserved send that has reached an upstream.
func (s *state) retryArrived(now boottime.Time, service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.retryLimit(service)
	l.window.Arrived(now)
	l.arrived++
}

// returnRetries returns reserved sends that didn't take place.
func (s *state) returnRetries(service string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.retryLimit(service)
	for range n {
		l.window.Return()
	}
	l.returned += n
}

// setBounds applies changed bounds.
func (s *state) setBounds(b settings.EntryBounds) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bounds = b
	s.fleet.SetHeartbeat(b.Heartbeat())
	for _, l := range s.retryLimits {
		l.window.SetConfig(boottime.Now(), s.retryWindowConfig())
	}
}

// retryLimit returns the retry limit of a service. Callers hold mu.
func (s *state) retryLimit(service string) *retryLimit {
	return mapentry.GetOrCreate(s.retryLimits, service, func() *retryLimit {
		return &retryLimit{window: retry.NewWindow(s.retryWindowConfig(), s.startedAt)}
	})
}

// retryWindowConfig returns the limit of each service without its slack. Callers hold mu.
func (s *state) retryWindowConfig() retry.WindowConfig {
	return retry.WindowConfig{
		Ratio:      s.bounds.RetryRatio * retryRatioShare, // share of the requests counted here, so not divided among instances
		StartRatio: s.bounds.RetryRatio * (1 - retryRatioShare),
		Window:     s.bounds.RetryWindow(),
	}
}

// retryReports returns how the retry limits were used since the last call, for each service that has used its own
// since.
func (s *state) retryReports(now boottime.Time) []retryReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	var reports []retryReport
	for service, l := range s.retryLimits {
		if l.retryCounts == (retryCounts{}) {
			continue
		}
		reports = append(reports, retryReport{service: service, retryCounts: l.retryCounts, usage: l.window.Usage(now)})
		l.retryCounts = retryCounts{}
	}
	return reports
}

// reserveRetry reserves a further send of the request if the service's retry limit allows it, and reports whether it
// does.
func (q *request) reserveRetry() bool {
	now := boottime.Now()
	if !q.e.state.reserveRetry(now, q.service, q.e.peers.instanceCount()) {
		return false
	}
	q.reservedRetries++
	q.retryReservedAt = now
	return true
}

// countArrival counts a send that reached an upstream, if it was reserved: the first send of a request isn't.
func (q *request) countArrival() {
	if q.reservedRetries == 0 {
		return
	}
	now := boottime.Now()
	q.e.state.retryArrived(now, q.service)
	q.reservedRetries--
	q.countedRetries++
	q.longestRetryWait = max(q.longestRetryWait, now.Sub(q.retryReservedAt))
}

// returnRetries returns the reserved sends of a request that has ended.
func (q *request) returnRetries() {
	if q.reservedRetries > 0 {
		q.e.state.returnRetries(q.service, q.reservedRetries)
	}
	q.reservedRetries = 0
}

// retryReportInterval is the time between two reports on retry limits.
const retryReportInterval = time.Second

// retryReporter reports how retry limits are used, in log lines and metrics. It is not safe for concurrent use.
type retryReporter struct {
	scope    tally.Scope
	reported boottime.Time // when it last reported
}

// report writes a line for each service of which retries arrived, were returned or were denied, at most once per
// retryReportInterval.
func (r *retryReporter) report(now boottime.Time, s *state) {
	if now.Sub(r.reported) < retryReportInterval {
		return
	}
	r.reported = now
	for _, p := range s.retryReports(now) {
		scope := r.scope.Tagged(map[string]string{"service": p.service})
		scope.Counter("retries_counted").Inc(int64(p.arrived))
		scope.Counter("retries_returned").Inc(int64(p.returned))
		scope.Counter("retries_denied").Inc(int64(p.denied))
		scope.Gauge("retries_in_window").Update(float64(p.usage.Repeats + p.usage.Reserved))
		scope.Gauge("retry_limit").Update(p.usage.Limit)
		logline.Info("retry limit", "service", p.service, "counted", p.arrived, "returned", p.returned, "denied", p.denied,
			"in_window", p.usage.Repeats, "reserved", p.usage.Reserved, "requests", p.usage.Requests, "limit", p.usage.Limit)
	}
}
