package metadatastore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"teaselgauge.example/teaselgauge/pkg/keyvalue"
	"teaselgauge.example/teaselgauge/platform"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// start returns a new stand-in and a client of it whose watches wait briefly.
func start(t *testing.T) (*Server, *platform.Store) {
	t.Helper()
	server := New()
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	t.Cleanup(server.Close)
	client := platform.NewStore(strings.TrimPrefix(listener.URL, "http://")).WithWatchWait(100 * time.Millisecond)
	t.Cleanup(client.Close)
	return server, client
}

func put(t *testing.T, client keyvalue.Store, key, value string) int64 {
	t.Helper()
	result, err := client.Txn(t.Context(), nil, []keyvalue.Op{{Key: key, Value: []byte(value)}})
	if err != nil || !result.Succeeded {
		t.Fatalf("put: %+v, %v", result, err)
	}
	return result.Revision
}

func TestReadOneKey(t *testing.T) {
	_, client := start(t)
	revision := put(t, client, "a/1", "one")
	result, err := client.Range(t.Context(), "a/1", false)
	if err != nil || len(result.Values) != 1 {
		t.Fatalf("%+v, %v", result, err)
	}
	got := result.Values[0]
	if string(got.Value) != "one" || got.ModRevision != revision || got.CreateRevision != revision || result.Revision != revision {
		t.Errorf("read %+v as of %d, want revision %d", got, result.Revision, revision)
	}
	missing, err := client.Range(t.Context(), "a/2", false)
	if err != nil || len(missing.Values) != 0 || missing.Revision != revision {
		t.Errorf("missing key: %+v, %v", missing, err)
	}
}

func TestRangeReadsAllPages(t *testing.T) {
	server, client := start(t)
	server.SetPageSize(3)
	for i := range 10 {
		put(t, client, fmt.Sprintf("a/%02d", i), fmt.Sprint(i))
	}
	put(t, client, "b", "other")
	result, err := client.Range(t.Context(), "a/", true)
	if err != nil {
		t.Fatal(err)
	}
	for i, value := range result.Values {
		if string(value.Value) != fmt.Sprint(i) {
			t.Errorf("value %d is %q", i, value.Value)
		}
	}
	if len(result.Values) != 10 {
		t.Errorf("%d values, want 10", len(result.Values))
	}
}

func TestTxnConflictReturnsCurrentState(t *testing.T) {
	_, client := start(t)
	revision := put(t, client, "k", "v")
	result, err := client.Txn(t.Context(), []keyvalue.Compare{{Key: "k"}, {Key: "other"}},
		[]keyvalue.Op{{Key: "k", Value: []byte("w")}})
	if err != nil || result.Succeeded {
		t.Fatalf("%+v, %v", result, err)
	}
	if len(result.Current) == 0 || result.Current[0].ModRevision != revision {
		t.Errorf("current = %+v, want revision %d", result.Current, revision)
	}
	deleted, err := client.Txn(t.Context(), []keyvalue.Compare{{Key: "k", ModRevision: revision}},
		[]keyvalue.Op{{Key: "k", Delete: true}})
	if err != nil || !deleted.Succeeded {
		t.Errorf("delete: %+v, %v", deleted, err)
	}
}

func TestLeaseLifecycle(t *testing.T) {
	server, client := start(t)
	lease, err := client.Grant(t.Context(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Txn(t.Context(), nil, []keyvalue.Op{{Key: "k", Value: []byte("v"), Lease: lease}}); err != nil {
		t.Fatal(err)
	}
	if err := client.KeepAlive(t.Context(), lease); err != nil {
		t.Fatal(err)
	}
	if err := client.Revoke(t.Context(), lease); err != nil {
		t.Fatal(err)
	}
	if _, revision := server.Get("k"); revision != 0 {
		t.Error("the key exists after its lease ended")
	}
	if err := client.KeepAlive(t.Context(), lease); !errors.Is(err, keyvalue.ErrLeaseEnded) {
		t.Errorf("renewal of an ended lease: %v", err)
	}
}

// delivery is one call of a watch's callback.
type delivery struct {
	revision int64
	events   []keyvalue.WatchEvent
}

// watch watches a prefix until the test ends.
func watch(t *testing.T, client keyvalue.Store, prefix string, after int64) (<-chan delivery, <-chan error) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	deliveries := make(chan delivery, 100)
	ended := make(chan error, 1)
	go func() {
		ended <- client.Watch(ctx, prefix, after, func(revision int64, events []keyvalue.WatchEvent) {
			if len(events) > 0 {
				deliveries <- delivery{revision, events}
			}
		})
		close(ended)
	}()
	t.Cleanup(func() {
		cancel()
		for range ended {
			continue
		}
	})
	return deliveries, ended
}

func TestWatchDeliversChangesInOrder(t *testing.T) {
	server, client := start(t)
	after := put(t, client, "a/1", "before")
	deliveries, _ := watch(t, client, "a/", after)
	server.Put("a/2", []byte("new"))
	server.Put("b/1", []byte("other"))
	server.Remove("a/1")
	var got []string
	for len(got) < 2 {
		for _, e := range (<-deliveries).events {
			got = append(got, fmt.Sprintf("%s deleted=%t", e.Value.Key, e.Deleted))
		}
	}
	if got[0] != "a/2 deleted=false" || got[1] != "a/1 deleted=true" {
		t.Errorf("events %q", got)
	}
}

func TestWatchOfCompactedHistory(t *testing.T) {
	server, client := start(t)
	after := put(t, client, "a/1", "1")
	put(t, client, "a/1", "2")
	server.Forget()
	_, ended := watch(t, client, "a/", after)
	if err := <-ended; !errors.Is(err, keyvalue.ErrCompacted) {
		t.Errorf("watch ended with %v, want ErrCompacted", err)
	}
}

func TestUncertainWrites(t *testing.T) {
	tests := []struct {
		name      string
		faults    Faults
		uncertain bool
		applied   bool
	}{
		{"refused with too many requests", Faults{RefuseStatus: http.StatusTooManyRequests}, false, false},
		{"refused while down", Faults{RefuseStatus: http.StatusServiceUnavailable}, false, false},
		{"failed", Faults{RefuseStatus: http.StatusInternalServerError}, true, false},
		{"response lost", Faults{LoseAnswers: true}, true, true},
		{"applied late", Faults{ApplyAfter: 10 * time.Millisecond}, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server, client := start(t)
			server.SetFaults(test.faults)
			_, err := client.Txn(t.Context(), nil, []keyvalue.Op{{Key: "k", Value: []byte("v")}})
			if err == nil || keyvalue.IsUncertain(err) != test.uncertain {
				t.Errorf("error %v, uncertain %t, want %t", err, keyvalue.IsUncertain(err), test.uncertain)
			}
			if calls := server.Calls().Writes; calls != 1 {
				t.Errorf("%d calls, want one: a change must not be sent twice", calls)
			}
			time.Sleep(2 * test.faults.ApplyAfter)
			if _, revision := server.Get("k"); (revision != 0) != test.applied {
				t.Errorf("revision %d, applied should be %t", revision, test.applied)
			}
		})
	}
}

func TestReadsAreNeverUncertain(t *testing.T) {
	server, client := start(t)
	server.SetFaults(Faults{RefuseStatus: http.StatusInternalServerError})
	if _, err := client.Range(t.Context(), "k", false); err == nil || keyvalue.IsUncertain(err) {
		t.Errorf("error %v", err)
	}
}

func TestUnresponsiveStore(t *testing.T) {
	server, client := start(t)
	server.SetFaults(Faults{Silent: true})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := client.Txn(ctx, nil, []keyvalue.Op{{Key: "k", Value: []byte("v")}})
	if !keyvalue.IsUncertain(err) {
		t.Errorf("error %v, want an uncertain one", err)
	}
	started := time.Now()
	_, ended := watch(t, client, "a/", 1)
	if err := <-ended; err == nil || time.Since(started) > 2*time.Second {
		t.Errorf("watch of an unresponsive store ended after %s with %v", time.Since(started), err)
	}
}

func TestReservedKeysAreRefused(t *testing.T) {
	_, client := start(t)
	for _, key := range []string{"op/config", "servers/x"} {
		_, err := client.Txn(t.Context(), nil, []keyvalue.Op{{Key: key, Value: []byte("v")}})
		if err == nil || keyvalue.IsUncertain(err) {
			t.Errorf("%s: %v, want a certain refusal", key, err)
		}
	}
}
