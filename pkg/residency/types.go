package residency

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/modelrunner"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// Lease is a request that wants to use a model, and an adapter if it names one.
type Lease struct {
	// ID is the request's ID.
	ID      string
	Model   string
	Adapter string
	// Route is the route's name. Routes get slots by fair queueing.
	Route string
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// Deadline is when the whole answer is due, StartBy when the request must
	// have started.
	Deadline time.Time
	StartBy  time.Time
	// TargetLatency is the time to the first event that is on time.
	TargetLatency time.Duration
	// Tokens is the estimated work, PromptTokens the part that is read first.
	Tokens       int64
	PromptTokens int64
	// Repeated tells that another runner has been asked before, whose agent counted
	// the request as demand.
	Repeated bool
}

// Action is what a Manager wants done.
type Action interface{ action() }

// Grant tells that a use may start now.
type Grant struct{ ID string }

// Refuse tells that a use is not granted; it is forgotten.
type Refuse struct {
	ID         string
	Reason     wire.Reason
	RetryAfter time.Duration
}

// SendOrder demands an order. Answered must follow.
type SendOrder struct{ Order modelrunner.Order }

// OrderCompleted tells that an order for a model has been carried out, or has failed.
type OrderCompleted struct {
	Order modelrunner.Order
	// Tier is where a load's weights came from.
	Tier wire.CacheTier
	Took time.Duration
	// Succeeded tells that the runner holds the model after a load, and doesn't after
	// an unload.
	Succeeded bool
}

func (Grant) action()          {}
func (Refuse) action()         {}
func (SendOrder) action()      {}
func (OrderCompleted) action() {}
