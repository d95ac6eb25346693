package wire

import (
	"math"

	"teaselgauge.example/teaselgauge/pkg/hostlist"
)

// Sync requests everything newer than the given revisions. The response is delayed
// until there is a change or WaitMillis have passed.
type Sync struct {
	ListsRevision     int64  `cbor:"1,keyasint,omitempty"`
	PlacementRevision int64  `cbor:"2,keyasint,omitempty"`
	WaitMillis        uint32 `cbor:"3,keyasint,omitempty"`
	// HostsSum is the checksum of the sender's host list; zero for none, and NoHosts
	// from senders that read the platform's list themselves.
	HostsSum uint64 `cbor:"5,keyasint,omitempty"`
	// Runner is set by agents, which receive placements but no lists: a request
	// contains what an agent needs of the lists.
	Runner string `cbor:"4,keyasint,omitempty"`
}

// Update is the response to Sync. Empty fields mean no change.
type Update struct {
	ListsRevision int64 `cbor:"1,keyasint,omitempty"`
	// Lists is an update by lists.Relay to ListsRevision.
	Lists             []byte      `cbor:"2,keyasint,omitempty"`
	PlacementRevision int64       `cbor:"3,keyasint,omitempty"`
	Placements        []Placement `cbor:"4,keyasint,omitempty"`
	Hosts             *HostUpdate `cbor:"5,keyasint,omitempty"`
}

// NoHosts in Sync requests no host list.
const NoHosts = math.MaxUint64

// HostUpdate is the change from one host list to another.
type HostUpdate struct {
	// Sum is the checksum of the new list.
	Sum uint64 `cbor:"1,keyasint"`
	// Base is the checksum of the list that the update applies to; zero means none,
	// and Hosts is the complete list.
	Base uint64 `cbor:"2,keyasint,omitempty"`
	// Hosts contains the new and changed hosts.
	Hosts []hostlist.Host `cbor:"3,keyasint,omitempty"`
	// Removed contains the IDs of the removed hosts.
	Removed []string `cbor:"4,keyasint,omitempty"`
}

// Placement is the set of permits of one model version, as stored in the key-value
// service.
type Placement struct {
	Model   string `cbor:"1,keyasint" json:"model"`
	Version string `cbor:"2,keyasint" json:"version"`
	// Revision is the modification revision in the key-value service.
	Revision int64    `cbor:"3,keyasint" json:"-"`
	Permits  []Permit `cbor:"4,keyasint" json:"permits"`
	// MemoryMiB is the accelerator memory of one replica.
	MemoryMiB int64 `cbor:"5,keyasint,omitempty" json:"memory_mib,omitempty"`
}

// Permit allows one runner to hold one replica. The order of permits in a placement
// is the order in which entries prefer the runners.
type Permit struct {
	Runner string `cbor:"1,keyasint" json:"runner"`
	// Epoch is unique among the permits of a model and increases.
	Epoch   int64 `cbor:"2,keyasint" json:"epoch"`
	Revoked bool  `cbor:"3,keyasint,omitempty" json:"revoked,omitempty"`
	// Keep instructs the runner to keep the replica loaded without requests.
	Keep bool `cbor:"4,keyasint,omitempty" json:"keep,omitempty"`
}

// LoadRequest requests a load grant from the entry that coordinates the weight
// store.
type LoadRequest struct {
	Runner  string `cbor:"1,keyasint"`
	Model   string `cbor:"2,keyasint"`
	Version string `cbor:"3,keyasint"`
	// Waiting is the number of requests that wait for the load.
	Waiting int `cbor:"4,keyasint"`
	// DeadlineMillis is the time left for the one with the earliest deadline.
	DeadlineMillis uint32 `cbor:"5,keyasint"`
	// Done is set if the message reports a completed load instead of requesting one.
	Done bool `cbor:"6,keyasint,omitempty"`
	// TookMillis is the duration of the completed load.
	TookMillis uint32 `cbor:"7,keyasint,omitempty"`
}

// LoadGrant is the response to LoadRequest.
type LoadGrant struct {
	// WaitMillis is how long to wait before the load may start.
	WaitMillis uint32 `cbor:"1,keyasint"`
	// Position is the number of loads that begin before this one.
	Position int `cbor:"2,keyasint"`
}
