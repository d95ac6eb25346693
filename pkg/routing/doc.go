// Package routing chooses, at an entry, the agent for each request and decides
// what happens when an attempt fails.
//
// A Table is an immutable picture of placements and members; it is replaced as
// a whole, and any number of requests read it at once. Every entry prefers a
// model's permits in their stored order, so that a burst for a cold model meets
// at one runner without any talk among the entries.
//
// An Attempt is the state machine of one request. It never sends the work of a
// non-idempotent request again unless every earlier attempt is known not to
// have run, and a final refusal says "not run" only if that holds for all
// attempts. Times and random numbers come in with the calls. A RetryBudget is
// shared by the requests of an entry and is safe for concurrent use.
package routing
