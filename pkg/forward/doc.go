// Package forward sends requests to backend servers over HTTP/1.1 and returns their
// responses unchanged.
//
// A Pool keeps connections to backend servers. Send writes one request and reads
// the header of its response; the body of the Response is read as it arrives and
// ends with io.EOF only if it is complete, as far as its Framing shows: a response with
// neither a length nor chunks ends with its connection, if the request was written, nothing
// on the connection failed and the kernel reports an orderly end; it also ends so if its
// server's process ends. Every failure is an *Error that states
// whether any byte of the request may have reached the server, which decides
// whether a request that isn't idempotent can be sent to another server.
//
// The platform defines the names of headers. A HeaderCodec reads and writes them.
package forward
