// Package modelrunner describes a model runner of an operator's platform as the
// agent beside it sees it: what it reports of itself and the orders it takes.
package modelrunner

import (
	"context"
	"time"

	"teaselgauge.example/teaselgauge/pkg/fleet"
)

// LoadedModel is a model that a runner holds.
type LoadedModel struct {
	Name    string
	Version int
	// Adapters are loaded, Coming are on their way from the weight store.
	Adapters        []string
	LoadingAdapters []string
}

// Report is a runner's own account of itself.
type Report struct {
	State fleet.BackendState
	// TerminatesIn is how long a runner that is taken away at short notice has left;
	// zero if it told none.
	TerminatesIn time.Duration
	// Busy tells that an order for a model is being carried out.
	Busy bool
	// Sequence counts the orders that this incarnation has accepted.
	Sequence int64
	// StartedAtMillis is the Unix time of the runner's start in milliseconds.
	StartedAtMillis int64
	Models          []LoadedModel
	// InMemory and OnDisk are the models whose weights the host keeps.
	InMemory []string
	OnDisk   []string
	Running  int
	Waiting  int
	// KVUsed and KVTotal are tokens of memory that can't yield, and all.
	KVUsed  int
	KVTotal int
}

// Operation is what an order demands.
type Operation uint8

// The operations.
const (
	Load Operation = iota
	Unload
)

// String returns the operation's name in logs and metrics.
func (o Operation) String() string {
	if o == Unload {
		return "unload"
	}
	return "load"
}

// Order demands that a model, or an adapter of it, is loaded or unloaded.
type Order struct {
	Operation Operation
	Model     string
	Adapter   string
	// Expected is the runner's sequence at which the order may be carried out. A
	// copy of the order that arrives later is refused by it.
	Expected int64
	// Instance is the ID of the runner that is meant.
	Instance string
	Holder   string
	// Fence is the fencing token of the ordering agent's incarnation.
	Fence int64
}

// Result is a runner's answer to an order.
type Result uint8

// The results.
const (
	// Accepted: the order is being carried out.
	Accepted Result = iota
	// AlreadyHolds: what the order demands is so, or was done at once.
	AlreadyHolds
	// Conflict: another order is under way, or the sequence differs.
	Conflict
	// StaleFence: the runner has seen a higher fencing token.
	StaleFence
	// OtherInstance: another runner has the address now.
	OtherInstance
	// Invalid: the runner doesn't understand the order.
	Invalid
	// Unanswered: nobody knows whether the order was accepted, or will be.
	Unanswered
)

// String returns the result's name in logs and metrics.
func (r Result) String() string {
	switch r {
	case Accepted:
		return "accepted"
	case AlreadyHolds:
		return "already-holds"
	case Conflict:
		return "conflict"
	case StaleFence:
		return "stale-fence"
	case OtherInstance:
		return "other-instance"
	case Invalid:
		return "invalid"
	default:
		return "unanswered"
	}
}

// Runner is the model runner beside an agent.
type Runner interface {
	Report(ctx context.Context) (Report, error)
	// Order gives an order. The error tells why there was no usable answer; the
	// result is then Unanswered.
	Order(ctx context.Context, order Order) (Result, error)
}
