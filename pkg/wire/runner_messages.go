package wire

import (
	"slices"
	"strings"
)

// Subscribe opens a stream on which an agent reports its runner's status to a
// gateway, and the gateway sends the runner's placement to the agent. The first
// status is complete, later ones are partial.
type Subscribe struct {
	// Entry is the host ID of the gateway.
	Entry string `cbor:"1,keyasint"`
}

// EngineModel is a model that an engine's runners may have a permit for.
type EngineModel struct {
	Name       string `cbor:"1,keyasint"`
	MiB        int64  `cbor:"2,keyasint"`
	AdapterMiB int64  `cbor:"3,keyasint,omitempty"`
	// The durations of a load from the weight store, from disk and from memory, in
	// milliseconds.
	RemoteLoadMillis uint32 `cbor:"4,keyasint"`
	DiskLoadMillis   uint32 `cbor:"5,keyasint"`
	MemoryLoadMillis uint32 `cbor:"6,keyasint"`
}

// Engine is the operator's configuration of a runner's service.
type Engine struct {
	// Version is the version of the configuration.
	Version int64 `cbor:"1,keyasint"`
	// Slots is the number of concurrently running requests.
	Slots        int           `cbor:"2,keyasint"`
	MiB          int64         `cbor:"3,keyasint"`
	AdapterSlots int           `cbor:"4,keyasint,omitempty"`
	Models       []EngineModel `cbor:"5,keyasint,omitempty"`
}

// ModelPermit allows a runner to hold a model.
type ModelPermit struct {
	Model string `cbor:"1,keyasint"`
	// Rank is the rank of the runner's permit for the model, starting at 1.
	Rank int `cbor:"2,keyasint"`
	// Keep is set if the runner keeps the model loaded without requests.
	Keep bool `cbor:"3,keyasint,omitempty"`
	// Interactive is set if the model is requested by interactive requests, which
	// can't wait for a load.
	Interactive bool `cbor:"4,keyasint,omitempty"`
	// Copy is set if the runner loads the model once if it has no local copy of the
	// weights.
	Copy bool `cbor:"5,keyasint,omitempty"`
	// Rate is the number of interactive requests per second at the time when the
	// placement was decided.
	Rate float64 `cbor:"6,keyasint,omitempty"`
}

// RunnerPlacement is the part of a placement for one runner.
type RunnerPlacement struct {
	// Revision is the modification revision of the placement in the key-value service;
	// zero if there is none.
	Revision int64 `cbor:"1,keyasint,omitempty"`
	// AsOf is the revision up to which the sender knows that no newer placement was
	// written.
	AsOf int64 `cbor:"2,keyasint"`
	// Instance and StartedAtMillis are the ID and the incarnation from the runner's
	// registration.
	Instance        string        `cbor:"3,keyasint,omitempty"`
	StartedAtMillis int64         `cbor:"4,keyasint,omitempty"`
	Permits         []ModelPermit `cbor:"5,keyasint,omitempty"`
	// Engine is nil if it hasn't changed since it was last sent on the stream.
	Engine *Engine `cbor:"6,keyasint,omitempty"`
	// PrefillNanosPerToken is the prefill time per token at the site's runners, in
	// nanoseconds; zero if it is unknown.
	PrefillNanosPerToken int64 `cbor:"7,keyasint,omitempty"`
}

// RunnerLoadGrant is the coordinator's load grant for a model in the weight store.
type RunnerLoadGrant struct {
	Model string `cbor:"1,keyasint"`
}

// RunnerModel is the state of a model at a runner.
type RunnerModel struct {
	Name  string     `cbor:"1,keyasint"`
	State ModelState `cbor:"2,keyasint,omitempty"`
	Tier  CacheTier  `cbor:"3,keyasint,omitempty"`
	// Waiting and Running are numbers of requests.
	Waiting int `cbor:"4,keyasint,omitempty"`
	Running int `cbor:"5,keyasint,omitempty"`
	// Interactive and Batch are the rates of requests that can't and can wait for a
	// load, per second.
	Interactive float64 `cbor:"6,keyasint,omitempty"`
	Batch       float64 `cbor:"7,keyasint,omitempty" json:"Patient"`
	// AwaitsLoadGrant is set if a load from the weight store waits for the
	// coordinator's load grant.
	AwaitsLoadGrant bool `cbor:"8,keyasint,omitempty" json:"WantsStart"`
	// FromStore is set if a load from the weight store is running.
	FromStore bool `cbor:"9,keyasint,omitempty"`
	// Wanted is set if a request waits for the model or is expected to be retried.
	Wanted bool `cbor:"10,keyasint,omitempty"`
	// WaitMillis is a coarse estimate of the time to load the model if it is requested
	// now, in milliseconds; zero if it is loaded.
	WaitMillis uint32 `cbor:"11,keyasint,omitempty"`
	// PermitRank is the rank of the runner's permit for the model, starting at 1; zero
	// if it has none.
	PermitRank int `cbor:"12,keyasint,omitempty" json:"Permit"`
	// PrefillShare is the share of time that the runner spends on prefill for the
	// model.
	PrefillShare float64 `cbor:"13,keyasint,omitempty" json:"Reading"`
	// EventMillis is the mean interval between the events of the model's streams lately, in
	// milliseconds; zero if there were too few.
	EventMillis uint32 `cbor:"14,keyasint,omitempty"`
}

// RunnerStatus is an agent's report of its runner's state. Models that are neither
// loaded nor cached locally nor wanted are omitted. The state dump contains it as
// JSON; json tags give the keys that differ from the field names.
type RunnerStatus struct {
	Instance          string `cbor:"1,keyasint,omitempty"`
	StartedAtMillis   int64  `cbor:"2,keyasint,omitempty" json:"BornMillis"`
	PlacementRevision int64  `cbor:"3,keyasint,omitempty" json:"PlanRevision"`
	// A Leaving runner accepts no new requests; a runner that is Down is unreachable
	// for its agent.
	Leaving bool          `cbor:"4,keyasint,omitempty"`
	Down    bool          `cbor:"5,keyasint,omitempty"`
	Slots   int           `cbor:"6,keyasint,omitempty"`
	Running int           `cbor:"7,keyasint,omitempty"`
	Waiting int           `cbor:"8,keyasint,omitempty"`
	Models  []RunnerModel `cbor:"9,keyasint,omitempty"`
	// Failing is set if many of the runner's requests fail.
	Failing bool `cbor:"10,keyasint,omitempty"`
	// Partial is set if Models contains only the models that differ from the previous
	// status on the stream, and Dropped the names of those that are omitted from now
	// on.
	Partial bool     `cbor:"11,keyasint,omitempty"`
	Dropped []string `cbor:"12,keyasint,omitempty"`
	// LoadPercent is the load of the runner by its slots, by prefill or by its rate
	// limit, whichever is highest; 100 is what it can serve well.
	LoadPercent int `cbor:"13,keyasint,omitempty"`
	// PrefillNanosPerToken is the runner's prefill time per token, in nanoseconds;
	// zero if it is unknown.
	PrefillNanosPerToken int64 `cbor:"14,keyasint,omitempty" json:"TokenNanos"`
	// Limited is set if the runner names a rate limit, LimitPerSecond is the number
	// of requests a second that it accepts from all hosts together.
	Limited        bool    `cbor:"15,keyasint,omitempty"`
	LimitPerSecond float64 `cbor:"16,keyasint,omitempty"`
	// NotRunning is set if no process accepts connections at the runner's address, as
	// after a crash. It is set long before Down, which also covers a runner that
	// doesn't respond.
	NotRunning bool `cbor:"17,keyasint,omitempty"`
	// Quarantine is what the agent has decided about requests that crash servers; nil
	// if it has no evidence, and in a partial status if it hasn't changed. It is
	// immutable.
	Quarantine *Quarantine `cbor:"18,keyasint,omitempty"`
}

// FindModel returns the index of a model in a list that is ordered by name, or the
// index at which it would be inserted.
func FindModel(models []RunnerModel, name string) (at int, found bool) {
	return slices.BinarySearchFunc(models, name, func(m RunnerModel, name string) int {
		return strings.Compare(m.Name, name)
	})
}

// fullLoadPercent is the LoadPercent of a runner with as much load as it can serve
// well.
const fullLoadPercent = 100

// Load returns LoadPercent as a fraction of what the runner can serve well.
func (s *RunnerStatus) Load() float64 { return float64(s.LoadPercent) / fullLoadPercent }

// SetLoad sets LoadPercent from a fraction of what the runner can serve well.
func (s *RunnerStatus) SetLoad(load float64) { s.LoadPercent = int(fullLoadPercent * load) }

// Acquire requests a lease on a model, and on an adapter if one is set, for one
// request. The response is Granted or Refusal, possibly after a wait. The lease
// lasts until the stream ends.
type Acquire struct {
	RequestID string `cbor:"1,keyasint"`
	Model     string `cbor:"2,keyasint"`
	Adapter   string `cbor:"3,keyasint,omitempty"`
	Route     string `cbor:"4,keyasint"`
	// Priority is the priority of the route; 0 is the highest.
	Priority int `cbor:"5,keyasint,omitempty"`
	// DeadlineMillis is the time left for the complete response, StartMillis the time
	// in which the request must start, TargetMillis the target time to its first
	// event.
	DeadlineMillis uint32 `cbor:"6,keyasint"`
	StartMillis    uint32 `cbor:"7,keyasint"`
	TargetMillis   uint32 `cbor:"8,keyasint"`
	// Tokens is the estimated work, PromptTokens its prefill part.
	Tokens       int64 `cbor:"9,keyasint,omitempty"`
	PromptTokens int64 `cbor:"10,keyasint,omitempty"`
	// Repeated is set if another agent has accepted the request before and so counted
	// it as demand.
	Repeated bool `cbor:"11,keyasint,omitempty"`
	// Stream is nil if the caller can't resume the response.
	Stream *StreamAttempt `cbor:"12,keyasint,omitempty"`
}

// Released ends a lease and reports how the request ended. A lease also ends with
// its stream.
type Released struct {
	// Failed is set if the runner failed to process the request: its response was
	// lost, truncated or missing.
	Failed bool `cbor:"1,keyasint,omitempty"`
	// FirstMillis is the time from sending the request to the first event of its
	// response; zero if there was none.
	FirstMillis uint32 `cbor:"2,keyasint,omitempty"`
	// Begun is set if the caller has an event of the stream that the request is for.
	Begun bool `cbor:"3,keyasint,omitempty"`
	// EventMicros is the mean interval between the events of the stream, in microseconds;
	// zero if there were too few.
	EventMicros uint32 `cbor:"4,keyasint,omitempty"`
}

// Granted reports that the request may be sent to the runner now.
type Granted struct {
	// WaitedMillis is how long the request waited for the lease.
	WaitedMillis uint32 `cbor:"1,keyasint,omitempty"`
}
