// Package loading decides when models are loaded, how long they stay loaded and
// which are unloaded to free memory.
//
//   - KeepAlivePolicy chooses each model's keep-alive time from the gaps between its
//     requests and the site's weights of cold starts and idle accelerator time.
//   - ChooseVictims selects idle models to evict for a load that needs memory.
//   - Pacer spaces an agent's loads so that all agents together stay within the
//     weight store's limits. StaticPacer, AdaptivePacer and CoordinatedPacer
//     implement it.
//   - Coordinator grants the loads of all agents at one entry. Its state is soft:
//     losing it affects the order of loads, but violates no guarantee.
//   - AdapterWindow limits an agent's adapters in transit.
//
// The package contains decision logic only: times and events come in, decisions go
// out. Each value is used by one goroutine.
package loading
