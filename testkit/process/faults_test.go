package process

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/hostlist"
	"teaselgauge.example/teaselgauge/testkit/site"
	"teaselgauge.example/teaselgauge/testkit/standin/keyvalue"
	"teaselgauge.example/teaselgauge/testkit/standin/modelengine"
)

// holder waits until an engine was ordered to load a target and returns its
// runner.
func holder(t *testing.T, s *site.Site, target engine.Target) *site.Host {
	t.Helper()
	var found *site.Host
	err := site.Eventually(within(t), func() error {
		for _, runner := range s.Runners {
			journal, err := s.Journal(t.Context(), runner)
			if err != nil {
				return err
			}
			for _, entry := range journal.Entries {
				if entry.Event == modelengine.EventLoadOrdered && entry.Target == target {
					found = runner
					return nil
				}
			}
		}
		return errors.New("no load was ordered")
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}

// setLoadFaults sets the faults of all engines.
func setLoadFaults(t *testing.T, s *site.Site, faults modelengine.Faults) {
	t.Helper()
	for _, runner := range s.Runners {
		if err := s.SetEngineFaults(within(t), runner, faults); err != nil {
			t.Fatal(err)
		}
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// TestKilledAgentAndEntry kills the agent that serves a model of two replicas,
// and one entry, and demands that the other entry goes on serving.
func TestKilledAgentAndEntry(t *testing.T) {
	s := start(t, nil)
	report := engine.Target{Model: "batch-report", Version: "2"}
	ask := func(question string) error {
		result, err := s.Caller(s.Entries[1], site.KeyReports).Chat(within(t), report.Model, question, false, deadline(10*time.Second))
		if err != nil {
			return err
		}
		return site.CheckChat(result, report, question, false)
	}
	must(t, ask("before"))
	must(t, holder(t, s, report).Kill())
	must(t, s.Entries[0].Kill())
	must(t, site.Eventually(within(t), func() error { return ask("after") }))
	first, err := book(within(t), s, s.Entries[1], "after")
	if err != nil || first.Status != http.StatusOK {
		t.Errorf("booking: %s, %v", first, err)
	}
}

// TestKilledAgentDuringLoad kills an agent while its engine loads and goes on
// asking. The next incarnation finds the load under way and orders no second one.
func TestKilledAgentDuringLoad(t *testing.T) {
	s := start(t, func(o *site.Options) { o.Runners = 1 })
	setLoadFaults(t, s, modelengine.Faults{FreezeLoads: true})
	ask := func(entry *site.Host) error {
		_, err := s.Caller(entry, site.KeyPrepress).Chat(t.Context(), colourMatch.Model, "cut off", false, deadline(10*time.Second))
		return err
	}
	asked := make(chan error, 1)
	go func() { asked <- ask(s.Entries[0]) }()
	runner := holder(t, s, colourMatch)
	must(t, runner.Restart())
	must(t, <-asked)
	// The first may be lost on the connection to the killed agent.
	must(t, ask(s.Entries[0]))
	must(t, ask(s.Entries[0]))
	setLoadFaults(t, s, modelengine.Faults{})
	eventualChat(t, s, s.Entries[1], "after the restart")
	if got := loads(t, s, colourMatch); got != 1 {
		t.Errorf("%d loads were ordered, want 1", got)
	}
}

// TestFrozenAgentDuringLoad freezes an agent while its engine loads and starts
// a second one beside the same engine, which must not give orders while the
// first may wake up.
func TestFrozenAgentDuringLoad(t *testing.T) {
	for _, checksFences := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks fences %v", checksFences), func(t *testing.T) {
			s := start(t, func(o *site.Options) { o.CheckFences = checksFences })
			setLoadFaults(t, s, modelengine.Faults{FreezeLoads: true})
			caller := s.Caller(s.Entries[0], site.KeyPrepress)
			asked := make(chan error, 1)
			go func() {
				result, err := caller.Chat(t.Context(), colourMatch.Model, "x", false, deadline(5*time.Second))
				if err == nil && result.Status == http.StatusOK {
					err = site.CheckChat(result, colourMatch, "x", false)
				}
				asked <- err
			}()
			runner := holder(t, s, colourMatch)
			must(t, runner.Freeze())
			second, err := s.StartSecond(runner)
			must(t, err)
			setLoadFaults(t, s, modelengine.Faults{})
			if err := <-asked; err != nil {
				t.Errorf("request to the frozen agent: %v", err)
			}
			must(t, runner.Thaw())
			eventualChat(t, s, s.Entries[1], "after the thaw")
			if strings.Contains(second.Log(), "msg=serving") {
				t.Error("a second agent served beside a living one")
			}
			must(t, runner.Kill())
			must(t, site.Eventually(within(t), func() error {
				if !strings.Contains(second.Log(), "msg=serving") {
					return errors.New("the second agent does not serve")
				}
				return nil
			}))
			eventualChat(t, s, s.Entries[0], "after the takeover")
			if got := loads(t, s, colourMatch); got != 1 {
				t.Errorf("%d loads were ordered, want 1", got)
			}
		})
	}
}

// TestColdStartInOutage demands that a cold model is served while the key-value
// service is down or silent, and that a keyed call is refused as not run or runs
// once.
func TestColdStartInOutage(t *testing.T) {
	outages := []struct {
		name  string
		begin func(*site.Site) error
		end   func(*site.Site) error
	}{
		{
			"down",
			func(s *site.Site) error { return s.SetKeyValueFaults(within(t), keyvalue.Faults{Down: true}) },
			func(s *site.Site) error { return s.SetKeyValueFaults(within(t), keyvalue.Faults{}) },
		},
		{
			"silent",
			func(s *site.Site) error { return s.KeyValue.Freeze() },
			func(s *site.Site) error { return s.KeyValue.Thaw() },
		},
	}
	for _, outage := range outages {
		t.Run(outage.name, func(t *testing.T) {
			s := start(t, nil)
			must(t, outage.begin(s))
			mustChat(t, s, s.Entries[0], "cold in the outage", false)
			mustChat(t, s, s.Entries[1], "warm in the outage", true)
			during, err := book(within(t), s, s.Entries[0], "outage")
			must(t, err)
			must(t, outage.end(s))
			checkBooked(t, s, during)
		})
	}
}

// checkBooked repeats a booking after the outage in which it got its first
// answer. Unless that was unknown, the booking ends as run once.
func checkBooked(t *testing.T, s *site.Site, during site.Result) {
	t.Helper()
	must(t, site.Eventually(within(t), func() error {
		result, err := book(within(t), s, s.Entries[1], "outage")
		if err == nil && result.Status != http.StatusOK && during.Outcome != "unknown" {
			err = fmt.Errorf("after the outage: %s (during it: %s)", result, during)
		}
		return err
	}))
	runs, err := s.Runs(within(t))
	must(t, err)
	if runs.Total > 1 || (runs.Total != 1 && during.Outcome != "unknown") {
		t.Errorf("runs %+v after %s, want one", runs, during)
	}
}

// TestWrongEngineAnswers lets engines cross and cut answers. A caller gets its
// own whole answer or an error, never another's.
func TestWrongEngineAnswers(t *testing.T) {
	s := start(t, nil)
	mustChat(t, s, s.Entries[0], "warm up", false)
	runner := holder(t, s, colourMatch)
	faults := []modelengine.Faults{
		{CrossNext: 1},
		{CutNextAfterBytes: 20},
		{CutNextAfterBytes: 300},
		{FailNextCalls: 1},
		{DelayAnswersMillis: 1500},
	}
	for i, fault := range faults {
		for _, stream := range []bool{false, true} {
			must(t, s.SetEngineFaults(within(t), runner, fault))
			question := fmt.Sprintf("question %d stream %v", i, stream)
			result, err := s.Caller(s.Entries[i%2], site.KeyPrepress).
				Chat(within(t), colourMatch.Model, question, stream, deadline(time.Second))
			if err == nil && result.Status == http.StatusOK {
				if wrong := site.CheckChat(result, colourMatch, question, stream); wrong != nil && !endsWithError(result) {
					t.Errorf("%+v, stream %v: %v", fault, stream, wrong)
				}
			}
		}
	}
	must(t, s.SetEngineFaults(within(t), runner, modelengine.Faults{}))
	mustChat(t, s, s.Entries[0], "after the faults", true)
}

// endsWithError tells whether a stream ends with an error event, which is the
// only way to report a failure after its start.
func endsWithError(result site.Result) bool {
	events := strings.Split(strings.TrimSpace(string(result.Body)), "\n\n")
	return strings.Contains(events[len(events)-1], `"error"`)
}

// TestGracefulStop stops an agent and an entry while they carry streams.
func TestGracefulStop(t *testing.T) {
	s := start(t, func(o *site.Options) { o.EngineFlags = []string{"--token-time", "1s"} })
	mustChat(t, s, s.Entries[0], "warm up", false)
	runner := holder(t, s, colourMatch)
	answers := make(chan error, len(s.Entries))
	for _, entry := range s.Entries {
		go func() {
			result, err := s.Caller(entry, site.KeyPrepress).Chat(t.Context(), colourMatch.Model, entry.ID, true)
			if err == nil {
				err = site.CheckChat(result, colourMatch, entry.ID, true)
			}
			answers <- err
		}()
	}
	must(t, site.Eventually(within(t), func() error { return runsStarted(t, s, runner, 1+len(s.Entries)) }))
	must(t, runner.Terminate())
	must(t, s.Entries[0].Terminate())
	for range s.Entries {
		if err := <-answers; err != nil {
			t.Errorf("a stream in flight was cut off: %v", err)
		}
	}
	for _, host := range []*site.Host{runner, s.Entries[0]} {
		if err := host.Wait(within(t)); err != nil {
			t.Errorf("%s ended with %v", host.ID, err)
		}
	}
}

func runsStarted(t *testing.T, s *site.Site, runner *site.Host, want int) error {
	journal, err := s.Journal(t.Context(), runner)
	if err != nil {
		return err
	}
	got := 0
	for _, entry := range journal.Entries {
		if entry.Event == modelengine.EventRunStarted {
			got++
		}
	}
	if got < want {
		return fmt.Errorf("%d of %d runs started", got, want)
	}
	return nil
}

// TestLeavingHost marks a runner as leaving and demands that it gets no more
// work while the model is served elsewhere.
func TestLeavingHost(t *testing.T) {
	s := start(t, nil)
	mustChat(t, s, s.Entries[0], "before", false)
	runner := holder(t, s, colourMatch)
	must(t, s.List(within(t), runner, hostlist.Leaving))
	must(t, site.Eventually(within(t), func() error { return servedElsewhere(t, s, runner) }))
	before, err := s.Journal(within(t), runner)
	must(t, err)
	for i := range 10 {
		eventualChat(t, s, s.Entries[i%2], fmt.Sprintf("later %d", i))
	}
	after, err := s.Journal(within(t), runner)
	must(t, err)
	for _, entry := range after.Entries[len(before.Entries):] {
		if entry.Event == modelengine.EventRunStarted {
			t.Errorf("a leaving runner got new work: %+v", entry)
		}
	}
	loads(t, s, colourMatch)
}

// servedElsewhere sends a request to each entry and tells whether another
// runner answers.
func servedElsewhere(t *testing.T, s *site.Site, leaving *site.Host) error {
	before, err := s.Journal(t.Context(), leaving)
	if err != nil {
		return err
	}
	for _, entry := range s.Entries {
		result, err := s.Caller(entry, site.KeyPrepress).Chat(t.Context(), colourMatch.Model, "moved", false, deadline(10*time.Second))
		if err != nil {
			return err
		}
		if err := site.CheckChat(result, colourMatch, "moved", false); err != nil {
			return err
		}
	}
	after, err := s.Journal(t.Context(), leaving)
	if err == nil && len(after.Entries) > len(before.Entries) {
		err = errors.New("the leaving runner still works")
	}
	return err
}

// TestKilledMidStream kills the agent and then the engine of a stream. The
// caller never takes what it got for a whole answer, and the model is served
// again after the restart.
func TestKilledMidStream(t *testing.T) {
	for _, victim := range []string{"agent", "engine"} {
		t.Run(victim, func(t *testing.T) {
			s := start(t, func(o *site.Options) { o.EngineFlags = []string{"--token-time", "200ms"} })
			mustChat(t, s, s.Entries[0], "warm up", false)
			runner := holder(t, s, colourMatch)
			answered := make(chan struct{})
			go func() {
				defer close(answered)
				result, err := s.Caller(s.Entries[0], site.KeyPrepress).Chat(t.Context(), colourMatch.Model, "cut", true, deadline(15*time.Second))
				if err == nil && site.CheckChat(result, colourMatch, "cut", true) != nil && !endsWithError(result) {
					t.Errorf("a cut answer was passed as whole: %s", result)
				}
				t.Logf("%v, %d bytes, end %q", err, len(result.Body), result.Body[max(0, len(result.Body)-200):])
			}()
			must(t, site.Eventually(within(t), func() error { return runsStarted(t, s, runner, 2) }))
			process := runner.Process
			if victim == "engine" {
				process = runner.Backend.Process
			}
			must(t, process.Restart())
			<-answered
			eventualChat(t, s, s.Entries[1], "after the restart")
		})
	}
}
