package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backends"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// breakOnce breaks a stream off after its third event, and completes it when it is resumed.
func breakOnce(_ *rawBackend, conn *net.TCPConn, request *http.Request) {
	if !isResumed(request) {
		brokenStream(conn)
		return
	}
	_, _ = io.WriteString(conn, streamHeader(chunked)+chunk(events(4, 6))+"0\r\n\r\n")
}

func checkServers(t *testing.T, site *endSite, want ...string) {
	t.Helper()
	site.mu.Lock()
	defer site.mu.Unlock()
	if !slices.Equal(site.servers, want) {
		t.Errorf("sent to %q, want %q", site.servers, want)
	}
}

func TestStreamIsResumedAtTheSoftwareVersionThatBeganIt(t *testing.T) {
	site := startVersionedSite(t, streamRoute, []string{"v1", "v2", "v1"}, breakOnce)
	checkComplete(t, site.call(t, "HTTP/1.1", false), events(1, 6))
	checkServers(t, site, "p-1", "p-3")
}

func TestStreamWithoutAServerOfItsSoftwareVersionIsLeftIncomplete(t *testing.T) {
	site := startVersionedSite(t, streamRoute, []string{"v1", "v2"}, breakOnce)
	start := time.Now()
	checkNotComplete(t, site.call(t, "HTTP/1.1", false), events(1, 3))
	checkServers(t, site, "p-1")
	if took := time.Since(start); took > streamRoute.Timeout/2 {
		t.Errorf("ended after %s, want it at once", took)
	}
}

// Guards against a stream that is joined at its second resumption, in the same response.
func TestStreamResumedTwiceStaysAtItsSoftwareVersion(t *testing.T) {
	route := streamRoute
	route.MaxAttempts = 4
	site := startVersionedSite(t, route, []string{"v1", "v2", "v1", "v2"}, func(backend *rawBackend, conn *net.TCPConn, request *http.Request) {
		if backend.id == "p-3" {
			_, _ = io.WriteString(conn, streamHeader(chunked)+chunk(events(4, 5)))
			time.Sleep(eventPause)
			_ = conn.SetLinger(0)
			return
		}
		breakOnce(backend, conn, request)
	})
	checkNotComplete(t, site.call(t, "HTTP/1.1", false), events(1, 5))
	checkServers(t, site, "p-1", "p-3")
}

// Guards against a filter that also refuses streams of which the caller has nothing.
func TestStreamWithoutAnEventGoesOnAtAnySoftwareVersion(t *testing.T) {
	site := startVersionedSite(t, streamRoute, []string{"v1", "v2"}, func(backend *rawBackend, conn *net.TCPConn, _ *http.Request) {
		if backend.id == "p-1" {
			_, _ = io.WriteString(conn, streamHeader(chunked)+chunk(": comment\n\n"))
			time.Sleep(eventPause)
			_ = conn.SetLinger(0)
			return
		}
		_, _ = io.WriteString(conn, streamHeader(chunked)+chunk(events(1, 6))+"0\r\n\r\n")
	})
	got := site.call(t, "HTTP/1.1", false)
	if got.err != nil {
		t.Errorf("%s, want a complete response", got)
	}
	checkServers(t, site, "p-1", "p-2")
}

// Guards against a registration that is out of date being taken for the version that runs.
func TestOnlyCurrentRegistrationShowsTheSoftwareVersion(t *testing.T) {
	loaded := statusOf(0, wire.RunnerModel{State: wire.ModelLoaded})
	for _, c := range []struct {
		name    string
		runner  testRunner
		restart bool
		want    string
	}{
		{name: "the version", runner: testRunner{software: "v1", status: loaded}, want: "a"},
		{name: "another version", runner: testRunner{software: "v2", status: loaded}},
		{name: "no version", runner: testRunner{status: loaded}},
		{name: "no status", runner: testRunner{software: "v1", loaded: true, noStatus: true}},
		{name: "disconnected agent", runner: testRunner{software: "v1", loaded: true, status: loaded, disconnected: true}},
		{name: "later incarnation", runner: testRunner{software: "v1", loaded: true, status: loaded}, restart: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.runner.id = "a"
			control := newTestControl(testStart, c.runner)
			if c.restart {
				restarted := *loaded
				restarted.StartedAtMillis = 2
				receiveStatus(control, testStart, "host-a", &restarted)
				control.publish()
			}
			sel := selectionAt(testStart, control, backends.NewTracker())
			sel.software = "v1"
			got := ""
			if chosen := sel.choose(); chosen != nil {
				got = chosen.ID
			}
			if got != c.want {
				t.Errorf("chose %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against a stream that waits for a runner of its version and switches to another one.
func TestWaitingStreamDoesNotSwitchToAnotherSoftwareVersion(t *testing.T) {
	waiting := wire.RunnerModel{Wanted: true, WaitMillis: 4000}
	c := newTestControl(testStart,
		testRunner{id: "here", software: "v1", permitted: true, status: statusOf(0, waiting)},
		testRunner{id: "other", software: "v2", status: statusOf(0, wire.RunnerModel{State: wire.ModelLoaded})})
	sel := selectionAt(testStart, c, backends.NewTracker())
	sel.software = "v1"
	if hasBetterRunner(sel, "here") {
		t.Error("switches to a runner of another version")
	}
}

// Guards against a request that waits for a runner though none of its version is registered.
func TestOnlyARunnerOfTheSoftwareVersionIsWaitedFor(t *testing.T) {
	for _, c := range []struct {
		name     string
		software string
		want     bool
	}{
		{"any version", "", true},
		{"the version", "v1", true},
		{"a version that has another model", "v2", false},
		{"a version that is draining", "v3", false},
		{"a version that isn't registered", "v4", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			control := newTestControl(testStart,
				testRunner{id: "a", software: "v1", permitted: true, disconnected: true},
				testRunner{id: "b", software: "v2"},
				testRunner{id: "c", software: "v3", permitted: true, draining: true})
			sel := selectionAt(testStart, control, backends.NewTracker())
			sel.software = c.software
			x := &exchange{route: &fleet.Route{TargetLatency: time.Second}, arrived: testStart}
			if got := x.canAwaitRunner(sel); got != c.want {
				t.Errorf("waits: %t", got)
			}
		})
	}
}

// Guards against a send to a runner that was restarted, perhaps with other software, while
// the request waited for its lease.
func TestRunnerRestartedDuringTheWaitIsNotSentAResumedStream(t *testing.T) {
	c := newTestControl(testStart, testRunner{id: "a", software: "v1", permitted: true})
	chosen := c.current().servers[testEngine][0]
	check := func(want bool, software string) {
		t.Helper()
		sel := selectionAt(testStart, c, backends.NewTracker())
		sel.software = software
		if got := sel.stillHasSoftware(chosen); got != want {
			t.Errorf("software %q: sent %t", software, got)
		}
	}
	check(true, "v1")
	check(true, "")
	restarted := c.registry.Backends()[0]
	restarted.StartedAtMillis = 2
	c.registry.Put(testStart, restarted)
	receiveStatus(c, testStart, "host-a", &wire.RunnerStatus{StartedAtMillis: 2})
	c.publish()
	check(false, "v1")
	check(true, "")
}

// Guards against a refusal of a stream whose runners have crashed and are about to be back,
// at callers that come back once or twice.
func TestStreamWaitsForACrashedRunnerOfItsSoftwareVersion(t *testing.T) {
	down := &wire.RunnerStatus{Down: true, Models: []wire.RunnerModel{{Name: testModel, PermitRank: 1}}}
	for _, c := range []struct {
		name     string
		software string
		after    time.Duration
		failed   bool
		status   *wire.RunnerStatus
		want     bool
	}{
		{name: "down", software: "v1", after: 3 * time.Second, status: down, want: true},
		{name: "down for too long", software: "v1", after: 4 * time.Second, status: down},
		{name: "no version required", after: time.Second, status: down},
		{name: "another version", software: "v2", after: time.Second, status: down},
		{name: "just failed", software: "v1", after: crashNoticeTime - 1, failed: true, want: true},
		{name: "failed and not down", software: "v1", after: crashNoticeTime, failed: true},
		{name: "declined and not down", software: "v1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			control := newTestControl(testStart, testRunner{id: "a", software: "v1", permitted: true, status: c.status})
			now := testStart.Add(c.after)
			if c.status != nil {
				receiveStatus(control, now, "host-a", down)
			} else {
				receiveStatus(control, now, "host-a", statusOf(0, wire.RunnerModel{PermitRank: 1}))
			}
			sel := selectionAt(now, control, backends.NewTracker(), "a")
			sel.software = c.software
			x := &exchange{
				route: &fleet.Route{TargetLatency: time.Second}, arrived: testStart, deadline: testStart.Add(time.Minute), declined: true,
			}
			if c.failed {
				x.failedAt, x.lastFailure = []string{"a"}, testStart
			}
			if got := x.canAwaitRunner(sel); got != c.want {
				t.Errorf("waits: %t", got)
			}
		})
	}
}

// Guards against a stream that doesn't wait for its crashed runner, which has a copy of the
// model, since another one would load it too late.
func TestLateRunnerDoesNotEndTheWaitForACrashedOne(t *testing.T) {
	c := newTestControl(testStart,
		testRunner{id: "a", software: "v1", permitted: true, status: &wire.RunnerStatus{Down: true}},
		testRunner{id: "b", software: "v1", permitted: true, status: statusOf(0, wire.RunnerModel{WaitMillis: 9000})})
	x := &exchange{route: &fleet.Route{TargetLatency: time.Second}, arrived: testStart, deadline: testStart.Add(time.Minute)}
	for software, want := range map[string]bool{"v1": false, "": true} {
		sel := selectionAt(testStart, c, backends.NewTracker())
		sel.software, sel.startBy = software, x.startDeadline()
		if got := x.isTooLate(sel); got != want {
			t.Errorf("software %q: too late %t", software, got)
		}
	}
}

// Guards against a stream that goes back to its caller, who returns once or twice, for a
// refusal that holds for half a second at one of the few runners of its version.
func TestRunnerOfTheSoftwareVersionIsAskedAgain(t *testing.T) {
	for software, want := range map[string]bool{"v1": true, "": false} {
		c := newTestControl(time.Now(), testRunner{id: "a", software: "v1", permitted: true, status: statusOf(0, wire.RunnerModel{State: wire.ModelLoaded})})
		agent := newFakeAgent(true)
		agent.refuses = &wire.Refusal{Reason: wire.ReasonNoMemory, RetryAfterMillis: 100}
		agent.refusesOnce = true
		x := newLeaseExchange(t, time.Second, c, map[string]*fakeAgent{"a": agent})
		x.software = software
		go func() { <-agent.requested }()
		_, granted, ok := x.acquireServer(t.Context())
		granted.release(false, 0)
		if ok != want {
			t.Errorf("software %q: granted %t", software, ok)
		}
	}
}

// Guards against a send to a runner that was restarted with its agent.
func TestStreamOfASoftwareVersionIsNotSentWithoutALease(t *testing.T) {
	for software, want := range map[string]bool{"": true, "v1": false} {
		c := newTestControl(time.Now(), testRunner{id: "a", software: "v1", permitted: true, status: statusOf(0, wire.RunnerModel{State: wire.ModelLoaded})})
		x := newLeaseExchange(t, time.Second, c, nil)
		x.software = software
		x.handler.tracker.DataReceived(time.Now(), "a")
		ctx, cancel := context.WithTimeout(t.Context(), 4*agentTimeout)
		if _, _, ok := x.acquireServer(ctx); ok != want {
			t.Errorf("software %q: sent %t while the agent doesn't respond", software, ok)
		}
		cancel()
	}
}
