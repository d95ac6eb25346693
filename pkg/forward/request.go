package forward

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is one request for backend servers. The same Request is sent again after a
// rejection, so that its sends are told apart. It is not safe for concurrent use.
type Request struct {
	// ID is the request's ID, which its response must have.
	ID     string
	Method string
	// Target is the request target as sent by the caller.
	Target string
	Host   string
	Header http.Header
	Body   []byte

	// carriers are the connections on which the request was sent before. A second copy of
	// a response may still arrive on them, and has the same ID as the response to the next
	// send.
	carriers []*conn
}

// Connections returns the number of connections on which the request was sent.
func (r *Request) Connections() int { return len(r.carriers) }

// LastConnection returns the local address of the connection of the last send, and when it
// was opened. They are empty and zero before the first one has a connection.
func (r *Request) LastConnection() (local string, openedAt time.Time) {
	if len(r.carriers) == 0 {
		return "", time.Time{}
	}
	last := r.carriers[len(r.carriers)-1]
	return last.raw.LocalAddr().String(), last.openedAt
}

// encode returns the request in HTTP/1.1 format.
func (r *Request) encode() []byte {
	size := len(r.Method) + len(r.Target) + len(r.Host) + len(r.Body) + 64
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + 4
		}
	}
	out := make([]byte, 0, size)
	out = append(out, r.Method...)
	out = append(out, ' ')
	out = append(out, r.Target...)
	out = append(out, " HTTP/1.1\r\n"...)
	out = appendHeader(out, "Host", r.Host)
	for name, values := range r.Header {
		if name == "Host" || name == "Content-Length" {
			continue
		}
		for _, value := range values {
			out = appendHeader(out, name, value)
		}
	}
	if len(r.Body) > 0 || mayHaveBody(r.Method) {
		out = appendHeader(out, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	out = append(out, "\r\n"...)
	return append(out, r.Body...)
}

func appendHeader(out []byte, name, value string) []byte {
	out = append(out, name...)
	out = append(out, ": "...)
	out = append(out, value...)
	return append(out, "\r\n"...)
}

// mayHaveBody reports whether a request without a body still needs a
// Content-Length.
func mayHaveBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

func splitList(value string) []string {
	var names []string
	for _, name := range strings.Split(value, ",") {
		if name = strings.TrimSpace(name); name != "" {
			names = append(names, name)
		}
	}
	return names
}
