// Package backpressure keeps requests from backend servers that don't want any
// from this host: those that leave, and those that turned a request away and named
// a time to come back.
//
// It answers the load of a burst at servers that shed requests, and of servers
// that are replaced while connections to them are reused. Both say so in their
// answers, often before their registrations do. A Gate keeps what they said, and
// Turn decides what becomes of a request whose servers are all closed: it waits
// for its turn if it can still be served in time, and is refused at once
// otherwise, with the time at which the first of them opens. Returns are spread,
// so that requests that were held off together don't come back together.
//
// Times and random numbers come in as arguments.
package backpressure
