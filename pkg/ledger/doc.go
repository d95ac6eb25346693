// Package ledger accounts for a model engine's accelerator memory.
//
// Memory is reserved before a load is ordered and becomes free again only when the
// engine has confirmed that the target is absent:
//
//	Reserve → Reserved → ConfirmLoad → Held → Release → Releasing → Resolve(absent)
//
// If the response to an order was lost, its key is uncertain. An uncertain key
// counts as present until Resolve reports the state of the engine, read when no
// order for the key can be in flight any more.
//
// The sum of all reservations never exceeds the capacity. If the engine reports
// more than the capacity, SyncFromEngine and Resize return an *OvercommitError, and
// nothing can be reserved until the engine has freed the excess.
//
// The package is pure decision logic and must be used from one goroutine.
package ledger
