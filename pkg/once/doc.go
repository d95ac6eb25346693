// Package once decides, at an agent, whether a call with an idempotency key may
// run, so that it runs at most once in the whole site.
//
// Before a call runs, the agent creates a record in the key-value service if no
// record exists. Its key is the hash of plan, service and idempotency key; its
// value names the agent, the agent's incarnation and the request's fingerprint.
// Only the incarnation named in the record may run the call. A Machine holds
// the state of each key at one incarnation:
//
//	Absent → Recording → (Settling →) Bound → Running → Done | Bound | Unknown
//
// The rules:
//
//   - A call never runs without its own incarnation's confirmed record.
//   - A key that was used with another request is refused as not run.
//   - A record of another incarnation is refused with its owner. The entry asks
//     the owner if it lives; otherwise the outcome is unknown for ever.
//   - If the record can't be confirmed, the call is refused as not run. Should
//     its write take effect later, the record binds the key to this incarnation,
//     which knows that the call didn't run and may run it when asked again.
//   - A run whose answer was lost is unknown for ever.
//   - A call that waits for another call's run is told "not run" only together
//     with all calls that wait for the key.
//
// Answers are kept up to bounds of count and size. A key whose answer was
// dropped is refused with the outcome "ran". Such keys are bounded as well: the
// records carry sequence numbers, and a record at or below the highest number
// among forgotten runs counts as unknown.
//
// The Machine and the Batcher are pure decision logic used from one goroutine.
// The caller performs each action and reports its result as an event.
package once
