// Package admission decides which requests wait at an agent, for how long and
// in which order they run.
//
// A Queue is a start-time fair queue over plans. Each plan receives service in
// tokens in proportion to its weight while it has requests that can run. Inside
// a plan, a higher priority goes first and then the earlier deadline. Requests
// wait in one lane per plan and target, so that a target that is still loading
// holds up no other request.
//
// Every request that Offer accepts leaves the queue exactly once: through Next,
// Expire, Remove or FailTarget. Offer refuses at once what exceeds a bound or
// can't make its deadline.
//
// The package is pure decision logic: it has no clock, goroutine, lock or I/O.
// All methods are called from one goroutine with times that don't go back.
package admission
