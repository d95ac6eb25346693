package gateway

import (
	"errors"
	"net/http"
	"time"

	"teaselgauge.example/teaselgauge/pkg/callerlimits"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/memory"
)

const (
	// unreadTimeout bounds the time for a body that nobody needs after a refusal.
	unreadTimeout = 500 * time.Millisecond
	// memoryRetryAfter is the Retry-After of a refusal for lack of memory.
	memoryRetryAfter = 500 * time.Millisecond
)

// limitedConnection returns the connection of a request's caller with its limits; nil if it
// has none.
func limitedConnection(r *http.Request) *callerlimits.Conn {
	return callerlimits.Find(r.Context().Value(callerConnectionKey{}))
}

// readBody reads the body of a request, which must be there by the deadline.
func readBody(w http.ResponseWriter, r *http.Request, limits fleet.Limits, deadline time.Time) ([]byte, *refusal) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	maxBytes := limits.MaxBodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultMaxBody
	}
	if r.ContentLength > maxBytes {
		return nil, &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	}
	connection := limitedConnection(r)
	connection.ReadingBody(true)
	defer connection.ReadingBody(false)
	controller := http.NewResponseController(w)
	// An error means that the connection has no deadlines, as in a test.
	_ = controller.SetReadDeadline(deadline)
	body, err := memory.Buffer{
		Reserve: func(n int64) error { return connection.Reserve(memory.Body, n) },
		Release: func(n int64) { connection.Release(memory.Body, n) },
		Length:  r.ContentLength,
		Limit:   maxBytes,
	}.ReadAll(r.Body)
	_ = controller.SetReadDeadline(time.Time{})
	if err == nil {
		err = connection.ReserveTrailer(r.Trailer)
	}
	if err != nil {
		return nil, bodyFailure(connection, err)
	}
	return body, nil
}

// bodyFailure returns the refusal of a request whose body wasn't read to its end.
func bodyFailure(connection *callerlimits.Conn, err error) *refusal {
	switch {
	case errors.Is(err, memory.ErrTooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	case errors.Is(err, memory.ErrExhausted):
		connection.Refused(callerlimits.BodyMemory)
		return &refusal{status: http.StatusServiceUnavailable, reason: "memory exhausted", retryAfter: memoryRetryAfter}
	default:
		connection.Refused(callerlimits.BodyTooSlow)
		return &refusal{status: http.StatusRequestTimeout, reason: "body incomplete"}
	}
}

// limitUnread bounds the time that net/http waits for the rest of a body before it sends a
// refusal.
func limitUnread(w http.ResponseWriter, r *http.Request) {
	if r.Body != nil && r.Body != http.NoBody {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadTimeout))
	}
}
