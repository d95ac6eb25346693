// Package placement decides which runner may hold which model, and keeps agents
// to it.
//
// The decided replicas of a model version are the permits of its placement, one
// key of the key-value service. A permit goes through four steps: a Decider
// grants it; a Decider revokes it; the runner's agent unloads the model; the
// agent removes the permit, which confirms the unload. A Decider removes a
// permit itself only when the runner's host is known to be gone. Each step is a
// compare-and-swap on the revision of the key, so any entry may decide at any
// time. A runner holds a model only while its permit stands, so the loaded
// replicas are a subset of the permits at any moment, and the permits of a model
// never outnumber its maximum when they are granted.
//
// Decider runs at entries, Holder at agents. Both are pure: events come in,
// actions go out, and one goroutine drives each.
package placement
