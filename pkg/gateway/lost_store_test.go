package gateway

import (
	"context"
	"sync"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/roster"
)

// Guards against a placement that the store has lost and nobody writes again, as it hasn't changed.
func TestLostPlacementIsWrittenAgain(t *testing.T) {
	store := newStore(t)
	c := newTestControl(time.Now())
	known := c.placement
	known.Revision = 1
	d := &decider{store: store, control: c, logger: discardLogger()}
	d.startTerm(0)
	read := siteChange{complete: true, includesAgents: true, asOf: 9}
	c.applySiteChange(read)
	if view := c.current(); view.placement != known || !view.placementLost {
		t.Fatalf("placement %+v, lost %t, want the active one as lost", view.placement, view.placementLost)
	}
	runLoop(t, c)
	// The key of the leader is absent like the placement.
	if !d.updatePlacement(t.Context(), time.Now(), c.current()) {
		t.Fatal("placement not written")
	}
	result, err := store.Range(t.Context(), placementKey, false)
	if err != nil || len(result.Values) != 1 {
		t.Errorf("%+v, %v, want a placement in the store", result, err)
	}
	if c.current().placementLost {
		t.Error("the placement counts as lost after it was written")
	}
}

// Guards against an entry that other entries don't find any more after the store has lost its registration.
func TestUnlistedEntryIsRegisteredAgain(t *testing.T) {
	store := newStore(t)
	c := newTestControl(time.Now())
	host := roster.Host{ID: "front-1", Role: keys.RoleEntry, InternalAddress: "10.0.0.1:7000"}
	keeper := &registrationKeeper{store: store, secret: []byte("secret"), host: host, control: c, logger: discardLogger()}
	c.applySiteChange(siteChange{complete: true, asOf: 9, hosts: []roster.Host{host}})
	if !keeper.isListed() {
		t.Fatal("a listed entry counts as unlisted")
	}
	c.applySiteChange(siteChange{complete: true, asOf: 10})
	if keeper.isListed() {
		t.Fatal("an entry that isn't in the host list counts as listed")
	}
	keeper.restore(t.Context())
	result, err := store.Range(t.Context(), roster.HostPrefix, true)
	if err != nil || len(result.Values) != 1 {
		t.Errorf("%+v, %v, want the entry in the store", result, err)
	}
}

// runLoop runs a control's event loop until the test ends.
func runLoop(t *testing.T, c *control) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { c.loop.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
}
