// Package residency decides which models and adapters one model runner holds and
// which requests may use it.
//
// The inputs of a Manager are the runner's reports, the part of the placement
// that concerns the runner, and the leases that entries request. The Manager
// grants a lease when the model and the adapter are loaded and a slot is free,
// orders loads and unloads, and selects what to evict. A model or adapter with a
// running lease is never unloaded.
//
// Prompts are admitted one after the other, paced by their estimated prefill time.
// The estimate is learned from the times to the first event.
//
// The runner's own reports are authoritative for what it holds. The memory ledger
// is rebuilt from each report and from the pending orders. Only one order is
// pending at a time, and each order names the sequence number of the last report.
// An order whose response was lost may still be executed seconds later, if the
// runner then has the sequence number that it expects. A later order that was
// accepted makes it ineffective until the runner starts again under its ID, which
// resets the number. Such orders are remembered for uncertainTTL, and an order is
// sent only if those that may be executed after it fit beside it.
//
// The package performs no I/O and reads no clock: times and events come in, actions
// go out, and a single goroutine drives it.
package residency
