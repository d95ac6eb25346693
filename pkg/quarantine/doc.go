// Package quarantine finds out what crashes backend servers.
//
// A request can end the server that runs it, and so can all requests that have a
// part of their prompt in common. Requests are described by the fingerprints of such
// properties.
//
// The package does no I/O. Times are arguments.
package quarantine
