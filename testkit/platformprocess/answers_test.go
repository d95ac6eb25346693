package platformprocess

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/testkit/platformsite"
	"teaselgauge.example/teaselgauge/testkit/standin/backendserver"
)

// setFaults shows the same faults at the plain servers.
func setFaults(s *platformsite.Site, faults backendserver.Faults) {
	for _, backend := range s.Plain {
		backend.SetFaults(faults)
	}
}

func TestFaultsOfPlainServers(t *testing.T) {
	const (
		booking = platformsite.BookingPath
		stock   = platformsite.StockPath
	)
	tests := []struct {
		name   string
		faults backendserver.Faults
		path   string
		status int
		// runs is how often the request runs, at all servers.
		runs int
	}{
		{"a refusal is sent elsewhere", backendserver.Faults{RefuseNext: 1}, booking, http.StatusOK, 1},
		{"a lost answer of a request that may run once", backendserver.Faults{LoseNext: 1}, booking, http.StatusBadGateway, 1},
		{"a lost answer of a request that may run again", backendserver.Faults{LoseNext: 1}, stock, http.StatusOK, 2},
		{"a failure of a request that may run once", backendserver.Faults{FailNext: 1}, booking, http.StatusInternalServerError, 1},
		{"a failure of a request that may run again", backendserver.Faults{FailNext: 1}, stock, http.StatusOK, 2},
		{"a cut answer of a request that may run once", backendserver.Faults{CutNext: 1}, booking, http.StatusBadGateway, 1},
		{"a cut answer of a request that may run again", backendserver.Faults{CutNext: 1}, stock, http.StatusOK, 2},
		{"bytes that are no answer", backendserver.Faults{GarbleNext: 1}, booking, http.StatusBadGateway, 1},
		{"bytes that are no answer, again", backendserver.Faults{GarbleNext: 1}, stock, http.StatusOK, 2},
	}
	s := start(t, nil)
	entry := s.Entries[0]
	// The entry prefers the server in its own zone, which has the fault.
	near := s.Plain[0]
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			// Earlier failures are made up for, so that the server isn't avoided.
			for range 20 {
				mustServe(t, s, entry, s.NewRequest(test.path, ""))
			}
			near.SetFaults(test.faults)
			defer near.SetFaults(backendserver.Faults{})
			request := s.NewRequest(test.path, "")
			result := entry.Send(within(t), request)
			if runs := len(s.Runs(request.ID)); result.Status != test.status || runs != test.runs {
				t.Errorf("%s after %d runs, want status %d after %d", result, runs, test.status, test.runs)
			}
			checkRules(t, s, request, result)
		})
	}
}

// TestDoubledAnswers checks that an answer that stands where the next one is
// expected reaches nobody.
func TestDoubledAnswers(t *testing.T) {
	s := start(t, func(o *platformsite.Options) { o.Plain = 1 })
	setFaults(s, backendserver.Faults{DoubleNext: 5})
	for range 10 {
		mustServe(t, s, s.Entries[0], s.NewRequest(platformsite.BookingPath, ""))
	}
}

func setRunnerFaults(s *platformsite.Site, faults backendserver.Faults) {
	for _, runner := range s.Runners {
		runner.Backend.SetFaults(faults)
	}
}

// TestBrokenStreams checks that a stream that may be resumed goes on elsewhere,
// each event once, and that another one doesn't look complete.
func TestBrokenStreams(t *testing.T) {
	s := start(t, nil)
	entry := s.Entries[0]
	eventuallyServe(t, s, entry, platformsite.BatchPath, "m1")
	eventually(t, func() error {
		for _, runner := range s.Runners {
			runner.Backend.SetFaults(backendserver.Faults{CutNext: 1})
			request := s.NewRequest(platformsite.BatchPath, "m1")
			mustServe(t, s, entry, request)
			runner.Backend.SetFaults(backendserver.Faults{})
			if runs := s.Runs(request.ID); len(runs) == 2 && hasLastEventID(runs) {
				return nil
			}
		}
		return errNotYet("no stream went on after its last event")
	})
	setRunnerFaults(s, backendserver.Faults{CutNext: 1})
	once := s.NewRequest(platformsite.AdvicePath, "m1")
	result := entry.Send(within(t), once)
	if result.Err == nil || len(s.Runs(once.ID)) != 1 {
		t.Errorf("%s after %d runs, want a visible break after one", result, len(s.Runs(once.ID)))
	}
	setRunnerFaults(s, backendserver.Faults{})
	mustServe(t, s, entry, s.NewRequest(platformsite.BatchPath, "m1"))
}

func hasLastEventID(runs []backendserver.Run) bool {
	return slices.ContainsFunc(runs, func(run backendserver.Run) bool { return run.LastEventID != "" })
}

// TestSlowStreamsAreServed has runners pause for most of a second before each event,
// which is slow and sound.
func TestSlowStreamsAreServed(t *testing.T) {
	s := start(t, nil)
	entry := s.Entries[0]
	eventuallyServe(t, s, entry, platformsite.AdvicePath, "m1")
	for _, runner := range s.Runners {
		runner.Backend.SetWork(800 * time.Millisecond)
	}
	mustServe(t, s, entry, s.NewRequest(platformsite.AdvicePath, "m1"))
}

// TestStalledStreamsEnd has runners stall within an event and go on sending bytes of
// it. The request ends at its deadline, visibly broken, and the runner is told.
func TestStalledStreamsEnd(t *testing.T) {
	const budget = time.Second
	s := start(t, nil)
	entry := s.Entries[0]
	eventuallyServe(t, s, entry, platformsite.AdvicePath, "m1")
	setRunnerFaults(s, backendserver.Faults{Drip: 50 * time.Millisecond})
	request := s.NewRequest(platformsite.AdvicePath, "m1")
	request.Budget = budget
	result := entry.Send(within(t), request)
	if result.Err == nil && result.Status == http.StatusOK {
		t.Errorf("%s, want a visible end", result)
	}
	if result.Total > budget+500*time.Millisecond {
		t.Errorf("ended after %s of %s", result.Total, budget)
	}
	eventually(t, func() error {
		runs := s.Runs(request.ID)
		if len(runs) != 1 || !runs[0].Abandoned {
			return errNotYet("the runner works on")
		}
		return nil
	})
	checkRules(t, s, request, result)
}
