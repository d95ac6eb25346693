package gateway

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/keyvalue"
	"teaselgauge.example/teaselgauge/pkg/keyvalue/keyvaluetest"
	"teaselgauge.example/teaselgauge/pkg/roster"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// contender is an entry that watches the site's keys and takes part in elections.
type contender struct {
	id       string
	control  *control
	election *leadership
	stop     func()
}

// newStore returns a store whose revision is not zero, like a real one.
func newStore(t *testing.T) *keyvaluetest.Store {
	t.Helper()
	store := keyvaluetest.NewStore(1)
	if _, err := store.Txn(t.Context(), nil, []keyvalue.Op{{Key: "op", Value: []byte("{}")}}); err != nil {
		t.Fatal(err)
	}
	return store
}

func startContender(t *testing.T, store *keyvaluetest.Store, id string, runners ...testRunner) *contender {
	t.Helper()
	now := time.Now()
	c := newTestControl(now, runners...)
	c.placement, c.asOf = nil, 0
	c.publish()
	follow := newStoreWatcher(Dependencies{Store: store, SiteStore: store}, c, discardLogger())
	c.setRelaying(now, true)
	decide := &decider{store: store, control: c, logger: discardLogger(), grantLoad: func(string, string, string) {}}
	decide.setMaxConcurrentLoads(4)
	election := &leadership{self: id, store: store, control: c, logger: discardLogger(), decider: decide}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 3)
	for _, run := range []func(context.Context){c.loop.Run, follow.followSite, election.run} {
		go func() {
			run(ctx)
			done <- struct{}{}
		}()
	}
	stop := func() {
		cancel()
		for range cap(done) {
			<-done
		}
	}
	return &contender{id: id, control: c, election: election, stop: stop}
}

// awaitLeaderWhere waits for a leader that meets a condition and returns its ID.
func awaitLeaderWhere(t *testing.T, store *keyvaluetest.Store, condition func(string) bool) string {
	t.Helper()
	for range 500 {
		result, err := store.Range(t.Context(), leaderKey, false)
		if err == nil && len(result.Values) == 1 && condition(string(result.Values[0].Value)) {
			return string(result.Values[0].Value)
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("no leader")
	return ""
}

func TestLeaderResignsWhenItStops(t *testing.T) {
	store := newStore(t)
	contenders := map[string]*contender{}
	for _, id := range []string{"front-1", "front-2"} {
		contenders[id] = startContender(t, store, id)
	}
	first := awaitLeaderWhere(t, store, func(string) bool { return true })
	started := time.Now()
	contenders[first].stop()
	second := awaitLeaderWhere(t, store, func(id string) bool { return id != first })
	if took := time.Since(started); took > 2*time.Second {
		t.Errorf("the next leader was elected after %s", took)
	}
	contenders[second].stop()
}

// TestRestartedLeaderReplacesItsKey starts an entry whose previous incarnation was
// killed while it was leader. It must not wait for the old lease to expire.
func TestRestartedLeaderReplacesItsKey(t *testing.T) {
	store := newStore(t)
	lease, err := store.Grant(t.Context(), leaseTTL)
	if err != nil {
		t.Fatal(err)
	}
	previous, err := store.Txn(t.Context(), nil, []keyvalue.Op{{Key: leaderKey, Value: []byte("front-1"), Lease: lease}})
	if err != nil {
		t.Fatal(err)
	}
	restarted := startContender(t, store, "front-1")
	defer restarted.stop()
	for range 300 {
		if known := restarted.control.current().leader; known.host == "front-1" && known.keyRevision > previous.Revision {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the restarted entry isn't leader again")
}

// TestOnlyLeaderWritesPlacement has two entries write a placement, one of which
// still considers itself leader after losing the election.
func TestOnlyLeaderWritesPlacement(t *testing.T) {
	store := newStore(t)
	runner := testRunner{id: "a", status: statusOf(0, wire.RunnerModel{State: wire.ModelLoaded})}
	host := roster.Host{ID: "host-a", Role: keys.RoleAgent, Runner: "addr-a"}
	if _, err := roster.Register(t.Context(), store, host, func(error) {}); err != nil {
		t.Fatal(err)
	}
	leading := startContender(t, store, "front-1", runner)
	defer leading.stop()
	awaitLeaderWhere(t, store, func(id string) bool { return id == "front-1" })
	formerLeader := &decider{store: store, control: newTestControl(time.Now(), runner), logger: discardLogger()}
	formerLeader.control.placement = nil
	formerLeader.control.publish()
	const longAgo = 1
	formerLeader.startTerm(longAgo)
	formerLeader.termStart = time.Now().Add(-time.Hour)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		formerLeader.control.loop.Run(ctx)
	}()
	formerLeader.decide(ctx, time.Now())
	cancel()
	<-done
	if formerLeader.control.current().placement != nil {
		t.Error("an entry that is no longer leader wrote a placement")
	}
	for range 300 {
		result, err := store.Range(t.Context(), placementKey, false)
		if err == nil && len(result.Values) == 1 {
			if !strings.Contains(string(result.Values[0].Value), "host-a") {
				t.Errorf("placement %s", result.Values[0].Value)
			}
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the leader wrote no placement")
}

// TestFirstPlacementWaitsForRunners checks that a new leader doesn't decide before
// the agents have sent their statuses and the runners have registered.
func TestFirstPlacementWaitsForRunners(t *testing.T) {
	c := newTestControl(testStart, testRunner{id: "a"}, testRunner{id: "b", noStatus: true})
	c.placement = nil
	c.publish()
	d := &decider{control: c, logger: discardLogger()}
	d.startTerm(1)
	d.termStart = testStart
	if d.isReady(testStart.Add(time.Second), c.current()) {
		t.Error("ready before the statuses of all agents were received")
	}
	receiveStatus(c, testStart, "host-b", &wire.RunnerStatus{StartedAtMillis: 1})
	if !d.isReady(testStart.Add(time.Second), c.current()) {
		t.Error("not ready with the statuses of all agents")
	}
	c.registry.Remove(testStart, "b")
	c.publish()
	if d.isReady(testStart.Add(time.Second), c.current()) {
		t.Error("ready before all runners have registered")
	}
	if !d.isReady(testStart.Add(firstPlacementWait), c.current()) {
		t.Error("not ready after the timeout")
	}
}

func TestDownRunnerKeepsPermitsDuringGracePeriod(t *testing.T) {
	c := newTestControl(testStart, testRunner{id: "a", permitted: true})
	d := &decider{control: c, logger: discardLogger()}
	d.startTerm(1)
	c.markAgentDisconnected("host-a", c.agents["host-a"].source)
	d.recordDownRunners(testStart, c.current())
	s := c.current().servers[testEngine][0]
	if !d.isUsable(testStart.Add(downGracePeriod/2), s) || d.isUsable(testStart.Add(downGracePeriod), s) {
		t.Error("a down runner is usable after the grace period, or not usable within it")
	}
	receiveStatus(c, testStart, "host-a", &wire.RunnerStatus{StartedAtMillis: 1})
	d.recordDownRunners(testStart, c.current())
	if !d.isUsable(testStart.Add(time.Hour), c.current().servers[testEngine][0]) {
		t.Error("a recovered runner isn't usable")
	}
}

func TestLoadLimitsUseMinimumOfEngines(t *testing.T) {
	c := newControl(discardLogger())
	c.applyConfiguration(&fleet.Configuration{Version: 1, Services: []fleet.Service{
		{Name: "a", Engine: &fleet.Engine{LoadsPerSecond: 4}},
		{Name: "b", Engine: &fleet.Engine{LoadsPerSecond: 2}},
		{Name: "c", Engine: &fleet.Engine{}},
		{Name: "d"},
	}})
	d := &decider{control: c}
	d.setMaxConcurrentLoads(3)
	if got := d.loadLimits(c.current()); got.PerSecond != 2 || got.MaxConcurrent != 3 {
		t.Errorf("limits %+v", got)
	}
}

var errTest = errors.New("test")

// TestFailedWatchRestartsAllWatches checks that a failed watch also restarts the
// others, which may be on a dead connection that hasn't timed out yet.
func TestFailedWatchRestartsAllWatches(t *testing.T) {
	store := newStore(t)
	c := newControl(discardLogger())
	s := newStoreWatcher(Dependencies{Store: store, SiteStore: store, Codec: Codec{ConfigurationKey: "c", DecodeConfiguration: func([]byte) (*fleet.Configuration, error) {
		return nil, errTest
	}}}, c, discardLogger())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{}, 2)
	for _, run := range []func(context.Context){c.loop.Run, s.followConfiguration} {
		go func() {
			run(ctx)
			done <- struct{}{}
		}()
	}
	storeCalls := func() int { return store.Calls() }
	for storeCalls() < 2 {
		time.Sleep(time.Millisecond)
	}
	before := storeCalls()
	s.restartWatches()
	for range 1000 {
		if storeCalls() > before {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if storeCalls() == before {
		t.Error("the watch was not restarted")
	}
	cancel()
	<-done
	<-done
}
