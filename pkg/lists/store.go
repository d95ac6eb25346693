package lists

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/google/uuid"

	"teaselgauge.example/teaselgauge/pkg/keyvalue"
)

const (
	// readAttempts limits the number of attempts of Get, which restarts when a newer
	// revision deletes chunks during the read.
	readAttempts = 4
	// maxBatchBytes and maxBatchOps limit the size of one transaction.
	maxBatchBytes = 512 << 10
	maxBatchOps   = 64
)

// Store keeps the lists in the key-value service as content-addressed chunks and one
// manifest, which is replaced by compare-and-swap. The manifest's modification
// revision is the revision of the lists. A Store is safe for concurrent use.
type Store struct {
	kv          keyvalue.Store
	manifestKey string
	chunkPrefix string

	mu sync.Mutex
	// cache holds the raw chunks of the last revision read, by digest.
	cache map[string][]byte
	// orphans holds the chunks written by this store for changes that failed with
	// a conflict. The next accepted change deletes them.
	orphans map[string]bool
}

// NewStore returns a store whose keys start with prefix, which may be empty.
func NewStore(kv keyvalue.Store, prefix string) *Store {
	if prefix != "" {
		prefix += "/"
	}
	return &Store{
		kv:          kv,
		manifestKey: prefix + "lists/manifest",
		chunkPrefix: prefix + "lists/chunks/",
		cache:       make(map[string][]byte),
		orphans:     make(map[string]bool),
	}
}

// ManifestKey returns the key that changes with every revision, for watches.
func (s *Store) ManifestKey() string { return s.manifestKey }

// Get reads the current revision. Only chunks that are not cached from the last read
// are fetched. If there are no lists yet, it returns a snapshot of revision zero. It
// returns an *UnreadableError if the stored revision cannot be decoded.
func (s *Store) Get(ctx context.Context) (Snapshot, error) {
	for attempt := 1; ; attempt++ {
		snapshot, err := s.get(ctx)
		var missing *missingChunkError
		if !errors.As(err, &missing) || attempt == readAttempts {
			return snapshot, err
		}
	}
}

func (s *Store) get(ctx context.Context) (Snapshot, error) {
	current, revision, err := s.readManifest(ctx)
	if err != nil || current == nil {
		return Snapshot{}, err
	}
	raw, err := s.readChunks(ctx, current.Chunks)
	if err != nil {
		if isStoreError(err) {
			return Snapshot{}, fmt.Errorf("lists: %w", err)
		}
		return Snapshot{}, &UnreadableError{Revision: revision, Err: err}
	}
	plans, allowances, err := join(raw)
	if err != nil {
		return Snapshot{}, &UnreadableError{Revision: revision, Err: err}
	}
	return Snapshot{Revision: revision, Plans: plans, Allowances: allowances}, nil
}

func isStoreError(err error) bool {
	var storeErr *keyvalue.StoreError
	return errors.As(err, &storeErr)
}

// readManifest returns nil and revision zero if there is no manifest.
func (s *Store) readManifest(ctx context.Context) (*manifest, int64, error) {
	result, err := s.kv.Range(ctx, s.manifestKey, false)
	if err != nil {
		return nil, 0, fmt.Errorf("lists: %w", err)
	}
	if len(result.Values) == 0 {
		return nil, 0, nil
	}
	value := result.Values[0]
	current, err := parseManifest(value.Value)
	if err != nil {
		return nil, value.ModRevision, &UnreadableError{Revision: value.ModRevision, Err: err}
	}
	return current, value.ModRevision, nil
}

// missingChunkError indicates that a chunk of a manifest is not stored.
type missingChunkError struct{ sum string }

func (e *missingChunkError) Error() string { return "chunk " + e.sum + " is missing" }

// readChunks returns the concatenated chunks and replaces the cache with them.
func (s *Store) readChunks(ctx context.Context, sums []string) ([]byte, error) {
	fresh := make(map[string][]byte, len(sums))
	var raw []byte
	for _, sum := range sums {
		part, err := s.readChunk(ctx, sum)
		if err != nil {
			return nil, err
		}
		if len(raw)+len(part) > MaxDocumentBytes {
			return nil, ErrTooLarge
		}
		fresh[sum] = part
		raw = append(raw, part...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache = fresh
	return raw, nil
}

func (s *Store) readChunk(ctx context.Context, sum string) ([]byte, error) {
	if part, ok := s.cached(sum); ok {
		return part, nil
	}
	result, err := s.kv.Range(ctx, s.chunkPrefix+sum, false)
	if err != nil {
		return nil, err
	}
	if len(result.Values) == 0 {
		return nil, &missingChunkError{sum: sum}
	}
	part, err := inflate(result.Values[0].Value, maxRawChunkBytes)
	if err != nil {
		return nil, fmt.Errorf("chunk %s: %w", sum, err)
	}
	if sumOf(part) != sum {
		return nil, fmt.Errorf("chunk %s holds other content", sum)
	}
	return part, nil
}

func (s *Store) cached(sum string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	part, ok := s.cache[sum]
	return part, ok
}

// Put validates both documents and makes them the current revision if the current
// one is still expectedRevision; zero means that there is none yet. It returns the
// new revision. Errors are *CheckError, *ConflictError or *UncertainError; any other
// error means that the change was not applied.
func (s *Store) Put(ctx context.Context, expectedRevision int64, plans Plans, allowances Allowances, author string) (int64, error) {
	if err := Check(plans, allowances); err != nil {
		return 0, err
	}
	chunks, err := split(plans, allowances)
	if err != nil {
		return 0, err
	}
	current, revision, err := s.readManifest(ctx)
	var unreadable *UnreadableError
	if err != nil && !errors.As(err, &unreadable) {
		return 0, err
	}
	if revision != expectedRevision {
		return 0, &ConflictError{Expected: expectedRevision, Current: revision}
	}
	if err := s.writeChunks(ctx, chunks, current.references()); err != nil {
		return 0, err
	}
	next := current.successor(revision, uuid.NewString(), author, sums(chunks))
	change := &manifestReplacement{store: s, expected: expectedRevision, next: next}
	return change.run(ctx)
}

func sums(chunks []chunk) []string {
	out := make([]string, len(chunks))
	for i, part := range chunks {
		out[i] = part.sum
	}
	return out
}

// writeChunks writes all chunks except those in stored, which the retained manifests
// reference. Other chunks are written even if they may exist already, because only
// referenced chunks are protected from deletion.
func (s *Store) writeChunks(ctx context.Context, chunks []chunk, stored map[string]bool) error {
	var batch []keyvalue.Op
	size := 0
	for _, part := range chunks {
		if stored[part.sum] {
			continue
		}
		value, err := deflate(part.raw)
		if err != nil {
			return fmt.Errorf("lists: compress: %w", err)
		}
		if len(batch) == maxBatchOps || size+len(value) > maxBatchBytes {
			if err := s.writeBatch(ctx, batch); err != nil {
				return err
			}
			batch, size = nil, 0
		}
		batch = append(batch, keyvalue.Op{Key: s.chunkPrefix + part.sum, Value: value})
		size += len(value)
		s.markOrphan(part.sum)
	}
	return s.writeBatch(ctx, batch)
}

func (s *Store) writeBatch(ctx context.Context, batch []keyvalue.Op) error {
	if len(batch) == 0 {
		return nil
	}
	return retry(ctx, func() error {
		_, err := s.kv.Txn(ctx, nil, batch)
		return err
	})
}

func (s *Store) markOrphan(sum string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orphans[sum] = true
}

// unreferencedOrphans returns the orphaned chunks that a manifest does not reference.
func (s *Store) unreferencedOrphans(m *manifest) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	refs := m.references()
	var found []string
	for sum := range s.orphans {
		if !refs[sum] {
			found = append(found, sum)
		}
	}
	slices.Sort(found)
	return found
}

func (s *Store) removeOrphans(sums []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sum := range sums {
		delete(s.orphans, sum)
	}
}
