package lists

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"

	"teaselgauge.example/teaselgauge/pkg/schema"
)

// maxRelayHistory is the number of recent revisions against which a relay can
// compute a delta.
const maxRelayHistory = 8

// ErrMissingChunks indicates that a delta update omits chunks that this process
// does not have. Requesting an update from revision zero returns all chunks.
var ErrMissingChunks = errors.New("update omits chunks that this process does not have")

// relayUpdate is the encoded form of an update between processes.
type relayUpdate struct {
	Revision int64 `json:"revision"`
	// Chunks holds the digests of all chunks of the revision, in document order.
	Chunks []string `json:"chunks"`
	// Parts holds the contents of the chunks that the receiver lacks, in document
	// order.
	Parts []string `json:"parts"`
}

// Relay distributes lists to processes that have an earlier revision. It sends only
// the chunks that they lack. It is safe for concurrent use.
type Relay struct {
	mu       sync.Mutex
	revision int64
	chunks   []chunk
	// history holds the chunk digests of recent revisions, newest last.
	history []relayedRevision
	// encoded caches updates to the current revision by the receiver's revision.
	encoded map[int64][]byte
}

type relayedRevision struct {
	revision int64
	sums     map[string]bool
}

// NewRelay returns an empty relay.
func NewRelay() *Relay {
	return &Relay{encoded: make(map[int64][]byte)}
}

// Publish makes a snapshot the current one if it is newer, and reports whether it
// did.
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
	if len(r.history) > maxRelayHistory {
		r.history = r.history[1:]
	}
	return true, nil
}

// Revision returns the current revision, or zero if there is none.
func (r *Relay) Revision() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// Update returns an encoded update from the known revision to the current one, or
// nil if there is nothing newer. The update from zero or from a revision outside the
// history contains all chunks.
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

// sumsOf returns the digests of a revision in the history, or nil.
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

// DecodeUpdate decodes an update from another process's relay. Chunks that the
// update omits are taken from the published revision; the error wraps
// ErrMissingChunks if some are missing there. It neither validates nor publishes
// the snapshot.
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

// assemble concatenates the chunks of an update. parts holds the contents of known
// chunks by digest; those in the update are added to it.
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
