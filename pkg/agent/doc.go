// Package agent is the process beside one backend server, a model engine or a
// plain service. It is the only process that gives the engine orders, and the
// place where requests wait.
//
// One goroutine, the loop, owns the control state: the fair queue, the memory
// ledger, the permits and the records of calls with an idempotency key. Streams,
// engine calls and key-value calls run on goroutines of their own and report to
// the loop.
package agent
