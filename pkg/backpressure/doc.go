// Package backpressure holds requests back from backend servers that accept none
// from this host: servers that are leaving, and servers that rejected a request
// with a retry-after time.
//
// Servers shed requests in a load burst, and servers are replaced while connections
// to them are reused. In both cases the server reports it in its responses, often
// before its registration changes. A Gate keeps these reports, and WaitOrRefuse
// decides on a request for which no server is available: it waits if it can still
// be served in time, and is refused immediately otherwise, with the time at which
// the first server becomes available. Retry times are jittered, so that requests
// that were held back together aren't retried at the same time.
//
// Times and random numbers are arguments.
package backpressure
