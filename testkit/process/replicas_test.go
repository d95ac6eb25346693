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

// checkHolders replays the journals of all engines, whose clock is one, and
// demands that never more than most replicas of a target held memory.
func checkHolders(t *testing.T, s *site.Site, target engine.Target, most int) {
	t.Helper()
	var events []modelengine.Entry
	for _, runner := range s.Runners {
		journal, err := s.Journal(within(t), runner)
		must(t, err)
		events = append(events, journal.Entries...)
	}
	slices.SortStableFunc(events, func(a, b modelengine.Entry) int { return int(a.AtUnixNano - b.AtUnixNano) })
	held, highest := 0, 0
	for _, event := range events {
		if event.Target != target {
			continue
		}
		switch event.Event {
		case modelengine.EventLoadOrdered:
			held++
		case modelengine.EventUnloaded, modelengine.EventLoadFailed:
			held--
		}
		highest = max(highest, held)
	}
	t.Logf("%s: at most %d of %d replicas at once", modelengine.Name(target), highest, most)
	if highest > most {
		t.Errorf("%s had %d replicas at once, %d were allowed", modelengine.Name(target), highest, most)
	}
}

// TestReplicasWhilePlacementChanges makes runners leave and be replaced while
// entries are killed and answers of the key-value service are lost, so that
// permits move all the time. No model exceeds its replicas.
func TestReplicasWhilePlacementChanges(t *testing.T) {
	random := rand.New(rand.NewPCG(seed(t), 0))
	s := start(t, nil)
	must(t, s.SetKeyValueFaults(within(t), keyvalue.Faults{LoseAnswerRate: 0.2, DelayMillis: 5, Seed: seed(t)}))
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var senders sync.WaitGroup
	for _, entry := range s.Entries {
		senders.Go(func() { askUntil(ctx, s, entry) })
	}
	for range 4 {
		runner := s.Runners[random.IntN(len(s.Runners))]
		must(t, s.List(within(t), runner, hostlist.Leaving))
		time.Sleep(time.Duration(2000+random.IntN(2000)) * time.Millisecond)
		must(t, s.Entries[random.IntN(len(s.Entries))].Restart())
		must(t, s.List(within(t), runner, hostlist.Live))
		// An agent that was told to leave takes no more work, so that a new
		// process stands for the host's replacement.
		must(t, runner.Restart())
		time.Sleep(time.Duration(500+random.IntN(1500)) * time.Millisecond)
	}
	stop()
	senders.Wait()
	must(t, s.SetKeyValueFaults(within(t), keyvalue.Faults{}))
	eventualChat(t, s, s.Entries[0], "in the end")
	t.Logf("%d loads", loads(t, s, colourMatch))
	checkHolders(t, s, colourMatch, 1)
	checkHolders(t, s, engine.Target{Model: "batch-report", Version: "2"}, 2)
}

// askUntil sends requests for two models in turn until ctx ends.
func askUntil(ctx context.Context, s *site.Site, entry *site.Host) {
	models := []string{colourMatch.Model, "batch-report"}
	for i := 0; ctx.Err() == nil; i++ {
		question := fmt.Sprintf("%s %d", entry.ID, i)
		// Failures are expected while entries restart.
		_, _ = s.Caller(entry, site.KeyPrepress).Chat(ctx, models[i%len(models)], question, false, deadline(2*time.Second))
		time.Sleep(50 * time.Millisecond)
	}
}
