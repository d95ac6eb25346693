package platformprocess

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/testkit/platformsite"
	"teaselgauge.example/teaselgauge/testkit/standin/backendserver"
)

const (
	// crashDownTime is how long a crashed server is away.
	crashDownTime = time.Second
	// crashNotice is the time after the last allowed crash from which hosts must know
	// what crashes servers; maxSendsAfterCrashes is how many such requests may reach
	// servers then.
	crashNotice          = 3 * time.Second
	maxSendsAfterCrashes = 3
	// crashLoad is how long the requests come that crash servers, crashPeriod the
	// time between two of them, soundPeriod that between two sound ones at one entry.
	crashLoad   = 14 * time.Second
	crashPeriod = 300 * time.Millisecond
	soundPeriod = 100 * time.Millisecond
	// soundSubjects is the number of second parts of the sound requests' prompts.
	soundSubjects = 20
)

// deadlyPart is the ID of the part that crashes servers.
const deadlyPart = "dead01"

// crashSite is a site whose runners all have one model.
func crashSite(t *testing.T) *platformsite.Site {
	t.Helper()
	s := start(t, func(o *platformsite.Options) {
		o.Entries, o.Runners, o.Plain = 4, 4, 3
		o.Models = o.Models[:1]
		o.Work = 20 * time.Millisecond
		o.LogLevel = "info"
	})
	for _, entry := range s.Entries {
		eventuallyServe(t, s, entry, platformsite.AdvicePath, "m1")
		eventuallyServe(t, s, entry, platformsite.BookingPath, "")
	}
	return s
}

// traffic sends requests in the background.
type traffic struct {
	wait sync.WaitGroup
	mu   sync.Mutex
	sent []timedRequest
}

// timedRequest is a request with the time at which it was sent, and its result.
type timedRequest struct {
	sentRequest
	at time.Time
}

// send sends a request to an entry without waiting for the response.
func (l *traffic) send(t *testing.T, entry *platformsite.Entry, request platformsite.Request) {
	at := time.Now()
	ctx := t.Context()
	l.wait.Go(func() {
		result := entry.Send(ctx, request)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.sent = append(l.sent, timedRequest{sentRequest{request, result}, at})
	})
}

// servedShare returns the share of the requests sent after a point in time that were
// served, and their number.
func (l *traffic) servedShare(after time.Time) (share float64, count int) {
	served := 0
	for _, request := range l.sent {
		if request.at.Before(after) {
			continue
		}
		count++
		if request.result.Err == nil && request.result.Status == http.StatusOK {
			served++
		}
	}
	return float64(served) / float64(max(count, 1)), count
}

// checkNoneBlocked checks that no request was refused for its content.
func (l *traffic) checkNoneBlocked(t *testing.T) {
	t.Helper()
	for _, request := range l.sent {
		if strings.Contains(request.result.Body, "crash") {
			t.Errorf("%s, with the prompt %s, was blocked: %s", request.ID, request.Header.Get(backendserver.HeaderPrompt), request.result)
		}
	}
}

// soundRequest returns a request whose prompt has the first part of all requests and
// one of several second parts.
func soundRequest(s *platformsite.Site, number int) platformsite.Request {
	request := s.NewRequest(platformsite.AdvicePath, "m1")
	request.Header = http.Header{backendserver.HeaderPrompt: {fmt.Sprintf("f1:80,5e%02d:60,%s:20", number%soundSubjects, request.ID)}}
	return request
}

// crashTimes returns the times of the crashes of servers, in order.
func crashTimes(servers []*backendserver.Server) []time.Time {
	var times []time.Time
	for _, backend := range servers {
		times = append(times, backend.Journal().Crashes...)
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// arrivalsAfter counts the requests that reached servers after a point in time.
func arrivalsAfter(servers []*backendserver.Server, after time.Time, matches func(backendserver.Run) bool) int {
	count := 0
	for _, backend := range servers {
		for _, runs := range backend.Journal().Runs {
			for _, run := range runs {
				if matches(run) && run.At.After(after) {
					count++
				}
			}
		}
	}
	return count
}

// runnerBackends returns the site's model runners.
func runnerBackends(s *platformsite.Site) []*backendserver.Server {
	var backends []*backendserver.Server
	for _, runner := range s.Runners {
		backends = append(backends, runner.Backend)
	}
	return backends
}

// checkCrashes checks that few requests that crash servers reached them once the
// allowed crashes had happened, and that sound ones were served beside them.
func checkCrashes(t *testing.T, servers []*backendserver.Server, allowed int, matches func(backendserver.Run) bool, sound *traffic) {
	t.Helper()
	times := crashTimes(servers)
	t.Logf("%d crashes", len(times))
	if len(times) == 0 {
		t.Fatal("no server has crashed")
	}
	if len(times) >= allowed {
		if sends := arrivalsAfter(servers, times[allowed-1].Add(crashNotice), matches); sends > maxSendsAfterCrashes {
			t.Errorf("%d requests that crash servers reached them %s after the crash number %d, %d may", sends, crashNotice, allowed, maxSendsAfterCrashes)
		}
	}
	share, count := sound.servedShare(times[min(allowed, len(times))-1].Add(2 * crashNotice))
	t.Logf("%.3f of %d sound requests served", share, count)
	sound.checkNoneBlocked(t)
	const minCount, minShare = 20, 0.5
	if count < minCount || share < minShare {
		t.Errorf("%.3f of %d sound requests served beside those that crash servers, want %.1f of %d or more", share, count, minShare, minCount)
	}
}

// playCrashes sends sound requests to all entries, and beside them requests that crash
// servers, to one entry after the other. It returns the sound ones.
func playCrashes(t *testing.T, s *platformsite.Site, nextSound func(number int) platformsite.Request, nextDeadly func() platformsite.Request) *traffic {
	t.Helper()
	sound, deadly := &traffic{}, &traffic{}
	deadlyAt := time.Now().Add(2 * time.Second)
	end := deadlyAt.Add(crashLoad)
	for number := 0; time.Now().Before(end); time.Sleep(soundPeriod) {
		for _, entry := range s.Entries {
			number++
			sound.send(t, entry, nextSound(number))
		}
		if time.Now().After(deadlyAt) {
			deadlyAt = deadlyAt.Add(crashPeriod)
			deadly.send(t, s.Entries[number/len(s.Entries)%len(s.Entries)], nextDeadly())
		}
	}
	sound.wait.Wait()
	deadly.wait.Wait()
	return sound
}

func TestPartOfPromptDoesNotCrashOneRunnerAfterAnother(t *testing.T) {
	s := crashSite(t)
	for _, backend := range runnerBackends(s) {
		backend.CrashOn(crashDownTime, func(r *http.Request, _ string) bool {
			return strings.Contains(r.Header.Get(backendserver.HeaderPrompt), deadlyPart)
		})
	}
	sound := playCrashes(t, s, func(number int) platformsite.Request { return soundRequest(s, number) }, func() platformsite.Request {
		request := s.NewRequest(platformsite.AdvicePath, "m1")
		request.Header = http.Header{backendserver.HeaderPrompt: {fmt.Sprintf("f1:80,5e03:60,%s:30,%s:20", deadlyPart, request.ID)}}
		return request
	})
	const allowed = 5
	checkCrashes(t, runnerBackends(s), allowed, func(run backendserver.Run) bool {
		return strings.Contains(run.Prompt, deadlyPart)
	}, sound)
}

// deadlyBody is the body of the request that crashes servers.
const deadlyBody = `{"deadly":true}`

// The request is repeated with the same path and body under new IDs, beside sound ones
// with the same path, and for a runner with the same shared parts of the prompt.
func TestRequestDoesNotCrashOneServerAfterAnother(t *testing.T) {
	for _, c := range []struct {
		name     string
		backends func(*platformsite.Site) []*backendserver.Server
		sound    func(*platformsite.Site, int) platformsite.Request
	}{
		{"model runners", runnerBackends, soundRequest},
		{
			"plain servers", func(s *platformsite.Site) []*backendserver.Server { return s.Plain },
			func(s *platformsite.Site, _ int) platformsite.Request {
				return s.NewRequest(platformsite.BookingPath, "")
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := crashSite(t)
			for _, backend := range c.backends(s) {
				backend.CrashOn(crashDownTime, func(_ *http.Request, body string) bool { return body == deadlyBody })
			}
			sound := playCrashes(t, s, func(number int) platformsite.Request { return c.sound(s, number) }, func() platformsite.Request {
				request := c.sound(s, 3)
				request.Body = deadlyBody
				return request
			})
			const allowed = 3
			checkCrashes(t, c.backends(s), allowed, func(run backendserver.Run) bool { return run.Body == deadlyBody }, sound)
		})
	}
}

func TestCrashesOfOtherCausesGetNoRequestRefusedForItsContent(t *testing.T) {
	s := crashSite(t)
	sound := &traffic{}
	const crashInterval = 700 * time.Millisecond
	nextCrash := time.Now().Add(time.Second)
	end := nextCrash.Add(crashLoad)
	crashed := 0
	for number := 0; time.Now().Before(end); time.Sleep(soundPeriod) {
		for _, entry := range s.Entries {
			number++
			sound.send(t, entry, soundRequest(s, number))
		}
		if time.Now().After(nextCrash) {
			nextCrash = nextCrash.Add(crashInterval)
			s.Runners[crashed%len(s.Runners)].Backend.Crash(crashDownTime)
			crashed++
		}
	}
	sound.wait.Wait()
	sound.checkNoneBlocked(t)
	share, count := sound.servedShare(time.Time{})
	t.Logf("%d crashes, %.3f of %d requests served", len(crashTimes(runnerBackends(s))), share, count)
}
