package platformprocess

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/testkit/platformsite"
	"teaselgauge.example/teaselgauge/testkit/standin/backendserver"
)

// setPlainServerFaults sets the same faults at all plain servers.
func setPlainServerFaults(s *platformsite.Site, faults backendserver.Faults) {
	for _, backend := range s.Plain {
		backend.SetFaults(faults)
	}
}

func TestPlainServerFaults(t *testing.T) {
	const (
		booking = platformsite.BookingPath
		stock   = platformsite.StockPath
	)
	tests := []struct {
		name   string
		faults backendserver.Faults
		path   string
		status int
		// runs is how often the request runs, summed over all servers.
		runs int
	}{
		{"refusal is retried at another server", backendserver.Faults{RefuseNext: 1}, booking, http.StatusOK, 1},
		{"lost response, not idempotent", backendserver.Faults{LoseNext: 1}, booking, http.StatusBadGateway, 1},
		{"lost response, idempotent", backendserver.Faults{LoseNext: 1}, stock, http.StatusOK, 2},
		{"server failure, not idempotent", backendserver.Faults{FailNext: 1}, booking, http.StatusInternalServerError, 1},
		{"server failure, idempotent", backendserver.Faults{FailNext: 1}, stock, http.StatusOK, 2},
		{"truncated response, not idempotent", backendserver.Faults{CutNext: 1}, booking, http.StatusBadGateway, 1},
		{"truncated response, idempotent", backendserver.Faults{CutNext: 1}, stock, http.StatusOK, 2},
		{"malformed response, not idempotent", backendserver.Faults{GarbleNext: 1}, booking, http.StatusBadGateway, 1},
		{"malformed response, idempotent", backendserver.Faults{GarbleNext: 1}, stock, http.StatusOK, 2},
	}
	s := start(t, nil)
	entry := s.Entries[0]
	// The entry prefers the server in its own zone, which gets the faults.
	sameZone := s.Plain[0]
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			// These successes make up for earlier failures, so that the entry doesn't
			// avoid the server.
			for range 20 {
				mustServe(t, s, entry, s.NewRequest(test.path, ""))
			}
			sameZone.SetFaults(test.faults)
			defer sameZone.SetFaults(backendserver.Faults{})
			request := s.NewRequest(test.path, "")
			result := entry.Send(testContext(t), request)
			if runs := len(s.Runs(request.ID)); result.Status != test.status || runs != test.runs {
				t.Errorf("%s after %d runs, want status %d after %d", result, runs, test.status, test.runs)
			}
			checkInvariants(t, s, request, result)
		})
	}
}

// TestDuplicateResponses checks that a duplicate response on a connection is not
// forwarded as the response to the next request.
func TestDuplicateResponses(t *testing.T) {
	s := start(t, func(o *platformsite.Options) { o.Plain = 1 })
	setPlainServerFaults(s, backendserver.Faults{DoubleNext: 5})
	for range 10 {
		mustServe(t, s, s.Entries[0], s.NewRequest(platformsite.BookingPath, ""))
	}
}

// Guards against a server's response that isn't one by RFC 9112 and that reaches the caller of a real entry.
func TestMalformedHeadIsNotForwarded(t *testing.T) {
	const success = "HTTP/1.1 200 OK\r\n"
	s := start(t, func(o *platformsite.Options) { o.Plain = 1 })
	for _, head := range []string{
		"HTTP/1.1 000 Unknown\r\n", "HTTP/1.1 600 Unknown\r\n", "HTTP/2.0 200 OK\r\n", "HTTP/1.1 200 O\x01K\r\n",
		success + "X Y: z\r\n", success + "X-Y : z\r\n", success + "X\x01Y: z\r\n", success + "X-Y: a\x00b\r\n",
		success + "X-Y: a\r\n b\r\n", success + "X-Y: z\n", success + "Transfer-Encoding : chunked\r\n", success + "Content-Length: 1\r\n",
	} {
		for range 20 {
			// These successes make up for the failures, so that the entry doesn't avoid
			// the server.
			mustServe(t, s, s.Entries[0], s.NewRequest(platformsite.BookingPath, ""))
		}
		setPlainServerFaults(s, backendserver.Faults{MalformedNext: 1, MalformedHead: head})
		request := s.NewRequest(platformsite.BookingPath, "")
		result := s.Entries[0].Send(testContext(t), request)
		setPlainServerFaults(s, backendserver.Faults{})
		if runs := len(s.Runs(request.ID)); result.Status != http.StatusBadGateway || runs != 1 {
			t.Errorf("%q: %s after %d runs, want status 502 after 1", head, result, runs)
		}
		checkInvariants(t, s, request, result)
	}
}

// setRunnerFaults sets the same faults at all runners.
func setRunnerFaults(s *platformsite.Site, faults backendserver.Faults) {
	for _, runner := range s.Runners {
		runner.Backend.SetFaults(faults)
	}
}

// TestInterruptedStreams checks that a resumable stream continues at another runner
// without repeating an event, and that any other interrupted stream doesn't look
// complete.
func TestInterruptedStreams(t *testing.T) {
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
		return errNotYet("no stream was resumed after its last event")
	})
	setRunnerFaults(s, backendserver.Faults{CutNext: 1})
	once := s.NewRequest(platformsite.AdvicePath, "m1")
	result := entry.Send(testContext(t), once)
	if result.Err == nil || len(s.Runs(once.ID)) != 1 {
		t.Errorf("%s after %d runs, want a visible error after one", result, len(s.Runs(once.ID)))
	}
	setRunnerFaults(s, backendserver.Faults{})
	mustServe(t, s, entry, s.NewRequest(platformsite.BatchPath, "m1"))
}

func hasLastEventID(runs []backendserver.Run) bool {
	return slices.ContainsFunc(runs, func(run backendserver.Run) bool { return run.LastEventID != "" })
}

// TestSlowStreamsAreServed makes runners pause 800 ms before each event, which is
// slow but not a failure.
func TestSlowStreamsAreServed(t *testing.T) {
	s := start(t, nil)
	entry := s.Entries[0]
	eventuallyServe(t, s, entry, platformsite.AdvicePath, "m1")
	for _, runner := range s.Runners {
		runner.Backend.SetWork(800 * time.Millisecond)
	}
	mustServe(t, s, entry, s.NewRequest(platformsite.AdvicePath, "m1"))
}

// TestStalledStreamsTimeOut makes runners stall within an event and keep sending
// single bytes of it. The request ends at its deadline with a visible error, and its
// run at the runner is cancelled.
func TestStalledStreamsTimeOut(t *testing.T) {
	const budget = time.Second
	s := start(t, nil)
	entry := s.Entries[0]
	eventuallyServe(t, s, entry, platformsite.AdvicePath, "m1")
	setRunnerFaults(s, backendserver.Faults{Drip: 50 * time.Millisecond})
	request := s.NewRequest(platformsite.AdvicePath, "m1")
	request.Budget = budget
	result := entry.Send(testContext(t), request)
	if result.Err == nil && result.Status == http.StatusOK {
		t.Errorf("%s, want a visible error", result)
	}
	if result.Total > budget+500*time.Millisecond {
		t.Errorf("ended after %s with a deadline of %s", result.Total, budget)
	}
	eventually(t, func() error {
		runs := s.Runs(request.ID)
		if len(runs) != 1 || !runs[0].Abandoned {
			return errNotYet("the request still runs")
		}
		return nil
	})
	checkInvariants(t, s, request, result)
}
