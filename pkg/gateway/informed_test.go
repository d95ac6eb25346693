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

// TestRequestWaitsUntilTheEntryIsInformed has a request come to an entry that has
// just started and knows no agent yet.
func TestRequestWaitsUntilTheEntryIsInformed(t *testing.T) {
	c := fixture(time.Now(), testRunner{id: "a"})
	c.informed = false
	c.publish()
	x := moveFixture(t, 5*time.Second, c, map[string]*fakeAgent{"a": newFakeAgent(true)})
	var wait sync.WaitGroup
	wait.Go(func() {
		time.Sleep(2 * runnerCheck)
		loads(c, "a")
	})
	_, held, ok := x.next(t.Context())
	if !ok {
		t.Error("refused before the agents were heard")
	}
	held.release(false, 0)
	wait.Wait()
}

// TestNewEntryDoesNotTrustOldRegistrations has a registration name a model that the
// runner held before it lost power. An entry that has heard of no agent yet waits for
// one instead of sending what would be turned away.
func TestNewEntryDoesNotTrustOldRegistrations(t *testing.T) {
	c := fixture(testStart, testRunner{id: "a", loaded: true, unheard: true})
	c.informed = false
	c.publish()
	if got := selectionAt(testStart, c, backends.NewTracker()).choose(); got != nil {
		t.Errorf("chose %s before an agent was heard", got.ID)
	}
	c.informed = true
	c.publish()
	if got := selectionAt(testStart, c, backends.NewTracker()).choose(); got == nil {
		t.Error("a runner whose agent stays silent isn't used")
	}
}

// TestRequestWaitsForTheConfiguration has the configuration come just after a
// request, and not at all.
func TestRequestWaitsForTheConfiguration(t *testing.T) {
	for _, test := range []struct {
		name  string
		comes bool
		want  int
	}{
		{"it comes", true, http.StatusNotFound},
		{"it doesn't", false, http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newControl(quiet())
			c.statuses.Pause = 0
			h := &handler{control: c, dialect: &recorder{}, observer: newObserver(quiet(), testMetrics(t))}
			var wait sync.WaitGroup
			if test.comes {
				wait.Go(func() {
					time.Sleep(50 * time.Millisecond)
					c.configured(&fleet.Configuration{Version: 1})
				})
			}
			_, failure := h.accept(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/x", nil), time.Now())
			wait.Wait()
			if failure == nil || failure.status != test.want {
				t.Errorf("failure %+v, want status %d", failure, test.want)
			}
		})
	}
}

// TestFollowerKnowsWhatItsRelayKnows passes a relay's view on to a follower, whole
// and in changes.
func TestFollowerKnowsWhatItsRelayKnows(t *testing.T) {
	relay := fixture(testStart, loadedRunner("a"), testRunner{id: "b", draining: true, loaded: true})
	follower := newControl(quiet())
	follower.configured(relay.table.Configuration())
	cursor := newSiteCursor("")
	up := &upstream{following: &following{control: follower, sources: &sources{}}}
	pass := func(complete bool) *wire.SiteUpdate {
		update := cursor.next(relay.current())
		update.Complete = complete
		follower.relaySaid(testStart, &up.from, update, complete)
		up.takeSite(testStart, update)
		return update
	}
	pass(true)
	if got := len(follower.current().servers[testEngine]); got != 2 || !follower.informed {
		t.Fatalf("%d servers, informed %t", got, follower.informed)
	}
	if got := follower.current().servers[testEngine][0]; !got.hears(testStart) || !got.isPermitted(testModel) || got.agent != "host-a" {
		t.Errorf("server %+v with state %+v", got, got.state)
	}
	if update := pass(false); !isEmpty(update) {
		t.Errorf("news %+v without a change", update)
	}
	relay.registry.Drop(testStart, "b")
	said(relay, testStart, "host-a", &wire.RunnerStatus{StartedAtMillis: 1, Down: true})
	relay.publish()
	pass(false)
	servers := follower.current().servers[testEngine]
	if len(servers) != 1 || !servers[0].state.Status.Down {
		t.Errorf("servers %+v after a change", servers)
	}
}
