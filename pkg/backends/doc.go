// Package backends keeps what this process knows of the backend servers: the
// registrations in the platform's store and what requests to the servers showed.
//
//   - Registry merges registrations and decides which servers take new work.
//   - Tracker holds the load and the health of each server as requests see them.
//     It is the only part that request traffic writes to.
//   - Pick chooses a server for a request.
//
// Registry is pure: times and events come in, and one goroutine owns it.
package backends
