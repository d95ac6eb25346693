// Package entry is the process on an entry host: it answers callers and
// administrators, routes requests to agents and takes its part of the site's
// decisions.
//
// One goroutine, the loop, owns the members, the lists register and the load
// coordinator. Request traffic reads an immutable view that the loop publishes.
// An entry keeps nothing: what must last is in the key-value service.
package entry
