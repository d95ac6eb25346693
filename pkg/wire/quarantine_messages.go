package wire

import (
	"slices"

	"teaselgauge.example/teaselgauge/pkg/quarantine"
)

// CrashReport reports a crash of a backend server, with the requests of the sending
// gateway that may have caused it. Fingerprints are keyed hashes.
type CrashReport struct {
	Service string `cbor:"1,keyasint"`
	// Server and StartedAtMillis identify the incarnation of the server.
	Server          string `cbor:"2,keyasint"`
	StartedAtMillis int64  `cbor:"3,keyasint,omitempty"`
	// AgeMillis is the time since the crash.
	AgeMillis uint32         `cbor:"4,keyasint"`
	Suspects  []CrashSuspect `cbor:"5,keyasint"`
	// Starts are the last starts of responses to requests with the suspects'
	// fingerprints.
	Starts []ResponseStart `cbor:"6,keyasint,omitempty"`
}

// CrashSuspect is a request that may have crashed its server.
type CrashSuspect struct {
	Fingerprints []quarantine.Fingerprint `cbor:"1,keyasint"`
	// Begun is set if the server had just begun a response.
	Begun bool `cbor:"2,keyasint,omitempty"`
}

// StartReport reports that responses to requests under suspicion have started.
type StartReport struct {
	Service string          `cbor:"1,keyasint"`
	Starts  []ResponseStart `cbor:"2,keyasint"`
}

// ResponseStart is the start of a response to a request with a fingerprint.
type ResponseStart struct {
	Fingerprint quarantine.Fingerprint `cbor:"1,keyasint"`
	// AgeMillis is the time since the start.
	AgeMillis uint32 `cbor:"2,keyasint"`
}

// Quarantine is what an agent that detects what crashes servers publishes.
type Quarantine struct {
	// Watched are the fingerprints whose starts are reported to the agent.
	Watched []quarantine.Fingerprint `cbor:"1,keyasint,omitempty"`
	// Blocks are the signatures of the requests to refuse: those that have all
	// fingerprints of one of them.
	Blocks []quarantine.Signature `cbor:"2,keyasint,omitempty"`
}

// Equal reports whether two values are the same. Both may be nil.
func (q *Quarantine) Equal(other *Quarantine) bool {
	if q == other || q == nil || other == nil {
		return q == other
	}
	return slices.Equal(q.Watched, other.Watched) && slices.EqualFunc(q.Blocks, other.Blocks, slices.Equal[quarantine.Signature])
}
