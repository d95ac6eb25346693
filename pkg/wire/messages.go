package wire

// Request carries one caller's request from an entry to an agent.
type Request struct {
	// ID identifies the caller's request and is the same in all its attempts.
	ID       string `cbor:"1,keyasint"`
	Plan     string `cbor:"2,keyasint"`
	Weight   int    `cbor:"3,keyasint"`
	Priority int    `cbor:"4,keyasint,omitempty"`
	// Model, Version and Adapter are set for model requests.
	Model          string `cbor:"5,keyasint,omitempty"`
	Version        string `cbor:"6,keyasint,omitempty"`
	Adapter        string `cbor:"7,keyasint,omitempty"`
	AdapterVersion string `cbor:"8,keyasint,omitempty"`
	// Service, Method and Path are set for calls of plain services. Path is also set
	// for model requests and is the engine's route.
	Service string `cbor:"9,keyasint,omitempty"`
	Method  string `cbor:"10,keyasint,omitempty"`
	Path    string `cbor:"11,keyasint,omitempty"`
	// IdempotencyKey is the caller's key, scoped by plan and service.
	IdempotencyKey string `cbor:"12,keyasint,omitempty"`
	// Idempotent is set if the request may run more than once.
	Idempotent bool `cbor:"13,keyasint,omitempty"`
	Stream     bool `cbor:"14,keyasint,omitempty"`
	// BudgetMillis is the time left for the complete response, in milliseconds.
	BudgetMillis uint32 `cbor:"15,keyasint"`
	// Tokens is the estimated work: prompt tokens plus the maximum of output tokens.
	Tokens int64 `cbor:"16,keyasint,omitempty"`
	// ListsRevision is the revision of the sender's active lists.
	ListsRevision int64  `cbor:"17,keyasint,omitempty"`
	ContentType   string `cbor:"18,keyasint,omitempty"`
	Body          []byte `cbor:"19,keyasint,omitempty"`
	// MaxQueued limits the plan's waiting requests at the agent.
	MaxQueued int `cbor:"20,keyasint,omitempty"`
	// TokensPerSecond limits the plan's rate at the agent; zero means no limit.
	TokensPerSecond int `cbor:"21,keyasint,omitempty"`
	// MemoryMiB and AdapterMemoryMiB are the accelerator memory that the model and
	// the adapter use once loaded.
	MemoryMiB        int64 `cbor:"22,keyasint,omitempty"`
	AdapterMemoryMiB int64 `cbor:"23,keyasint,omitempty"`
	// ColdStartWeight and IdleWeight are the site's costs of one second of waiting
	// for a load and of one idle accelerator-second.
	ColdStartWeight float64 `cbor:"24,keyasint,omitempty"`
	IdleWeight      float64 `cbor:"25,keyasint,omitempty"`
	// Placement is the model's placement if it changed recently, so that the runner
	// knows its permit no later than the sender.
	Placement *Placement `cbor:"26,keyasint,omitempty"`
}

// Outcome is what is known about the execution of a request without a response.
type Outcome uint8

// The outcomes. OutcomeNotRun is a guarantee: the request did not and will not run.
const (
	OutcomeUnknown Outcome = iota
	OutcomeNotRun
	OutcomeRan
)

// String returns the text sent to callers.
func (o Outcome) String() string {
	switch o {
	case OutcomeNotRun:
		return "not-run"
	case OutcomeRan:
		return "ran"
	default:
		return "unknown"
	}
}

// Reason is the cause of a refusal.
type Reason string

// The refusal reasons.
const (
	ReasonLeaving      Reason = "leaving"       // the backend server accepts no new requests
	ReasonNoPermit     Reason = "no-permit"     // the runner has no permit for the model
	ReasonNoMemory     Reason = "no-memory"     // not enough free accelerator memory
	ReasonQueueFull    Reason = "queue-full"    // a queue limit is reached
	ReasonDeadline     Reason = "deadline"      // the deadline can't be met
	ReasonRate         Reason = "rate"          // the plan's rate limit is reached
	ReasonLoadFailed   Reason = "load-failed"   // the engine could not load the model
	ReasonStore        Reason = "store"         // the key-value service is required but unavailable
	ReasonBoundElse    Reason = "bound-else"    // the idempotency key is bound to another agent
	ReasonBoundLost    Reason = "bound-lost"    // the key's agent is no longer available, the outcome is unknown
	ReasonKeyReused    Reason = "key-reused"    // the key was used with a different request
	ReasonEngine       Reason = "engine"        // the engine or service failed
	ReasonInvalid      Reason = "invalid"       // the request is invalid
	ReasonUnavailable  Reason = "unavailable"   // no backend server can be reached
	ReasonReplaced     Reason = "replaced"      // the backend server was restarted since the sender's view of it
	ReasonNotFound     Reason = "not-found"     // the model or service isn't listed
	ReasonShuttingDown Reason = "shutting-down" // this process is stopping
	ReasonCancelled    Reason = "cancelled"     // the caller disconnected
)

// Refusal is the final response to a request that is not served by its sender.
type Refusal struct {
	RequestID string  `cbor:"1,keyasint"`
	Outcome   Outcome `cbor:"2,keyasint"`
	Reason    Reason  `cbor:"3,keyasint"`
	Detail    string  `cbor:"4,keyasint,omitempty"`
	// RetryAfterMillis is the time after which to retry, in milliseconds.
	RetryAfterMillis uint32 `cbor:"5,keyasint"`
	// BetterRunner is an agent that may be able to serve the request, or empty.
	BetterRunner string `cbor:"6,keyasint,omitempty"`
	// BetterIncarnation is set with ReasonBoundElse.
	BetterIncarnation string  `cbor:"7,keyasint,omitempty"`
	Status            *Status `cbor:"8,keyasint,omitempty"`
}

// Accepted reports that the request waits or runs at the agent.
type Accepted struct {
	RequestID   string  `cbor:"1,keyasint"`
	Incarnation string  `cbor:"2,keyasint"`
	Status      *Status `cbor:"3,keyasint,omitempty"`
}

// Head starts a response.
type Head struct {
	RequestID   string `cbor:"1,keyasint"`
	StatusCode  int    `cbor:"2,keyasint"`
	ContentType string `cbor:"3,keyasint,omitempty"`
}

// Chunk contains the part of a response at a byte offset.
type Chunk struct {
	RequestID string `cbor:"1,keyasint"`
	Offset    int64  `cbor:"2,keyasint"`
	Data      []byte `cbor:"3,keyasint"`
}

// End ends a response. The receiver must compare Length and Sum before it forwards
// the response as complete.
type End struct {
	RequestID string `cbor:"1,keyasint"`
	Length    int64  `cbor:"2,keyasint"`
	// Sum is the xxhash64 of the response's bytes.
	Sum    uint64  `cbor:"3,keyasint"`
	Status *Status `cbor:"4,keyasint,omitempty"`
}

// Resume requests the rest of a response after its connection was lost.
type Resume struct {
	RequestID   string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Offset      int64  `cbor:"3,keyasint"`
}

// Probe requests an agent's status.
type Probe struct {
	// Leaving informs the agent that the host list shows its host as leaving.
	Leaving bool `cbor:"1,keyasint,omitempty"`
}

// Status is an agent's report of its state.
type Status struct {
	Runner      string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	// Sequence increases with each status of an incarnation, so that delayed ones are
	// recognised.
	Sequence uint64 `cbor:"3,keyasint"`
	Leaving  bool   `cbor:"4,keyasint,omitempty"`
	Running  int    `cbor:"5,keyasint"`
	Queued   int    `cbor:"6,keyasint"`
	// QueuedTokens is the estimated work of the waiting requests.
	QueuedTokens int64 `cbor:"7,keyasint"`
	// Slots is the number of concurrently running requests.
	Slots         int           `cbor:"8,keyasint"`
	MemoryMiB     int64         `cbor:"9,keyasint,omitempty"`
	FreeMemoryMiB int64         `cbor:"10,keyasint,omitempty"`
	Models        []ModelStatus `cbor:"11,keyasint,omitempty"`
	ListsRevision int64         `cbor:"12,keyasint,omitempty"`
	Services      []string      `cbor:"13,keyasint,omitempty"`
}

// CacheTier is the locality of a model's checkpoint at a runner.
type CacheTier uint8

// The tiers, from the slowest to the fastest.
const (
	CacheRemote CacheTier = iota
	CacheDisk
	CacheMemory
)

// String returns the tier's name in logs.
func (t CacheTier) String() string {
	switch t {
	case CacheMemory:
		return "memory"
	case CacheDisk:
		return "disk"
	default:
		return "store"
	}
}

// ModelState is the state of a model at a runner.
type ModelState uint8

// The states of a model at a runner.
const (
	ModelAbsent ModelState = iota
	ModelLoading
	ModelLoaded
	ModelUnloading
)

// String returns the state's name in logs.
func (s ModelState) String() string {
	switch s {
	case ModelLoading:
		return "loading"
	case ModelLoaded:
		return "loaded"
	case ModelUnloading:
		return "unloading"
	default:
		return "absent"
	}
}

// ModelStatus is the state of one model at a runner. Models that are neither cached
// nor loaded and have no permit are omitted.
type ModelStatus struct {
	Model   string     `cbor:"1,keyasint"`
	Version string     `cbor:"2,keyasint"`
	State   ModelState `cbor:"3,keyasint,omitempty"`
	Cache   CacheTier  `cbor:"4,keyasint,omitempty"`
	// Queued is the number of requests that wait for the model.
	Queued int `cbor:"5,keyasint,omitempty"`
	// WaitMillis is the expected wait of a new request in milliseconds.
	WaitMillis uint32 `cbor:"6,keyasint,omitempty"`
}
