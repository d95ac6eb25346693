// Package attempt decides how to continue a request after each event: whether it
// may be sent to another backend server, or which final response the caller gets.
//
// A non-idempotent request is sent to another server only if nothing of it was
// sent or the server confirmed that it did not run. A request is reported as not
// run only if no server can have run it; if any server may have run it, the
// outcome is reported as unknown.
//
// Budget limits the retries for each service.
//
// The package does no I/O and reads no clock: events and times are arguments,
// decisions are results.
package attempt
