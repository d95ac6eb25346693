package platformprocess

import (
	"net/http"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/testkit/platformsite"
	"teaselgauge.example/teaselgauge/testkit/standin/backendserver"
)

// TestLeavingServerGetsNoNewRequests makes a plain server and a runner announce only in
// their responses that they leave; their registrations don't change.
func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	s := start(t, func(o *platformsite.Options) { o.Entries = 1 })
	warmUp(t, s)
	entry := s.Entries[0]
	leaving := []*backendserver.Server{s.Plain[0], s.Runners[0].Backend}
	for _, backend := range leaving {
		backend.Leave()
	}
	generator := startTraffic(t, s, entry)
	defer generator.finish()
	// By then each server has announced it in a response, and the requests already in
	// flight have arrived.
	time.Sleep(time.Second)
	notified := time.Now()
	time.Sleep(2 * time.Second)
	for _, backend := range leaving {
		if id, ok := arrivedAfter(backend, notified); ok {
			t.Errorf("%s reached a leaving server", id)
		}
	}
}

// arrivedAfter returns a request that reached a server after the given time.
func arrivedAfter(backend *backendserver.Server, after time.Time) (string, bool) {
	for id, runs := range backend.Journal().Runs {
		for _, run := range runs {
			if run.At.After(after) {
				return id, true
			}
		}
	}
	return "", false
}

// TestServerBackpressure makes plain servers and runners reject requests with a time
// during which they accept none. From half a second after the first rejection until
// that time has passed, at most two requests reach each server. Callers get a
// response, or a refusal with Retry-After, and are served again afterwards.
func TestServerBackpressure(t *testing.T) {
	const (
		rejectFor     = 3 * time.Second
		inFlight      = 500 * time.Millisecond
		maxLate       = 2
		recovery      = 500 * time.Millisecond
		callerTimeout = time.Second
	)
	s := start(t, func(o *platformsite.Options) { o.Entries = 1 })
	warmUp(t, s)
	entry := s.Entries[0]
	backends := s.Backends()
	begun := time.Now()
	for _, backend := range backends {
		backend.SetFaults(backendserver.Faults{TurnAwayFor: rejectFor})
	}
	refused := 0
	for time.Since(begun) < rejectFor-callerTimeout {
		for _, path := range []string{platformsite.BookingPath, platformsite.StockPath, platformsite.AdvicePath} {
			request := s.NewRequest(path, modelFor(path))
			request.Budget = callerTimeout
			result := entry.Send(testContext(t), request)
			checkInvariants(t, s, request, result)
			if result.Status == http.StatusServiceUnavailable {
				refused++
				if result.Header.Get("Retry-After") == "" {
					t.Errorf("%s: %s has no Retry-After", path, result)
				}
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	if refused == 0 {
		t.Error("no request was refused")
	}
	for _, backend := range backends {
		first, arrived := arrivals(backend, begun)
		late := 0
		for _, at := range arrived {
			if at.After(first.Add(inFlight)) && at.Before(first.Add(rejectFor)) {
				late++
			}
		}
		if late > maxLate {
			t.Errorf("%d requests reached a server that accepts none", late)
		}
	}
	time.Sleep(time.Until(begun.Add(rejectFor + recovery)))
	mustServe(t, s, entry, s.NewRequest(platformsite.BookingPath, ""))
	eventuallyServe(t, s, entry, platformsite.AdvicePath, "m1")
}

// modelFor returns the model of requests to a path, or "" for plain services.
func modelFor(path string) string {
	if path == platformsite.AdvicePath {
		return "m1"
	}
	return ""
}

// arrivals returns the times at which requests reached a server since the given
// time, and the first of them.
func arrivals(backend *backendserver.Server, since time.Time) (first time.Time, all []time.Time) {
	for _, runs := range backend.Journal().Runs {
		for _, run := range runs {
			if run.At.Before(since) {
				continue
			}
			all = append(all, run.At)
			if first.IsZero() || run.At.Before(first) {
				first = run.At
			}
		}
	}
	return first, all
}
