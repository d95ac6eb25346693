// Package backends keeps this process's view of the backend servers: their
// registrations in the platform's store and the results of requests to them.
//
//   - Registry merges registrations and decides which servers accept new requests.
//   - Tracker records the load and the health of each server as observed by
//     requests. It is the only part that request traffic writes to.
//   - Pick chooses a server for a request.
//
// Registry reads no clock and is not locked: times are arguments, and one goroutine
// owns it.
package backends
