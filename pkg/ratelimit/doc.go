// Package ratelimit keeps the rate limits that backend servers name in their
// responses.
//
// A server that needs relief names the rate of requests that it accepts from all
// hosts together, for as long as its responses name one. Responses overtake each
// other, so a Record orders them by when their requests were sent: a response whose
// request was sent before the limit was last named may lower the limit, but can't
// raise or end it. A Registry holds the records of all servers that one host has
// responses of.
//
// A Bucket spaces the requests to one server by its limit. It only keeps the limit if
// it counts the requests of all hosts: that of a runner's agent does, since each
// request needs a lease, and so does that of a Limiter, which issues tokens for
// single requests to all hosts.
//
// Times are arguments.
package ratelimit
