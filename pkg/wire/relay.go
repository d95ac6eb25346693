package wire

// Follow opens a stream on which a gateway that knows of the site's agents passes
// on what it knows to another one. Each change comes as a SiteUpdate; an empty one
// comes if there is none for a while.
type Follow struct {
	// Entry is the host ID of the gateway that follows.
	Entry string `cbor:"1,keyasint"`
	// FailureDomain asks for the agents of one failure domain only, with all that
	// they say. Empty asks for what a gateway needs of the whole site.
	FailureDomain string `cbor:"2,keyasint,omitempty"`
}

// AgentUpdate is a change of what is known of an agent.
type AgentUpdate struct {
	Host          string `cbor:"1,keyasint"`
	Inner         string `cbor:"2,keyasint,omitempty"`
	FailureDomain string `cbor:"3,keyasint,omitempty"`
	// Runner is the address of the model runner beside the agent.
	Runner string `cbor:"4,keyasint,omitempty"`
	// Connected tells that a gateway hears the agent.
	Connected bool `cbor:"5,keyasint,omitempty"`
	// Status is nil if it hasn't changed.
	Status *RunnerStatus `cbor:"6,keyasint,omitempty"`
}

// ServerUpdate is a backend server that has come or changed.
type ServerUpdate struct {
	ID            string `cbor:"1,keyasint"`
	Service       string `cbor:"2,keyasint"`
	Address       string `cbor:"3,keyasint"`
	FailureDomain string `cbor:"4,keyasint,omitempty"`
	Slots         int    `cbor:"5,keyasint,omitempty"`
	// Draining servers take no new work.
	Draining        bool   `cbor:"6,keyasint,omitempty"`
	ColdMillis      uint32 `cbor:"7,keyasint,omitempty"`
	StartedAtMillis int64  `cbor:"8,keyasint,omitempty"`
	Sequence        int64  `cbor:"9,keyasint,omitempty"`
}

// EntryUpdate is an entry that has come or changed.
type EntryUpdate struct {
	Host          string  `cbor:"1,keyasint"`
	Inner         string  `cbor:"2,keyasint"`
	FailureDomain string  `cbor:"3,keyasint,omitempty"`
	Processor     float64 `cbor:"4,keyasint,omitempty"`
	Revision      int64   `cbor:"5,keyasint,omitempty"`
}

// SiteUpdate tells what has changed since the one before it on the stream.
type SiteUpdate struct {
	// Complete tells that all that isn't named is gone.
	Complete       bool           `cbor:"1,keyasint,omitempty"`
	Agents         []AgentUpdate  `cbor:"2,keyasint,omitempty"`
	RemovedAgents  []string       `cbor:"3,keyasint,omitempty"`
	Servers        []ServerUpdate `cbor:"4,keyasint,omitempty"`
	RemovedServers []string       `cbor:"5,keyasint,omitempty"`
	Entries        []EntryUpdate  `cbor:"6,keyasint,omitempty"`
	RemovedEntries []string       `cbor:"7,keyasint,omitempty"`
	// Configuration is the version in force at the sender.
	Configuration int64 `cbor:"8,keyasint,omitempty"`
	// StoreAgeMillis is how long ago the sender last heard from the store what
	// backend servers there are.
	StoreAgeMillis uint32 `cbor:"9,keyasint,omitempty"`
}
