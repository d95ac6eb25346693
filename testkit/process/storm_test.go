package process

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/hostlist"
	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/testkit/site"
	"teaselgauge.example/teaselgauge/testkit/standin/keyvalue"
	"teaselgauge.example/teaselgauge/testkit/standin/modelengine"
	"teaselgauge.example/teaselgauge/testkit/standin/weightstore"
)

const (
	stormModels  = 5
	stormCallers = 24
	stormFaults  = 10
	// stormRunnerMiB holds two of the models at once.
	stormRunnerMiB = 81920
	stormModelMiB  = 35000
	stormReplicas  = 2
)

func stormModel(i int) string { return fmt.Sprintf("storm-%d", i) }

// answered is what a caller was told of one request.
type answered struct {
	question string
	result   site.Result
	err      error
}

// storm sends requests of many callers until stopped.
type storm struct {
	site *site.Site
	stop chan struct{}
	wait sync.WaitGroup

	mu   sync.Mutex
	seen []answered
}

func (m *storm) call(t *testing.T, caller int, random *rand.Rand) {
	for n := 0; ; n++ {
		select {
		case <-m.stop:
			return
		default:
		}
		entry := m.site.Entries[random.IntN(len(m.site.Entries))]
		model := stormModel(random.IntN(stormModels))
		stream := random.IntN(2) == 0
		question := fmt.Sprintf("%s caller %d question %d", model, caller, n)
		result, err := m.site.Caller(entry, site.KeyPrepress).
			Chat(t.Context(), model, question, stream, deadline(4*time.Second))
		if err == nil && result.Status == 200 {
			target := engine.Target{Model: model, Version: "1"}
			if wrong := site.CheckChat(result, target, question, stream); wrong != nil && !endsWithError(result) {
				t.Errorf("%q: %v", question, wrong)
			}
		}
		m.mu.Lock()
		m.seen = append(m.seen, answered{question: question, result: result, err: err})
		m.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
	}
}

// TestStorm causes faults of all kinds, also together and twice, while callers
// ask for more models than fit, and then checks the histories of all engines
// against what the callers were told.
func TestStorm(t *testing.T) {
	first := seed(t)
	for _, checksFences := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks fences %v", checksFences), func(t *testing.T) {
			runStorm(t, first, checksFences)
		})
	}
}

func runStorm(t *testing.T, seed uint64, checksFences bool) {
	s := start(t, func(o *site.Options) {
		o.CheckFences = checksFences
		o.RunnerMemoryMiB = stormRunnerMiB
		o.KeyValueTimeoutMillis = 500
	})
	putStormLists(t, s)
	m := &storm{site: s, stop: make(chan struct{})}
	for caller := range stormCallers {
		random := rand.New(rand.NewPCG(seed, uint64(caller)))
		m.wait.Go(func() { m.call(t, caller, random) })
	}
	random := rand.New(rand.NewPCG(seed, stormCallers))
	for range stormFaults {
		undo := causeFaults(t, s, random)
		time.Sleep(time.Duration(300+random.IntN(900)) * time.Millisecond)
		undo()
	}
	close(m.stop)
	m.wait.Wait()
	m.check(t)
	for i := range stormModels {
		mustServe(t, s, stormModel(i))
	}
}

func putStormLists(t *testing.T, s *site.Site) {
	t.Helper()
	plans, allowances := site.DefaultLists()
	allowances.Models = nil
	for i := range stormModels {
		allowances.Models = append(allowances.Models, lists.Model{
			Name: stormModel(i), Version: "1", MemoryMiB: stormModelMiB, MaxReplicas: stormReplicas,
		})
	}
	plans.Plans = plans.Plans[:1]
	allowances.Allowances = allowances.Allowances[:1]
	must(t, s.PutLists(within(t), revisionInForce(t, s, s.Entries[0]), plans, allowances))
	for i := range stormModels {
		mustServe(t, s, stormModel(i))
	}
}

// mustServe waits until a model is served at all entries.
func mustServe(t *testing.T, s *site.Site, model string) {
	t.Helper()
	for _, entry := range s.Entries {
		must(t, site.Eventually(within(t), func() error {
			result, err := s.Caller(entry, site.KeyPrepress).Chat(t.Context(), model, "are you there", false, deadline(10*time.Second))
			if err != nil {
				return err
			}
			return site.CheckChat(result, engine.Target{Model: model, Version: "1"}, "are you there", false)
		}))
	}
}

// causeFaults causes one or two faults at once and returns what ends them.
func causeFaults(t *testing.T, s *site.Site, random *rand.Rand) func() {
	t.Helper()
	var undo []func() error
	for range 1 + random.IntN(2) {
		undo = append(undo, causeFault(t, s, random))
	}
	return func() {
		for _, end := range undo {
			must(t, end())
		}
	}
}

func causeFault(t *testing.T, s *site.Site, random *rand.Rand) func() error {
	t.Helper()
	runner := s.Runners[random.IntN(len(s.Runners))]
	entry := s.Entries[random.IntN(len(s.Entries))]
	ctx := within(t)
	nothing := func() error { return nil }
	switch kind := random.IntN(9); kind {
	case 0:
		must(t, runner.Restart())
		return nothing
	case 1:
		must(t, runner.Freeze())
		return runner.Thaw
	case 2:
		must(t, entry.Restart())
		return func() error { return entry.AwaitReady(within(t)) }
	case 3:
		must(t, s.SetKeyValueFaults(ctx, keyvalue.Faults{Down: true}))
		return func() error { return s.SetKeyValueFaults(within(t), keyvalue.Faults{}) }
	case 4:
		must(t, s.SetKeyValueFaults(ctx, keyvalue.Faults{LoseAnswerRate: 0.5, DelayMillis: 50, Seed: random.Uint64()}))
		return func() error { return s.SetKeyValueFaults(within(t), keyvalue.Faults{}) }
	case 5:
		must(t, s.SetEngineFaults(ctx, runner, modelengine.Faults{CutNextAfterBytes: 40, CrossNext: 1, FailNextLoads: 1}))
		return func() error { return s.SetEngineFaults(within(t), runner, modelengine.Faults{}) }
	case 6:
		must(t, s.SetWeightStoreFaults(ctx, weightstore.Faults{SlowFactor: 4}))
		return func() error { return s.SetWeightStoreFaults(within(t), weightstore.Faults{}) }
	case 7:
		must(t, s.List(ctx, runner, hostlist.Leaving))
		return func() error {
			// A leaving agent takes no more work until it is replaced.
			if err := s.List(within(t), runner, hostlist.Live); err != nil {
				return err
			}
			return runner.Restart()
		}
	default:
		must(t, s.SetEngineFaults(ctx, runner, modelengine.Faults{FreezeLoads: true}))
		return func() error { return s.SetEngineFaults(within(t), runner, modelengine.Faults{}) }
	}
}

// check compares what callers were told with the engines' journals.
func (m *storm) check(t *testing.T) {
	t.Helper()
	started := make(map[string]int)
	var journals []modelengine.Journal
	for _, runner := range m.site.Runners {
		journal, err := m.site.Journal(within(t), runner)
		must(t, err)
		journals = append(journals, journal)
		v := journal.Violations
		if v.Overcommits > 0 || v.StaleOrders > 0 || v.RunsNotLoaded > 0 {
			t.Errorf("%s: violations %+v", runner.ID, v)
		}
		for _, entry := range journal.Entries {
			if entry.Event == modelengine.EventRunStarted {
				started[entry.RequestID]++
			}
		}
	}
	checkReplicas(t, journals)
	outcomes := make(map[string]int)
	for _, answer := range m.seen {
		outcomes[answer.kind()]++
		if answer.err != nil || answer.result.Status == 200 {
			continue
		}
		if answer.result.Outcome == "not-run" && started[answer.result.RequestID] > 0 {
			t.Errorf("%q was refused as not run and ran: %s", answer.question, answer.result)
		}
		if answer.result.Total > 5*time.Second {
			t.Errorf("%q was refused after %v, deadline 4s", answer.question, answer.result.Total)
		}
	}
	t.Logf("outcomes %v", outcomes)
	if outcomes["answered"] == 0 {
		t.Error("no request was answered")
	}
}

func (a answered) kind() string {
	switch {
	case a.err != nil:
		return "connection lost"
	case a.result.Status == 200 && strings.Contains(string(a.result.Body), `"error"`):
		return "broken off"
	case a.result.Status == 200:
		return "answered"
	default:
		return "refused " + a.result.Outcome
	}
}

// checkReplicas replays the journals in the order of time and counts the
// replicas of each model that are loaded at once.
func checkReplicas(t *testing.T, journals []modelengine.Journal) {
	t.Helper()
	type change struct {
		at     int64
		runner int
		entry  modelengine.Entry
	}
	var changes []change
	for runner, journal := range journals {
		for _, entry := range journal.Entries {
			changes = append(changes, change{at: entry.AtUnixNano, runner: runner, entry: entry})
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return cmp.Compare(a.at, b.at) })
	loaded := make(map[engine.Target]map[int]bool)
	for _, c := range changes {
		target := c.entry.Target
		if loaded[target] == nil {
			loaded[target] = make(map[int]bool)
		}
		switch c.entry.Event {
		case modelengine.EventLoaded:
			loaded[target][c.runner] = true
		case modelengine.EventUnloaded:
			delete(loaded[target], c.runner)
		}
		if len(loaded[target]) > stormReplicas {
			t.Fatalf("%v is loaded at runners %v, decided are %d replicas", target, loaded[target], stormReplicas)
		}
	}
}
