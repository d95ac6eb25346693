package process

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/hostlist"
	"teaselgauge.example/teaselgauge/testkit/site"
	"teaselgauge.example/teaselgauge/testkit/standin/keyvalue"
	"teaselgauge.example/teaselgauge/testkit/standin/modelengine"
)

// checkMaxReplicas merges the journals of all engines, which share one clock, by
// time and checks that at most the given number of replicas of a target occupied
// memory at the same time.
func checkMaxReplicas(t *testing.T, s *site.Site, target engine.Target, limit int) {
	t.Helper()
	var events []modelengine.Entry
	for _, runner := range s.Runners {
		journal, err := s.Journal(testContext(t), runner)
		must(t, err)
		events = append(events, journal.Entries...)
	}
	slices.SortStableFunc(events, func(a, b modelengine.Entry) int { return int(a.AtUnixNano - b.AtUnixNano) })
	replicas, highest := 0, 0
	for _, event := range events {
		if event.Target != target {
			continue
		}
		switch event.Event {
		case modelengine.EventLoadOrdered:
			replicas++
		case modelengine.EventUnloaded, modelengine.EventLoadFailed:
			replicas--
		}
		highest = max(highest, replicas)
	}
	t.Logf("%s: at most %d of %d replicas at the same time", modelengine.Name(target), highest, limit)
	if highest > limit {
		t.Errorf("%s had %d replicas at the same time, want at most %d", modelengine.Name(target), highest, limit)
	}
}

// TestReplicaLimitWhilePlacementChanges drains and replaces runners while entries are
// killed and responses of the key-value service are lost, so that permits keep moving
// between hosts. No model exceeds its maximum number of replicas.
func TestReplicaLimitWhilePlacementChanges(t *testing.T) {
	random := rand.New(rand.NewPCG(seed(t), 0))
	s := start(t, nil)
	must(t, s.SetKeyValueFaults(testContext(t), keyvalue.Faults{LoseResponseRate: 0.2, DelayMillis: 5, Seed: seed(t)}))
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var senders sync.WaitGroup
	for _, entry := range s.Entries {
		senders.Go(func() { sendUntilDone(ctx, s, entry) })
	}
	for range 4 {
		runner := s.Runners[random.IntN(len(s.Runners))]
		must(t, s.List(testContext(t), runner, hostlist.Leaving))
		time.Sleep(time.Duration(2000+random.IntN(2000)) * time.Millisecond)
		must(t, s.Entries[random.IntN(len(s.Entries))].Restart())
		must(t, s.List(testContext(t), runner, hostlist.Live))
		// An agent that has started to drain accepts no requests again. Its restart
		// simulates the replacement of the host.
		must(t, runner.Restart())
		time.Sleep(time.Duration(500+random.IntN(1500)) * time.Millisecond)
	}
	stop()
	senders.Wait()
	must(t, s.SetKeyValueFaults(testContext(t), keyvalue.Faults{}))
	eventuallyChat(t, s, s.Entries[0], "in the end")
	t.Logf("%d loads", countLoads(t, s, colourMatch))
	checkMaxReplicas(t, s, colourMatch, 1)
	checkMaxReplicas(t, s, engine.Target{Model: "batch-report", Version: "2"}, 2)
}

// sendUntilDone alternates requests for two models until ctx ends.
func sendUntilDone(ctx context.Context, s *site.Site, entry *site.Host) {
	models := []string{colourMatch.Model, "batch-report"}
	for i := 0; ctx.Err() == nil; i++ {
		question := fmt.Sprintf("%s %d", entry.ID, i)
		// Failures are expected while entries restart.
		_, _ = s.Caller(entry, site.KeyPrepress).Chat(ctx, models[i%len(models)], question, false, deadline(2*time.Second))
		time.Sleep(50 * time.Millisecond)
	}
}
