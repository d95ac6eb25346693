package metadatastore

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/keyvalue"
	"teaselgauge.example/teaselgauge/platform"
)

// eraStore is a store that can be replaced by a copy; its responses name the era.
type eraStore struct {
	mu    sync.Mutex
	era   string
	store *Server
}

func (s *eraStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	era, store := s.era, s.store
	s.mu.Unlock()
	if era != "" {
		w.Header().Set("Store-Era", era)
	}
	store.ServeHTTP(w, r)
}

func (s *eraStore) replace(t *testing.T, era string) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era, s.store = era, New()
	t.Cleanup(s.store.Close)
}

// startEra returns a store of era 1, a client of it and the eras that the client has seen; an
// error counts as -1.
func startEra(t *testing.T) (*eraStore, *platform.Store, func() []int64) {
	t.Helper()
	s := &eraStore{}
	s.replace(t, "1")
	listener := httptest.NewServer(s)
	t.Cleanup(listener.Close)
	var mu sync.Mutex
	var seen []int64
	client := platform.NewStore(strings.TrimPrefix(listener.URL, "http://")).WithWatchWait(100 * time.Millisecond).
		WithEraObserver(func(_, after int64, err error) {
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				after = -1
			}
			seen = append(seen, after)
		})
	t.Cleanup(client.Close)
	return s, client, func() []int64 {
		mu.Lock()
		defer mu.Unlock()
		return seen
	}
}

// Guards against positions that go back, as those of fencing tokens, with a store that comes back from a copy.
func TestPositionsRiseOverEras(t *testing.T) {
	s, client, seen := startEra(t)
	var before int64
	for range 5 {
		before = put(t, client, "a/1", "x")
	}
	s.replace(t, "2")
	if after := put(t, client, "a/1", "y"); after <= before {
		t.Errorf("position %d after %d", after, before)
	}
	if got := seen(); len(got) != 2 || got[0] != 1 || got[1] != 2 {
		t.Errorf("eras %v, want 1 and 2", got)
	}
}

// Guards against a write on the condition of a revision that the store has given out again.
func TestConditionOfEarlierEraFails(t *testing.T) {
	s, client, _ := startEra(t)
	before := put(t, client, "a/1", "x")
	s.replace(t, "2")
	again := put(t, client, "a/1", "y")
	condition := []keyvalue.Compare{{Key: "a/1", ModRevision: before}}
	result, err := client.Txn(t.Context(), condition, []keyvalue.Op{{Key: "a/1", Value: []byte("z")}})
	if err != nil || result.Succeeded || len(result.Current) != 1 || result.Current[0].ModRevision != again {
		t.Errorf("%+v, %v, want a conflict with the position %d", result, err, again)
	}
	condition[0].ModRevision = again
	if result, err := client.Txn(t.Context(), condition, []keyvalue.Op{{Key: "a/1", Value: []byte("z")}}); err != nil || !result.Succeeded {
		t.Errorf("%+v, %v, want success at the current position", result, err)
	}
}

// Guards against a watch that goes on from a revision of another history.
func TestWatchFromEarlierEraIsCompacted(t *testing.T) {
	s, client, _ := startEra(t)
	before := put(t, client, "a/1", "x")
	s.replace(t, "2")
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	err := client.Watch(ctx, "a/", before, func(int64, []keyvalue.WatchEvent) {})
	if !errors.Is(err, keyvalue.ErrCompacted) {
		t.Errorf("%v, want the watch to end", err)
	}
}

// Guards against an era that falls, is missing or isn't a number.
func TestUnusableErasAreReported(t *testing.T) {
	s, client, seen := startEra(t)
	before := put(t, client, "a/1", "x")
	for _, era := range []string{"0", "x", strconv.Itoa(1 << 20)} {
		s.mu.Lock()
		s.era = era
		s.mu.Unlock()
		if after := put(t, client, "a/1", "y"); after <= before {
			t.Errorf("era %q: position %d after %d", era, after, before)
		}
		if got := seen(); got[len(got)-1] != -1 {
			t.Errorf("era %q isn't reported", era)
		}
	}
	s.mu.Lock()
	s.era = ""
	s.mu.Unlock()
	if after := put(t, client, "a/1", "y"); after <= before {
		t.Errorf("no era: position %d after %d", after, before)
	}
}
