package wire

import "teaselgauge.example/teaselgauge/pkg/resumption"

// Follow opens a stream on which a gateway sends its view of the site's agents to
// another one. Each change is sent as a SiteUpdate; an empty SiteUpdate serves as a
// heartbeat.
type Follow struct {
	// Entry is the host ID of the gateway that opens the stream.
	Entry string `cbor:"1,keyasint"`
	// FailureDomain requests the agents of one failure domain only, with complete
	// statuses. Empty requests summaries for the whole site.
	FailureDomain string `cbor:"2,keyasint,omitempty"`
}

// AgentUpdate is a change of the record of an agent.
type AgentUpdate struct {
	Host            string `cbor:"1,keyasint"`
	InternalAddress string `cbor:"2,keyasint,omitempty"`
	FailureDomain   string `cbor:"3,keyasint,omitempty"`
	// Runner is the address of the model runner on the agent's host.
	Runner string `cbor:"4,keyasint,omitempty"`
	// Connected is set if a gateway has a connection to the agent.
	Connected bool `cbor:"5,keyasint,omitempty"`
	// Status is nil if it hasn't changed.
	Status *RunnerStatus `cbor:"6,keyasint,omitempty"`
}

// ServerUpdate is a new or changed backend server.
type ServerUpdate struct {
	ID            string `cbor:"1,keyasint"`
	Service       string `cbor:"2,keyasint"`
	Address       string `cbor:"3,keyasint"`
	FailureDomain string `cbor:"4,keyasint,omitempty"`
	Slots         int    `cbor:"5,keyasint,omitempty"`
	// Draining servers accept no new requests.
	Draining bool `cbor:"6,keyasint,omitempty"`
	// ColdMillis is the remaining time of slower operation after the server's start.
	ColdMillis uint32 `cbor:"7,keyasint,omitempty"`
	// StartedAtMillis is the Unix time of the server's start; it distinguishes
	// incarnations with the same ID.
	StartedAtMillis int64 `cbor:"8,keyasint,omitempty"`
	// Sequence increases with each registration of one incarnation.
	Sequence int64 `cbor:"9,keyasint,omitempty"`
	// Software is the version of the server's software.
	Software string `cbor:"10,keyasint,omitempty"`
}

// EntryUpdate is a new or changed entry.
type EntryUpdate struct {
	Host            string `cbor:"1,keyasint"`
	InternalAddress string `cbor:"2,keyasint"`
	FailureDomain   string `cbor:"3,keyasint,omitempty"`
	// Processor is the entry's share of a processor core; zero if unknown.
	Processor float64 `cbor:"4,keyasint,omitempty"`
	// Revision is the revision of the entry's registration.
	Revision int64 `cbor:"5,keyasint,omitempty"`
}

// SiteUpdate contains the changes since the previous one on the stream.
type SiteUpdate struct {
	// Complete is set if everything that isn't listed has been removed.
	Complete       bool           `cbor:"1,keyasint,omitempty"`
	Agents         []AgentUpdate  `cbor:"2,keyasint,omitempty"`
	RemovedAgents  []string       `cbor:"3,keyasint,omitempty"`
	Servers        []ServerUpdate `cbor:"4,keyasint,omitempty"`
	RemovedServers []string       `cbor:"5,keyasint,omitempty"`
	Entries        []EntryUpdate  `cbor:"6,keyasint,omitempty"`
	RemovedEntries []string       `cbor:"7,keyasint,omitempty"`
	// Configuration is the version of the sender's active configuration.
	Configuration int64 `cbor:"8,keyasint,omitempty"`
	// StoreAgeMillis is the age of the sender's view of the backend servers in the
	// store.
	StoreAgeMillis uint32 `cbor:"9,keyasint,omitempty"`
	// Software is nil if it hasn't changed, or isn't known.
	Software *SoftwareHistory `cbor:"10,keyasint,omitempty"`
}

// SoftwareHistory lists the versions of software that were in service lately, by service.
// Revision is that of the key in the store.
type SoftwareHistory struct {
	Revision int64                         `cbor:"1,keyasint"`
	Services map[string][]resumption.Usage `cbor:"2,keyasint"`
}
