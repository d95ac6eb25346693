package forward

import (
	"net/http"
	"time"

	"teaselgauge.example/teaselgauge/pkg/ratelimit"
)

// RequestInfo is the information in the headers of a caller's request.
type RequestInfo struct {
	// RequestID is unique among the requests of a caller.
	RequestID string
	// Budget is how long the caller waits; zero if it is not stated.
	Budget time.Duration
	// Model and Adapter are empty for requests to services without models.
	Model   string
	Adapter string
	// PromptTokens and MaxOutputTokens are the size of the request.
	PromptTokens    int
	MaxOutputTokens int
	// HasTokenCount is set if the request states its size.
	HasTokenCount bool
	// LastEventID is set by a caller that resumes a broken stream.
	LastEventID string
	// Resumes is the ID of the request that brought the stream's first event, set by a
	// caller that resumes a broken stream.
	Resumes string
	// PromptParts holds the IDs of the parts of the prompt that other requests may
	// share, in order. The last part of a prompt isn't shared and is left out.
	PromptParts []string
	// CallerKey is the secret by which the caller identifies itself; empty where the
	// platform has none. It must not be logged.
	CallerKey string
	// ManyKeys is set if the request has more than one secret; CallerKey is the first.
	ManyKeys bool
}

// BackendHeaders are the values sent to a backend server in addition to the
// caller's own headers.
type BackendHeaders struct {
	// Budget is the time left for the response; zero keeps the caller's value.
	Budget time.Duration
	// Instance is the ID of the backend server that the request is for.
	Instance string
	// Priority orders the requests at a model runner; 0 is the highest priority.
	Priority int
	// LastEventID resumes a stream after an event; empty keeps the caller's value.
	LastEventID string
	// WeightsVersion makes a server with another version reject the request; empty allows
	// any version.
	WeightsVersion string
	// CallersHaveKeys is set on a site with organisations. The caller's secret and the
	// organisation that it states are then not forwarded.
	CallersHaveKeys bool
	// Organisation is the name of the organisation that the caller belongs to; empty if
	// there is none.
	Organisation string
}

// Load is the load that a backend server reports.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// ResponseInfo is the information in the headers of a backend server's response.
type ResponseInfo struct {
	// RequestID is the ID of the request that the response belongs to.
	RequestID string
	// NotRun is set if the server did not run the request and never will.
	NotRun bool
	// Contradiction is why the header can't be that of one response, such as two IDs; empty
	// if nothing contradicts. Such a header says nothing about its request.
	Contradiction string
	// NotRunBy is what in the response says so, for logs; empty if nothing does.
	NotRunBy string
	// Sealed is set if the response has a backend server's seal.
	Sealed bool
	// Leaving is set if the server is leaving and accepts no new requests.
	Leaving bool
	// RetryAfter is how long a server that rejected the request accepts none from
	// this host; zero if not stated.
	RetryAfter time.Duration
	// WeightsVersion is the version of the weights that the response is made with; empty
	// if it isn't stated.
	WeightsVersion string
	// ServerID is the ID of the server in its answer to a health check; empty if it isn't
	// stated.
	ServerID string
	// Load is nil if the server did not report it.
	Load *Load
	// Limit is the rate limit that the server names.
	Limit ratelimit.Limit
	// InvalidLimit is the server's rate limit if it can't be read; it says nothing
	// about the limit in force.
	InvalidLimit string
}

// HeaderCodec reads and writes the platform's headers.
type HeaderCodec interface {
	// DecodeRequest reads a caller's headers. The error states what is invalid.
	DecodeRequest(header http.Header) (RequestInfo, error)
	// EncodeRequest returns the headers for a backend server: the caller's,
	// without hop-by-hop headers and those that callers may not set, and the
	// additional values.
	EncodeRequest(caller http.Header, additional BackendHeaders) http.Header
	// DecodeResponse reads a backend server's headers.
	DecodeResponse(status int, header http.Header) ResponseInfo
	// DecodeEvent reads the first line of an event. It returns the version of the weights
	// from this event on if the line states it, or an empty string.
	DecodeEvent(line string) (weightsVersion string)
}

// hopByHop are the headers that apply to one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns the headers without the hop-by-hop ones. The values are shared
// with the original.
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
