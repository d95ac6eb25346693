// Package modelrunner describes a model runner of an operator's platform as its
// agent uses it: the state that it reports and the orders that it accepts.
package modelrunner

import (
	"context"
	"errors"
	"time"

	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/ratelimit"
)

// ErrNotRunning means that no process accepts connections at the runner's address.
var ErrNotRunning = errors.New("runner isn't running")

// LoadedModel is a model in a runner's memory.
type LoadedModel struct {
	Name    string
	Version int
	// Adapters are loaded, LoadingAdapters are being loaded from the weight store.
	Adapters        []string
	LoadingAdapters []string
}

// Report is the state that a runner reports.
type Report struct {
	State fleet.BackendState
	// TerminatesIn is the remaining time of a runner that is terminated at short
	// notice; zero if there is no notice.
	TerminatesIn time.Duration
	// Busy is set while an order for a model is being carried out.
	Busy bool
	// Sequence counts the orders that this incarnation has accepted.
	Sequence int64
	// StartedAtMillis is the Unix time of the runner's start in milliseconds.
	StartedAtMillis int64
	Models          []LoadedModel
	// InMemory and OnDisk are the models whose weights are cached on the host.
	InMemory []string
	OnDisk   []string
	Running  int
	Waiting  int
	// KVUsed is the number of KV cache tokens that can't be evicted, KVTotal the
	// capacity in tokens.
	KVUsed  int
	KVTotal int
	// Limit is the rate limit that the runner names, InvalidLimit its value if it
	// can't be read.
	Limit        ratelimit.Limit
	InvalidLimit string
}

// Operation is the operation of an order.
type Operation uint8

// The kinds of operations.
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

// Order is an order to load or unload a model, or an adapter of it.
type Order struct {
	Operation Operation
	Model     string
	Adapter   string
	// Expected is the runner's sequence at which the order is valid. The runner
	// rejects a delayed duplicate of the order, which has an outdated sequence.
	Expected int64
	// Instance is the ID of the runner that the order is for.
	Instance string
	Holder   string
	// Fence is the fencing token of the agent's incarnation.
	Fence int64
}

// Result is a runner's response to an order.
type Result uint8

// The results of an order.
const (
	// Accepted: the order is being carried out.
	Accepted Result = iota
	// AlreadyHolds: the requested state exists already, or was reached immediately.
	AlreadyHolds
	// Conflict: another order is in progress, or the sequence differs.
	Conflict
	// StaleFence: the runner has seen a higher fencing token.
	StaleFence
	// OtherInstance: another runner now has the address.
	OtherInstance
	// Invalid: the runner doesn't accept the form of the order.
	Invalid
	// Unanswered: it is unknown whether the order was accepted or still will be.
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

// Runner is the model runner of an agent.
type Runner interface {
	Report(ctx context.Context) (Report, error)
	// Order sends an order. If there is no usable response, the error states why
	// and the result is Unanswered.
	Order(ctx context.Context, order Order) (Result, error)
}
