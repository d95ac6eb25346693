// Package attempt decides what becomes of one request after each thing that
// happens to it: whether it may be sent to another backend server, or which
// final answer the caller gets.
//
// A request that may not be repeated is sent on only after the server's own word
// that it has not run, or if nothing of it was sent. What is answered as *not
// run* is true: if any server may have run the request, its failure is reported
// as unknown.
//
// Budget bounds the sends beyond the first of each request, by service.
//
// The package is pure: events and times come in, decisions go out.
package attempt
