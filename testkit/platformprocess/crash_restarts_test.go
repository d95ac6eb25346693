package platformprocess

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/testkit/platformsite"
	"teaselgauge.example/teaselgauge/testkit/site"
	"teaselgauge.example/teaselgauge/testkit/standin/backendserver"
)

const (
	// restartPeriod is the time between two moments at which processes are killed and
	// started again.
	restartPeriod = 1100 * time.Millisecond
	// soundOnly is how long sound requests come alone beside the restarts, which gives
	// their usual share.
	soundOnly = 10 * time.Second
	// minUsualShare is the share of the usual share that is still served beside requests
	// that crash servers.
	minUsualShare = 0.9
)

// restarts kills processes and starts them again every restartPeriod until it is stopped.
type restarts struct {
	stop, stopped chan struct{}
	failure       error
}

func restartRepeatedly(processes ...*site.Process) *restarts {
	r := &restarts{stop: make(chan struct{}), stopped: make(chan struct{})}
	go r.run(processes)
	return r
}

func (r *restarts) run(processes []*site.Process) {
	defer close(r.stopped)
	ticker := time.NewTicker(restartPeriod)
	defer ticker.Stop()
	for r.failure == nil {
		select {
		case <-r.stop:
			return
		case <-ticker.C:
		}
		if r.failure = site.KillAll(processes...); r.failure == nil {
			r.failure = site.StartAll(processes...)
		}
	}
}

// end stops the restarts and checks that all of them took place.
func (r *restarts) end(t *testing.T) {
	t.Helper()
	close(r.stop)
	<-r.stopped
	if r.failure != nil {
		t.Error(r.failure)
	}
}

// shareBetween returns the served share of the requests sent between two points in time.
func (l *traffic) shareBetween(from, to time.Time) (float64, int) {
	some := &traffic{}
	for _, request := range l.sent {
		if request.at.Before(to) {
			some.sent = append(some.sent, request)
		}
	}
	return some.servedShare(from)
}

// deadlyKind is a kind of requests that crash servers.
type deadlyKind struct {
	// allowed is the number of crashes from which on hosts must know them.
	allowed int
	crashes func(*http.Request, string) bool
	matches func(backendserver.Run) bool
	next    func(*platformsite.Site) platformsite.Request
}

// deadlyParts is the kind of the requests with a part that crashes servers.
var deadlyParts = deadlyKind{
	allowed: 5,
	crashes: func(r *http.Request, _ string) bool {
		return strings.Contains(r.Header.Get(backendserver.HeaderPrompt), deadlyPart)
	},
	matches: func(run backendserver.Run) bool { return strings.Contains(run.Prompt, deadlyPart) },
	next: func(s *platformsite.Site) platformsite.Request {
		request := s.NewRequest(platformsite.AdvicePath, "m1")
		request.Header = http.Header{backendserver.HeaderPrompt: {fmt.Sprintf("f1:80,5e03:60,%s:30,%s:20", deadlyPart, request.ID)}}
		return request
	},
}

// repeatedRequest is the kind of a single request that crashes servers and is repeated.
var repeatedRequest = deadlyKind{
	allowed: 3,
	crashes: func(_ *http.Request, body string) bool { return body == deadlyBody },
	matches: func(run backendserver.Run) bool { return run.Body == deadlyBody },
	next: func(s *platformsite.Site) platformsite.Request {
		request := soundRequest(s, 3)
		request.Body = deadlyBody
		return request
	},
}

// The agents, which detect what crashes servers, are all killed again and again.
func TestKilledDetectorsDoNotLetRequestsCrashOneRunnerAfterAnother(t *testing.T) {
	for _, c := range []struct {
		name   string
		kind   deadlyKind
		killed func(*platformsite.Site) []*site.Process
	}{
		{"part, agents", deadlyParts, (*platformsite.Site).AgentProcesses},
		{"part, agents and half of the entries", deadlyParts, agentsAndHalfOfEntries},
		{"request, agents", repeatedRequest, (*platformsite.Site).AgentProcesses},
		{"request, agents and half of the entries", repeatedRequest, agentsAndHalfOfEntries},
	} {
		t.Run(c.name, func(t *testing.T) { playRestarts(t, c.kind, c.killed) })
	}
}

func agentsAndHalfOfEntries(s *platformsite.Site) []*site.Process {
	entries := s.EntryProcesses()
	return append(s.AgentProcesses(), entries[:len(entries)/2]...)
}

func playRestarts(t *testing.T, kind deadlyKind, killed func(*platformsite.Site) []*site.Process) {
	s := crashSite(t)
	for _, backend := range runnerBackends(s) {
		backend.CrashOn(crashDownTime, kind.crashes)
	}
	restarted := restartRepeatedly(killed(s)...)
	nextSound := func(number int) platformsite.Request { return soundRequest(s, number) }
	begun := time.Now()
	usual := &traffic{}
	for number := 0; time.Since(begun) < soundOnly; time.Sleep(soundPeriod) {
		for _, entry := range s.Entries {
			number++
			usual.send(t, entry, nextSound(number))
		}
	}
	sound := playCrashes(t, s, nextSound, func() platformsite.Request { return kind.next(s) })
	restarted.end(t)
	usual.wait.Wait()
	usualShare, usualCount := usual.shareBetween(begun.Add(2*restartPeriod), begun.Add(soundOnly))
	t.Logf("%.3f of %d sound requests served before the first crash", usualShare, usualCount)
	checkSends(t, runnerBackends(s), kind)
	sound.checkNoneBlocked(t)
	times := crashTimes(runnerBackends(s))
	share, count := sound.servedShare(times[min(kind.allowed, len(times))-1].Add(2 * crashNotice))
	t.Logf("%.3f of %d sound requests served beside those that crash servers", share, count)
	const minCount = 20
	if count < minCount || share < minUsualShare*usualShare {
		t.Errorf("%.3f of %d sound requests served, want %.1f of the usual share %.3f", share, count, minUsualShare, usualShare)
	}
}

// checkSends checks that few requests that crash servers reached them once the allowed
// crashes had happened.
func checkSends(t *testing.T, servers []*backendserver.Server, kind deadlyKind) {
	t.Helper()
	times := crashTimes(servers)
	t.Logf("%d crashes", len(times))
	if len(times) == 0 {
		t.Fatal("no server has crashed")
	}
	if len(times) < kind.allowed {
		return
	}
	if sends := arrivalsAfter(servers, times[kind.allowed-1].Add(crashNotice), kind.matches); sends > maxSendsAfterCrashes {
		t.Errorf("%d requests that crash servers reached them %s after the crash number %d, %d may", sends, crashNotice, kind.allowed, maxSendsAfterCrashes)
	}
}
