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
	chaosModels  = 5
	chaosCallers = 24
	chaosFaults  = 10
	// chaosRunnerMiB fits two of the models at the same time.
	chaosRunnerMiB = 81920
	chaosModelMiB  = 35000
	chaosReplicas  = 2
)

func chaosModel(i int) string { return fmt.Sprintf("storm-%d", i) }

// callOutcome is what a caller observed for one request.
type callOutcome struct {
	question string
	result   site.Result
	err      error
}

// chaosRun sends requests from many callers until it is stopped.
type chaosRun struct {
	site *site.Site
	stop chan struct{}
	wait sync.WaitGroup

	mu    sync.Mutex
	calls []callOutcome
}

func (c *chaosRun) call(t *testing.T, caller int, random *rand.Rand) {
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		default:
		}
		entry := c.site.Entries[random.IntN(len(c.site.Entries))]
		model := chaosModel(random.IntN(chaosModels))
		stream := random.IntN(2) == 0
		question := fmt.Sprintf("%s caller %d question %d", model, caller, n)
		result, err := c.site.Caller(entry, site.KeyPrepress).
			Chat(t.Context(), model, question, stream, deadline(4*time.Second))
		if err == nil && result.Status == 200 {
			target := engine.Target{Model: model, Version: "1"}
			if wrong := site.CheckChat(result, target, question, stream); wrong != nil && !endsWithError(result) {
				t.Errorf("%q: %v", question, wrong)
			}
		}
		c.mu.Lock()
		c.calls = append(c.calls, callOutcome{question: question, result: result, err: err})
		c.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
	}
}

// TestRandomFaults injects random faults, up to two at the same time or the same one
// twice, while callers request more models than fit into memory. It then checks the
// journals of all engines against the responses that the callers got.
func TestRandomFaults(t *testing.T) {
	first := seed(t)
	for _, checksFences := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks fences %v", checksFences), func(t *testing.T) {
			runChaos(t, first, checksFences)
		})
	}
}

func runChaos(t *testing.T, seed uint64, checksFences bool) {
	s := start(t, func(o *site.Options) {
		o.CheckFences = checksFences
		o.RunnerMemoryMiB = chaosRunnerMiB
		o.KeyValueTimeoutMillis = 500
	})
	putChaosLists(t, s)
	c := &chaosRun{site: s, stop: make(chan struct{})}
	for caller := range chaosCallers {
		random := rand.New(rand.NewPCG(seed, uint64(caller)))
		c.wait.Go(func() { c.call(t, caller, random) })
	}
	random := rand.New(rand.NewPCG(seed, chaosCallers))
	for range chaosFaults {
		undo := injectFaults(t, s, random)
		time.Sleep(time.Duration(300+random.IntN(900)) * time.Millisecond)
		undo()
	}
	close(c.stop)
	c.wait.Wait()
	c.check(t)
	for i := range chaosModels {
		awaitServed(t, s, chaosModel(i))
	}
}

func putChaosLists(t *testing.T, s *site.Site) {
	t.Helper()
	plans, allowances := site.DefaultLists()
	allowances.Models = nil
	for i := range chaosModels {
		allowances.Models = append(allowances.Models, lists.Model{
			Name: chaosModel(i), Version: "1", MemoryMiB: chaosModelMiB, MaxReplicas: chaosReplicas,
		})
	}
	plans.Plans = plans.Plans[:1]
	allowances.Allowances = allowances.Allowances[:1]
	must(t, s.PutLists(testContext(t), activeRevision(t, s, s.Entries[0]), plans, allowances))
	for i := range chaosModels {
		awaitServed(t, s, chaosModel(i))
	}
}

// awaitServed waits until a model is served at all entries.
func awaitServed(t *testing.T, s *site.Site, model string) {
	t.Helper()
	for _, entry := range s.Entries {
		must(t, site.Eventually(testContext(t), func() error {
			result, err := s.Caller(entry, site.KeyPrepress).Chat(t.Context(), model, "are you there", false, deadline(10*time.Second))
			if err != nil {
				return err
			}
			return site.CheckChat(result, engine.Target{Model: model, Version: "1"}, "are you there", false)
		}))
	}
}

// injectFaults injects one or two faults and returns a function that ends them.
func injectFaults(t *testing.T, s *site.Site, random *rand.Rand) func() {
	t.Helper()
	var undo []func() error
	for range 1 + random.IntN(2) {
		undo = append(undo, injectFault(t, s, random))
	}
	return func() {
		for _, end := range undo {
			must(t, end())
		}
	}
}

func injectFault(t *testing.T, s *site.Site, random *rand.Rand) func() error {
	t.Helper()
	runner := s.Runners[random.IntN(len(s.Runners))]
	entry := s.Entries[random.IntN(len(s.Entries))]
	ctx := testContext(t)
	noop := func() error { return nil }
	switch kind := random.IntN(9); kind {
	case 0:
		must(t, runner.Restart())
		return noop
	case 1:
		must(t, runner.Freeze())
		return runner.Thaw
	case 2:
		must(t, entry.Restart())
		return func() error { return entry.AwaitReady(testContext(t)) }
	case 3:
		must(t, s.SetKeyValueFaults(ctx, keyvalue.Faults{Down: true}))
		return func() error { return s.SetKeyValueFaults(testContext(t), keyvalue.Faults{}) }
	case 4:
		must(t, s.SetKeyValueFaults(ctx, keyvalue.Faults{LoseResponseRate: 0.5, DelayMillis: 50, Seed: random.Uint64()}))
		return func() error { return s.SetKeyValueFaults(testContext(t), keyvalue.Faults{}) }
	case 5:
		must(t, s.SetEngineFaults(ctx, runner, modelengine.Faults{CutNextAfterBytes: 40, CrossNext: 1, FailNextLoads: 1}))
		return func() error { return s.SetEngineFaults(testContext(t), runner, modelengine.Faults{}) }
	case 6:
		must(t, s.SetWeightStoreFaults(ctx, weightstore.Faults{SlowFactor: 4}))
		return func() error { return s.SetWeightStoreFaults(testContext(t), weightstore.Faults{}) }
	case 7:
		must(t, s.List(ctx, runner, hostlist.Leaving))
		return func() error {
			// A leaving agent accepts no more requests until it is replaced.
			if err := s.List(testContext(t), runner, hostlist.Live); err != nil {
				return err
			}
			return runner.Restart()
		}
	default:
		must(t, s.SetEngineFaults(ctx, runner, modelengine.Faults{FreezeLoads: true}))
		return func() error { return s.SetEngineFaults(testContext(t), runner, modelengine.Faults{}) }
	}
}

// check compares the outcomes that callers got with the engines' journals.
func (c *chaosRun) check(t *testing.T) {
	t.Helper()
	started := make(map[string]int)
	var journals []modelengine.Journal
	for _, runner := range c.site.Runners {
		journal, err := c.site.Journal(testContext(t), runner)
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
	checkLoadedReplicas(t, journals)
	outcomes := make(map[string]int)
	for _, call := range c.calls {
		outcomes[call.kind()]++
		if call.err != nil || call.result.Status == 200 {
			continue
		}
		if call.result.Outcome == "not-run" && started[call.result.RequestID] > 0 {
			t.Errorf("%q was refused as not run but ran: %s", call.question, call.result)
		}
		if call.result.Total > 5*time.Second {
			t.Errorf("%q was refused after %v, deadline 4s", call.question, call.result.Total)
		}
	}
	t.Logf("outcomes %v", outcomes)
	if outcomes["answered"] == 0 {
		t.Error("no request succeeded")
	}
}

func (o callOutcome) kind() string {
	switch {
	case o.err != nil:
		return "connection failed"
	case o.result.Status == 200 && strings.Contains(string(o.result.Body), `"error"`):
		return "failed during the stream"
	case o.result.Status == 200:
		return "answered"
	default:
		return "refused " + o.result.Outcome
	}
}

// checkLoadedReplicas merges the journals by time and checks that no model exceeds
// its maximum number of loaded replicas at any time.
func checkLoadedReplicas(t *testing.T, journals []modelengine.Journal) {
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
		if len(loaded[target]) > chaosReplicas {
			t.Fatalf("%v is loaded at runners %v, want at most %d replicas", target, loaded[target], chaosReplicas)
		}
	}
}
