// Package logtrace finds in the logs of several processes what concerns one
// request: the lines that name it, and what the processes believed when they
// decided about it.
//
// A line belongs to a request by its attribute "request". A line with the
// attribute "belief" tells what its process believes from then on; the value is
// the belief's name, with a colon and its subject if there are several of a kind.
// Both kinds bear the host's ID. Times are those of the hosts' clocks, so lines of
// different hosts may be out of order by the difference of their clocks; lines of
// one host keep their order.
package logtrace
