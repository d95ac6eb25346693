package runneragent

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"teaselgauge.example/teaselgauge/pkg/modelrunner"
)

// worker calls the runner, one call after the other, so that reports and answers
// come in the order in which they were given.
type worker struct {
	runner     modelrunner.Runner
	controller *controller
	logger     *slog.Logger
	// orders holds the one order that may be waiting.
	orders chan modelrunner.Order
	// interval is the time between two reports; hurried holds a token after it was
	// shortened.
	interval atomic.Int64
	hurried  chan struct{}
	// down tells that the runner did not answer lately.
	down bool
}

func newWorker(runner modelrunner.Runner, c *controller, logger *slog.Logger) *worker {
	w := &worker{
		runner:     runner,
		controller: c,
		logger:     logger,
		orders:     make(chan modelrunner.Order, 1),
		hurried:    make(chan struct{}, 1),
	}
	w.interval.Store(int64(time.Millisecond))
	return w
}

// give hands over an order. The manager gives the next one after the answer.
func (w *worker) give(order modelrunner.Order) { w.orders <- order }

// poll sets the time between two reports.
func (w *worker) poll(interval time.Duration) {
	before := time.Duration(w.interval.Swap(int64(interval)))
	if interval >= before {
		return
	}
	select {
	case w.hurried <- struct{}{}:
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
			w.order(ctx, order)
			last = time.Now()
		case <-w.hurried:
			timer.Stop()
		case <-timer.C:
			w.report(ctx)
			last = time.Now()
		}
	}
}

func (w *worker) report(ctx context.Context) {
	report, err := w.runner.Report(ctx)
	w.controller.metrics.Report(err)
	w.noteDown(err)
	w.controller.loop.Do(func() {
		if err != nil {
			w.controller.unreported(time.Now())
			return
		}
		w.controller.reported(time.Now(), report)
	})
}

// noteDown logs when the runner stops and begins to answer.
func (w *worker) noteDown(err error) {
	switch {
	case err != nil && !w.down:
		w.logger.Warn("runner lost", "belief", "runner", "error", err)
	case err == nil && w.down:
		w.logger.Info("runner back", "belief", "runner")
	}
	w.down = err != nil
}

func (w *worker) order(ctx context.Context, order modelrunner.Order) {
	started := time.Now()
	result, err := w.runner.Order(ctx, order)
	took := time.Since(started)
	w.controller.metrics.Order(order.Operation.String(), result.String(), took)
	w.logger.Info("order", "operation", order.Operation.String(), "model", order.Model, "adapter", order.Adapter,
		"expected", order.Expected, "result", result.String(), "fence", order.Fence, "took_ms", took.Milliseconds(), "error", err)
	var after *modelrunner.Report
	if report, err := w.runner.Report(ctx); err == nil {
		after = &report
	}
	w.controller.loop.Do(func() { w.controller.answered(time.Now(), result, after) })
}
