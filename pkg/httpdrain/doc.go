// Package httpdrain closes the connections of a stopping HTTP server without
// dropping a request that the server has read.
//
// http.Server.Shutdown isn't enough for that. It closes a connection as idle until
// the header of its next request has been read completely, and it drops each
// request whose header is complete only after Shutdown was called, also the first
// one on a new connection. The caller can't tell whether such a request has run.
//
// Connections guarantees instead that a request of which the server has read a byte
// is passed to the handler, unless the request itself is invalid or too slow. A
// request that crosses the close of its connection stays unread, and TCP resets the
// connection, so that the caller may send the request again.
//
// After a complete response a connection is closed only once the caller's host has
// received all of it: what the caller has sent meanwhile would make the close a reset,
// which drops what the kernel has still to send.
package httpdrain
