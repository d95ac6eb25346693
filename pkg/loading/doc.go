// Package loading decides when models are loaded, how long they stay loaded and
// which are unloaded to make room.
//
//   - Keeper chooses each model's keep-alive from its own gaps between requests
//     and the site's weights of cold starts and idle accelerator time.
//   - ChooseVictims picks idle models to unload for a load that needs memory.
//   - Pacer spaces an agent's loads so that all agents together stay within the
//     weight store's limits. Split, Adaptive and Guided implement it.
//   - Coordinator hands out the starts of all agents' loads at one entry. Its
//     state is soft: losing it costs order, never a promise.
//   - AdapterWindow bounds an agent's adapters in transit.
//
// The package is pure decision logic: times and events come in, decisions go
// out. Each value is used from one goroutine.
package loading
