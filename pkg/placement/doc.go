// Package placement decides which runner may hold which model, and enforces the
// decisions at the agents.
//
// The replicas of a model version are represented by the permits of its
// placement, which is one key of the key-value service. A permit has four stages:
// a Decider grants it; a Decider revokes it; the runner's agent unloads the
// model; the agent removes the permit, which confirms the unload. A Decider
// removes a permit itself only if the runner's host is known to be gone. Each
// stage is a compare-and-swap on the revision of the key, so any entry may decide
// at any time. A runner holds a model only while its permit exists. The loaded
// replicas are therefore always a subset of the permits, and grants never raise
// the number of a model's permits above its maximum.
//
// The Decider runs at entries and the PermitEnforcer at agents. Both perform no
// I/O: events come in, actions go out, and a single goroutine drives each.
package placement
