package fleet

import "time"

// RouteKind determines which requests may be retried.
type RouteKind uint8

// The kinds of routes. The zero value is the most restrictive one.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent RouteKind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming responses are series of events. They may be retried only if the
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
	// Weight is relative to those of the route's other destinations.
	Weight int
}

// Route defines where requests for a host and a path prefix are sent.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       RouteKind
	// Timeout is the longest time that a caller waits for the complete response.
	Timeout time.Duration
	// TargetLatency is the target for the time to a response; for streams, to the first
	// event.
	TargetLatency time.Duration
	// MaxEventGap is the target for the longest gap between two events.
	MaxEventGap time.Duration
	// MaxAttempts is the maximum number of backend servers that one request may run on.
	MaxAttempts int
	// Priority ranks routes; 0 is the highest priority.
	Priority  int
	Resumable bool
	// Public routes serve callers without a key.
	Public       bool
	Destinations []Destination
}

// ServiceNames returns the names of the services.
func (c *Configuration) ServiceNames() []string {
	names := make([]string, 0, len(c.Services))
	for i := range c.Services {
		names = append(names, c.Services[i].Name)
	}
	return names
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Model is a language model that a service's runners can load.
type Model struct {
	Name string
	// MiB is the size of the weights in accelerator memory.
	MiB int64
	// Adapters is the number of adapters, and AdapterMiB the size of each.
	Adapters   int
	AdapterMiB int64
	// RemoteLoad, DiskLoad and MemoryLoad are the durations of a load from the weight
	// store, from the runner's disk and from its host's memory.
	RemoteLoad time.Duration
	DiskLoad   time.Duration
	MemoryLoad time.Duration
}

// Engine describes the model runners of a service, which are all identical.
type Engine struct {
	// Slots is the number of concurrent requests of a runner.
	Slots int
	// MiB is the accelerator memory for weights and adapters.
	MiB int64
	// AdapterSlots is the number of adapters that a runner can hold.
	AdapterSlots int
	// LoadsPerSecond is the weight store's maximum rate of load starts for all runners
	// together.
	LoadsPerSecond float64
	// DiskMiB is the disk space of a runner for copies of weights.
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
	// MaxConnections limits the connections of all callers together to one backend
	// server.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits are limits on what callers may send. Zero means unlimited.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Configuration is the active configuration set by an operator.
type Configuration struct {
	// Version never decreases.
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Organisations is empty on a site whose callers have no keys.
	Organisations []Organisation
}
