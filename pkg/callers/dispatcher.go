// Package callers is the entry's HTTP interface towards callers.
package callers

import (
	"context"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

// Dispatcher gets a request served by some agent.
type Dispatcher interface {
	// Dispatch writes the answer to sink. A nil result means that sink got the
	// whole answer; a Refusal is final and says what is known of the work.
	Dispatch(ctx context.Context, request *wire.Request, sink Sink) *wire.Refusal
}

// Sink takes an answer while it arrives.
type Sink interface {
	// Head is called once, before Write.
	Head(statusCode int, contentType string) error
	// Write takes the next bytes of the answer.
	Write(data []byte) error
}
