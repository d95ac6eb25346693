package admission

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// DefaultMaxQueuedPlan limits a plan's waiting requests if its item sets no
	// limit.
	DefaultMaxQueuedPlan = 64
	// MaxPriority is the highest priority; higher values are clamped to it.
	MaxPriority = 15

	// responseMargin is reserved before a deadline for the transfer of the response.
	responseMargin = 10 * time.Millisecond
	// minRetryAfter and maxRetryAfter limit the advised retry-after time.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
	// minServiceShare is the share of the expected service time that must remain
	// before the deadline of a waiting request.
	minServiceShare = 0.5
)

// Target is the model that a request needs loaded. For a plain service, Model is the
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
	// Weight is the plan's relative share, at least 1.
	Weight int
	// Priority is from 0 to MaxPriority.
	Priority int
	// Deadline is when the complete response is due; the zero time means none.
	Deadline time.Time
	// StartBy is the latest time at which the item may start, for example because its
	// caller disconnects if no first byte arrives by then; the zero time means that
	// only Deadline applies.
	StartBy time.Time
	// Tokens is the estimated work. Values below 1 count as 1.
	Tokens int64
	Target Target
	// MaxQueuedPlan limits the plan's waiting requests. Zero means
	// DefaultMaxQueuedPlan.
	MaxQueuedPlan int
	// TokensPerSecond limits the plan's rate. Zero means no limit.
	TokensPerSecond int
}

// cost is the charge of an item in tokens.
func (i Item) cost() int64 {
	return max(i.Tokens, 1)
}

// Limits are the limits of a Queue.
type Limits struct {
	// MaxQueued limits the waiting requests of all plans together.
	MaxQueued int
	// Slots is the number of concurrently running requests, at least 1.
	Slots int
}

// Estimate is what the caller of Offer knows about the request's target.
type Estimate struct {
	// ReadyIn is the expected time until the target is loaded; zero if it is.
	ReadyIn time.Duration
}

// Refusal is the result for a request that isn't queued. The request did not run.
type Refusal struct {
	Reason     wire.Reason
	RetryAfter time.Duration
}

func clampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}
