package entry

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/request/retry"
)

// retryLimit is the retry limit of a service, with what the next report of its use says.
type retryLimit struct {
	window  *retry.Window
	counted int // retries counted since the last report
	denied  int // retries not allowed since the last report
}

// retryReport says how the retry limit of a service was used since the last report.
type retryReport struct {
	service string
	counted int
	denied  int
	usage   retry.WindowUsage
}

// retryReportInterval is the time between two reports on retry limits.
const retryReportInterval = time.Second

// retryReporter reports how retry limits are used, in log lines and metrics. It is not safe for concurrent use.
type retryReporter struct {
	scope    tally.Scope
	reported boottime.Time // when it last reported
}

// report writes a line for each service of which retries were counted or denied, at most once per
// retryReportInterval.
func (r *retryReporter) report(now boottime.Time, s *state) {
	if now.Sub(r.reported) < retryReportInterval {
		return
	}
	r.reported = now
	for _, p := range s.retryReports(now) {
		scope := r.scope.Tagged(map[string]string{"service": p.service})
		scope.Counter("retries_counted").Inc(int64(p.counted))
		scope.Counter("retries_denied").Inc(int64(p.denied))
		scope.Gauge("retries_in_window").Update(float64(p.usage.Repeats))
		scope.Gauge("retry_limit").Update(p.usage.Limit)
		logline.Info("retry limit", "service", p.service, "counted", p.counted, "denied", p.denied,
			"in_window", p.usage.Repeats, "requests", p.usage.Requests, "limit", p.usage.Limit)
	}
}
