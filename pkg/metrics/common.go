package metrics

import (
	"time"

	"github.com/uber-go/tally/v4"

	"teaselgauge.example/teaselgauge/pkg/keyvalue"
)

// Kind distinguishes requests for models from calls of services.
type Kind string

// Kinds of requests.
const (
	KindModel   Kind = "model"
	KindService Kind = "service"
)

// OutcomeCompleted is the outcome of a request with a complete response. The other
// outcomes are those of wire.Outcome.
const OutcomeCompleted = "answered"

// Result is the result of a call.
type Result string

// Results of calls.
const (
	ResultOK        Result = "ok"
	ResultError     Result = "error"
	ResultUncertain Result = "uncertain"
	ResultConflict  Result = "conflict"
)

// control holds the metrics of the control plane, which entries and agents share.
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

// KeyValueCall records a call to the key-value service. The operation is range, txn,
// watch or lease.
func (c *control) KeyValueCall(operation string, result Result, took time.Duration) {
	c.keyValueCalls.with(labels{operation, string(result)}).Inc(1)
	c.keyValueTimes.with(labels{operation}).Record(took)
}

// ObserveKeyValue is a keyvalue.Observer that records calls.
func (c *control) ObserveKeyValue(op keyvalue.Operation, took time.Duration, err error) {
	c.KeyValueCall(string(op), ResultOf(err), took)
}

// ResultOf returns the result that corresponds to an error.
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

// Sync records an exchange of lists and placements with another process.
func (c *control) Sync(result Result, bytes int) {
	c.syncs.with(labels{string(result)}).Inc(1)
	c.syncBytes.Inc(int64(bytes))
}

// ListsRevision sets the revision of the active lists.
func (c *control) ListsRevision(revision int64) { c.listsRevision.Update(float64(revision)) }
