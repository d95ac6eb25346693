// Package callers implements the entry's HTTP API for callers.
package callers

import (
	"context"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

// Dispatcher has requests served by agents.
type Dispatcher interface {
	// Dispatch writes the response to sink. A nil result means that sink received
	// the complete response; a Refusal is final and reports whether the request ran.
	Dispatch(ctx context.Context, request *wire.Request, sink Sink) *wire.Refusal
}

// Sink receives a response while it arrives.
type Sink interface {
	// Head is called once, before any Write.
	Head(statusCode int, contentType string) error
	// Write receives the next bytes of the response.
	Write(data []byte) error
}
