// Package gateway is the entry process in front of an operator's own backend
// servers. It takes callers' requests by the operator's routes, chooses a
// backend server for each and passes the answer back as it is.
//
// A request goes through these files in order: handler.go finds its route and
// reads it, exchange.go leads it through its sends by the decisions of package
// attempt, answer.go writes what comes back. sources.go follows the platform's
// store, view.go holds what requests read of it.
//
// What the entry knows of agents comes from the agents themselves (links.go) or from
// an entry that relays it (upstream.go); following.go decides which, by package
// directory, and relay.go tells other entries. agents.go takes in what both say.
// leader.go and decider.go decide the placement at the entry that leads, starts.go
// which loads from the weight store begin.
package gateway
