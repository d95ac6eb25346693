// Package entry implements the process on an entry host: it serves callers and
// administrators, routes requests to agents and takes part in the site's
// placement decisions.
//
// One goroutine, the loop, owns the members, the lists register and the load
// coordinator. Request handling reads an immutable view that the loop publishes.
// An entry stores nothing: durable state is in the key-value service.
package entry
