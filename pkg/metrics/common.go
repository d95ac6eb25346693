package metrics

import (
	"time"

	"github.com/uber-go/tally/v4"

	"teaselgauge.example/teaselgauge/pkg/keyvalue"
)

// Kind tells requests for models from calls of plain services.
type Kind string

// The kinds of requests.
const (
	KindModel   Kind = "model"
	KindService Kind = "service"
)

// OutcomeCompleted is the outcome of a request that got its whole answer; others
// are those of wire.Outcome.
const OutcomeCompleted = "answered"

// Result is the result of a call.
type Result string

// The results of calls.
const (
	ResultOK        Result = "ok"
	ResultError     Result = "error"
	ResultUncertain Result = "uncertain"
	ResultConflict  Result = "conflict"
)

// control counts what both processes do to keep in step.
type control struct {
	keyValueCalls *vector[tally.Counter]
	keyValueTimes *vector[tally.Timer]
	syncs         *vector[tally.Counter]
	syncBytes     tally.Counter
	listsRevision tally.Gauge
}

func newControl(scope tally.Scope) control {
	return control{
		keyValueCalls: newCounters(scope, "key_value_calls_total", "operation", "result"),
		keyValueTimes: newTimers(scope, "key_value_call_seconds", "operation"),
		syncs:         newCounters(scope, "syncs_total", "result"),
		syncBytes:     scope.Counter("sync_bytes_total"),
		listsRevision: scope.Gauge("lists_revision"),
	}
}

// KeyValueCall counts a call of the key-value service; operation is range, txn,
// watch or lease.
func (c *control) KeyValueCall(operation string, result Result, took time.Duration) {
	c.keyValueCalls.with(labels{operation, string(result)}).Inc(1)
	c.keyValueTimes.with(labels{operation}).Record(took)
}

// ObserveKeyValue is a keyvalue.Observer that counts calls.
func (c *control) ObserveKeyValue(op keyvalue.Operation, took time.Duration, err error) {
	c.KeyValueCall(string(op), ResultOf(err), took)
}

// ResultOf is the result of a call with an error.
func ResultOf(err error) Result {
	switch {
	case keyvalue.IsUncertain(err):
		return ResultUncertain
	case err != nil:
		return ResultError
	default:
		return ResultOK
	}
}

// Sync counts an exchange of lists and placements with another process.
func (c *control) Sync(result Result, bytes int) {
	c.syncs.with(labels{string(result)}).Inc(1)
	c.syncBytes.Inc(int64(bytes))
}

// ListsRevision shows the revision of the lists in force.
func (c *control) ListsRevision(revision int64) { c.listsRevision.Update(float64(revision)) }
