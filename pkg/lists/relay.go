package lists

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"

	"teaselgauge.example/teaselgauge/pkg/schema"
)

// relayedRevisions is the number of revisions of which a relay knows what a
// process that has them lacks.
const relayedRevisions = 8

// ErrMissingChunks tells that an update leaves out parts that this process doesn't
// have. A request that names no known revision gets them all.
var ErrMissingChunks = errors.New("update builds on parts that are not here")

// relayUpdate is the form in which processes pass lists on to each other.
type relayUpdate struct {
	Revision int64 `json:"revision"`
	// Chunks holds the digests of all chunks of the revision, in order.
	Chunks []string `json:"chunks"`
	// Parts holds the chunks that the receiver lacks, in the order of Chunks.
	Parts []string `json:"parts"`
}

// Relay passes lists on to processes that have an earlier revision: only the
// chunks that they lack. It is safe for concurrent use.
type Relay struct {
	mu       sync.Mutex
	revision int64
	chunks   []chunk
	// history holds the digests of the last revisions, the newest last.
	history []relayedRevision
	// encoded holds updates to the current revision by the revision known.
	encoded map[int64][]byte
}

type relayedRevision struct {
	revision int64
	sums     map[string]bool
}

// NewRelay returns a relay without lists.
func NewRelay() *Relay {
	return &Relay{encoded: make(map[int64][]byte)}
}

// Publish makes a snapshot the one that is passed on, if it is newer, and tells
// whether it is.
func (r *Relay) Publish(snapshot Snapshot) (bool, error) {
	chunks, err := split(snapshot.Plans, snapshot.Allowances)
	if err != nil {
		return false, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if snapshot.Revision <= r.revision {
		return false, nil
	}
	r.revision = snapshot.Revision
	r.chunks = chunks
	r.encoded = make(map[int64][]byte)
	sums := make(map[string]bool, len(chunks))
	for _, part := range chunks {
		sums[part.sum] = true
	}
	r.history = append(r.history, relayedRevision{revision: snapshot.Revision, sums: sums})
	if len(r.history) > relayedRevisions {
		r.history = r.history[1:]
	}
	return true, nil
}

// Revision returns the revision that is passed on, or zero.
func (r *Relay) Revision() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// Update returns what a process with the known revision needs for the current
// one; nil if it needs nothing. Zero or a revision that isn't remembered gets
// everything.
func (r *Relay) Update(known int64) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known >= r.revision {
		return nil, nil
	}
	base := r.sumsOf(known)
	if base == nil {
		known = 0
	}
	if data, ok := r.encoded[known]; ok {
		return data, nil
	}
	data, err := encodeUpdate(r.revision, r.chunks, base)
	if err != nil {
		return nil, err
	}
	r.encoded[known] = data
	return data, nil
}

// sumsOf returns the digests of a remembered revision, or nil.
func (r *Relay) sumsOf(revision int64) map[string]bool {
	for _, entry := range r.history {
		if entry.revision == revision {
			return entry.sums
		}
	}
	return nil
}

func encodeUpdate(revision int64, chunks []chunk, base map[string]bool) ([]byte, error) {
	update := relayUpdate{Revision: revision, Chunks: sums(chunks)}
	for _, part := range chunks {
		if !base[part.sum] {
			update.Parts = append(update.Parts, string(part.raw))
		}
	}
	data, err := json.Marshal(update)
	if err != nil {
		return nil, fmt.Errorf("lists: encode update: %w", err)
	}
	return deflate(data)
}

// DecodeUpdate reads an update of another process's relay with the help of the parts
// that were published here. The error wraps ErrMissingChunks if some are missing.
// It doesn't publish the snapshot, which isn't checked yet.
func (r *Relay) DecodeUpdate(data []byte) (Snapshot, error) {
	raw, err := inflate(data, 2*MaxDocumentBytes)
	if err != nil {
		return Snapshot{}, fmt.Errorf("lists: update: %w", err)
	}
	var update relayUpdate
	if err := schema.Decode(raw, &update); err != nil {
		return Snapshot{}, fmt.Errorf("lists: update: %w", err)
	}
	document, err := assemble(update, r.parts())
	if err != nil {
		return Snapshot{}, fmt.Errorf("lists: update to revision %d: %w", update.Revision, err)
	}
	plans, allowances, err := join(document)
	if err != nil {
		return Snapshot{}, fmt.Errorf("lists: update to revision %d: %w", update.Revision, err)
	}
	return Snapshot{Revision: update.Revision, Plans: plans, Allowances: allowances}, nil
}

func (r *Relay) parts() map[string][]byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	parts := make(map[string][]byte, len(r.chunks))
	for _, part := range r.chunks {
		parts[part.sum] = part.raw
	}
	return parts
}

// assemble joins the chunks of an update, whose digests tell them apart.
func assemble(update relayUpdate, parts map[string][]byte) ([]byte, error) {
	for _, part := range update.Parts {
		parts[sumOf([]byte(part))] = []byte(part)
	}
	var document []byte
	for _, sum := range update.Chunks {
		part, ok := parts[sum]
		if !ok {
			return nil, ErrMissingChunks
		}
		if len(document)+len(part) > MaxDocumentBytes {
			return nil, ErrTooLarge
		}
		document = append(document, part...)
	}
	return document, nil
}
