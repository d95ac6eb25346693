package platformprocess

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/testkit/platformsite"
	"teaselgauge.example/teaselgauge/testkit/standin/backendserver"
)

const (
	// limitPerSecond is the rate that a server names, limitWindow, limitFactor and
	// limitSlack the bound of requests that may reach it all the same.
	limitPerSecond = 2
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitSlack     = 5

	// limitedSeconds is how long the load goes on after the limit was named, and
	// limitNotice the time in which all entries have received it.
	limitedSeconds = 10
	limitNotice    = time.Second
	// entryPeriod is the time between two requests at one entry.
	entryPeriod = 100 * time.Millisecond
)

// limitedSite is a site whose only plain server and whose only model runner can
// name a limit.
func limitedSite(t *testing.T) *platformsite.Site {
	t.Helper()
	s := start(t, func(o *platformsite.Options) {
		o.Entries, o.Runners, o.Plain = 4, 1, 1
		o.Models = o.Models[:2]
	})
	for _, entry := range s.Entries {
		eventuallyServe(t, s, entry, platformsite.AdvicePath, "m1")
		eventuallyServe(t, s, entry, platformsite.BookingPath, "")
	}
	return s
}

// limitedBackends are the kinds of servers that can name a limit.
var limitedBackends = []struct {
	name, path, model string
	backend           func(*platformsite.Site) *backendserver.Server
}{
	{"plain server", platformsite.BookingPath, "", func(s *platformsite.Site) *backendserver.Server { return s.Plain[0] }},
	{"model runner", platformsite.AdvicePath, "m1", func(s *platformsite.Site) *backendserver.Server { return s.Runners[0].Backend }},
}

// sentRequest is a request of a load with its result.
type sentRequest struct {
	platformsite.Request
	result platformsite.Result
}

// load sends requests to all running entries at a steady rate, and returns all
// results.
func load(t *testing.T, s *platformsite.Site, path, model string, duration time.Duration) []sentRequest {
	t.Helper()
	ctx := testContext(t)
	var mu sync.Mutex
	var sent []sentRequest
	var wait sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(entryPeriod) {
		for _, entry := range s.Entries {
			if !entry.Running() {
				continue
			}
			request := s.NewRequest(path, model)
			wait.Go(func() {
				result := entry.Send(ctx, request)
				mu.Lock()
				defer mu.Unlock()
				sent = append(sent, sentRequest{request, result})
			})
		}
	}
	wait.Wait()
	return sent
}

// mostArrivals returns the largest number of requests that arrived at a server
// within limitWindow, among those that arrived after a point in time.
func mostArrivals(backend *backendserver.Server, after time.Time) int {
	var arrivals []time.Time
	for _, runs := range backend.Journal().Runs {
		for _, run := range runs {
			if run.At.After(after) {
				arrivals = append(arrivals, run.At)
			}
		}
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	most, first := 0, 0
	for last := range arrivals {
		for arrivals[last].Sub(arrivals[first]) > limitWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// checkLimit checks that a server got no more requests than its limit allows since
// it was named, and at least half of those that it offered to take.
func checkLimit(t *testing.T, backend *backendserver.Server, named time.Time, sent []sentRequest) {
	t.Helper()
	const allowed = limitFactor*limitPerSecond*4 + limitSlack
	if most := mostArrivals(backend, named.Add(limitNotice)); float64(most) > allowed {
		t.Errorf("%d requests arrived within %s, %.0f may", most, limitWindow, float64(allowed))
	}
	served := 0
	for _, request := range sent {
		result := request.result
		if result.Err == nil && result.Status == http.StatusOK {
			served++
			continue
		}
		if result.IsNotRun() && cmp.Or(result.Header.Get("Retry-After"), "0") == "0" {
			t.Errorf("%s refused without Retry-After", request.ID)
		}
	}
	t.Logf("%d of %d requests served, at most %d arrived within %s", served, len(sent), mostArrivals(backend, named.Add(limitNotice)), limitWindow)
	if offered := limitPerSecond * limitedSeconds; served < offered/2 {
		t.Errorf("%d requests served in %d s, the server offered %d", served, limitedSeconds, offered)
	}
}

// checkLimitEnds checks that all requests are served again once the server names no
// limit.
func checkLimitEnds(t *testing.T, s *platformsite.Site, backend *backendserver.Server, path, model string) {
	t.Helper()
	backend.SetLimit("")
	eventually(t, func() error {
		for range 5 {
			for _, entry := range s.Entries {
				request := s.NewRequest(path, model)
				if err := s.Check(request, entry.Send(testContext(t), request)); err != nil {
					return err
				}
			}
		}
		return nil
	})
}

// Guards against a limit that each entry keeps for itself, so that the server gets the sum.
func TestServerLimitHoldsForAllEntriesTogether(t *testing.T) {
	for _, test := range limitedBackends {
		t.Run(test.name, func(t *testing.T) {
			s := limitedSite(t)
			backend := test.backend(s)
			backend.SetLimit(fmt.Sprint(limitPerSecond))
			named := time.Now()
			sent := load(t, s, test.path, test.model, limitedSeconds*time.Second)
			checkLimit(t, backend, named, sent)
			checkLimitEnds(t, s, backend, test.path, test.model)
		})
	}
}

// Guards against requests without a lease that the limit doesn't count.
func TestServerLimitHoldsWhileAgentIsDown(t *testing.T) {
	s := limitedSite(t)
	runner := s.Runners[0]
	if err := runner.Kill(); err != nil {
		t.Fatal(err)
	}
	runner.Backend.SetLimit(fmt.Sprint(limitPerSecond))
	named := time.Now()
	sent := load(t, s, platformsite.AdvicePath, "m1", limitedSeconds*time.Second)
	checkLimit(t, runner.Backend, named, sent)
	if err := runner.Start(); err != nil {
		t.Fatal(err)
	}
	checkLimitEnds(t, s, runner.Backend, platformsite.AdvicePath, "m1")
}

// Guards against a limit that only one entry counts, and that is lost with it.
func TestServerLimitHoldsWhileEntriesRestart(t *testing.T) {
	s := limitedSite(t)
	backend := s.Plain[0]
	backend.SetLimit(fmt.Sprint(limitPerSecond))
	named := time.Now()
	var restarts sync.WaitGroup
	restarts.Go(func() {
		for _, entry := range s.Entries {
			time.Sleep(limitedSeconds * time.Second / 5)
			if err := entry.Kill(); err != nil {
				t.Error(err)
			}
			if err := entry.Start(); err != nil {
				t.Error(err)
			}
		}
	})
	sent := load(t, s, platformsite.BookingPath, "", limitedSeconds*time.Second)
	restarts.Wait()
	checkLimit(t, backend, named, sent)
	checkLimitEnds(t, s, backend, platformsite.BookingPath, "")
}

// Guards against requests that wait for, or are refused because of, a limited server while others have capacity.
func TestOtherServersTakeRequestsOfLimitedServer(t *testing.T) {
	for _, test := range limitedBackends {
		t.Run(test.name, func(t *testing.T) {
			s := start(t, func(o *platformsite.Options) {
				o.Entries = 4
				o.Models = o.Models[:1]
			})
			for _, entry := range s.Entries {
				eventuallyServe(t, s, entry, test.path, test.model)
			}
			backend := test.backend(s)
			backend.SetLimit(fmt.Sprint(limitPerSecond))
			named := time.Now()
			sent := load(t, s, test.path, test.model, limitedSeconds*time.Second)
			checkLimit(t, backend, named, sent)
			late, unserved := 0, 0
			for _, request := range sent {
				if s.Check(request.Request, request.result) != nil {
					unserved++
				} else if request.result.HeaderTime > time.Second {
					late++
				}
			}
			if most := len(sent) / 20; unserved > most || late > most {
				t.Errorf("%d of %d requests not served, %d later than a second", unserved, len(sent), late)
			}
		})
	}
}
