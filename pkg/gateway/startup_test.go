package gateway

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backends"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// TestRequestWaitsForAgentStatuses sends a request to an entry that has just
// started and has received no agent status yet.
func TestRequestWaitsForAgentStatuses(t *testing.T) {
	c := newTestControl(time.Now(), testRunner{id: "a"})
	c.agentsKnown = false
	c.publish()
	x := newLeaseExchange(t, 5*time.Second, c, map[string]*fakeAgent{"a": newFakeAgent(true)})
	var wait sync.WaitGroup
	wait.Go(func() {
		time.Sleep(2 * runnerCheckInterval)
		markLoaded(c, "a")
	})
	_, granted, ok := x.acquireServer(t.Context())
	if !ok {
		t.Error("refused before the agent statuses were received")
	}
	granted.release(false, 0)
	wait.Wait()
}

// TestNewEntryIgnoresRegistrationsWithoutStatus has a registration list a model
// that the runner had loaded before a power loss. A new entry must wait for the
// agent's status instead of sending a request that the runner would reject.
func TestNewEntryIgnoresRegistrationsWithoutStatus(t *testing.T) {
	c := newTestControl(testStart, testRunner{id: "a", loaded: true, noStatus: true})
	c.agentsKnown = false
	c.publish()
	if got := selectionAt(testStart, c, backends.NewTracker()).choose(); got != nil {
		t.Errorf("chose %s before a status was received", got.ID)
	}
	c.agentsKnown = true
	c.publish()
	if got := selectionAt(testStart, c, backends.NewTracker()).choose(); got == nil {
		t.Error("a runner without a connected agent isn't used after the wait")
	}
}

// TestRequestWaitsForConfiguration has the configuration arrive shortly after a
// request, and not at all.
func TestRequestWaitsForConfiguration(t *testing.T) {
	for _, test := range []struct {
		name    string
		arrives bool
		want    int
	}{
		{"configuration arrives", true, http.StatusNotFound},
		{"no configuration", false, http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newControl(discardLogger())
			c.statusThrottle.MinInterval = 0
			h := &handler{control: c, headerCodec: &recorder{}, observer: newObserver(discardLogger(), testMetrics(t))}
			var wait sync.WaitGroup
			if test.arrives {
				wait.Go(func() {
					time.Sleep(50 * time.Millisecond)
					c.applyConfiguration(&fleet.Configuration{Version: 1})
				})
			}
			request := httptest.NewRequest(http.MethodGet, "/x", nil)
			_, failure := h.accept(newCallerResponse(httptest.NewRecorder(), request, discardLogger()), request, time.Now())
			wait.Wait()
			if failure == nil || failure.status != test.want {
				t.Errorf("failure %+v, want status %d", failure, test.want)
			}
		})
	}
}

// TestFollowerMatchesRelay sends a relay's view to a subscriber, first complete
// and then as changes.
func TestFollowerMatchesRelay(t *testing.T) {
	relay := newTestControl(testStart, loadedRunner("a"), testRunner{id: "b", draining: true, loaded: true})
	subscriber := newControl(discardLogger())
	subscriber.applyConfiguration(relay.table.Configuration())
	cursor := newSiteCursor("")
	up := &upstream{follower: &follower{control: subscriber, storeWatcher: &storeWatcher{}}}
	relayUpdate := func(complete bool) *wire.SiteUpdate {
		update := cursor.next(relay.current())
		update.Complete = complete
		subscriber.applyRelayUpdate(testStart, &up.source, update, complete)
		up.applySite(testStart, update)
		return update
	}
	relayUpdate(true)
	if got := len(subscriber.current().servers[testEngine]); got != 2 || !subscriber.agentsKnown {
		t.Fatalf("%d servers, agents known %t", got, subscriber.agentsKnown)
	}
	if got := subscriber.current().servers[testEngine][0]; !got.hasFreshStatus(testStart) || !got.isPermitted(testModel) || got.agent != "host-a" {
		t.Errorf("server %+v with state %+v", got, got.state)
	}
	if update := relayUpdate(false); !isEmpty(update) {
		t.Errorf("update %+v without a change", update)
	}
	relay.registry.Drop(testStart, "b")
	receiveStatus(relay, testStart, "host-a", &wire.RunnerStatus{StartedAtMillis: 1, Down: true})
	relay.publish()
	relayUpdate(false)
	servers := subscriber.current().servers[testEngine]
	if len(servers) != 1 || !servers[0].state.Status.Down {
		t.Errorf("servers %+v after a change", servers)
	}
}

// Guards against an entry that has just started and refuses a request since the only runner
// that it knows can't serve it in time.
func TestRequestWaitsForTheStatusesOfTheOtherAgents(t *testing.T) {
	for _, agentsKnown := range []bool{false, true} {
		c := newTestControl(testStart,
			testRunner{id: "a", permitted: true, status: statusOf(0, wire.RunnerModel{WaitMillis: 6000})},
			testRunner{id: "b", noStatus: true})
		c.agentsKnown = agentsKnown
		c.publish()
		x := &exchange{
			route:   &fleet.Route{TargetLatency: time.Second, Destinations: []fleet.Destination{{Service: testEngine}}},
			arrived: testStart, declined: true,
		}
		sel := selectionAt(testStart, c, backends.NewTracker())
		if got := x.canAwaitRunner(sel); got == agentsKnown {
			t.Errorf("agents known %t: waits %t after the first one has declined", agentsKnown, got)
		}
		sel.startBy = testStart.Add(time.Second)
		if got := sel.hasOnlyLateRunners(); got != agentsKnown {
			t.Errorf("agents known %t: refused %t since the first one loads too late", agentsKnown, got)
		}
	}
}

// Guards against a final refusal by a configuration that is known to be out of date.
func TestUnknownRouteIsRetriedWhileNewerConfigurationIsKnown(t *testing.T) {
	c := newControl(discardLogger())
	c.applyConfiguration(&fleet.Configuration{Version: 3})
	h := &handler{control: c, headerCodec: &recorder{}, observer: newObserver(discardLogger(), testMetrics(t))}
	w := newStoreWatcher(Dependencies{}, c, discardLogger())
	status := func() int {
		request := httptest.NewRequest(http.MethodGet, "/x", nil)
		_, failure := h.accept(newCallerResponse(httptest.NewRecorder(), request, discardLogger()), request, time.Now())
		if failure == nil {
			t.Fatal("accepted without a route")
		}
		return failure.status
	}
	for _, step := range []struct {
		name   string
		change func()
		want   int
	}{
		{"relay has the same version", func() { w.refreshConfiguration(3) }, http.StatusNotFound},
		{"relay has a newer version", func() { w.refreshConfiguration(4) }, http.StatusServiceUnavailable},
		{"newer version read", func() { c.applyConfiguration(&fleet.Configuration{Version: 4}) }, http.StatusNotFound},
	} {
		step.change()
		if got := status(); got != step.want {
			t.Errorf("%s: status %d, want %d", step.name, got, step.want)
		}
	}
}
