package metrics

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// Agent holds an agent's metrics. Its methods are safe for concurrent use.
type Agent struct {
	control
	requests    *vector[tally.Counter]
	queueWaits  *vector[tally.Timer]
	loads       *vector[tally.Counter]
	loadTimes   *vector[tally.Timer]
	coldStarts  tally.Timer
	unloads     *vector[tally.Counter]
	idleMillis  tally.Counter
	pacingWaits tally.Timer
	queued      tally.Gauge
	running     tally.Gauge
	memoryMiB   tally.Gauge
	reservedMiB tally.Gauge
}

// NewAgent registers an agent's metrics in scope.
func NewAgent(scope tally.Scope) *Agent {
	agent := scope.SubScope("agent")
	return &Agent{
		control:     newControl(agent),
		requests:    newCounters(agent, "requests_total", "outcome", "reason"),
		queueWaits:  newTimers(agent, "queue_wait_seconds", "plan"),
		loads:       newCounters(agent, "loads_total", "kind", "result"),
		loadTimes:   newTimers(agent, "load_seconds", "kind"),
		coldStarts:  agent.Timer("cold_start_seconds"),
		unloads:     newCounters(agent, "unloads_total", "reason"),
		idleMillis:  agent.Counter("idle_accelerator_milliseconds_total"),
		pacingWaits: agent.Timer("load_pacing_wait_seconds"),
		queued:      agent.Gauge("requests_queued"),
		running:     agent.Gauge("requests_running"),
		memoryMiB:   agent.Gauge("accelerator_memory_mebibytes"),
		reservedMiB: agent.Gauge("accelerator_memory_reserved_mebibytes"),
	}
}

// RequestDone counts a finished request. The reason is empty if it was completed.
func (a *Agent) RequestDone(outcome, reason string) {
	a.requests.with(labels{outcome, reason}).Inc(1)
}

// QueueWait records the queueing time of a plan's request.
func (a *Agent) QueueWait(plan string, waited time.Duration) {
	a.queueWaits.with(labels{plan}).Record(waited)
}

// Load records a load. The kind is model or adapter.
func (a *Agent) Load(kind string, result Result, took time.Duration) {
	a.loads.with(labels{kind, string(result)}).Inc(1)
	a.loadTimes.with(labels{kind}).Record(took)
}

// ColdStart records the time from the arrival of a request whose model was not loaded
// until the request starts to run.
func (a *Agent) ColdStart(took time.Duration) { a.coldStarts.Record(took) }

// Unload counts an unload by its reason.
func (a *Agent) Unload(reason string) { a.unloads.with(labels{reason}).Inc(1) }

// IdleAccelerator adds the time in which a loaded model had no requests,
// multiplied by the fraction of the accelerator memory that the model occupies.
func (a *Agent) IdleAccelerator(idle time.Duration) { a.idleMillis.Inc(idle.Milliseconds()) }

// LoadPacingWait records how long a load waited for its load grant.
func (a *Agent) LoadPacingWait(waited time.Duration) { a.pacingWaits.Record(waited) }

// Requests sets the numbers of queued and running requests.
func (a *Agent) Requests(queued, running int) {
	a.queued.Update(float64(queued))
	a.running.Update(float64(running))
}

// Memory sets the total and the reserved accelerator memory, in mebibytes.
func (a *Agent) Memory(total, reserved int64) {
	a.memoryMiB.Update(float64(total))
	a.reservedMiB.Update(float64(reserved))
}
