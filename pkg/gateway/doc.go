// Package gateway is the entry process in front of an operator's own backend
// servers. It routes callers' requests by the operator's routes, chooses a backend
// server for each and returns the response unchanged.
//
// A request passes these files in order: handler.go finds its route and reads it,
// exchange.go sends it to servers as package attempt decides, response.go and stream.go
// forward the response. response_end.go finds out whether a response that has ended is
// complete, and caller_response.go alone writes to the caller and decides how the response
// ends there. peer_server.go serves other entries, store_watcher.go watches the platform's store, view.go holds the
// snapshot that requests read.
//
// A request that resumes a stream goes on at the version of the software that began it:
// resume.go finds this version, stream_origin.go records where streams began, and
// origin_handover.go has agents keep it, as package resumption decides.
//
// Of these files, acquire.go, choose.go and candidate.go choose a server. leases.go
// acquires the lease of a model, and rate_tokens.go the permission to send a request
// to a server that names a rate limit; limiter_server.go issues these permissions to
// all entries, as package ratelimit decides.
//
// The state of agents comes from the agents themselves (connections.go) or from
// an entry that relays it (upstream.go); follower.go selects the sources with
// package directory, and relay.go sends the state to other entries. agents.go
// applies the updates of both. At the leader, leader.go and decider.go decide the
// placement, and load_grants.go grants loads from the weight store.
package gateway
