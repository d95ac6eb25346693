// Package telemetry serves a process's metrics and state dump on one address.
package telemetry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"teaselgauge.example/teaselgauge/pkg/callerlimits"
	"teaselgauge.example/teaselgauge/pkg/logging"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/state"
)

const (
	// MetricsPath is the URL path of the metrics.
	MetricsPath = "/metrics"

	headerTimeout = 5 * time.Second
	idleTimeout   = time.Minute
	// maxLimitLogsPerSecond limits the log lines on callers that exceed a limit.
	maxLimitLogsPerSecond = 1
)

// Telemetry holds a process's metrics and state dump. Use New.
type Telemetry struct {
	metrics *metrics.Registry
	state   *state.Registry
	server  *http.Server
	wait    sync.WaitGroup
	// stopSweep ends the sweep of the listener.
	stopSweep context.CancelFunc
}

// New returns a Telemetry whose goroutine runs until Close.
func New(identity state.Identity) *Telemetry {
	return &Telemetry{metrics: metrics.NewRegistry(), state: state.NewRegistry(identity, nil)}
}

// Scope returns the root scope of the process's metrics.
func (t *Telemetry) Scope() tally.Scope { return t.metrics.Scope() }

// Register adds a component to the state dump; see state.Registry.
func (t *Telemetry) Register(name string, part func() any) { t.state.Register(name, part) }

// Listen serves the metrics and the state dump at an IP address and port until
// Close.
func (t *Telemetry) Listen(address string, logger *slog.Logger) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on metrics address: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+MetricsPath, t.metrics.Handler())
	mux.Handle("GET "+state.Path, t.state.Handler())
	sampler := logging.NewSampler(maxLimitLogsPerSecond)
	limited := callerlimits.NewInternalListener(listener, func(cause callerlimits.Cause) {
		if cause != callerlimits.Idle && sampler.Allow(time.Now()) {
			logger.Warn("caller of metrics exceeded a limit", "cause", string(cause))
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.stopSweep = cancel
	t.wait.Go(func() { limited.Sweep(ctx) })
	t.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnState: limited.StateChanged}
	t.wait.Go(func() {
		if err := t.server.Serve(limited); !errors.Is(err, http.ErrServerClosed) {
			logger.Error("HTTP server failed", "address", address, "error", err)
		}
	})
	return nil
}

// Close stops the server, closes its connections and stops the metrics.
func (t *Telemetry) Close() {
	if t.server != nil {
		_ = t.server.Close()
		t.stopSweep()
	}
	t.wait.Wait()
	// Close flushes the metrics once more; an error does not matter any more.
	_ = t.metrics.Close()
}

// RunPeriodically calls fn at an interval until ctx ends.
func RunPeriodically(ctx context.Context, interval time.Duration, fn func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			fn(now)
		}
	}
}
