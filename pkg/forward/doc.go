// Package forward carries requests to backend servers over HTTP/1.1 and their
// answers back, byte by byte as they are.
//
// A Pool keeps connections to backend servers. Send writes one request and reads
// the head of its answer; the body of the Response follows as it arrives and
// ends with io.EOF only if it is whole. Every failure is an *Error that tells
// whether any byte of the request may have reached the server, which decides
// whether a request that may not be repeated can be sent elsewhere.
//
// The names of headers belong to the platform. A Dialect reads and writes them.
package forward
