// Package packing decides which runners of a site may hold which models and which
// of them they keep loaded without requests.
//
// A Placement lists for each model its permits in the order of preference. A
// runner holds only what it has a permit for. Permits with Keep together fit into
// each runner's memory. The others name runners that have the weights near, so
// that a model that isn't loaded, or whose runner failed, is back after a load
// from disk; what then makes way is decided by the runner's agent.
//
// Pack is pure and stable: its own result with the same runners and the same
// demand gives the same placement again.
package packing
