package process

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/adminapi"
	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/testkit/site"
	"teaselgauge.example/teaselgauge/testkit/standin/keyvalue"
)

const (
	// maxActivationDelay bounds the time until an accepted change is active at all
	// entries.
	maxActivationDelay = 5 * time.Second
	// manyEntries exceeds the number of entries per failure domain that watch the
	// key-value service, so that some get the lists from other entries.
	manyEntries = 5
)

// singleDomain puts all hosts into one failure domain.
func singleDomain(o *site.Options) {
	o.Entries = manyEntries
	o.Runners = 1
	o.FailureDomains = []string{"nl-west-1"}
}

// adminClient returns a client of an entry's administration API.
func adminClient(s *site.Site, entry *site.Host) *adminapi.Client {
	return adminapi.NewClient("http://"+entry.Admin, s.AdminToken(), http.DefaultClient)
}

// listsWithModel returns the default lists with one more model of the given name.
func listsWithModel(name string) (lists.Plans, lists.Allowances) {
	plans, allowances := site.DefaultLists()
	allowances.Models = append(allowances.Models, lists.Model{
		Name: name, Version: "1", MemoryMiB: 1024, MaxReplicas: 1,
	})
	return plans, allowances
}

// activeRevision returns the revision of the lists that is active at an entry.
func activeRevision(t *testing.T, s *site.Site, entry *site.Host) int64 {
	t.Helper()
	status, err := s.Status(testContext(t), entry)
	must(t, err)
	return status.ListsRevision
}

// awaitRevision waits until a revision or a later one is active at the entries.
func awaitRevision(t *testing.T, s *site.Site, entries []*site.Host, revision int64) {
	t.Helper()
	for _, entry := range entries {
		must(t, site.Eventually(testContext(t), func() error {
			status, err := s.Status(t.Context(), entry)
			if err == nil && status.ListsRevision < revision {
				err = fmt.Errorf("%s has revision %d, want %d", entry.ID, status.ListsRevision, revision)
			}
			return err
		}))
	}
}

// TestConcurrentListUpdates lets operators update the lists concurrently through
// different entries while responses of the key-value service are lost. At most one
// update of each round is accepted, an accepted one is active at all entries within
// the bound, and no entry returns to an older revision.
func TestConcurrentListUpdates(t *testing.T) {
	s := start(t, singleDomain)
	const seed = 7
	must(t, s.SetKeyValueFaults(testContext(t), keyvalue.Faults{LoseResponseRate: 0.3, Seed: seed}))
	newest := activeRevision(t, s, s.Entries[0])
	for round := range 6 {
		accepted := putConcurrently(t, s, newest, round)
		if len(accepted) > 1 {
			t.Fatalf("round %d: revisions %v were all accepted on top of %d (seed %d)", round, accepted, newest, seed)
		}
		current, err := s.Lists(testContext(t), s.Entries[0])
		must(t, err)
		if len(accepted) == 1 && current.Revision < accepted[0] {
			t.Fatalf("round %d: stored revision %d is below the accepted %d", round, current.Revision, accepted[0])
		}
		newest = current.Revision
		since := time.Now()
		awaitRevision(t, s, s.Entries, newest)
		if took := time.Since(since); took > maxActivationDelay {
			t.Errorf("round %d: active at all entries after %v, want at most %v", round, took, maxActivationDelay)
		}
	}
}

// putConcurrently puts different lists through all entries on top of the same
// revision and returns the accepted revisions.
func putConcurrently(t *testing.T, s *site.Site, revision int64, round int) []int64 {
	t.Helper()
	var mu sync.Mutex
	var accepted []int64
	var wait sync.WaitGroup
	for i, entry := range s.Entries {
		wait.Go(func() {
			plans, allowances := listsWithModel(fmt.Sprintf("round-%d-%d", round, i))
			got, err := adminClient(s, entry).PutLists(testContext(t), revision, plans, allowances)
			var conflict *lists.ConflictError
			var uncertain *lists.UncertainError
			switch {
			case err == nil:
				mu.Lock()
				accepted = append(accepted, got)
				mu.Unlock()
			case errors.As(err, &conflict), errors.As(err, &uncertain):
			default:
				t.Logf("round %d at %s: %v", round, entry.ID, err)
			}
		})
	}
	wait.Wait()
	return accepted
}

// TestEntryStartsDuringStoreOutage restarts entries while the key-value service is
// unavailable. They get the newest lists and placements from the other entries and
// serve requests.
func TestEntryStartsDuringStoreOutage(t *testing.T) {
	s := start(t, singleDomain)
	plans, allowances := listsWithModel("added")
	revision, err := adminClient(s, s.Entries[0]).PutLists(testContext(t), activeRevision(t, s, s.Entries[0]), plans, allowances)
	must(t, err)
	awaitRevision(t, s, s.Entries, revision)
	must(t, s.SetKeyValueFaults(testContext(t), keyvalue.Faults{Down: true}))
	for _, entry := range s.Entries[1:] {
		must(t, entry.Restart())
		must(t, entry.AwaitReady(testContext(t)))
		if got := activeRevision(t, s, entry); got != revision {
			t.Errorf("%s started with revision %d, want %d", entry.ID, got, revision)
		}
		eventuallyChat(t, s, entry, "in the outage at "+entry.ID)
	}
}

// TestInvalidManifestKeepsActiveLists overwrites the manifest in the key-value
// service, bypassing the validation of the administration API.
func TestInvalidManifestKeepsActiveLists(t *testing.T) {
	s := start(t, singleDomain)
	good := activeRevision(t, s, s.Entries[0])
	must(t, s.Overwrite(testContext(t), "lists/manifest", []byte("{broken")))
	must(t, site.Eventually(testContext(t), func() error {
		status, err := s.Status(t.Context(), s.Entries[0])
		if err == nil && status.ListsRejected == nil {
			err = errors.New("the invalid manifest isn't reported")
		}
		return err
	}))
	for _, entry := range s.Entries {
		if got := activeRevision(t, s, entry); got != good {
			t.Errorf("%s has active revision %d, want %d", entry.ID, got, good)
		}
	}
	mustChat(t, s, s.Entries[1], "after the bad edit", false)
}
