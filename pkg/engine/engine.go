// Package engine holds the interfaces and clients of what stands behind an
// agent: a model engine or a plain service.
package engine

import (
	"context"
	"io"
	"time"
)

// CacheTier tells where the engine has a checkpoint.
type CacheTier string

// The tiers of a checkpoint.
const (
	CacheRemote CacheTier = "remote"
	CacheDisk   CacheTier = "disk"
	CacheMemory CacheTier = "memory"
)

// Target names a model version, or an adapter version if Adapter is set.
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

// Resident is one row of an engine's state listing.
type Resident struct {
	Target    Target    `json:"target"`
	State     LoadState `json:"state"`
	Cache     CacheTier `json:"cache"`
	MemoryMiB int64     `json:"memory_mib"`
}

// State is an engine's own account of itself.
type State struct {
	Role      string     `json:"role"`
	MemoryMiB int64      `json:"memory_mib"`
	Slots     int        `json:"slots"`
	Running   int        `json:"running"`
	Fence     int64      `json:"fence"`
	Residents []Resident `json:"residents"`
}

// Order is a change demanded of an engine.
type Order struct {
	// ID makes the order idempotent at the engine.
	ID string `json:"id"`
	// Fence is the fencing number of the ordering agent's incarnation.
	Fence     int64  `json:"fence"`
	Target    Target `json:"target"`
	MemoryMiB int64  `json:"memory_mib,omitempty"`
	Role      string `json:"role,omitempty"`
}

// Call is one request for an engine or a plain service.
type Call struct {
	RequestID   string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	Target      Target
	Priority    int
	Stream      bool
	// IdempotencyKey is passed on to plain services.
	IdempotencyKey string
}

// Response is the result of a call. The caller closes Body. Reading Body returns
// io.EOF only if the answer is whole, else an *Error.
type Response struct {
	StatusCode  int
	ContentType string
	Body        io.ReadCloser
}

// Engine is a model engine. Errors are *Error.
type Engine interface {
	State(ctx context.Context) (State, error)
	// Load returns when the target is loaded.
	Load(ctx context.Context, order Order) error
	// Unload returns when the target's memory is free.
	Unload(ctx context.Context, order Order) error
	SetRole(ctx context.Context, order Order) error
	// Call starts a request. Its error tells whether the work may have run.
	Call(ctx context.Context, call Call) (Response, error)
	// Resume continues the answer of a request from a byte offset.
	Resume(ctx context.Context, requestID string, offset int64) (Response, error)
	// Cancel stops a request.
	Cancel(ctx context.Context, requestID string) error
}

// Service is a plain service. Errors are *Error.
type Service interface {
	Call(ctx context.Context, call Call) (Response, error)
	// Healthy tells whether the service answers within the timeout.
	Healthy(ctx context.Context, timeout time.Duration) error
}

// Error is a failure of an engine or a plain service.
type Error struct {
	Op string
	// NotRun tells that the work surely did not run: the request was never
	// delivered, or the engine said so.
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
