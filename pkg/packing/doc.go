// Package packing decides which runners of a site may hold which models, and which
// models they keep loaded without requests.
//
// A Placement lists each model's permits in order of preference. A runner holds
// only models that it has a permit for. The kept models of a runner fit into its
// memory together. Standby permits name runners with a local copy of the weights,
// so that a model that isn't loaded, or whose runner failed, can be loaded from
// disk. The runner's agent decides what is evicted for it. While runners of several
// software versions are in service, each version gets permits of its own, since a stream
// goes on only at the version that began it.
//
// A ReplicaSizer determines the number of replicas of each interactive model from
// the prefill load and the occupied slots. A LoadScheduler grants loads from the
// weight store, as many concurrently as its ConcurrencyEstimator finds to run at
// full speed.
//
// Pack is a pure function, and stable: applied to its own result with the same
// runners and the same demand, it returns the same placement.
package packing
