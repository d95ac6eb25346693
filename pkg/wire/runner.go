package wire

import (
	"slices"
	"strings"
)

// Subscribe opens a stream on which an agent tells a gateway of its runner, and
// the gateway tells the agent of the placement. The first status is whole, later
// ones are partial.
type Subscribe struct {
	// Entry is the host ID of the gateway.
	Entry string `cbor:"1,keyasint"`
}

// EngineModel is a model that an engine's runners may be allowed to hold.
type EngineModel struct {
	Name       string `cbor:"1,keyasint"`
	MiB        int64  `cbor:"2,keyasint"`
	AdapterMiB int64  `cbor:"3,keyasint,omitempty"`
	// The durations of a load from the weight store, the disk and the memory, in
	// milliseconds.
	RemoteLoadMillis uint32 `cbor:"4,keyasint"`
	DiskLoadMillis   uint32 `cbor:"5,keyasint"`
	MemoryLoadMillis uint32 `cbor:"6,keyasint"`
}

// Engine is what the operator's configuration says of a runner's service.
type Engine struct {
	// Version is that of the configuration.
	Version int64 `cbor:"1,keyasint"`
	// Slots is how many requests run at once.
	Slots        int           `cbor:"2,keyasint"`
	MiB          int64         `cbor:"3,keyasint"`
	AdapterSlots int           `cbor:"4,keyasint,omitempty"`
	Models       []EngineModel `cbor:"5,keyasint,omitempty"`
}

// ModelPermit allows a runner to hold a model.
type ModelPermit struct {
	Model string `cbor:"1,keyasint"`
	// Rank is the runner's place among the permits of the model, from 1 on.
	Rank int `cbor:"2,keyasint"`
	// Keep tells that the runner holds the model without requests.
	Keep bool `cbor:"3,keyasint,omitempty"`
	// Interactive tells that the model is asked for by requests that can't wait
	// for a load.
	Interactive bool `cbor:"4,keyasint,omitempty"`
	// Copy tells that the runner loads the model once if it has no copy of the
	// weights.
	Copy bool `cbor:"5,keyasint,omitempty"`
	// Rate is in interactive requests a second, as it was when the placement was
	// decided.
	Rate float64 `cbor:"6,keyasint,omitempty"`
}

// RunnerPlacement is the part of a placement that concerns one runner.
type RunnerPlacement struct {
	// Revision is the key-value service's modification revision of the placement;
	// zero if there is none.
	Revision int64 `cbor:"1,keyasint,omitempty"`
	// AsOf is the revision up to which the sender knows that no newer placement
	// was written.
	AsOf int64 `cbor:"2,keyasint"`
	// Instance and StartedAtMillis are the runner's ID and incarnation as it
	// registered itself.
	Instance        string        `cbor:"3,keyasint,omitempty"`
	StartedAtMillis int64         `cbor:"4,keyasint,omitempty"`
	Permits         []ModelPermit `cbor:"5,keyasint,omitempty"`
	// Engine is nil if it is the one that was sent last on the stream.
	Engine *Engine `cbor:"6,keyasint,omitempty"`
	// PrefillNanosPerToken is how long a runner of the site takes to read a token of a prompt, in
	// nanoseconds; zero if nobody has learned it.
	PrefillNanosPerToken int64 `cbor:"7,keyasint,omitempty"`
}

// StartLoad is the coordinator's leave to load a model from the weight store.
type StartLoad struct {
	Model string `cbor:"1,keyasint"`
}

// RunnerModel is the state of a model at a runner.
type RunnerModel struct {
	Name  string     `cbor:"1,keyasint"`
	State ModelState `cbor:"2,keyasint,omitempty"`
	Tier  CacheTier  `cbor:"3,keyasint,omitempty"`
	// Waiting and Running count requests.
	Waiting int `cbor:"4,keyasint,omitempty"`
	Running int `cbor:"5,keyasint,omitempty"`
	// Interactive and Patient are requests a second that can't and can wait for
	// a load.
	Interactive float64 `cbor:"6,keyasint,omitempty"`
	Batch       float64 `cbor:"7,keyasint,omitempty"`
	// AwaitsLoadGrant tells that a load from the weight store waits for the
	// coordinator's leave.
	AwaitsLoadGrant bool `cbor:"8,keyasint,omitempty"`
	// FromStore tells that a load from the weight store is under way.
	FromStore bool `cbor:"9,keyasint,omitempty"`
	// Wanted tells that a request waits for the model, or is expected back.
	Wanted bool `cbor:"10,keyasint,omitempty"`
	// WaitMillis is the expected time until the model is loaded if it is asked for
	// now, in milliseconds and coarsely; zero if it is loaded.
	WaitMillis uint32 `cbor:"11,keyasint,omitempty"`
	// PermitRank is the runner's place among the permits of the model, from 1 on; zero
	// if it has none.
	PermitRank int `cbor:"12,keyasint,omitempty"`
	// PrefillShare is the part of its time that the runner reads prompts for the model.
	PrefillShare float64 `cbor:"13,keyasint,omitempty"`
}

// RunnerStatus is what an agent says of its runner. Models that are neither held
// nor near nor wanted are left out.
type RunnerStatus struct {
	Instance          string `cbor:"1,keyasint,omitempty"`
	StartedAtMillis   int64  `cbor:"2,keyasint,omitempty"`
	PlacementRevision int64  `cbor:"3,keyasint,omitempty"`
	// Leaving runners take no new work; the agent of one that is Down can't reach
	// it.
	Leaving bool          `cbor:"4,keyasint,omitempty"`
	Down    bool          `cbor:"5,keyasint,omitempty"`
	Slots   int           `cbor:"6,keyasint,omitempty"`
	Running int           `cbor:"7,keyasint,omitempty"`
	Waiting int           `cbor:"8,keyasint,omitempty"`
	Models  []RunnerModel `cbor:"9,keyasint,omitempty"`
	// Failing tells that the runner fails at many of its requests.
	Failing bool `cbor:"10,keyasint,omitempty"`
	// Partial tells that Models holds only those that differ from the status before
	// it on the stream, and Dropped the names of those that are left out from now
	// on.
	Partial bool     `cbor:"11,keyasint,omitempty"`
	Dropped []string `cbor:"12,keyasint,omitempty"`
	// LoadPercent is the load of the runner, by its slots or by the prompts that it
	// reads, whichever is more; 100 is what it can serve well.
	LoadPercent int `cbor:"13,keyasint,omitempty"`
	// PrefillNanosPerToken is how long the runner takes to read a token of a prompt, in
	// nanoseconds; zero while it isn't known.
	PrefillNanosPerToken int64 `cbor:"14,keyasint,omitempty"`
}

// FindModel returns the place of a model among models that are ordered by name, or
// where it would stand.
func FindModel(models []RunnerModel, name string) (at int, found bool) {
	return slices.BinarySearchFunc(models, name, func(m RunnerModel, name string) int {
		return strings.Compare(m.Name, name)
	})
}

// loadUnit is the LoadPercent of a runner with as much load as it can serve well.
const loadUnit = 100

// Load is LoadPercent as a part of what the runner can serve well.
func (s *RunnerStatus) Load() float64 { return float64(s.LoadPercent) / loadUnit }

// SetLoad sets LoadPercent by a part of what the runner can serve well.
func (s *RunnerStatus) SetLoad(load float64) { s.LoadPercent = int(loadUnit * load) }

// Acquire asks for the use of a model, and of an adapter if it names one, for one
// request. Granted or Refusal answers it, possibly after a wait. The use lasts
// until the stream ends.
type Acquire struct {
	RequestID string `cbor:"1,keyasint"`
	Model     string `cbor:"2,keyasint"`
	Adapter   string `cbor:"3,keyasint,omitempty"`
	Route     string `cbor:"4,keyasint"`
	// Priority ranks routes; 0 is the most urgent.
	Priority int `cbor:"5,keyasint,omitempty"`
	// DeadlineMillis is the time left for the whole answer, StartMillis the time
	// in which the request must start, TargetMillis that in which its first event
	// is on time.
	DeadlineMillis uint32 `cbor:"6,keyasint"`
	StartMillis    uint32 `cbor:"7,keyasint"`
	TargetMillis   uint32 `cbor:"8,keyasint"`
	// Tokens is the estimated work, PromptTokens the part that is read first.
	Tokens       int64 `cbor:"9,keyasint,omitempty"`
	PromptTokens int64 `cbor:"10,keyasint,omitempty"`
	// Repeated tells that another agent has taken the request in before, and so
	// counted it as demand.
	Repeated bool `cbor:"11,keyasint,omitempty"`
}

// Released ends a use and tells how the request ended. A use also ends with its
// stream.
type Released struct {
	// Failed tells that the runner failed at the request: its answer was lost, cut
	// or no answer at all.
	Failed bool `cbor:"1,keyasint,omitempty"`
	// FirstMillis is the time from the sending of the request to the first event of
	// its answer; zero if there was none.
	FirstMillis uint32 `cbor:"2,keyasint,omitempty"`
}

// Granted tells that the request may be sent to the runner now.
type Granted struct {
	// WaitedMillis is how long the request waited for it.
	WaitedMillis uint32 `cbor:"1,keyasint,omitempty"`
}
