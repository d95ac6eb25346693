package platformprocess

import (
	"net/http"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/testkit/platformsite"
	"teaselgauge.example/teaselgauge/testkit/standin/backendserver"
)

// TestLeavingServerGetsNothingNew has a plain server and a runner say in their
// answers that they leave, while their registrations say nothing.
func TestLeavingServerGetsNothingNew(t *testing.T) {
	s := start(t, func(o *platformsite.Options) { o.Entries = 1 })
	warm(t, s)
	entry := s.Entries[0]
	leaving := []*backendserver.Server{s.Plain[0], s.Runners[0].Backend}
	for _, backend := range leaving {
		backend.Leave()
	}
	flow := startTraffic(t, s, entry)
	defer flow.end()
	// By then each of them has said it in an answer, and the requests that were
	// under way have arrived.
	time.Sleep(time.Second)
	told := time.Now()
	time.Sleep(2 * time.Second)
	for _, backend := range leaving {
		if id, ok := arrivedAfter(backend, told); ok {
			t.Errorf("%s reached a server that leaves", id)
		}
	}
}

// arrivedAfter returns a request that reached a server after a time.
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

// TestServerThatTurnsRequestsAway has plain servers and runners name a time for
// which they want no requests. Between half a second later and the end of that time
// at most two arrive, callers get an answer or a refusal with a time to come back,
// and afterwards all are served.
func TestServerThatTurnsRequestsAway(t *testing.T) {
	const (
		away        = 3 * time.Second
		inFlight    = 500 * time.Millisecond
		mayArrive   = 2
		afterwards  = 500 * time.Millisecond
		callersWait = time.Second
	)
	s := start(t, func(o *platformsite.Options) { o.Entries = 1 })
	warm(t, s)
	entry := s.Entries[0]
	closed := s.Backends()
	begun := time.Now()
	for _, backend := range closed {
		backend.SetFaults(backendserver.Faults{TurnAwayFor: away})
	}
	refused := 0
	for time.Since(begun) < away-callersWait {
		for _, path := range []string{platformsite.BookingPath, platformsite.StockPath, platformsite.AdvicePath} {
			request := s.NewRequest(path, modelFor(path))
			request.Budget = callersWait
			result := entry.Send(within(t), request)
			checkRules(t, s, request, result)
			if result.Status == http.StatusServiceUnavailable {
				refused++
				if result.Header.Get("Retry-After") == "" {
					t.Errorf("%s: %s names no time to come back", path, result)
				}
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	if refused == 0 {
		t.Error("no request was refused")
	}
	for _, backend := range closed {
		first, arrived := arrivals(backend, begun)
		late := 0
		for _, at := range arrived {
			if at.After(first.Add(inFlight)) && at.Before(first.Add(away)) {
				late++
			}
		}
		if late > mayArrive {
			t.Errorf("%d requests reached a server that wants none", late)
		}
	}
	time.Sleep(time.Until(begun.Add(away + afterwards)))
	mustServe(t, s, entry, s.NewRequest(platformsite.BookingPath, ""))
	eventuallyServe(t, s, entry, platformsite.AdvicePath, "m1")
}

func modelFor(path string) string {
	if path == platformsite.AdvicePath {
		return "m1"
	}
	return ""
}

// arrivals are the times at which requests reached a server from a time on, and
// the first of them.
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
