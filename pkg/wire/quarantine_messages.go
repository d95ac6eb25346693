package wire

import (
	"math"
	"slices"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backpressure"
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
	// Report identifies the report, which may be sent more than once.
	Report uint64 `cbor:"7,keyasint,omitempty"`
}

// EvidenceHandover gives a detector that has begun anew what the sending gateway knows of
// the crashes of a service's servers. The sender waits until the stream is closed, which
// confirms it, as it does after a CrashReport.
type EvidenceHandover struct {
	Service string          `cbor:"1,keyasint"`
	Crashes []CrashReport   `cbor:"2,keyasint,omitempty"`
	Starts  []ResponseStart `cbor:"3,keyasint,omitempty"`
	// Blocks are the signatures that the gateway refuses, Kept says more on each of them,
	// in the same order.
	Blocks []quarantine.Signature `cbor:"4,keyasint,omitempty"`
	Kept   []KeptBlock            `cbor:"5,keyasint,omitempty"`
}

// BlockQuery asks another gateway which requests it refuses. A gateway that has just
// started sends it.
type BlockQuery struct{}

// BlockAnswer is the answer: the signatures, and more on each of them, in the same order.
type BlockAnswer struct {
	// Starting is set if the gateway has just started itself and hasn't learned all blocks.
	Starting bool                   `cbor:"3,keyasint,omitempty"`
	Blocks   []quarantine.Signature `cbor:"1,keyasint,omitempty"`
	Kept     []KeptBlock            `cbor:"2,keyasint,omitempty"`
}

// KeptBlock is what a gateway needs to know of a block to give it to another detector.
type KeptBlock struct {
	Service string `cbor:"1,keyasint"`
	// MadeMillis is the time since the block was made or renewed, CrashMillis that since
	// the last crash with its signature, of which CrashReport identifies a report.
	MadeMillis  uint32 `cbor:"2,keyasint"`
	CrashMillis uint32 `cbor:"3,keyasint"`
	CrashReport uint64 `cbor:"4,keyasint,omitempty"`
}

// CrashSuspect is a request that may have crashed its server.
type CrashSuspect struct {
	Fingerprints []quarantine.Fingerprint `cbor:"1,keyasint"`
	// Begun is set if the server had just begun a response.
	Begun bool `cbor:"2,keyasint,omitempty"`
}

// StartReport reports that responses to requests under suspicion have started.
type StartReport struct {
	// Service is empty if the report isn't for the detector of one service.
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
	// Instance identifies the agent's process. The next one has none of its evidence.
	Instance uint64 `cbor:"3,keyasint,omitempty"`
	// Kept says more on each of Blocks, in the same order. The ages are those at the time
	// at which the agent published the value.
	Kept []KeptBlock `cbor:"4,keyasint,omitempty"`
	// Ended are the signatures of blocks that a start has ended lately, EndedMillis the
	// times since the starts, in the same order.
	Ended       []quarantine.Signature `cbor:"5,keyasint,omitempty"`
	EndedMillis []uint32               `cbor:"6,keyasint,omitempty"`
}

// IsEmpty reports whether the agent has decided nothing.
func (q *Quarantine) IsEmpty() bool { return len(q.Watched)+len(q.Blocks)+len(q.Ended) == 0 }

// Equal reports whether two values are the same. Both may be nil.
func (q *Quarantine) Equal(other *Quarantine) bool {
	if q == other || q == nil || other == nil {
		return q == other
	}
	return q.SameDecisions(other) && slices.Equal(q.Kept, other.Kept) && slices.Equal(q.EndedMillis, other.EndedMillis)
}

// SameDecisions reports whether two values differ in the ages of blocks at most.
func (q *Quarantine) SameDecisions(other *Quarantine) bool {
	isSameCrash := func(a, b KeptBlock) bool { return a.Service == b.Service && a.CrashReport == b.CrashReport }
	return q.Instance == other.Instance && slices.Equal(q.Watched, other.Watched) &&
		slices.EqualFunc(q.Blocks, other.Blocks, slices.Equal[quarantine.Signature]) &&
		slices.EqualFunc(q.Ended, other.Ended, slices.Equal[quarantine.Signature]) &&
		slices.EqualFunc(q.Kept, other.Kept, isSameCrash)
}

// Decode returns the crash that a report received now is about.
func (r *CrashReport) Decode(now time.Time) quarantine.Crash {
	crash := quarantine.Crash{
		Report: r.Report,
		Server: backpressure.Incarnation{ID: r.Server, StartedAtMillis: r.StartedAtMillis},
		At:     Ago(now, r.AgeMillis),
		Starts: DecodeStarts(now, r.Starts),
	}
	for _, suspect := range r.Suspects {
		crash.Suspects = append(crash.Suspects, quarantine.Suspect{Fingerprints: suspect.Fingerprints, Begun: suspect.Begun})
	}
	return crash
}

// DecodeStarts returns the starts that a message received now is about.
func DecodeStarts(now time.Time, reported []ResponseStart) []quarantine.Start {
	starts := make([]quarantine.Start, len(reported))
	for i, start := range reported {
		starts[i] = quarantine.Start{Fingerprint: start.Fingerprint, At: Ago(now, start.AgeMillis)}
	}
	return starts
}

// EncodeBlocks returns the signatures of blocks, and more on each of them.
func EncodeBlocks(now time.Time, blocks []quarantine.Block) ([]quarantine.Signature, []KeptBlock) {
	signatures, kept := make([]quarantine.Signature, len(blocks)), make([]KeptBlock, len(blocks))
	for i, block := range blocks {
		signatures[i], kept[i] = block.Signature, EncodeKeptBlock(now, block.KeptBlock)
	}
	return signatures, kept
}

// DecodeBlocks returns the blocks that a message received now is about.
func DecodeBlocks(now time.Time, signatures []quarantine.Signature, kept []KeptBlock) []quarantine.Block {
	blocks := make([]quarantine.Block, min(len(signatures), len(kept)))
	for i := range blocks {
		blocks[i] = quarantine.Block{Signature: signatures[i], KeptBlock: kept[i].Decode(now)}
	}
	return blocks
}

// EncodeKeptBlock returns the message on a block.
func EncodeKeptBlock(now time.Time, kept quarantine.KeptBlock) KeptBlock {
	return KeptBlock{
		Service:     kept.Service,
		MadeMillis:  AgeMillis(now, kept.MadeAt),
		CrashMillis: AgeMillis(now, kept.LastCrash),
		CrashReport: kept.CrashReport,
	}
}

// Decode returns the block that a message received now is about.
func (k KeptBlock) Decode(now time.Time) quarantine.KeptBlock {
	return quarantine.KeptBlock{
		Service:     k.Service,
		MadeAt:      Ago(now, k.MadeMillis),
		LastCrash:   Ago(now, k.CrashMillis),
		CrashReport: k.CrashReport,
	}
}

// AgeMillis returns the time since an event, in milliseconds.
func AgeMillis(now, at time.Time) uint32 {
	return uint32(min(max(now.Sub(at).Milliseconds(), 0), math.MaxUint32))
}

// Ago returns the time of an event from the time since it, in milliseconds.
func Ago(now time.Time, ageMillis uint32) time.Time {
	return now.Add(-time.Duration(ageMillis) * time.Millisecond)
}
