package admission

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// DefaultMaxQueuedPlan bounds a plan's waiting requests if its item names no
	// bound.
	DefaultMaxQueuedPlan = 64
	// MaxPriority is the highest priority; higher ones count as it.
	MaxPriority = 15

	// replyMargin is kept free before a deadline for the final answer to travel.
	replyMargin = 10 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the advice to come back.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
	// expiryServiceShare is the share of the expected service time that must
	// remain before the deadline of a waiting request.
	expiryServiceShare = 0.5
)

// Target is what a request needs loaded. For a plain service, Model is the
// service's name and Version is empty.
type Target struct {
	Model   string
	Version string
}

// Item is one request.
type Item struct {
	// ID is unique among the waiting and running requests.
	ID   string
	Plan string
	// Weight is the plan's share, at least 1.
	Weight int
	// Priority is from 0 to MaxPriority.
	Priority int
	// Deadline is when the whole answer is due; the zero time means none.
	Deadline time.Time
	// StartBy is when the item must have started, for example because its caller
	// leaves without a first byte by then; the zero time means no bound but the
	// deadline.
	StartBy time.Time
	// Tokens is the estimated work. Less than 1 counts as 1.
	Tokens int64
	Target Target
	// MaxQueuedPlan bounds the plan's waiting requests. Zero means
	// DefaultMaxQueuedPlan.
	MaxQueuedPlan int
	// TokensPerSecond bounds the plan's rate. Zero means no bound.
	TokensPerSecond int
}

// cost is the charge of an item in tokens.
func (i Item) cost() int64 {
	return max(i.Tokens, 1)
}

// Limits bounds a Queue.
type Limits struct {
	// MaxQueued bounds the waiting requests of all plans together.
	MaxQueued int
	// Slots is how many requests run at once, at least 1.
	Slots int
}

// Estimate is what the caller of Offer knows of the request's target.
type Estimate struct {
	// ReadyIn is the expected time until the target is loaded; zero if it is.
	ReadyIn time.Duration
}

// Refusal is the answer to a request that isn't queued. The work did not run.
type Refusal struct {
	Reason     wire.Reason
	RetryAfter time.Duration
}

func clampRetry(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}
