package keyvaluetest

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"

	"teaselgauge.example/teaselgauge/pkg/keyvalue"
)

func put(t *testing.T, store *Store, key, value string, lease int64, conditions ...keyvalue.Compare) keyvalue.TxnResult {
	t.Helper()
	result, err := store.Txn(t.Context(), conditions, []keyvalue.Op{{Key: key, Value: []byte(value), Lease: lease}})
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func TestCompareAndSwap(t *testing.T) {
	store := NewStore(1)
	first := put(t, store, "a", "1", 0, keyvalue.Compare{Key: "a"})
	if !first.Succeeded || first.Revision != 1 {
		t.Errorf("create: %+v", first)
	}
	again := put(t, store, "a", "2", 0, keyvalue.Compare{Key: "a"})
	if again.Succeeded || len(again.Current) != 1 || again.Current[0].ModRevision != 1 {
		t.Errorf("second create: %+v", again)
	}
	second := put(t, store, "a", "2", 0, keyvalue.Compare{Key: "a", ModRevision: 1})
	result, err := store.Range(t.Context(), "a", false)
	if err != nil || !second.Succeeded || len(result.Values) != 1 {
		t.Fatalf("swap: %+v, read %+v, %v", second, result, err)
	}
	if value := result.Values[0]; value.CreateRevision != 1 || value.ModRevision != 2 || string(value.Value) != "2" {
		t.Errorf("read %+v", value)
	}
}

// watch collects the changes below a prefix until the watch ends.
func watch(ctx context.Context, store *Store, after int64, seen *[]string) error {
	return store.Watch(ctx, "a/", after, func(revision int64, events []keyvalue.WatchEvent) {
		for _, event := range events {
			*seen = append(*seen, fmt.Sprintf("%d %s=%s deleted=%v", revision, event.Value.Key, event.Value.Value, event.Deleted))
		}
	})
}

func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore(1)
		put(t, store, "a/1", "old", 0)
		put(t, store, "a/2", "missed", 0)
		var seen []string
		ended := make(chan error, 1)
		go func() { ended <- watch(t.Context(), store, 1, &seen) }()
		lease, err := store.Grant(t.Context(), 0)
		if err != nil {
			t.Fatal(err)
		}
		put(t, store, "b/1", "elsewhere", 0)
		put(t, store, "a/3", "leased", lease)
		store.Expire(lease)
		synctest.Wait()
		store.SetFaults(Faults{Down: true})
		if err := <-ended; !errors.Is(err, ErrDown) {
			t.Errorf("watch ended with %v", err)
		}
		want := []string{"2 a/2=missed deleted=false", "4 a/3=leased deleted=false", "5 a/3= deleted=true"}
		if !slices.Equal(seen, want) {
			t.Errorf("seen %q, want %q", seen, want)
		}
		store.SetFaults(Faults{})
		store.Compact()
		if err := watch(t.Context(), store, 1, &seen); !errors.Is(err, keyvalue.ErrCompacted) {
			t.Errorf("watch of compacted revisions: %v", err)
		}
	})
}

func TestFaults(t *testing.T) {
	cases := []struct {
		name            string
		faults          Faults
		uncertain, made bool
	}{
		{"down", Faults{Down: true}, false, false},
		{"answer lost", Faults{LoseResponses: 1}, true, true},
		{"request lost", Faults{LoseRequests: 1}, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			store := NewStore(1)
			store.SetFaults(c.faults)
			_, err := store.Txn(t.Context(), nil, []keyvalue.Op{{Key: "a"}})
			if err == nil || keyvalue.IsUncertain(err) != c.uncertain {
				t.Errorf("error %v, uncertain %v", err, keyvalue.IsUncertain(err))
			}
			store.SetFaults(Faults{})
			result, err := store.Range(t.Context(), "a", false)
			if err != nil || (len(result.Values) == 1) != c.made {
				t.Errorf("made %v, want %v, %v", len(result.Values) == 1, c.made, err)
			}
		})
	}
}
