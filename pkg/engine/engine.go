// Package engine contains the interfaces and clients of an agent's backend server: a
// model engine or a plain service.
package engine

import (
	"context"
	"io"
	"time"
)

// CacheTier is the locality of a checkpoint at the engine.
type CacheTier string

// The cache tiers.
const (
	CacheRemote CacheTier = "remote"
	CacheDisk   CacheTier = "disk"
	CacheMemory CacheTier = "memory"
)

// Target identifies a model version, or an adapter version if Adapter is set.
type Target struct {
	Model          string `json:"model"`
	Version        string `json:"version"`
	Adapter        string `json:"adapter,omitempty"`
	AdapterVersion string `json:"adapter_version,omitempty"`
}

// LoadState is the state of a target in an engine.
type LoadState string

// The load states.
const (
	StateAbsent    LoadState = "absent"
	StateLoading   LoadState = "loading"
	StateLoaded    LoadState = "loaded"
	StateUnloading LoadState = "unloading"
)

// Resident is the state of one target in an engine.
type Resident struct {
	Target    Target    `json:"target"`
	State     LoadState `json:"state"`
	Cache     CacheTier `json:"cache"`
	MemoryMiB int64     `json:"memory_mib"`
}

// State is an engine's report of its state.
type State struct {
	Role      string     `json:"role"`
	MemoryMiB int64      `json:"memory_mib"`
	Slots     int        `json:"slots"`
	Running   int        `json:"running"`
	Fence     int64      `json:"fence"`
	Residents []Resident `json:"residents"`
}

// Order is a command to an engine.
type Order struct {
	// ID makes the order idempotent at the engine.
	ID string `json:"id"`
	// Fence is the fencing token of the ordering agent's incarnation.
	Fence     int64  `json:"fence"`
	Target    Target `json:"target"`
	MemoryMiB int64  `json:"memory_mib,omitempty"`
	Role      string `json:"role,omitempty"`
}

// Call is one request to an engine or a plain service.
type Call struct {
	RequestID   string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	Target      Target
	Priority    int
	Stream      bool
	// IdempotencyKey is forwarded to plain services.
	IdempotencyKey string
}

// Response is the response to a call. The caller must close Body. Reading Body
// returns io.EOF only if the response is complete, otherwise an *Error.
type Response struct {
	StatusCode  int
	ContentType string
	// Length is the number of bytes of Body that the server announced, or
	// UnknownLength.
	Length int64
	Body   io.ReadCloser
	// Overlap holds, of a resumed response, the bytes right before the offset, as the
	// engine sent them again. The response can only be the rest of one that ends with
	// them.
	Overlap []byte
}

// UnknownLength is the Length of a response whose end is marked by other means.
const UnknownLength = -1

// Engine is a model engine. All errors are *Error.
type Engine interface {
	State(ctx context.Context) (State, error)
	// Load returns when the target is loaded.
	Load(ctx context.Context, order Order) error
	// Unload returns when the target's memory is free.
	Unload(ctx context.Context, order Order) error
	SetRole(ctx context.Context, order Order) error
	// Call starts a request. Its error reports whether the request may have run.
	Call(ctx context.Context, call Call) (Response, error)
	// Resume continues the response to a request from a byte offset.
	Resume(ctx context.Context, requestID string, offset int64) (Response, error)
	// Cancel stops a request.
	Cancel(ctx context.Context, requestID string) error
}

// Service is a plain service. All errors are *Error.
type Service interface {
	Call(ctx context.Context, call Call) (Response, error)
	// Healthy returns an error unless the service responds within the timeout.
	Healthy(ctx context.Context, timeout time.Duration) error
}

// Error is a failure of an engine or a plain service.
type Error struct {
	Op string
	// NotRun is set if the call or order certainly did not run: it was never
	// delivered, or the backend server reported so.
	NotRun bool
	// Status is the HTTP status, or zero.
	Status int
	Err    error
}

// Error implements error.
func (e *Error) Error() string {
	return "engine: " + e.Op + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
