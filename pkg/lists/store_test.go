package lists

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	"teaselgauge.example/teaselgauge/pkg/keyvalue"
	"teaselgauge.example/teaselgauge/pkg/keyvalue/keyvaluetest"
)

// maxValueBytes is the key-value service's size limit of a value.
const maxValueBytes = 1 << 20

// large returns lists with many adapters of version base.
func large(adapters int, base string) (Plans, Allowances) {
	plans, allowances := sample()
	for i := range adapters {
		allowances.Adapters = append(allowances.Adapters, Adapter{
			Name: fmt.Sprintf("adapter-%05d", i), Version: base, Model: "m", MemoryMiB: 64,
		})
	}
	return plans, allowances
}

func mustPut(t *testing.T, store *Store, expected int64, plans Plans, allowances Allowances) int64 {
	t.Helper()
	revision, err := store.Put(t.Context(), expected, plans, allowances, "test")
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

func mustGet(t *testing.T, store *Store) Snapshot {
	t.Helper()
	snapshot, err := store.Get(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

func stored(t *testing.T, kv *keyvaluetest.Store) map[string][]byte {
	t.Helper()
	result, err := kv.Range(t.Context(), "/site/", true)
	if err != nil {
		t.Fatal(err)
	}
	values := make(map[string][]byte)
	for _, value := range result.Values {
		values[value.Key] = value.Value
	}
	return values
}

func TestPutAndGet(t *testing.T) {
	kv := keyvaluetest.NewStore(1)
	store := NewStore(kv, "/site")
	if snapshot := mustGet(t, store); snapshot.Revision != 0 {
		t.Errorf("empty store has revision %d", snapshot.Revision)
	}
	plans, allowances := sample()
	first := mustPut(t, store, 0, plans, allowances)
	want := Snapshot{Revision: first, Plans: plans, Allowances: allowances}
	if got := mustGet(t, NewStore(kv, "/site")); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v\nwant %+v", got, want)
	}
	var conflict *ConflictError
	if _, err := store.Put(t.Context(), 0, plans, allowances, "test"); !errors.As(err, &conflict) || conflict.Current != first {
		t.Errorf("second put with expected revision 0: %v", err)
	}
	second := mustPut(t, store, first, plans, allowances)
	if second <= first {
		t.Errorf("revision %d after %d", second, first)
	}
	plans.Plans[0].Weight = 0
	var checkErr *CheckError
	if _, err := store.Put(t.Context(), second, plans, allowances, "test"); !errors.As(err, &checkErr) {
		t.Errorf("invalid lists: %v", err)
	}
}

// TestTargetSize checks that 12,000 adapters can be stored and that a small edit
// writes little.
func TestTargetSize(t *testing.T) {
	const adapters = 12_000
	kv := keyvaluetest.NewStore(1)
	store := NewStore(kv, "/site")
	plans, allowances := large(adapters, "1")
	for i := range allowances.Adapters {
		// Versions that look like digests compress poorly.
		allowances.Adapters[i].Version = sumOf([]byte{byte(i), byte(i >> 8)})[:40]
	}
	revision := mustPut(t, store, 0, plans, allowances)
	before := stored(t, kv)
	report(t, "12,000 adapters", before)
	allowances.Adapters = slices.Insert(allowances.Adapters, adapters/2, Adapter{Name: "new", Version: "1", Model: "n", MemoryMiB: 1})
	mustPut(t, store, revision, plans, allowances)
	after := stored(t, kv)
	maps.DeleteFunc(after, func(key string, _ []byte) bool {
		_, ok := before[key]
		return ok && key != store.ManifestKey()
	})
	report(t, "written by one inserted adapter", after)
	if len(after) > 3 {
		t.Errorf("one inserted adapter wrote %d values, want the manifest and at most two chunks", len(after))
	}
	if got := mustGet(t, NewStore(kv, "/site")); len(got.Allowances.Adapters) != len(allowances.Adapters) {
		t.Errorf("read back %d adapters", len(got.Allowances.Adapters))
	}
}

// report logs the sizes of values and checks them against the limits.
func report(t *testing.T, name string, values map[string][]byte) {
	t.Helper()
	total, largest := 0, 0
	for key, value := range values {
		total += len(value)
		largest = max(largest, len(value))
		if strings.Contains(key, "/chunks/") && len(value) > MaxStoredChunkBytes || len(value) > maxValueBytes {
			t.Errorf("%s has %d bytes", key, len(value))
		}
	}
	t.Logf("%s: %d values, %d bytes, largest %d", name, len(values), total, largest)
}

func TestIncompressibleChunksFit(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	raw := make([]byte, maxRawChunkBytes)
	for i := range raw {
		raw[i] = byte(random.Uint32())
	}
	value, err := deflate(raw)
	if err != nil || len(value) > MaxStoredChunkBytes {
		t.Errorf("%d random bytes stored as %d, %v", len(raw), len(value), err)
	}
}

// TestUnreferencedChunksAreDeleted checks that exactly the chunks of the retained
// manifests are stored, also when contents that were dropped recur.
func TestUnreferencedChunksAreDeleted(t *testing.T) {
	kv := keyvaluetest.NewStore(1)
	store := NewStore(kv, "/site")
	var revision int64
	random := rand.New(rand.NewPCG(1, 1))
	for range 5 * retainedManifests {
		plans, allowances := large(600, fmt.Sprint(random.IntN(2*retainedManifests)))
		revision = mustPut(t, store, revision, plans, allowances)
		checkChunks(t, store, stored(t, kv))
	}
	// The next accepted change deletes the chunks of a change that had a conflict.
	racing := &racingStore{Store: kv, before: func() {
		plans, allowances := large(600, "winner")
		mustPut(t, store, revision, plans, allowances)
	}}
	loser := NewStore(racing, "/site")
	plans, allowances := large(600, "loser")
	var conflict *ConflictError
	if _, err := loser.Put(t.Context(), revision, plans, allowances, "test"); !errors.As(err, &conflict) {
		t.Fatalf("concurrent put: error %v, want *ConflictError", err)
	}
	plans, allowances = large(600, "next")
	mustPut(t, loser, conflict.Current, plans, allowances)
	checkChunks(t, store, stored(t, kv))
}

// checkChunks compares the stored chunks with those that the manifest references.
func checkChunks(t *testing.T, store *Store, values map[string][]byte) {
	t.Helper()
	current, err := parseManifest(values[store.ManifestKey()])
	if err != nil {
		t.Fatal(err)
	}
	references := current.references()
	for sum := range references {
		if _, ok := values[store.chunkPrefix+sum]; !ok {
			t.Errorf("chunk %s of a retained manifest is deleted", sum)
		}
	}
	if surplus := len(values) - 1 - len(references); surplus != 0 {
		t.Errorf("%d stored chunks are not referenced by a retained manifest", surplus)
	}
}

// racingStore runs a function once, before or after the first replacement of the
// manifest. In the latter case the response is lost.
type racingStore struct {
	*keyvaluetest.Store
	before, after func()
}

func (s *racingStore) Txn(ctx context.Context, conditions []keyvalue.Compare, changes []keyvalue.Op) (keyvalue.TxnResult, error) {
	if len(conditions) > 0 && s.before != nil {
		before := s.before
		s.before = nil
		before()
	}
	result, err := s.Store.Txn(ctx, conditions, changes)
	if len(conditions) > 0 && s.after != nil {
		after := s.after
		s.after = nil
		after()
		err = &keyvalue.StoreError{Op: "txn", Uncertain: true, Err: keyvaluetest.ErrResponseLost}
	}
	return result, err
}

// TestLostResponseBeforeFurtherChanges loses the response to a change and applies
// further changes before its outcome is read back.
func TestLostResponseBeforeFurtherChanges(t *testing.T) {
	cases := []struct {
		others int
		// known reports whether the retained manifests still show the outcome.
		known bool
	}{{0, true}, {1, true}, {retainedManifests - 1, true}, {retainedManifests, false}}
	for _, c := range cases {
		t.Run(fmt.Sprintf("others=%d", c.others), func(t *testing.T) {
			kv := keyvaluetest.NewStore(1)
			other := NewStore(kv, "/site")
			plans, allowances := sample()
			var applied int64
			racing := &racingStore{Store: kv, after: func() {
				applied = mustGet(t, other).Revision
				for range c.others {
					mustPut(t, other, mustGet(t, other).Revision, plans, allowances)
				}
			}}
			got, err := NewStore(racing, "/site").Put(t.Context(), 0, plans, allowances, "test")
			var uncertain *UncertainError
			if c.known && (err != nil || got != applied) || !c.known && !errors.As(err, &uncertain) {
				t.Errorf("applied as %d, reported %d, %v", applied, got, err)
			}
		})
	}
}

// slowReader runs a function before the first read of a chunk.
type slowReader struct {
	*keyvaluetest.Store
	before func()
}

func (s *slowReader) Range(ctx context.Context, key string, prefix bool) (keyvalue.RangeResult, error) {
	if strings.Contains(key, "/chunks/") && s.before != nil {
		before := s.before
		s.before = nil
		before()
	}
	return s.Store.Range(ctx, key, prefix)
}

// TestChunksDeletedWhileReading replaces the lists during a read until the chunks of
// the manifest that was read are deleted.
func TestChunksDeletedWhileReading(t *testing.T) {
	kv := keyvaluetest.NewStore(1)
	writer := NewStore(kv, "/site")
	var revision int64
	putNext := func() {
		plans, allowances := large(1, fmt.Sprint(revision))
		revision = mustPut(t, writer, revision, plans, allowances)
	}
	putNext()
	reader := NewStore(&slowReader{Store: kv, before: func() {
		for range retainedManifests + 1 {
			putNext()
		}
	}}, "/site")
	if got := mustGet(t, reader); got.Revision != revision {
		t.Errorf("read revision %d, want %d", got.Revision, revision)
	}
}

// TestLostResponses writes to a store that loses requests and responses and compares
// the reported outcome with the stored state.
func TestLostResponses(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { loseResponses(t, seed) })
		})
	}
}

func loseResponses(t *testing.T, seed uint64) {
	kv := keyvaluetest.NewStore(seed)
	store := NewStore(kv, "/site")
	plans, allowances := sample()
	var revision int64
	for i := range 5 {
		plans.Plans[0].Customer = fmt.Sprint(i)
		kv.SetFaults(keyvaluetest.Faults{LoseResponses: 0.4, LoseRequests: 0.3})
		got, err := store.Put(t.Context(), revision, plans, allowances, "test")
		kv.SetFaults(keyvaluetest.Faults{})
		snapshot := mustGet(t, store)
		applied := snapshot.Revision != revision
		var uncertain *UncertainError
		if err == nil && (!applied || got != snapshot.Revision) || err != nil && applied && !errors.As(err, &uncertain) {
			t.Errorf("change %d: applied %v as %d, reported %d, %v", i, applied, snapshot.Revision, got, err)
		}
		revision = snapshot.Revision
	}
}

func TestUnreadableRevision(t *testing.T) {
	other, err := deflate([]byte(`{"policy":{}}` + "\n"))
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct{ name, manifest string }{
		{"not JSON", "x"},
		{"another format", `{"format": 9, "change_id": "", "author": "", "chunks": []}`},
		{"missing chunk", `{"format": 1, "change_id": "", "author": "", "chunks": ["11"]}`},
		{"chunk with other content", `{"format": 1, "change_id": "", "author": "", "chunks": ["00"]}`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			kv := keyvaluetest.NewStore(1)
			store := NewStore(kv, "/site")
			_, err := kv.Txn(t.Context(), nil, []keyvalue.Op{
				{Key: store.ManifestKey(), Value: []byte(c.manifest)},
				{Key: store.chunkPrefix + "00", Value: other},
			})
			if err != nil {
				t.Fatal(err)
			}
			var unreadable *UnreadableError
			if _, err := store.Get(t.Context()); !errors.As(err, &unreadable) || unreadable.Revision != 1 {
				t.Errorf("error %v", err)
			}
			plans, allowances := sample()
			mustPut(t, store, 1, plans, allowances)
			mustGet(t, store)
		})
	}
}

func TestSnapshotTransfer(t *testing.T) {
	plans, allowances := sample()
	want := Snapshot{Revision: 5, Plans: plans, Allowances: allowances}
	data := fullUpdate(t, want)
	got, err := NewRelay().DecodeUpdate(data)
	if err != nil {
		t.Fatal(err)
	}
	wantJSON, _ := json.Marshal(want)
	gotJSON, _ := json.Marshal(got)
	if string(gotJSON) != string(wantJSON) {
		t.Errorf("got %s\nwant %s", gotJSON, wantJSON)
	}
	if _, err := NewRelay().DecodeUpdate(data[:len(data)/2]); err == nil {
		t.Error("a truncated update was accepted")
	}
}

// fullUpdate returns the update for a process without lists.
func fullUpdate(tb testing.TB, snapshot Snapshot) []byte {
	tb.Helper()
	relay := NewRelay()
	if _, err := relay.Publish(snapshot); err != nil {
		tb.Fatal(err)
	}
	data, err := relay.Update(0)
	if err != nil {
		tb.Fatal(err)
	}
	return data
}
