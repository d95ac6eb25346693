package residency

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/modelrunner"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// Lease is a request's lease of a model, and of an adapter if it names one.
type Lease struct {
	// ID is the request's ID.
	ID      string
	Model   string
	Adapter string
	// Route is the route's name. Slots are shared among routes by fair queueing.
	Route string
	// Priority ranks routes; 0 is the highest priority.
	Priority int
	// Deadline is when the complete response is due. StartBy is the latest start of
	// the request.
	Deadline time.Time
	StartBy  time.Time
	// TargetLatency is the target for the time to the first event.
	TargetLatency time.Duration
	// Tokens is the estimated cost of the prompt and the output. PromptTokens is
	// the part that needs prefill.
	Tokens       int64
	PromptTokens int64
	// Repeated indicates a retry: another runner's agent has already counted the
	// request as demand.
	Repeated bool
	// StartedAtMillis is the incarnation of the runner that the request is for; zero for
	// any.
	StartedAtMillis int64
}

// Action is an output of a Manager.
type Action interface{ action() }

// Grant permits a lease's request to start now.
type Grant struct{ ID string }

// Refuse rejects a lease, which is then removed.
type Refuse struct {
	ID         string
	Reason     wire.Reason
	RetryAfter time.Duration
}

// SendOrder sends an order to the runner. OrderResponseReceived must follow.
type SendOrder struct{ Order modelrunner.Order }

// OrderCompleted reports that an order for a model was executed or has failed.
type OrderCompleted struct {
	Order modelrunner.Order
	// Tier is the source of the weights of a load.
	Tier wire.CacheTier
	Took time.Duration
	// Succeeded indicates that the runner holds the model after a load, or doesn't
	// after an unload.
	Succeeded bool
}

func (Grant) action()          {}
func (Refuse) action()         {}
func (SendOrder) action()      {}
func (OrderCompleted) action() {}
