// Package ledger accounts for a model engine's accelerator memory.
//
// Memory is reserved before a load is ordered and is free again only when the
// engine has confirmed that the target is absent:
//
//	Reserve → Reserved → Hold → Held → Release → Releasing → Settle(absent)
//
// An order whose answer was lost makes its key uncertain. An uncertain key
// counts as present until Settle reports what the engine's state says, once no
// order for the key can be in flight any more.
//
// The sum of all reservations never exceeds the capacity. If the engine reports
// more than the capacity, Adopt and Resize return an *OvercommitError and
// nothing can be reserved until the engine has freed the excess.
//
// The package is pure decision logic and is used from one goroutine.
package ledger
