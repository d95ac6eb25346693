package fleet

import "time"

// BackendState is whether a backend server accepts new requests, as it reports
// itself.
type BackendState uint8

// The states of a backend server.
const (
	BackendReady BackendState = iota
	// BackendDraining servers complete their requests and accept no new ones.
	BackendDraining
)

// String returns the state's name.
func (s BackendState) String() string {
	if s == BackendDraining {
		return "draining"
	}
	return "ready"
}

// LoadedModel is a model that a runner has loaded, with its adapters.
type LoadedModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// UnnamedSoftware is the version of servers whose registration names none. They are taken to
// run the same software as each other, and other software than servers that name theirs.
const UnnamedSoftware = "unnamed"

// Backend is a backend server's registration.
type Backend struct {
	// ID is unique among the running servers.
	ID            string
	Service       string
	Address       string
	FailureDomain string
	// Software is the version of the server's software.
	Software string
	Slots    int
	State    BackendState
	// WarmupRemaining is the remaining time of slower operation after the server's
	// start.
	WarmupRemaining time.Duration
	// Models are those that a runner had loaded when it registered; nil for plain
	// services.
	Models []LoadedModel
	// StartedAtMillis is the Unix time of the server's start in milliseconds; zero
	// if it wasn't reported. It distinguishes incarnations with the same ID.
	StartedAtMillis int64
	// Sequence increases with each write of one incarnation.
	Sequence int64
}
