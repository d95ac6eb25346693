// Package callerlimits bounds what callers make an HTTP server hold and how long they take.
// Its listener bounds the connections, and each connection reads the head of a request
// before net/http parses it: the memory that the head will need is reserved in a
// memory.Pool, and a head over the limit is refused. A sweep closes the connections that
// have exceeded a limit on time.
//
// The server must have Listener.StateChanged in its ConnState, and call Conn.ReadingBody
// while it reads a request's body.
package callerlimits
