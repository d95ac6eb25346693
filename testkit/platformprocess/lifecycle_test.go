package platformprocess

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/testkit/platformsite"
	"teaselgauge.example/teaselgauge/testkit/standin/backendserver"
	"teaselgauge.example/teaselgauge/testkit/standin/metadatastore"
)

// trafficGenerator sends requests of all kinds from several callers until finish is
// called, which returns the number of requests and descriptions of the failed ones.
type trafficGenerator struct {
	stop   chan struct{}
	wait   sync.WaitGroup
	mu     sync.Mutex
	sent   int
	failed []string
}

// prepareRequests creates requests in advance, as a Site is used by one goroutine.
func prepareRequests(s *platformsite.Site, count int) []platformsite.Request {
	kinds := []struct{ path, model string }{
		{platformsite.BookingPath, ""},
		{platformsite.StockPath, ""},
		{platformsite.AdvicePath, "m1"},
		{platformsite.BatchPath, "m2"},
	}
	requests := make([]platformsite.Request, count)
	for i := range requests {
		kind := kinds[i%len(kinds)]
		requests[i] = s.NewRequest(kind.path, kind.model)
	}
	return requests
}

// startTraffic starts callers that send requests to the given entries.
func startTraffic(t *testing.T, s *platformsite.Site, entries ...*platformsite.Entry) *trafficGenerator {
	t.Helper()
	const callers, perCaller = 4, 4000
	g := &trafficGenerator{stop: make(chan struct{})}
	for i := range callers {
		entry := entries[i%len(entries)]
		requests := prepareRequests(s, perCaller)
		g.wait.Go(func() { g.send(t, s, entry, requests) })
	}
	return g
}

// send sends the prepared requests one after the other and records failures.
func (g *trafficGenerator) send(t *testing.T, s *platformsite.Site, entry *platformsite.Entry, requests []platformsite.Request) {
	for _, request := range requests {
		select {
		case <-g.stop:
			return
		default:
		}
		result := entry.Send(t.Context(), request)
		err := s.Check(request, result)
		checkInvariants(t, s, request, result)
		g.mu.Lock()
		g.sent++
		if err != nil {
			g.failed = append(g.failed, fmt.Sprintf("%s %s at %s: %v", time.Now().Format("05.000"), request.Path, entry.ID, err))
		}
		g.mu.Unlock()
	}
}

// finish stops the callers and returns the number of requests sent and the failures.
func (g *trafficGenerator) finish() (sent int, failed []string) {
	close(g.stop)
	g.wait.Wait()
	return g.sent, g.failed
}

// warmUp loads the models that the traffic uses, so that later requests don't wait
// for loads.
func warmUp(t *testing.T, s *platformsite.Site) {
	t.Helper()
	for _, entry := range s.Entries {
		for _, model := range []string{"m1", "m2"} {
			eventuallyServe(t, s, entry, platformsite.AdvicePath, model)
		}
	}
}

// TestDrainCompletesRequests stops an entry while requests are in flight and new ones
// keep arriving on open connections until it exits.
func TestDrainCompletesRequests(t *testing.T) {
	s := start(t, func(o *platformsite.Options) {
		o.DrainMillis = 5000
		o.Work = 20 * time.Millisecond
	})
	warmUp(t, s)
	entry := s.Entries[0]
	generator := startTraffic(t, s, entry)
	time.Sleep(300 * time.Millisecond)
	if err := entry.Terminate(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(300 * time.Millisecond)
	if ready, err := entry.IsReady(t.Context()); err == nil && ready {
		t.Error("a stopping entry reports that it is ready")
	}
	// Callers use other entries once the load balancer has removed this one.
	time.Sleep(1500 * time.Millisecond)
	sent, failed := generator.finish()
	if len(failed) > 0 {
		t.Errorf("%d of %d requests failed:\n%s", len(failed), sent, strings.Join(failed, "\n"))
	}
	if err := entry.Wait(testContext(t)); err != nil {
		t.Errorf("the entry exited with %v", err)
	}
}

// TestSettingsReloadFailsNoRequests sends SIGHUP under load, with and without changed
// settings.
func TestSettingsReloadFailsNoRequests(t *testing.T) {
	s := start(t, nil)
	warmUp(t, s)
	generator := startTraffic(t, s, s.Entries...)
	for i := range 6 {
		for _, process := range s.Processes() {
			if i == 3 {
				if err := s.ChangeLogLevel(process.Name, "info"); err != nil {
					t.Fatal(err)
				}
			}
			if err := process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	sent, failed := generator.finish()
	if len(failed) > 0 {
		t.Errorf("%d of %d requests failed:\n%s", len(failed), sent, strings.Join(failed, "\n"))
	}
	for _, process := range s.Processes() {
		if !process.Running() {
			t.Errorf("%s exited on SIGHUP", process.Name)
		}
		eventually(t, func() error {
			if !strings.Contains(process.Log(), "settings changed") {
				return errNotYet("no log line about changed settings at " + process.Name)
			}
			return nil
		})
	}
}

// TestInvalidSettingsAreNotApplied makes the settings file of a running process
// invalid. The process logs it and keeps serving.
func TestInvalidSettingsAreNotApplied(t *testing.T) {
	s := start(t, nil)
	entry := s.Entries[0]
	if err := s.BreakSettings(entry.ID); err != nil {
		t.Fatal(err)
	}
	eventually(t, func() error {
		if !strings.Contains(entry.Log(), "settings invalid") {
			return errNotYet("no log line about invalid settings")
		}
		return nil
	})
	mustServe(t, s, entry, s.NewRequest(platformsite.StockPath, ""))
}

// TestServesAgainAfterKill kills the leader, and then all processes.
func TestServesAgainAfterKill(t *testing.T) {
	s := start(t, nil)
	warmUp(t, s)
	leader, _ := s.Store.Get("teaselgauge/leader")
	for _, entry := range s.Entries {
		if entry.ID != string(leader) {
			continue
		}
		if err := entry.Restart(); err != nil {
			t.Fatal(err)
		}
	}
	for _, entry := range s.Entries {
		if err := entry.AwaitReady(testContext(t)); err != nil {
			t.Fatal(err)
		}
		eventuallyServe(t, s, entry, platformsite.AdvicePath, "m1")
	}
	for _, process := range s.Processes() {
		if err := process.Kill(); err != nil {
			t.Fatal(err)
		}
	}
	started := time.Now()
	for _, process := range s.Processes() {
		if err := process.Start(); err != nil {
			t.Fatal(err)
		}
	}
	for _, entry := range s.Entries {
		eventuallyServe(t, s, entry, platformsite.BookingPath, "")
		eventuallyServe(t, s, entry, platformsite.AdvicePath, "m1")
		eventuallyServe(t, s, entry, platformsite.AdvicePath, "m3/a1")
	}
	if took := time.Since(started); took > 10*time.Second {
		t.Errorf("served again after %s, want at most 10s", took)
	}
}

// TestFrozenLeaderIsReplaced stops the leader with SIGSTOP, changes the configuration so
// that a new placement is due, and resumes the old leader, which must not write one.
func TestFrozenLeaderIsReplaced(t *testing.T) {
	s := start(t, nil)
	warmUp(t, s)
	name, _ := s.Store.Get("teaselgauge/leader")
	var leader, other *platformsite.Entry
	for _, entry := range s.Entries {
		if entry.ID == string(name) {
			leader = entry
		} else {
			other = entry
		}
	}
	if err := leader.Freeze(); err != nil {
		t.Fatal(err)
	}
	eventually(t, func() error {
		now, _ := s.Store.Get("teaselgauge/leader")
		if string(now) != other.ID {
			return errNotYet(string(now))
		}
		return nil
	})
	_, before := s.Store.Get("teaselgauge/placement")
	s.Configure(func(c *platformsite.Configuration) {
		models := &c.Services[0].Engine.Models
		*models = append(*models, platformsite.Model{Name: "m5", MB: 40_000, LoadS: 0.3, DiskS: 0.1, WarmS: 0.1})
	})
	eventually(t, func() error {
		if _, now := s.Store.Get("teaselgauge/placement"); now == before {
			return errNotYet("the same placement")
		}
		return nil
	})
	if err := leader.Thaw(); err != nil {
		t.Fatal(err)
	}
	_, after := s.Store.Get("teaselgauge/placement")
	time.Sleep(time.Second)
	if _, now := s.Store.Get("teaselgauge/placement"); now != after {
		t.Error("the resumed former leader wrote a placement")
	}
	eventuallyServe(t, s, leader, platformsite.AdvicePath, "m1")
}

// TestRestartedAgentTakesOver restarts agents while leases are held.
func TestRestartedAgentTakesOver(t *testing.T) {
	s := start(t, nil)
	warmUp(t, s)
	generator := startTraffic(t, s, s.Entries...)
	for _, runner := range s.Runners {
		if err := runner.Restart(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
	}
	sent, failed := generator.finish()
	if len(failed) > sent/10 {
		t.Errorf("%d of %d requests failed:\n%s", len(failed), sent, strings.Join(failed[:min(5, len(failed))], "\n"))
	}
	for _, model := range []string{"m3", "m4", "m1/a1"} {
		eventuallyServe(t, s, s.Entries[0], platformsite.AdvicePath, model)
	}
}

// TestStalledLogReaderDoesNotBlockRequests runs an entry whose output nobody reads.
func TestStalledLogReaderDoesNotBlockRequests(t *testing.T) {
	s := start(t, nil)
	warmUp(t, s)
	entry, release, err := s.StallOutput(s.Entries[0])
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	if err := entry.AwaitReady(testContext(t)); err != nil {
		t.Fatal(err)
	}
	eventuallyServe(t, s, entry, platformsite.AdvicePath, "m1")
	for range 600 {
		request := s.NewRequest("/nowhere/", "")
		request.Header = http.Header{"X-Padding": {strings.Repeat("x", 100)}}
		if result := entry.Send(testContext(t), request); result.Status != http.StatusNotFound {
			t.Fatalf("%s", result)
		}
	}
	for range 300 {
		result := mustServe(t, s, entry, s.NewRequest(platformsite.StockPath, ""))
		if result.Total > time.Second {
			t.Fatalf("a request took %s", result.Total)
		}
	}
}

// TestInvalidSettingsPreventStart checks that a process with a missing setting exits
// with a failure and logs the name of the field.
func TestInvalidSettingsPreventStart(t *testing.T) {
	s := start(t, func(o *platformsite.Options) { o.Runners = 1; o.Plain = 1; o.Entries = 1 })
	for _, process := range s.Processes() {
		if err := process.Kill(); err != nil {
			t.Fatal(err)
		}
		if err := s.BreakSettings(process.Name); err != nil {
			t.Fatal(err)
		}
		if err := process.Start(); err != nil {
			t.Fatal(err)
		}
		if err := process.Wait(testContext(t)); err == nil {
			t.Errorf("%s exited without a failure", process.Name)
		}
		if log := process.Log(); !strings.Contains(log, "listen.inner") {
			t.Errorf("%s doesn't name the field: %s", process.Name, log)
		}
	}
	s.Plain[0].SetFaults(backendserver.Faults{})
}

// TestShutdownMeetsDrainLimitDuringStoreOutage stops the leader while a request in
// flight takes longer than the drain time and the store doesn't respond.
func TestShutdownMeetsDrainLimitDuringStoreOutage(t *testing.T) {
	const drain = 4 * time.Second
	s := start(t, func(o *platformsite.Options) {
		o.DrainMillis = int(drain.Milliseconds())
		o.Work = 8 * time.Second
	})
	name, _ := s.Store.Get("teaselgauge/leader")
	var leader *platformsite.Entry
	for _, entry := range s.Entries {
		if entry.ID == string(name) {
			leader = entry
		}
	}
	if leader == nil {
		t.Fatalf("leader %q is not an entry", name)
	}
	var flight sync.WaitGroup
	request := s.NewRequest(platformsite.BatchPath, "m2")
	flight.Go(func() { leader.Send(t.Context(), request) })
	time.Sleep(200 * time.Millisecond)
	s.Store.SetFaults(metadatastore.Faults{Silent: true})
	started := time.Now()
	if err := leader.Terminate(); err != nil {
		t.Fatal(err)
	}
	if err := leader.Wait(testContext(t)); err != nil {
		t.Errorf("the entry exited with %v", err)
	}
	if took := time.Since(started); took > drain {
		t.Errorf("the entry exited after %s, later than its drain time of %s", took, drain)
	}
	s.Store.SetFaults(metadatastore.Faults{})
	flight.Wait()
}
