package callerlimits

import (
	"time"

	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/memory"
)

// The memory that is reserved, in bytes.
const (
	// connectionCost is what an open connection needs.
	connectionCost = 24 << 10
	// requestCost is what a request needs apart from its head and body.
	requestCost = 16 << 10
	// lineCost is what a line of a head needs apart from its bytes; they count twice, as
	// read and as forwarded.
	lineCost     = 192
	headByteCost = 2
)

// headerSlack is how many bytes a head may exceed the configured limit, so that it doesn't
// matter what a caller counts as a part of its head.
const headerSlack = 4 << 10

// The shares of a process's memory and descriptors.
const (
	// poolDivisor gives the part of the memory that callers may hold.
	poolDivisor = 4
	// reservedDivisor gives the part of that for claims of at most smallClaim bytes.
	reservedDivisor = 4
	smallClaim      = 128 << 10
	// heapPercent is the part of the memory that the heap may take.
	heapPercent = 70
	// fileDescriptors are reserved for files.
	fileDescriptors = 200
	// connectionDivisor gives the part of the other descriptors for callers' connections:
	// each may need another one to a backend server.
	connectionDivisor = 2
	// minConnections is the smallest number of connections of callers.
	minConnections = 16
)

// minStall is the time without progress after which a connection may be cut off for lack of
// memory.
const minStall = 500 * time.Millisecond

// Resources are those of a process.
type Resources struct {
	// Memory is in bytes.
	Memory int64
	// Descriptors includes those for files.
	Descriptors int
}

// PoolLimits returns the limits of the memory pool of a process.
func (r Resources) PoolLimits() memory.Limits {
	total := r.Memory / poolDivisor
	return memory.Limits{
		Total:      total,
		Reserved:   total / reservedDivisor,
		SmallClaim: smallClaim,
		MinStall:   minStall,
		MaxClaims:  max(minConnections, (r.Descriptors-fileDescriptors)/connectionDivisor),
	}
}

// HeapLimit returns the limit of the heap in bytes, for debug.SetMemoryLimit.
func (r Resources) HeapLimit() int64 { return r.Memory / 100 * heapPercent }

// The limits of a listener for the platform's and operators' calls.
const (
	internalMemory      = 4 << 20
	internalConnections = 64
	internalHeaderBytes = 16 << 10
	internalHeaderTime  = 5 * time.Second
	internalIdleTime    = time.Minute
	internalMemoryWait  = 100 * time.Millisecond
)

// internalLimits returns the limits on requests at such a listener.
func internalLimits() fleet.Limits {
	return fleet.Limits{MaxHeaderBytes: internalHeaderBytes, HeaderTimeout: internalHeaderTime, IdleTimeout: internalIdleTime}
}

// Source returns the limits in force; zero values mean unlimited.
type Source func() fleet.Limits

// Cause is why a connection was closed or a request refused.
type Cause string

// The causes.
const (
	// TooManyConnections: a new connection was closed.
	TooManyConnections Cause = "connections"
	// HeadTooLarge: the head exceeds its limit.
	HeadTooLarge Cause = "head-size"
	// HeadTooSlow: the head exceeds its time.
	HeadTooSlow Cause = "head-time"
	// Idle: no request for too long.
	Idle Cause = "idle"
	// Unread: the caller has taken nothing of its response for too long.
	Unread Cause = "unread"
	// HeadMemory, BodyMemory: no memory for the head or the body.
	HeadMemory Cause = "head-memory"
	BodyMemory Cause = "body-memory"
	// BodyTooSlow: the body exceeds its time, or was cut off.
	BodyTooSlow Cause = "body-time"
	// CutOff: the connection made no progress, and its memory was needed.
	CutOff Cause = "cut-off"
)
