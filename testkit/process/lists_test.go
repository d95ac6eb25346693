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
	// inForceBound is when an accepted change is in force everywhere.
	inForceBound = 5 * time.Second
	// manyEntries is more than the entries of one failure domain that watch the
	// key-value service, so that some learn from others.
	manyEntries = 5
)

func oneDomain(o *site.Options) {
	o.Entries = manyEntries
	o.Runners = 1
	o.FailureDomains = []string{"nl-west-1"}
}

// admin returns a client of an entry's administration API.
func admin(s *site.Site, entry *site.Host) *adminapi.Client {
	return adminapi.NewClient("http://"+entry.Admin, s.AdminToken(), http.DefaultClient)
}

// withModel returns lists that have one more model of the given name.
func withModel(name string) (lists.Plans, lists.Allowances) {
	plans, allowances := site.DefaultLists()
	allowances.Models = append(allowances.Models, lists.Model{
		Name: name, Version: "1", MemoryMiB: 1024, MaxReplicas: 1,
	})
	return plans, allowances
}

// revisionInForce returns the revision in force at an entry.
func revisionInForce(t *testing.T, s *site.Site, entry *site.Host) int64 {
	t.Helper()
	status, err := s.Status(within(t), entry)
	must(t, err)
	return status.ListsRevision
}

// awaitRevision waits until a revision or a later one is in force at the entries.
func awaitRevision(t *testing.T, s *site.Site, entries []*site.Host, revision int64) {
	t.Helper()
	for _, entry := range entries {
		must(t, site.Eventually(within(t), func() error {
			status, err := s.Status(t.Context(), entry)
			if err == nil && status.ListsRevision < revision {
				err = fmt.Errorf("%s has revision %d, want %d", entry.ID, status.ListsRevision, revision)
			}
			return err
		}))
	}
}

// TestRacingOperators lets operators race through different entries while
// answers of the key-value service are lost. One of each race wins, what was
// accepted is in force everywhere within the bound, and no entry goes back.
func TestRacingOperators(t *testing.T) {
	s := start(t, oneDomain)
	const seed = 7
	must(t, s.SetKeyValueFaults(within(t), keyvalue.Faults{LoseAnswerRate: 0.3, Seed: seed}))
	newest := revisionInForce(t, s, s.Entries[0])
	for round := range 6 {
		accepted := race(t, s, newest, round)
		if len(accepted) > 1 {
			t.Fatalf("round %d: revisions %v were all accepted on top of %d (seed %d)", round, accepted, newest, seed)
		}
		current, err := s.Lists(within(t), s.Entries[0])
		must(t, err)
		if len(accepted) == 1 && current.Revision < accepted[0] {
			t.Fatalf("round %d: stored revision %d is below the accepted %d", round, current.Revision, accepted[0])
		}
		newest = current.Revision
		since := time.Now()
		awaitRevision(t, s, s.Entries, newest)
		if took := time.Since(since); took > inForceBound {
			t.Errorf("round %d: in force everywhere after %v, bound %v", round, took, inForceBound)
		}
	}
}

// race puts different lists through all entries on top of the same revision and
// returns the accepted revisions.
func race(t *testing.T, s *site.Site, revision int64, round int) []int64 {
	t.Helper()
	var mu sync.Mutex
	var accepted []int64
	var wait sync.WaitGroup
	for i, entry := range s.Entries {
		wait.Go(func() {
			plans, allowances := withModel(fmt.Sprintf("round-%d-%d", round, i))
			got, err := admin(s, entry).PutLists(within(t), revision, plans, allowances)
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

// TestEntryStartsInOutage restarts entries while the key-value service is away.
// They learn the newest lists and placements from the others and serve.
func TestEntryStartsInOutage(t *testing.T) {
	s := start(t, oneDomain)
	plans, allowances := withModel("added")
	revision, err := admin(s, s.Entries[0]).PutLists(within(t), revisionInForce(t, s, s.Entries[0]), plans, allowances)
	must(t, err)
	awaitRevision(t, s, s.Entries, revision)
	must(t, s.SetKeyValueFaults(within(t), keyvalue.Faults{Down: true}))
	for _, entry := range s.Entries[1:] {
		must(t, entry.Restart())
		must(t, entry.AwaitReady(within(t)))
		if got := revisionInForce(t, s, entry); got != revision {
			t.Errorf("%s came back with revision %d, want %d", entry.ID, got, revision)
		}
		eventualChat(t, s, entry, "in the outage at "+entry.ID)
	}
}

// TestBadEditLeavesLastGood overwrites the manifest behind the administration
// API's back.
func TestBadEditLeavesLastGood(t *testing.T) {
	s := start(t, oneDomain)
	good := revisionInForce(t, s, s.Entries[0])
	must(t, s.Overwrite(within(t), "lists/manifest", []byte("{broken")))
	must(t, site.Eventually(within(t), func() error {
		status, err := s.Status(t.Context(), s.Entries[0])
		if err == nil && status.ListsRejected == nil {
			err = errors.New("the bad edit isn't reported")
		}
		return err
	}))
	for _, entry := range s.Entries {
		if got := revisionInForce(t, s, entry); got != good {
			t.Errorf("%s has revision %d in force, want %d", entry.ID, got, good)
		}
	}
	mustChat(t, s, s.Entries[1], "after the bad edit", false)
}
