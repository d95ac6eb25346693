package platformprocess

import (
	"net/http"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/testkit/platformsite"
	"teaselgauge.example/teaselgauge/testkit/standin/backendserver"
)

// TestRequestsOfEachKind sends requests of each kind through each entry.
func TestRequestsOfEachKind(t *testing.T) {
	s := start(t, nil)
	for _, entry := range s.Entries {
		for _, path := range []string{platformsite.BookingPath, platformsite.StockPath} {
			mustServe(t, s, entry, s.NewRequest(path, ""))
		}
		for _, model := range []string{"m1", "m2", "m3", "m4", "m1/a1", "m2/a1", "m1/a2"} {
			eventuallyServe(t, s, entry, platformsite.AdvicePath, model)
			eventuallyServe(t, s, entry, platformsite.BatchPath, model)
		}
	}
}

// TestCallersCannotSetInternalHeaders checks that headers set by a caller don't replace
// those that the entry sends to backend servers.
func TestCallersCannotSetInternalHeaders(t *testing.T) {
	s := start(t, nil)
	request := s.NewRequest(platformsite.StockPath, "")
	request.Header = http.Header{
		backendserver.HeaderInstance: {"p-none"}, backendserver.HeaderPriority: {"0"}, "Teaselgauge-Hold": {"7"},
	}
	mustServe(t, s, s.Entries[0], request)
	streamed := s.NewRequest(platformsite.AdvicePath, "m1")
	streamed.Header = request.Header
	eventuallyServe(t, s, s.Entries[0], platformsite.AdvicePath, "m1")
	mustServe(t, s, s.Entries[0], streamed)
	if got := s.Runs(streamed.ID)[0].Priority; got != "1" {
		t.Errorf("priority %q at the runner, want the route's", got)
	}
}

func TestRefusals(t *testing.T) {
	s := start(t, nil)
	entry := s.Entries[0]
	unrouted := s.NewRequest("/nowhere/", "")
	if got := entry.Send(testContext(t), unrouted); got.Status != http.StatusNotFound {
		t.Errorf("request without a route: %s", got)
	}
	tooLarge := s.NewRequest(platformsite.StockPath, "")
	tooLarge.Body = string(make([]byte, 2<<20))
	if got := entry.Send(testContext(t), tooLarge); got.Status != http.StatusRequestEntityTooLarge {
		t.Errorf("too large a body: %s", got)
	}
	unknown := s.NewRequest(platformsite.AdvicePath, "no-such-model")
	if got := entry.Send(testContext(t), unknown); !got.IsNotRun() || got.Header.Get("Retry-After") == "" {
		t.Errorf("unknown model: %s with header %v, want a refusal with Retry-After", got, got.Header)
	}
	for _, request := range []platformsite.Request{unrouted, tooLarge, unknown} {
		if runs := s.Runs(request.ID); len(runs) > 0 {
			t.Errorf("%s ran", request.ID)
		}
	}
}

// TestDeadline sends requests whose deadline is shorter than their processing time.
func TestDeadline(t *testing.T) {
	s := start(t, nil)
	for _, backend := range s.Plain {
		backend.SetWork(2 * time.Second)
	}
	request := s.NewRequest(platformsite.BookingPath, "")
	request.Budget = 300 * time.Millisecond
	result := s.Entries[0].Send(testContext(t), request)
	if result.Status != http.StatusGatewayTimeout || result.Total > 700*time.Millisecond {
		t.Errorf("after %s: %s, want a timeout at the deadline", result.Total, result)
	}
	checkInvariants(t, s, request, result)
	timedOut := s.NewRequest(platformsite.BookingPath, "")
	result = s.Entries[0].Send(testContext(t), timedOut)
	if result.Status != http.StatusGatewayTimeout || result.Total > 1400*time.Millisecond {
		t.Errorf("after %s: %s, want a timeout at the route's limit", result.Total, result)
	}
}

// TestCallerDisconnectsBeforeResponse checks that a request is cancelled at the backend
// server when its caller disconnects before the response has started.
func TestCallerDisconnectsBeforeResponse(t *testing.T) {
	s := start(t, nil)
	for _, backend := range s.Plain {
		backend.SetWork(900 * time.Millisecond)
	}
	ctx, cancel := contextWithTimeout(t, 200*time.Millisecond)
	defer cancel()
	request := s.NewRequest(platformsite.StockPath, "")
	s.Entries[0].Send(ctx, request)
	time.Sleep(300 * time.Millisecond)
	runs := s.Runs(request.ID)
	if len(runs) != 1 || !runs[0].Abandoned {
		t.Errorf("runs %+v, want one that was cancelled when the caller disconnected", runs)
	}
}

// TestCallerDisconnects checks that a stream is cancelled at the backend server when
// its caller disconnects.
func TestCallerDisconnects(t *testing.T) {
	s := start(t, func(o *platformsite.Options) { o.Events = 1000 })
	entry := s.Entries[0]
	request := s.NewRequest(platformsite.AdvicePath, "m1")
	eventually(t, func() error {
		ctx, cancel := contextWithTimeout(t, 500*time.Millisecond)
		defer cancel()
		request = s.NewRequest(platformsite.AdvicePath, "m1")
		result := entry.Send(ctx, request)
		if len(s.Runs(request.ID)) == 0 {
			return errNotYet(result)
		}
		return nil
	})
	eventually(t, func() error {
		if run := s.Runs(request.ID)[0]; !run.Abandoned {
			return errNotYet(run)
		}
		return nil
	})
	if delay := time.Since(s.Runs(request.ID)[0].At); delay > 3*time.Second {
		t.Errorf("the runner was notified %s after the request arrived", delay)
	}
}
