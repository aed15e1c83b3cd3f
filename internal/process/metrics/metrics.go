package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
)

// reportInterval is how often tally reports its values to Prometheus.
const reportInterval = time.Second

// LatencyBuckets holds the bucket bounds of latency histograms, in seconds.
var LatencyBuckets = tally.ValueBuckets{
	0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.8, 2.5, 5, 10, 30, 60, 120,
}

// sanitizer restricts the names of metrics and labels to the characters that Prometheus
// allows. Label values may also contain the characters that occur in the names of
// instances, zones and routes, so that these names appear unchanged.
var sanitizer = tally.SanitizeOptions{
	NameCharacters:       prometheus.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:        prometheus.DefaultSanitizerOpts.KeyCharacters,
	ReplacementCharacter: prometheus.DefaultSanitizerOpts.ReplacementCharacter,
	ValueCharacters: tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: []rune{'_', '-', '.', '/'},
	},
}

// Exporter exports the metrics of a root scope as Prometheus text. Each Exporter has
// its own Prometheus registry, so that several daemons can run in one process.
type Exporter struct {
	scope  tally.Scope
	closer io.Closer
	http   http.Handler
}

// New returns an exporter and starts the goroutine that reports to Prometheus, which Close
// stops. The name of each metric begins with prefix, and each metric has the given tags as
// labels.
func New(prefix string, tags map[string]string) *Exporter {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry,
		Gatherer:   registry,
		OnRegisterError: func(err error) {
			logline.Error(err, "metric not registered")
		},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          prefix,
		Tags:            tags,
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &sanitizer,
		// Tally's metrics about itself would double the size of the text and are not used.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Exporter{
		scope:  scope,
		closer: closer,
		http:   promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}
}

// Scope returns the root scope, in which a daemon creates its metrics.
func (e *Exporter) Scope() tally.Scope { return e.scope }

// Handler returns a handler that serves the metrics as Prometheus text.
func (e *Exporter) Handler() http.Handler { return e.http }

// Close reports the last values and stops the reporting goroutine.
func (e *Exporter) Close() error {
	return errors.Wrap(e.closer.Close(), "close metrics")
}
