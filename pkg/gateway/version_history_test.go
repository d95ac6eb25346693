package gateway

import (
	"slices"
	"strings"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/keyvalue/keyvaluetest"
	"teaselgauge.example/teaselgauge/pkg/metrics"
)

// registerVersion has an entry read that a service's only server runs a version.
func registerVersion(c *control, software string) {
	now := time.Now()
	c.loop.Do(func() {
		c.registry.Put(now, fleet.Backend{ID: "p-" + software, Service: testService, Address: "10.0.0.1:80", Software: software, StartedAtMillis: 1})
		c.publish()
	})
	c.freshness.confirm(now, metrics.ViewRegistrations, 1)
}

// awaitRecent waits until an entry knows the versions that were in service lately.
func awaitRecent(t *testing.T, c *control, want ...string) {
	t.Helper()
	var got []string
	for range 500 {
		if got = c.current().recentVersions(time.Now(), testService); slices.Equal(got, want) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("recent versions %q, want %q", got, want)
}

// awaitWritten waits until the store has a version in its history.
func awaitWritten(t *testing.T, store *keyvaluetest.Store, version string) {
	t.Helper()
	for range 500 {
		result, err := store.Range(t.Context(), historyKey, false)
		if err == nil && len(result.Values) == 1 && strings.Contains(string(result.Values[0].Value), version) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("version %s isn't written", version)
}

// Guards against entries that all restart and take the version that they find for the only one.
func TestVersionsInServiceOutliveAllEntries(t *testing.T) {
	store := newStore(t)
	before := startContender(t, store, "front-1")
	registerVersion(before.control, "v1")
	awaitRecent(t, before.control, "v1")
	before.stop()
	restarted := startContender(t, store, "front-1")
	defer restarted.stop()
	registerVersion(restarted.control, "v2")
	awaitRecent(t, restarted.control, "v1", "v2")
	awaitWritten(t, store, "v2")
	other := startContender(t, store, "front-2")
	defer other.stop()
	registerVersion(other.control, "v3")
	awaitRecent(t, other.control, "v1", "v2", "v3")
}

// Guards against entries behind a relay that don't know which versions were in service.
func TestRelayPassesVersionsInServiceOn(t *testing.T) {
	relay := newTestControl(testStart)
	present := map[string][]string{testService: {"v1"}}
	first := relay.history.Next(testStart, present)
	first.Revision = 1
	relay.applySiteChange(siteChange{history: first})
	cursor := newSiteCursor("")
	update := cursor.next(relay.current())
	if update.Software == nil || isEmpty(update) {
		t.Fatal("the first update has no history of versions")
	}
	follower := newTestControl(testStart)
	follower.applySiteChange(siteChange{history: historyOf(update.Software)})
	if got := follower.current().recentVersions(testStart, testService); !slices.Equal(got, []string{"v1"}) {
		t.Errorf("recent versions %q behind the relay", got)
	}
	if update := cursor.next(relay.current()); update.Software != nil {
		t.Error("an unchanged history is sent again")
	}
	next := relay.history.Next(testStart, map[string][]string{testService: {"v1", "v2"}})
	next.Revision = relay.history.Revision + 1
	relay.applySiteChange(siteChange{history: next})
	if update := cursor.next(relay.current()); update.Software == nil {
		t.Error("a changed history isn't sent")
	}
}
