// Package logtrace extracts from the logs of several processes what concerns one
// request: the lines that name it, and the views that the processes had when they
// made decisions about it.
//
// A line belongs to a request by its attribute "request". A line with the attribute
// "belief" reports a view that its process has from then on. The value is the view's
// name, followed by a colon and its subject if there are several views of a kind.
// Both kinds of lines contain the host's ID. Times are those of the hosts' clocks, so
// lines of different hosts may be out of order by the difference of their clocks;
// lines of one host keep their order.
package logtrace
