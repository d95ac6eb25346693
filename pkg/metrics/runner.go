package metrics

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// Runner holds the metrics of an agent next to a model runner of an external
// platform. Its methods are safe for concurrent use.
type Runner struct {
	storeCalls
	viewGauges
	leases     *vector[tally.Counter]
	leaseWaits *vector[tally.Timer]
	orders     *vector[tally.Counter]
	orderTimes *vector[tally.Timer]
	loads      *vector[tally.Counter]
	loadTimes  *vector[tally.Timer]
	reports    *vector[tally.Counter]
	waiting    tally.Gauge
	running    tally.Gauge
	gateways   tally.Gauge
	blocks     *vector[tally.Counter]
	handovers  tally.Counter
	origins    tally.Gauge
	dropped    tally.Counter
}

// NewRunner registers an agent's metrics in scope.
func NewRunner(scope tally.Scope) *Runner {
	runner := scope.SubScope("runner")
	return &Runner{
		storeCalls: newStoreCalls(runner),
		viewGauges: newViewGauges(runner),
		leases:     newCounters(runner, "uses_total", "outcome"),
		leaseWaits: newTimers(runner, "use_wait_seconds", "outcome"),
		orders:     newCounters(runner, "orders_total", "operation", "result"),
		orderTimes: newTimers(runner, "order_seconds", "operation"),
		loads:      newCounters(runner, "loads_total", "source", "result"),
		loadTimes:  newTimers(runner, "load_seconds", "source"),
		reports:    newCounters(runner, "reports_total", "result"),
		waiting:    runner.Gauge("uses_waiting"),
		running:    runner.Gauge("uses_running"),
		gateways:   runner.Gauge("gateways"),
		blocks:     newCounters(runner, "block_changes_total", "change"),
		handovers:  runner.Counter("evidence_handovers_total"),
		origins:    runner.Gauge("stream_origins"),
		dropped:    runner.Counter("dropped_stream_origins_total"),
	}
}

// ObserveLease records a lease request for a model and its wait. The outcome is
// granted or the reason of a refusal.
func (r *Runner) ObserveLease(outcome string, waited time.Duration) {
	r.leases.with(labels{outcome}).Inc(1)
	r.leaseWaits.with(labels{outcome}).Record(waited)
}

// Order records an order to the model runner.
func (r *Runner) Order(operation, result string, took time.Duration) {
	r.orders.with(labels{operation, result}).Inc(1)
	r.orderTimes.with(labels{operation}).Record(took)
}

// Load records a finished load. The source is the place from which the weights came.
func (r *Runner) Load(source string, result Result, took time.Duration) {
	r.loads.with(labels{source, string(result)}).Inc(1)
	r.loadTimes.with(labels{source}).Record(took)
}

// Report counts a request for the model runner's report.
func (r *Runner) Report(err error) { r.reports.with(labels{string(ResultOf(err))}).Inc(1) }

// State sets the number of waiting and active leases and of subscribed gateways.
func (r *Runner) State(waiting, running, gateways int) {
	r.waiting.Update(float64(waiting))
	r.running.Update(float64(running))
	r.gateways.Update(float64(gateways))
}

// BlockChange counts a change of a block on requests that crash servers.
func (r *Runner) BlockChange(change string) { r.blocks.with(labels{change}).Inc(1) }

// EvidenceHandover counts a gateway's handover of what it knows of crashes.
func (r *Runner) EvidenceHandover() { r.handovers.Inc(1) }

// Origins sets the number of streams whose origin is kept for callers that resume them.
func (r *Runner) Origins(count int) { r.origins.Update(float64(count)) }

// OriginDropped counts an origin of a stream that was dropped, as there were too many.
func (r *Runner) OriginDropped() { r.dropped.Inc(1) }
