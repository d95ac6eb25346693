package fleet

import "time"

// RouteKind tells what may be repeated.
type RouteKind uint8

// The kinds of routes. The zero value is the most careful one.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent RouteKind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming answers are series of events. They may be repeated only if the
	// route is resumable.
	Streaming
)

// String returns the kind's name in logs and metrics.
func (k RouteKind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	default:
		return "non-idempotent"
	}
}

// Destination is a service that receives a share of a route's requests.
type Destination struct {
	Service string
	// Weight is relative to the route's other destinations.
	Weight int
}

// Route tells where requests for a host and a path prefix go.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       RouteKind
	// Timeout is the longest time that a caller is kept waiting for the whole
	// answer.
	Timeout time.Duration
	// TargetLatency is the time in which an answer is on time; for streams, the
	// time to the first event.
	TargetLatency time.Duration
	// MaxEventGap is the longest pause between two events that is on time.
	MaxEventGap time.Duration
	// MaxAttempts is the number of backend servers that one request may run at.
	MaxAttempts int
	// Priority ranks routes; 0 is the most urgent.
	Priority     int
	Resumable    bool
	Destinations []Destination
}

// Idempotent tells whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Model is a language model that a service's runners can load.
type Model struct {
	Name string
	// MiB is the accelerator memory of the weights.
	MiB int64
	// Adapters is the number of adapters, AdapterMiB the memory of one.
	Adapters   int
	AdapterMiB int64
	// RemoteLoad, DiskLoad and MemoryLoad are the durations of a load from the
	// weight store, from the runner's disk and from its host's memory.
	RemoteLoad time.Duration
	DiskLoad   time.Duration
	MemoryLoad time.Duration
}

// Engine describes the model runners of a service. All are alike.
type Engine struct {
	// Slots is how many requests run at once at a runner.
	Slots int
	// MiB is the accelerator memory for weights and adapters.
	MiB int64
	// AdapterSlots is how many adapters a runner holds.
	AdapterSlots int
	// LoadsPerSecond is the weight store's rate for all runners together.
	LoadsPerSecond float64
	// DiskMiB is the space for copies of weights on a runner's disk.
	DiskMiB int64
	Models  []Model
}

// Model returns a listed model, or nil.
func (e *Engine) Model(name string) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections to one backend server from all
	// callers together.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits bound what callers may send. Zero means no bound.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Configuration is what an operator has put in force.
type Configuration struct {
	// Version only grows.
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
}
