package runneragent

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"teaselgauge.example/teaselgauge/pkg/modelrunner"
)

// worker calls the runner, one call at a time, so that reports and results arrive
// in the order of the calls.
type worker struct {
	runner     modelrunner.Runner
	controller *controller
	logger     *slog.Logger
	// orders holds the one order that may be pending.
	orders chan modelrunner.Order
	// interval is the time between two reports; intervalShortened receives a
	// token when it was shortened.
	interval          atomic.Int64
	intervalShortened chan struct{}
	// down is set while the runner does not respond.
	down bool
}

func newWorker(runner modelrunner.Runner, c *controller, logger *slog.Logger) *worker {
	w := &worker{
		runner:            runner,
		controller:        c,
		logger:            logger,
		orders:            make(chan modelrunner.Order, 1),
		intervalShortened: make(chan struct{}, 1),
	}
	w.interval.Store(int64(time.Millisecond))
	return w
}

// enqueue hands over an order. The manager sends the next one after the result.
func (w *worker) enqueue(order modelrunner.Order) { w.orders <- order }

// setPollInterval sets the time between two reports.
func (w *worker) setPollInterval(interval time.Duration) {
	previous := time.Duration(w.interval.Swap(int64(interval)))
	if interval >= previous {
		return
	}
	select {
	case w.intervalShortened <- struct{}{}:
	default:
	}
}

// run calls the runner until ctx ends.
func (w *worker) run(ctx context.Context) {
	last := time.Time{}
	for {
		timer := time.NewTimer(time.Until(last.Add(time.Duration(w.interval.Load()))))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case order := <-w.orders:
			timer.Stop()
			w.execute(ctx, order)
			last = time.Now()
		case <-w.intervalShortened:
			timer.Stop()
		case <-timer.C:
			w.report(ctx)
			last = time.Now()
		}
	}
}

func (w *worker) report(ctx context.Context) {
	requestedAt := time.Now()
	report, err := w.runner.Report(ctx)
	w.controller.metrics.Report(err)
	w.logAvailability(err)
	w.controller.loop.Do(func() {
		if err != nil {
			w.controller.reportFailed(time.Now(), errors.Is(err, modelrunner.ErrNotRunning))
			return
		}
		w.controller.reportReceived(time.Now(), requestedAt, report)
	})
}

// logAvailability logs when the runner stops responding and when it recovers.
func (w *worker) logAvailability(err error) {
	switch {
	case err != nil && !w.down:
		w.logger.Warn("runner not responding", "belief", "runner", "error", err)
	case err == nil && w.down:
		w.logger.Info("runner responding again", "belief", "runner")
	}
	w.down = err != nil
}

func (w *worker) execute(ctx context.Context, order modelrunner.Order) {
	started := time.Now()
	result, err := w.runner.Order(ctx, order)
	took := time.Since(started)
	w.controller.metrics.Order(order.Operation.String(), result.String(), took)
	w.logger.Info("order call to the runner finished", "operation", order.Operation.String(), "model", order.Model, "adapter", order.Adapter,
		"expected", order.Expected, "result", result.String(), "fence", order.Fence, "took_ms", took.Milliseconds(), "error", err)
	var after *modelrunner.Report
	report, err := w.runner.Report(ctx)
	if err == nil {
		after = &report
	}
	w.controller.loop.Do(func() {
		if errors.Is(err, modelrunner.ErrNotRunning) {
			w.controller.reportFailed(time.Now(), true)
		}
		w.controller.orderResponseReceived(time.Now(), result, after)
	})
}
