// Package metrics defines the metrics of all processes. Counters, gauges and timers
// are those of tally; a reporter exposes them in the Prometheus text format.
// docs/METRICS.md lists their names and units.
package metrics

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

const (
	prefix    = "teaselgauge"
	separator = "_"
	// reportInterval is the interval at which counters are flushed to the reporter.
	reportInterval = time.Second
)

// durationBuckets holds the upper bounds of the histogram buckets of timers, in
// seconds.
var durationBuckets = []float64{
	0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 1.2, 2, 5, 10, 20, 50, 100, 200, 500,
}

// Registry holds a process's metrics.
type Registry struct {
	scope    tally.Scope
	closer   io.Closer
	reporter tallyprom.Reporter
}

// NewRegistry returns a Registry. Its goroutine runs until Close.
func NewRegistry() *Registry {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer:              registry,
		DefaultTimerType:        tallyprom.HistogramTimerType,
		DefaultHistogramBuckets: durationBuckets,
		OnRegisterError:         func(error) {},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		Separator:              separator,
		CachedReporter:         reporter,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Registry{scope: scope, closer: closer, reporter: reporter}
}

// Scope returns the root scope of the process's metrics.
func (r *Registry) Scope() tally.Scope { return r.scope }

// Handler serves the metrics in the Prometheus text format.
func (r *Registry) Handler() http.Handler { return r.reporter.HTTPHandler() }

// Close flushes the metrics and stops the registry's goroutine.
func (r *Registry) Close() error {
	if err := r.closer.Close(); err != nil {
		return fmt.Errorf("metrics: close: %w", err)
	}
	return nil
}

// Discard returns a scope that discards all metrics.
func Discard() tally.Scope { return tally.NoopScope }
