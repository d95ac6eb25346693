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

// traffic sends requests of all kinds from several callers until stop is called,
// which returns the numbers of requests and of those that weren't served.
type traffic struct {
	stop   chan struct{}
	wait   sync.WaitGroup
	mu     sync.Mutex
	sent   int
	failed []string
}

// requestsOf draws up requests beforehand, as a Site is used by one goroutine.
func requestsOf(s *platformsite.Site, count int) []platformsite.Request {
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

// startTraffic sends requests to some entries.
func startTraffic(t *testing.T, s *platformsite.Site, entries ...*platformsite.Entry) *traffic {
	t.Helper()
	const callers, perCaller = 4, 4000
	f := &traffic{stop: make(chan struct{})}
	for i := range callers {
		entry := entries[i%len(entries)]
		requests := requestsOf(s, perCaller)
		f.wait.Go(func() { f.send(t, s, entry, requests) })
	}
	return f
}

func (f *traffic) send(t *testing.T, s *platformsite.Site, entry *platformsite.Entry, requests []platformsite.Request) {
	for _, request := range requests {
		select {
		case <-f.stop:
			return
		default:
		}
		result := entry.Send(t.Context(), request)
		err := s.Check(request, result)
		checkRules(t, s, request, result)
		f.mu.Lock()
		f.sent++
		if err != nil {
			f.failed = append(f.failed, fmt.Sprintf("%s %s at %s: %v", time.Now().Format("05.000"), request.Path, entry.ID, err))
		}
		f.mu.Unlock()
	}
}

func (f *traffic) end() (sent int, failed []string) {
	close(f.stop)
	f.wait.Wait()
	return f.sent, f.failed
}

// warm makes the models known to the site, so that later requests don't wait for
// loads.
func warm(t *testing.T, s *platformsite.Site) {
	t.Helper()
	for _, entry := range s.Entries {
		for _, model := range []string{"m1", "m2"} {
			eventuallyServe(t, s, entry, platformsite.AdvicePath, model)
		}
	}
}

// TestDrainLosesNothing stops an entry with requests in flight and new ones on
// open connections until it is gone.
func TestDrainLosesNothing(t *testing.T) {
	s := start(t, func(o *platformsite.Options) {
		o.DrainMillis = 5000
		o.Work = 20 * time.Millisecond
	})
	warm(t, s)
	entry := s.Entries[0]
	flow := startTraffic(t, s, entry)
	time.Sleep(300 * time.Millisecond)
	if err := entry.Terminate(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(300 * time.Millisecond)
	if ready, err := entry.IsReady(t.Context()); err == nil && ready {
		t.Error("a stopping entry says that it is ready")
	}
	// Callers go to other entries once the balancer has turned away.
	time.Sleep(1500 * time.Millisecond)
	sent, failed := flow.end()
	if len(failed) > 0 {
		t.Errorf("%d of %d requests weren't served:\n%s", len(failed), sent, strings.Join(failed, "\n"))
	}
	if err := entry.Wait(within(t)); err != nil {
		t.Errorf("the entry ended with %v", err)
	}
}

// TestHangupLosesNothing sends SIGHUP under load, with and without changed
// settings.
func TestHangupLosesNothing(t *testing.T) {
	s := start(t, nil)
	warm(t, s)
	flow := startTraffic(t, s, s.Entries...)
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
	sent, failed := flow.end()
	if len(failed) > 0 {
		t.Errorf("%d of %d requests weren't served:\n%s", len(failed), sent, strings.Join(failed, "\n"))
	}
	for _, process := range s.Processes() {
		if !process.Running() {
			t.Errorf("%s ended at a SIGHUP", process.Name)
		}
		eventually(t, func() error {
			if !strings.Contains(process.Log(), "settings changed") {
				return errNotYet("no line of the change at " + process.Name)
			}
			return nil
		})
	}
}

// TestUnusableSettingsChangeNothing breaks a settings file of a running process.
func TestUnusableSettingsChangeNothing(t *testing.T) {
	s := start(t, nil)
	entry := s.Entries[0]
	if err := s.BreakSettings(entry.ID); err != nil {
		t.Fatal(err)
	}
	eventually(t, func() error {
		if !strings.Contains(entry.Log(), "settings invalid") {
			return errNotYet("no line")
		}
		return nil
	})
	mustServe(t, s, entry, s.NewRequest(platformsite.StockPath, ""))
}

// TestKilledEntryIsBack kills the entry that leads, and then all processes.
func TestKilledEntryIsBack(t *testing.T) {
	s := start(t, nil)
	warm(t, s)
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
		if err := entry.AwaitReady(within(t)); err != nil {
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
		t.Errorf("served again only after %s", took)
	}
}

// TestFrozenLeaderIsReplaced stops the leader with SIGSTOP, changes what there is
// to decide, and wakes it again.
func TestFrozenLeaderIsReplaced(t *testing.T) {
	s := start(t, nil)
	warm(t, s)
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
		t.Error("the woken leader wrote a placement")
	}
	eventuallyServe(t, s, leader, platformsite.AdvicePath, "m1")
}

// TestRestartedAgentTakesOver kills an agent with uses under way.
func TestRestartedAgentTakesOver(t *testing.T) {
	s := start(t, nil)
	warm(t, s)
	flow := startTraffic(t, s, s.Entries...)
	for _, runner := range s.Runners {
		if err := runner.Restart(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
	}
	sent, failed := flow.end()
	if len(failed) > sent/10 {
		t.Errorf("%d of %d requests weren't served:\n%s", len(failed), sent, strings.Join(failed[:min(5, len(failed))], "\n"))
	}
	for _, model := range []string{"m3", "m4", "m1/a1"} {
		eventuallyServe(t, s, s.Entries[0], platformsite.AdvicePath, model)
	}
}

// TestStalledLogReaderHoldsUpNothing runs an entry whose output nobody reads.
func TestStalledLogReaderHoldsUpNothing(t *testing.T) {
	s := start(t, nil)
	warm(t, s)
	entry, release, err := s.StallOutput(s.Entries[0])
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	if err := entry.AwaitReady(within(t)); err != nil {
		t.Fatal(err)
	}
	eventuallyServe(t, s, entry, platformsite.AdvicePath, "m1")
	for range 600 {
		request := s.NewRequest("/nowhere/", "")
		request.Header = http.Header{"X-Padding": {strings.Repeat("x", 100)}}
		if result := entry.Send(within(t), request); result.Status != http.StatusNotFound {
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

// TestUnusableSettingsRefuseTheStart checks the error of a start with a missing
// setting.
func TestUnusableSettingsRefuseTheStart(t *testing.T) {
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
		if err := process.Wait(within(t)); err == nil {
			t.Errorf("%s ended without a failure", process.Name)
		}
		if log := process.Log(); !strings.Contains(log, "listen.inner") {
			t.Errorf("%s doesn't name the field: %s", process.Name, log)
		}
	}
	s.Plain[0].SetFaults(backendserver.Faults{})
}

// TestStopEndsInTimeWithoutTheStore stops the leader with a request in flight that
// lasts longer than the drain, while the store doesn't answer.
func TestStopEndsInTimeWithoutTheStore(t *testing.T) {
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
		t.Fatalf("leader %q is no entry", name)
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
	if err := leader.Wait(within(t)); err != nil {
		t.Errorf("the entry ended with %v", err)
	}
	if took := time.Since(started); took > drain {
		t.Errorf("the entry ended after %s, later than its drain of %s", took, drain)
	}
	s.Store.SetFaults(metadatastore.Faults{})
	flight.Wait()
}
