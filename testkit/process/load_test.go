package process

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/testkit/site"
	"teaselgauge.example/teaselgauge/testkit/standin/weightstore"
)

// TestModelMovesFromReclaimedHost removes the host of a loaded model permanently.
// Another runner serves the model once the host is off the host list.
func TestModelMovesFromReclaimedHost(t *testing.T) {
	s := start(t, nil)
	mustChat(t, s, s.Entries[0], "before", false)
	runner := awaitLoad(t, s, colourMatch)
	must(t, runner.Kill())
	must(t, runner.Backend.Kill())
	must(t, s.List(testContext(t), runner, ""))
	for _, entry := range s.Entries {
		eventuallyChat(t, s, entry, "after at "+entry.ID)
	}
}

// manyModels returns lists whose models exceed the memory of two runners together.
func manyModels(count int) (lists.Plans, lists.Allowances, []engine.Target) {
	plans, allowances := site.DefaultLists()
	allowances.Models = nil
	var targets []engine.Target
	for i := range count {
		name := fmt.Sprintf("model-%d", i)
		allowances.Models = append(allowances.Models, lists.Model{Name: name, Version: "1", MemoryMiB: 30720, MaxReplicas: 1})
		targets = append(targets, engine.Target{Model: name, Version: "1"})
	}
	allowances.Allowances = []lists.Allowance{{Plan: "prepress", Models: []string{"*"}, Services: []string{"*"}}}
	plans.Plans = plans.Plans[:1]
	return plans, allowances, targets
}

// TestMemoryPressure requests more models than fit into the runners while agents are
// killed and the weight store is slow. No engine is overcommitted, no response is
// wrong, and each model is served in the end.
func TestMemoryPressure(t *testing.T) {
	random := rand.New(rand.NewPCG(seed(t), 0))
	s := start(t, func(o *site.Options) {
		o.Runners = 2
		o.CheckFences = false
		o.WeightStoreFlags = []string{"--base-load", "100ms", "--loads-per-second", "40"}
	})
	plans, allowances, targets := manyModels(7)
	snapshot, err := s.Lists(testContext(t), s.Entries[0])
	must(t, err)
	must(t, s.PutLists(testContext(t), snapshot.Revision, plans, allowances))
	for _, target := range targets {
		must(t, s.AwaitModel(testContext(t), target.Model, target.Version))
	}
	var senders sync.WaitGroup
	for i, entry := range s.Entries {
		order := random.Perm(3 * len(targets))
		senders.Go(func() {
			for _, n := range order {
				sendAndCheck(t, s, entry, targets[n%len(targets)], fmt.Sprintf("%d-%d", i, n))
			}
		})
	}
	time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
	must(t, s.SetWeightStoreFaults(testContext(t), weightstore.Faults{SlowFactor: 5}))
	must(t, s.Runners[random.IntN(2)].Restart())
	time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
	must(t, s.SetWeightStoreFaults(testContext(t), weightstore.Faults{}))
	senders.Wait()
	for _, target := range targets {
		must(t, site.Eventually(testContext(t), func() error {
			result, err := s.Caller(s.Entries[0], site.KeyPrepress).Chat(t.Context(), target.Model, "last", false, deadline(10*time.Second))
			if err == nil {
				err = site.CheckChat(result, target, "last", false)
			}
			return err
		}))
	}
	for _, target := range targets {
		countLoads(t, s, target)
		checkMaxReplicas(t, s, target, 1)
	}
}

// sendAndCheck sends a request and checks that a successful response belongs to it.
func sendAndCheck(t *testing.T, s *site.Site, entry *site.Host, target engine.Target, question string) {
	result, err := s.Caller(entry, site.KeyPrepress).Chat(t.Context(), target.Model, question, false, deadline(5*time.Second))
	if err != nil {
		t.Errorf("%s at %s got no response: %v", question, entry.ID, err)
		return
	}
	if result.Status == http.StatusOK {
		if err := site.CheckChat(result, target, question, false); err != nil {
			t.Errorf("%s at %s: %v", question, entry.ID, err)
		}
	}
}
