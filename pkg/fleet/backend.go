package fleet

import "time"

// BackendState is what a backend server says of its willingness.
type BackendState uint8

// The states of a backend server.
const (
	BackendReady BackendState = iota
	// BackendDraining servers finish what they have and take no new work.
	BackendDraining
)

// String returns the state's name.
func (s BackendState) String() string {
	if s == BackendDraining {
		return "draining"
	}
	return "ready"
}

// LoadedModel is a model that a runner holds, with its adapters.
type LoadedModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// Backend is one backend server as it registered itself.
type Backend struct {
	// ID is unique among the living servers.
	ID            string
	Service       string
	Address       string
	FailureDomain string
	// Software is the version of the server's software.
	Software string
	Slots    int
	State    BackendState
	// WarmupRemaining is how much longer the server stays slow after its start.
	WarmupRemaining time.Duration
	// Models are what a runner held when it registered; nil for plain services.
	Models []LoadedModel
	// StartedAtMillis is the Unix time of the server's start in milliseconds; zero if
	// it told none. It tells incarnations with the same ID apart.
	StartedAtMillis int64
	// Sequence grows with each write of one incarnation.
	Sequence int64
}
