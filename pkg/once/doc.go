// Package once decides, at an agent, whether a call with an idempotency key may run,
// so that it runs at most once in the whole site.
//
// Before a call runs, the agent creates a record in the key-value service if none
// exists. The record's key is the hash of plan, service and idempotency key; its
// value contains the agent, the agent's incarnation and the request's fingerprint.
// Only the incarnation in the record may run the call. A Machine holds the state of
// each key at one incarnation:
//
//	Absent → Recording → (Reading →) Bound → Running → Done | Bound | Unknown
//
// The rules:
//
//   - A call never runs without a confirmed record of its own incarnation.
//   - A key that was used with a different request is refused as not run.
//   - A call whose key is bound to another incarnation is refused with the owner.
//     The entry retries at the owner if it is running; otherwise the outcome stays
//     unknown.
//   - If the record can't be confirmed, the call is refused as not run. If its write
//     takes effect later, the record binds the key to this incarnation, which knows
//     that the call didn't run and may run it on a retry.
//   - The outcome of a run whose response was lost stays unknown.
//   - A call that waits for another call's run is refused as not run only together
//     with all calls that wait for the key.
//
// Responses are kept within limits of count and size. A key whose response was
// evicted is refused with the outcome "ran". The number of such keys is limited as
// well: records carry sequence numbers, and a record whose number isn't higher than
// the highest one among the evicted runs counts as unknown.
//
// The Machine and the Batcher are pure decision logic and must be used from one
// goroutine. The caller performs each action and reports its result as an event.
package once
