package forward

import (
	"net/http"
	"time"
)

// RequestInfo is what a caller says of its request in its headers.
type RequestInfo struct {
	// RequestID is unique for each request of a caller.
	RequestID string
	// Budget is how long the caller waits; zero means it told none.
	Budget time.Duration
	// Model and Adapter are empty for requests to plain services.
	Model   string
	Adapter string
	// PromptTokens and MaxOutputTokens are the size of the work.
	PromptTokens    int
	MaxOutputTokens int
	// LastEventID is set by a caller that goes on with a broken stream.
	LastEventID string
}

// BackendHeaders are what this process tells a backend server beside the caller's
// own headers.
type BackendHeaders struct {
	// Budget is the time left for the answer; zero leaves the caller's.
	Budget time.Duration
	// Instance is the ID of the backend server that the request is meant for.
	Instance string
	// Priority ranks the request at a model runner; 0 is the most urgent.
	Priority int
	// LastEventID makes a repeated stream go on after an event; empty leaves the
	// caller's.
	LastEventID string
}

// Load is what a backend server tells of its load.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// ResponseInfo is what a backend server says in the headers of an answer.
type ResponseInfo struct {
	// RequestID is that of the request that the answer belongs to.
	RequestID string
	// NotRun tells that the server did not run the request and never will.
	NotRun bool
	// Sealed tells that the answer bears a backend server's seal.
	Sealed bool
	// Leaving tells that the server leaves and takes no new work.
	Leaving bool
	// RetryAfter is how long a server that turned the request away wants none from
	// this host; zero if it named no time.
	RetryAfter time.Duration
	// Load is nil if the server told none.
	Load *Load
}

// HeaderCodec reads and writes the platform's headers.
type HeaderCodec interface {
	// DecodeRequest reads a caller's headers. Its error tells what is wrong with
	// them.
	DecodeRequest(header http.Header) (RequestInfo, error)
	// EncodeRequest returns the headers for a backend server: the caller's, without
	// those that concern one connection or that callers may not set, and the
	// directives.
	EncodeRequest(caller http.Header, directives BackendHeaders) http.Header
	// DecodeResponse reads a backend server's headers.
	DecodeResponse(status int, header http.Header) ResponseInfo
}

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns the headers that don't concern one connection only. The
// values are shared with the original.
func EndToEnd(header http.Header) http.Header {
	kept := make(http.Header, len(header))
	for name, values := range header {
		kept[name] = values
	}
	for _, value := range header.Values("Connection") {
		for _, name := range splitList(value) {
			kept.Del(name)
		}
	}
	for _, name := range hopByHop {
		delete(kept, name)
	}
	return kept
}
