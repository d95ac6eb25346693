package metrics

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// Entry holds an entry's metrics. Its methods are safe for concurrent use.
type Entry struct {
	control
	requests     *vector[tally.Counter]
	requestTimes *vector[tally.Timer]
	firstBytes   *vector[tally.Timer]
	attempts     *vector[tally.Counter]
	retries      *vector[tally.Counter]
	permits      *vector[tally.Counter]
	decisions    tally.Timer
	inFlight     tally.Gauge
	members      tally.Gauge
	connections  tally.Gauge
}

// NewEntry registers an entry's metrics in scope.
func NewEntry(scope tally.Scope) *Entry {
	entry := scope.SubScope("entry")
	return &Entry{
		control:      newControl(entry),
		requests:     newCounters(entry, "requests_total", "kind", "outcome", "reason"),
		requestTimes: newTimers(entry, "request_seconds", "kind"),
		firstBytes:   newTimers(entry, "first_byte_seconds", "kind"),
		attempts:     newCounters(entry, "attempts_total", "result"),
		retries:      newCounters(entry, "retries_total", "reason"),
		permits:      newCounters(entry, "permit_changes_total", "change"),
		decisions:    entry.Timer("decision_seconds"),
		inFlight:     entry.Gauge("requests_in_flight"),
		members:      entry.Gauge("members"),
		connections:  entry.Gauge("connections"),
	}
}

// RequestDone records a finished request. The reason is empty if it was completed.
func (e *Entry) RequestDone(kind Kind, outcome, reason string, took time.Duration) {
	e.requests.with(labels{string(kind), outcome, reason}).Inc(1)
	e.requestTimes.with(labels{string(kind)}).Record(took)
}

// FirstByte records the time from a request's arrival until its response starts.
func (e *Entry) FirstByte(kind Kind, took time.Duration) {
	e.firstBytes.with(labels{string(kind)}).Record(took)
}

// Attempt counts a request sent to an agent.
func (e *Entry) Attempt(result Result) { e.attempts.with(labels{string(result)}).Inc(1) }

// Retry counts a retry by its reason.
func (e *Entry) Retry(reason string) { e.retries.with(labels{reason}).Inc(1) }

// PermitChange counts a change of a permit: grant, revoke or remove.
func (e *Entry) PermitChange(change string) { e.permits.with(labels{change}).Inc(1) }

// Decision records the CPU time of one placement decision.
func (e *Entry) Decision(took time.Duration) { e.decisions.Record(took) }

// InFlight sets the number of requests in flight.
func (e *Entry) InFlight(n int) { e.inFlight.Update(float64(n)) }

// Members sets the number of known agents.
func (e *Entry) Members(n int) { e.members.Update(float64(n)) }

// Connections sets the number of open connections of the internal protocol.
func (e *Entry) Connections(n int) { e.connections.Update(float64(n)) }
