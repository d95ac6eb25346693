// Package routing chooses, at an entry, the agent for each request and decides how
// to continue when an attempt fails.
//
// A Table is an immutable snapshot of placements and members. It is replaced as a
// whole, and any number of requests can read it concurrently. Every entry prefers a
// model's permits in their stored order, so that the entries send a burst for a cold
// model to the same runner without coordination.
//
// An Attempt is the state machine of one request. It never sends a non-idempotent
// request again unless every earlier attempt is known not to have run, and a final
// refusal reports "not run" only if that holds for all attempts. Times and random
// numbers are arguments. A RetryBudget is shared by the requests of an entry and is
// safe for concurrent use.
package routing
