// Package admission decides which requests wait at an agent, for how long, and in
// which order they run.
//
// A Queue is a start-time fair queue over plans. Each plan that has runnable
// requests receives service, measured in tokens, in proportion to its weight.
// Within a plan, requests are ordered by priority and then by deadline. Requests
// wait in one lane per plan and target, so that a target that is still loading
// doesn't block other requests.
//
// Every request that Offer accepts leaves the queue exactly once: through Next,
// Expire, Remove or FailTarget. Offer immediately refuses requests that exceed a
// limit or can't meet their deadline.
//
// The package is pure decision logic without a clock, goroutines, locks or I/O. All
// methods must be called from one goroutine with non-decreasing times.
package admission
