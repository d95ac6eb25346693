// Package residency decides what one model runner holds and which requests may
// use it.
//
// A Manager takes in the runner's reports, the part of the placement that
// concerns the runner, and the uses that entries ask for. It grants a use when
// the model and the adapter are loaded and a slot is free, orders loads and
// unloads, and chooses what makes way. A model or adapter in use is never
// unloaded.
//
// Prompts are let in one after the other, by how long the runner takes to read them.
// It learns that from the times to first events.
//
// What the runner holds is taken from its own reports; the memory ledger is
// rebuilt from each of them and from the orders under way. Orders are given one
// at a time, each for the sequence that the last report named. An order whose
// answer was lost, and that the runner may carry out seconds later, thereby
// loses its effect as soon as a later order is accepted, and counts as taking
// memory until then.
//
// The package is pure: times and events come in, actions go out, and one
// goroutine drives it.
package residency
