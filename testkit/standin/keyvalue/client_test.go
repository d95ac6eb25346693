package keyvalue

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"reflect"
	"sort"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"teaselgauge.example/teaselgauge/pkg/keyvalue"
	"teaselgauge.example/teaselgauge/pkg/settings"
)

// waitTimeout bounds the wait for an event that must happen.
const waitTimeout = 30 * time.Second

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

type testingT interface {
	Cleanup(func())
	Fatal(...any)
}

// start returns a new stand-in and a client of it.
func start(t testingT) (*Server, *keyvalue.Etcd) {
	server := New()
	listener := httptest.NewServer(server)
	t.Cleanup(server.Close)
	t.Cleanup(listener.Close)
	client, err := keyvalue.NewEtcd(settings.KeyValue{Endpoints: []string{listener.URL + "/"}, Prefix: "/"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return server, client
}

func put(t *testing.T, client *keyvalue.Etcd, key, value string) int64 {
	t.Helper()
	result, err := client.Txn(t.Context(), nil, []keyvalue.Op{{Key: key, Value: []byte(value)}})
	if err != nil || !result.Succeeded {
		t.Fatalf("put: %+v, %v", result, err)
	}
	return result.Revision
}

// referenceStore is a reference implementation of the store's content.
type referenceStore struct {
	revision int64
	keys     map[string]keyvalue.KeyValue
}

func (r *referenceStore) txn(conditions []keyvalue.Compare, changes []keyvalue.Op) keyvalue.TxnResult {
	for _, condition := range conditions {
		if r.keys[condition.Key].ModRevision != condition.ModRevision {
			return keyvalue.TxnResult{Revision: r.revision, Current: r.read(conditions)}
		}
	}
	r.apply(changes)
	return keyvalue.TxnResult{Succeeded: true, Revision: r.revision}
}

func (r *referenceStore) read(conditions []keyvalue.Compare) []keyvalue.KeyValue {
	var current []keyvalue.KeyValue
	for _, condition := range conditions {
		if kv, ok := r.keys[condition.Key]; ok {
			current = append(current, kv)
		}
	}
	return current
}

func (r *referenceStore) apply(changes []keyvalue.Op) {
	next, changed := r.revision+1, false
	for _, change := range changes {
		kv, existed := r.keys[change.Key]
		if change.Delete {
			delete(r.keys, change.Key)
			changed = changed || existed
			continue
		}
		if !existed {
			kv.CreateRevision = next
		}
		kv.Key, kv.Value, kv.ModRevision = change.Key, change.Value, next
		r.keys[change.Key] = kv
		changed = true
	}
	if changed {
		r.revision = next
	}
}

func (r *referenceStore) prefix(prefix string) []keyvalue.KeyValue {
	values := []keyvalue.KeyValue{}
	for key, kv := range r.keys {
		if strings.HasPrefix(key, prefix) {
			values = append(values, kv)
		}
	}
	sort.Slice(values, func(i, j int) bool { return values[i].Key < values[j].Key })
	return values
}

// TestTransactionsAndRangesMatchReference runs generated transactions and reads
// through the client and compares each result with that of the reference.
func TestTransactionsAndRangesMatchReference(t *testing.T) {
	key := rapid.SampledFrom([]string{"/a", "/a/1", "/a/2", "/b\xff", "/b\xff1"})
	rapid.Check(t, func(t *rapid.T) {
		_, client := start(t)
		want := &referenceStore{revision: 1, keys: map[string]keyvalue.KeyValue{}}
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			conditions, changes := drawTxn(t, key, want)
			result, err := client.Txn(context.Background(), conditions, changes)
			if expected := want.txn(conditions, changes); err != nil || !reflect.DeepEqual(result, expected) {
				t.Fatalf("txn(%v, %v) = %+v, %v, want %+v", conditions, changes, result, err, expected)
			}
			prefix := key.Draw(t, "prefix")
			read, err := client.Range(context.Background(), prefix, true)
			expected := keyvalue.RangeResult{Revision: want.revision, Values: want.prefix(prefix)}
			if err != nil || !reflect.DeepEqual(read, expected) {
				t.Fatalf("range(%q) = %+v, %v, want %+v", prefix, read, err, expected)
			}
		}
	})
}

func drawTxn(t *rapid.T, key *rapid.Generator[string], want *referenceStore) ([]keyvalue.Compare, []keyvalue.Op) {
	var conditions []keyvalue.Compare
	for _, name := range rapid.SliceOfNDistinct(key, 0, 3, rapid.ID).Draw(t, "compared") {
		revision := want.keys[name].ModRevision
		if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
			revision++
		}
		conditions = append(conditions, keyvalue.Compare{Key: name, ModRevision: revision})
	}
	var changes []keyvalue.Op
	for _, name := range rapid.SliceOfNDistinct(key, 0, 3, rapid.ID).Draw(t, "changed") {
		change := keyvalue.Op{Key: name, Delete: rapid.Bool().Draw(t, "delete")}
		if !change.Delete {
			change.Value = rapid.SliceOfN(rapid.Byte(), 1, 8).Draw(t, "value")
		}
		changes = append(changes, change)
	}
	return conditions, changes
}

func TestLostResponseIsUncertainAndTakesEffect(t *testing.T) {
	server, client := start(t)
	server.SetFaults(Faults{LoseNextWriteResponses: 1})
	_, err := client.Txn(t.Context(), []keyvalue.Compare{{Key: "/a"}}, []keyvalue.Op{{Key: "/a", Value: []byte("1")}})
	if !keyvalue.IsUncertain(err) {
		t.Fatalf("error %v, want an uncertain one", err)
	}
	read, err := client.Range(t.Context(), "/a", false)
	if err != nil || len(read.Values) != 1 || string(read.Values[0].Value) != "1" {
		t.Errorf("read %+v, %v", read, err)
	}
	if counters := server.Counters(); counters.Txn != 1 || counters.LostResponses != 1 {
		t.Errorf("counters %+v, want one transaction, sent once", counters)
	}
}

// watch sends the events of a watch to a channel until the watch ends.
func watch(ctx context.Context, client *keyvalue.Etcd, after int64) (<-chan string, <-chan error) {
	events := make(chan string, 100)
	failed := make(chan error, 1)
	go func() {
		failed <- client.Watch(ctx, "/", after, func(_ int64, batch []keyvalue.WatchEvent) {
			for _, event := range batch {
				events <- fmt.Sprintf("%s=%s deleted=%v", event.Value.Key, event.Value.Value, event.Deleted)
			}
		})
	}()
	return events, failed
}

func expect[T comparable](t *testing.T, from <-chan T, want T) {
	t.Helper()
	select {
	case got := <-from:
		if got != want {
			t.Fatalf("got %v, want %v", got, want)
		}
	case <-time.After(waitTimeout):
		t.Fatalf("no %v within %v", want, waitTimeout)
	}
}

func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case got := <-from:
		return got
	case <-time.After(waitTimeout):
		t.Fatalf("nothing within %v", waitTimeout)
		panic("unreachable")
	}
}

func TestWatchResumesAfterOutage(t *testing.T) {
	server, client := start(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	events, failed := watch(ctx, client, 1)
	first := put(t, client, "/a", "1")
	expect(t, events, "/a=1 deleted=false")

	server.SetFaults(Faults{Down: true})
	var broken *keyvalue.StoreError
	if err := receive(t, failed); !errors.As(err, &broken) || keyvalue.IsCompacted(err) {
		t.Errorf("watch ended with %v", err)
	}
	_, err := client.Txn(ctx, nil, []keyvalue.Op{{Key: "/lost", Value: []byte("x")}})
	if !keyvalue.IsUncertain(err) {
		t.Errorf("write during the outage: %v, want an uncertain failure", err)
	}
	if _, err := client.Range(ctx, "/a", false); err == nil {
		t.Error("read during the outage succeeded")
	}
	server.SetFaults(Faults{})
	put(t, client, "/a", "2")
	if _, err := client.Txn(ctx, nil, []keyvalue.Op{{Key: "/a", Delete: true}}); err != nil {
		t.Fatal(err)
	}
	events, failed = watch(ctx, client, first)
	expect(t, events, "/a=2 deleted=false")
	expect(t, events, "/a= deleted=true")
	cancel()
	if err := receive(t, failed); !errors.Is(err, context.Canceled) {
		t.Errorf("watch ended with %v", err)
	}
	if got := server.Counters().Watch; got != 2 {
		t.Errorf("%d watches counted, want 2", got)
	}
}

func TestWatchReportsCompaction(t *testing.T) {
	server, client := start(t)
	put(t, client, "/a", "1")
	last := put(t, client, "/a", "2")
	server.store.Mu.Lock()
	server.store.Compact(last)
	server.store.Mu.Unlock()
	_, failed := watch(t.Context(), client, 1)
	if err := receive(t, failed); !keyvalue.IsCompacted(err) {
		t.Errorf("watch ended with %v, want a compaction", err)
	}
	events, _ := watch(t.Context(), client, last-1)
	expect(t, events, "/a=2 deleted=false")
}

func TestLeaseExpiryDeletesItsKeys(t *testing.T) {
	_, client := start(t)
	id, err := client.Grant(t.Context(), time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	events, _ := watch(t.Context(), client, 1)
	leased := keyvalue.Op{Key: "/leased", Value: []byte("x"), Lease: id}
	if _, err := client.Txn(t.Context(), nil, []keyvalue.Op{leased}); err != nil {
		t.Fatal(err)
	}
	expect(t, events, "/leased=x deleted=false")
	expect(t, events, "/leased= deleted=true")
	if _, err := client.Txn(t.Context(), nil, []keyvalue.Op{leased}); err == nil || keyvalue.IsUncertain(err) {
		t.Errorf("put with an expired lease: %v, want a certain failure", err)
	}
}

func TestValueSizeLimit(t *testing.T) {
	_, client := start(t)
	large := keyvalue.Op{Key: "/a", Value: make([]byte, maxValueBytes+1)}
	if _, err := client.Txn(t.Context(), nil, []keyvalue.Op{large}); err == nil || keyvalue.IsUncertain(err) {
		t.Errorf("value above the limit: %v, want a certain failure", err)
	}
	large.Value = large.Value[:maxValueBytes]
	if _, err := client.Txn(t.Context(), nil, []keyvalue.Op{large}); err != nil {
		t.Errorf("value at the limit: %v", err)
	}
}
