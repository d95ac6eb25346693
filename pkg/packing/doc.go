// Package packing decides which runners of a site may hold which models and which
// of them they keep loaded without requests.
//
// A Placement lists for each model its permits in the order of preference. A
// runner holds only what it has a permit for. Permits with Keep together fit into
// each runner's memory. The others name runners that have the weights near, so
// that a model that isn't loaded, or whose runner failed, is back after a load
// from disk; what then makes way is decided by the runner's agent.
//
// A Sizer says how many replicas each hot model is to have, by the reading of
// prompts and the slots that its requests take. Starts hands out the loads from the
// weight store, as many at once as Throughput learns that it serves at full speed.
//
// Pack is pure and stable: its own result with the same runners and the same
// demand gives the same placement again.
package packing
