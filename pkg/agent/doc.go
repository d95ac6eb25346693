// Package agent implements the sidecar process of one backend server, which is a
// model engine or a plain service. It is the only process that sends orders to
// the engine, and it queues the requests for the backend server.
//
// One goroutine, the loop, owns the control state: the fair queue, the memory
// ledger, the permits and the records of calls with an idempotency key. Streams,
// engine calls and key-value calls run on their own goroutines and report to the
// loop.
package agent
