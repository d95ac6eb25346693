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

// awaitLoad waits until an engine has received an order to load a target and returns
// its runner.
func awaitLoad(t *testing.T, s *site.Site, target engine.Target) *site.Host {
	t.Helper()
	var found *site.Host
	err := site.Eventually(testContext(t), func() error {
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

// setAllEngineFaults replaces the faults of all engines.
func setAllEngineFaults(t *testing.T, s *site.Site, faults modelengine.Faults) {
	t.Helper()
	for _, runner := range s.Runners {
		if err := s.SetEngineFaults(testContext(t), runner, faults); err != nil {
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

// TestKilledAgentAndEntry kills one entry and the agent that serves a model with two
// replicas. The other entry must continue to serve the model.
func TestKilledAgentAndEntry(t *testing.T) {
	s := start(t, nil)
	report := engine.Target{Model: "batch-report", Version: "2"}
	send := func(question string) error {
		result, err := s.Caller(s.Entries[1], site.KeyReports).Chat(testContext(t), report.Model, question, false, deadline(10*time.Second))
		if err != nil {
			return err
		}
		return site.CheckChat(result, report, question, false)
	}
	must(t, send("before"))
	must(t, awaitLoad(t, s, report).Kill())
	must(t, s.Entries[0].Kill())
	must(t, site.Eventually(testContext(t), func() error { return send("after") }))
	first, err := book(testContext(t), s, s.Entries[1], "after")
	if err != nil || first.Status != http.StatusOK {
		t.Errorf("booking: %s, %v", first, err)
	}
}

// TestKilledAgentDuringLoad kills an agent while its engine loads a model, and sends
// further requests. The next incarnation finds the load in progress and orders no
// second one.
func TestKilledAgentDuringLoad(t *testing.T) {
	s := start(t, func(o *site.Options) { o.Runners = 1 })
	setAllEngineFaults(t, s, modelengine.Faults{FreezeLoads: true})
	send := func(entry *site.Host) error {
		_, err := s.Caller(entry, site.KeyPrepress).Chat(t.Context(), colourMatch.Model, "killed agent", false, deadline(10*time.Second))
		return err
	}
	done := make(chan error, 1)
	go func() { done <- send(s.Entries[0]) }()
	runner := awaitLoad(t, s, colourMatch)
	must(t, runner.Restart())
	must(t, <-done)
	// The first attempt may fail on the connection to the killed agent.
	must(t, send(s.Entries[0]))
	must(t, send(s.Entries[0]))
	setAllEngineFaults(t, s, modelengine.Faults{})
	eventuallyChat(t, s, s.Entries[1], "after the restart")
	if got := countLoads(t, s, colourMatch); got != 1 {
		t.Errorf("%d loads were ordered, want 1", got)
	}
}

// TestFrozenAgentDuringLoad freezes an agent while its engine loads a model and
// starts a second agent for the same engine. The second must not send orders while
// the first may resume.
func TestFrozenAgentDuringLoad(t *testing.T) {
	for _, checksFences := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks fences %v", checksFences), func(t *testing.T) {
			s := start(t, func(o *site.Options) { o.CheckFences = checksFences })
			setAllEngineFaults(t, s, modelengine.Faults{FreezeLoads: true})
			caller := s.Caller(s.Entries[0], site.KeyPrepress)
			done := make(chan error, 1)
			go func() {
				result, err := caller.Chat(t.Context(), colourMatch.Model, "x", false, deadline(5*time.Second))
				if err == nil && result.Status == http.StatusOK {
					err = site.CheckChat(result, colourMatch, "x", false)
				}
				done <- err
			}()
			runner := awaitLoad(t, s, colourMatch)
			must(t, runner.Freeze())
			second, err := s.StartSecond(runner)
			must(t, err)
			setAllEngineFaults(t, s, modelengine.Faults{})
			if err := <-done; err != nil {
				t.Errorf("request to the frozen agent: %v", err)
			}
			must(t, runner.Thaw())
			eventuallyChat(t, s, s.Entries[1], "after the thaw")
			if strings.Contains(second.Log(), "msg=serving") {
				t.Error("a second agent served while the first was alive")
			}
			must(t, runner.Kill())
			must(t, site.Eventually(testContext(t), func() error {
				if !strings.Contains(second.Log(), "msg=serving") {
					return errors.New("the second agent doesn't serve")
				}
				return nil
			}))
			eventuallyChat(t, s, s.Entries[0], "after the takeover")
			if got := countLoads(t, s, colourMatch); got != 1 {
				t.Errorf("%d loads were ordered, want 1", got)
			}
		})
	}
}

// TestColdModelDuringStoreOutage checks that a cold model is served while the
// key-value service is down or unresponsive, and that a call with an idempotency key
// is refused as not run or runs once.
func TestColdModelDuringStoreOutage(t *testing.T) {
	outages := []struct {
		name  string
		begin func(*site.Site) error
		end   func(*site.Site) error
	}{
		{
			"down",
			func(s *site.Site) error { return s.SetKeyValueFaults(testContext(t), keyvalue.Faults{Down: true}) },
			func(s *site.Site) error { return s.SetKeyValueFaults(testContext(t), keyvalue.Faults{}) },
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
			during, err := book(testContext(t), s, s.Entries[0], "outage")
			must(t, err)
			must(t, outage.end(s))
			checkBookingAfterOutage(t, s, during)
		})
	}
}

// checkBookingAfterOutage retries a booking after the outage, during which it got its
// first response. Unless that outcome was unknown, the booking has run exactly once.
func checkBookingAfterOutage(t *testing.T, s *site.Site, during site.Result) {
	t.Helper()
	must(t, site.Eventually(testContext(t), func() error {
		result, err := book(testContext(t), s, s.Entries[1], "outage")
		if err == nil && result.Status != http.StatusOK && during.Outcome != "unknown" {
			err = fmt.Errorf("after the outage: %s (during it: %s)", result, during)
		}
		return err
	}))
	runs, err := s.Runs(testContext(t))
	must(t, err)
	if runs.Total > 1 || (runs.Total != 1 && during.Outcome != "unknown") {
		t.Errorf("runs %+v after %s, want one", runs, during)
	}
}

// TestFaultyEngineResponses makes engines mix up, truncate, fail and delay responses.
// A caller gets the complete response to its own request or an error, never the
// response to another request.
func TestFaultyEngineResponses(t *testing.T) {
	s := start(t, nil)
	mustChat(t, s, s.Entries[0], "warm up", false)
	runner := awaitLoad(t, s, colourMatch)
	faults := []modelengine.Faults{
		{CrossNext: 1},
		{CutNextAfterBytes: 20},
		{CutNextAfterBytes: 300},
		{FailNextCalls: 1},
		{DelayResponsesMillis: 1500},
	}
	for i, fault := range faults {
		for _, stream := range []bool{false, true} {
			must(t, s.SetEngineFaults(testContext(t), runner, fault))
			question := fmt.Sprintf("question %d stream %v", i, stream)
			result, err := s.Caller(s.Entries[i%2], site.KeyPrepress).
				Chat(testContext(t), colourMatch.Model, question, stream, deadline(time.Second))
			if err == nil && result.Status == http.StatusOK {
				if wrong := site.CheckChat(result, colourMatch, question, stream); wrong != nil && !endsWithError(result) {
					t.Errorf("%+v, stream %v: %v", fault, stream, wrong)
				}
			}
		}
	}
	must(t, s.SetEngineFaults(testContext(t), runner, modelengine.Faults{}))
	mustChat(t, s, s.Entries[0], "after the faults", true)
}

// endsWithError reports whether a stream ends with an error event, the only way to
// report a failure after the stream has started.
func endsWithError(result site.Result) bool {
	events := strings.Split(strings.TrimSpace(string(result.Body)), "\n\n")
	return strings.Contains(events[len(events)-1], `"error"`)
}

// TestGracefulStop terminates an agent and an entry while they forward streams.
func TestGracefulStop(t *testing.T) {
	s := start(t, func(o *site.Options) { o.EngineFlags = []string{"--token-time", "1s"} })
	mustChat(t, s, s.Entries[0], "warm up", false)
	runner := awaitLoad(t, s, colourMatch)
	results := make(chan error, len(s.Entries))
	for _, entry := range s.Entries {
		go func() {
			result, err := s.Caller(entry, site.KeyPrepress).Chat(t.Context(), colourMatch.Model, entry.ID, true)
			if err == nil {
				err = site.CheckChat(result, colourMatch, entry.ID, true)
			}
			results <- err
		}()
	}
	must(t, site.Eventually(testContext(t), func() error { return checkRunsStarted(t, s, runner, 1+len(s.Entries)) }))
	must(t, runner.Terminate())
	must(t, s.Entries[0].Terminate())
	for range s.Entries {
		if err := <-results; err != nil {
			t.Errorf("a stream in flight was truncated: %v", err)
		}
	}
	for _, host := range []*site.Host{runner, s.Entries[0]} {
		if err := host.Wait(testContext(t)); err != nil {
			t.Errorf("%s exited with %v", host.ID, err)
		}
	}
}

// checkRunsStarted returns an error if an engine has started fewer runs than wanted.
func checkRunsStarted(t *testing.T, s *site.Site, runner *site.Host, want int) error {
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

// TestModelMovesFromLeavingHost marks a runner as leaving and checks that it receives
// no more requests once another runner serves the model.
func TestModelMovesFromLeavingHost(t *testing.T) {
	s := start(t, nil)
	mustChat(t, s, s.Entries[0], "before", false)
	runner := awaitLoad(t, s, colourMatch)
	must(t, s.List(testContext(t), runner, hostlist.Leaving))
	must(t, site.Eventually(testContext(t), func() error { return checkServedElsewhere(t, s, runner) }))
	before, err := s.Journal(testContext(t), runner)
	must(t, err)
	for i := range 10 {
		eventuallyChat(t, s, s.Entries[i%2], fmt.Sprintf("later %d", i))
	}
	after, err := s.Journal(testContext(t), runner)
	must(t, err)
	for _, entry := range after.Entries[len(before.Entries):] {
		if entry.Event == modelengine.EventRunStarted {
			t.Errorf("a leaving runner received a new request: %+v", entry)
		}
	}
	countLoads(t, s, colourMatch)
}

// checkServedElsewhere sends a request to each entry and returns an error unless
// other runners served all of them.
func checkServedElsewhere(t *testing.T, s *site.Site, leaving *site.Host) error {
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
		err = errors.New("the leaving runner still receives requests")
	}
	return err
}

// TestKilledMidStream kills and restarts the agent or the engine of a stream. A
// truncated stream must not look complete to the caller, and the model is served
// again after the restart.
func TestKilledMidStream(t *testing.T) {
	for _, victim := range []string{"agent", "engine"} {
		t.Run(victim, func(t *testing.T) {
			s := start(t, func(o *site.Options) { o.EngineFlags = []string{"--token-time", "200ms"} })
			mustChat(t, s, s.Entries[0], "warm up", false)
			runner := awaitLoad(t, s, colourMatch)
			done := make(chan struct{})
			go func() {
				defer close(done)
				result, err := s.Caller(s.Entries[0], site.KeyPrepress).Chat(t.Context(), colourMatch.Model, "cut", true, deadline(15*time.Second))
				if err == nil && site.CheckChat(result, colourMatch, "cut", true) != nil && !endsWithError(result) {
					t.Errorf("a truncated response looks complete: %s", result)
				}
				t.Logf("%v, %d bytes, end %q", err, len(result.Body), result.Body[max(0, len(result.Body)-200):])
			}()
			must(t, site.Eventually(testContext(t), func() error { return checkRunsStarted(t, s, runner, 2) }))
			process := runner.Process
			if victim == "engine" {
				process = runner.Backend.Process
			}
			must(t, process.Restart())
			<-done
			eventuallyChat(t, s, s.Entries[1], "after the restart")
		})
	}
}
