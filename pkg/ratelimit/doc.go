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
// Times are arguments.
package ratelimit
