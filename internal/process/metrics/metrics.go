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

// reportInterval is how often tally hands its figures to the exporter.
const reportInterval = time.Second

// LatencyBuckets are the bounds, in seconds, of the histograms of latency.
var LatencyBuckets = tally.ValueBuckets{
	0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.8, 2.5, 5, 10, 30, 60, 120,
}

// sanitizer keeps names within what Prometheus allows. Values of labels may hold
// what names of instances, zones and routes hold, so that they stay recognizable.
var sanitizer = tally.SanitizeOptions{
	NameCharacters:       prometheus.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:        prometheus.DefaultSanitizerOpts.KeyCharacters,
	ReplacementCharacter: prometheus.DefaultSanitizerOpts.ReplacementCharacter,
	ValueCharacters: tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: []rune{'_', '-', '.', '/'},
	},
}

// Exporter owns a root scope and its Prometheus text form. It holds its own
// Prometheus registry, so that several daemons can live in one process.
type Exporter struct {
	scope  tally.Scope
	closer io.Closer
	http   http.Handler
}

// New makes an exporter. Every metric name starts with prefix and carries tags.
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
		// Tally's metrics about itself would double the text for no use.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Exporter{
		scope:  scope,
		closer: closer,
		http:   promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}
}

// Scope gives the root scope.
func (e *Exporter) Scope() tally.Scope { return e.scope }

// Handler serves the metrics as Prometheus text.
func (e *Exporter) Handler() http.Handler { return e.http }

// Close hands over the last figures and ends the reporting goroutine.
func (e *Exporter) Close() error {
	return errors.Wrap(e.closer.Close(), "close metrics")
}
