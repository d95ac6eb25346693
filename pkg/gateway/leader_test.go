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

// contender is an entry that follows the site's keys and takes part in elections.
type contender struct {
	id      string
	control *control
	leads   *leadership
	stop    func()
}

// newStore returns a store with some revision, as the platform's has.
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
	c := fixture(now, runners...)
	c.placement, c.asOf = nil, 0
	c.publish()
	follow := newSources(Dependencies{Store: store, SiteStore: store}, c, quiet())
	c.setRelaying(now, true)
	decide := &decider{store: store, control: c, logger: quiet(), startLoad: func(string, string, string) {}}
	decide.setLoadsAtOnce(4)
	leads := &leadership{self: id, store: store, control: c, logger: quiet(), decider: decide}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 3)
	for _, run := range []func(context.Context){c.loop.Run, follow.followSite, leads.run} {
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
	return &contender{id: id, control: c, leads: leads, stop: stop}
}

// awaitLeader returns the ID of the leader once there is one that a condition
// takes.
func awaitLeader(t *testing.T, store *keyvaluetest.Store, isRight func(string) bool) string {
	t.Helper()
	for range 500 {
		result, err := store.Range(t.Context(), leaderKey, false)
		if err == nil && len(result.Values) == 1 && isRight(string(result.Values[0].Value)) {
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
	first := awaitLeader(t, store, func(string) bool { return true })
	started := time.Now()
	contenders[first].stop()
	second := awaitLeader(t, store, func(id string) bool { return id != first })
	if took := time.Since(started); took > 2*time.Second {
		t.Errorf("the next one led after %s", took)
	}
	contenders[second].stop()
}

// TestRestartedLeaderTakesItsOwnKeyOver starts an entry whose earlier incarnation
// was killed while it led.
func TestRestartedLeaderTakesItsOwnKeyOver(t *testing.T) {
	store := newStore(t)
	lease, err := store.Grant(t.Context(), leaseTTL)
	if err != nil {
		t.Fatal(err)
	}
	left, err := store.Txn(t.Context(), nil, []keyvalue.Op{{Key: leaderKey, Value: []byte("front-1"), Lease: lease}})
	if err != nil {
		t.Fatal(err)
	}
	restarted := startContender(t, store, "front-1")
	defer restarted.stop()
	for range 300 {
		if known := restarted.control.current().leader; known.host == "front-1" && known.key > left.Revision {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the restarted entry doesn't lead again")
}

// TestPlacementIsWrittenByTheLeaderOnly lets two entries that both think they lead
// write.
func TestPlacementIsWrittenByTheLeaderOnly(t *testing.T) {
	store := newStore(t)
	runner := testRunner{id: "a", status: statusOf(0, wire.RunnerModel{State: wire.ModelLoaded})}
	host := roster.Host{ID: "host-a", Role: keys.RoleAgent, Runner: "addr-a"}
	if _, err := roster.Register(t.Context(), store, host, func(error) {}); err != nil {
		t.Fatal(err)
	}
	leading := startContender(t, store, "front-1", runner)
	defer leading.stop()
	awaitLeader(t, store, func(id string) bool { return id == "front-1" })
	deposed := &decider{store: store, control: fixture(time.Now(), runner), logger: quiet()}
	deposed.control.placement = nil
	deposed.control.publish()
	const longAgo = 1
	deposed.begin(longAgo)
	deposed.since = time.Now().Add(-time.Hour)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		deposed.control.loop.Run(ctx)
	}()
	deposed.decide(ctx, time.Now())
	cancel()
	<-done
	if deposed.control.current().placement != nil {
		t.Error("an entry that doesn't lead any more wrote a placement")
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

// TestFirstPlacementWaitsForTheRunners checks that a new leader doesn't decide
// before the agents were heard and their runners have registered themselves.
func TestFirstPlacementWaitsForTheRunners(t *testing.T) {
	c := fixture(testStart, testRunner{id: "a"}, testRunner{id: "b", unheard: true})
	c.placement = nil
	c.publish()
	d := &decider{control: c, logger: quiet()}
	d.begin(1)
	d.since = testStart
	if d.isSettled(testStart.Add(time.Second), c.current()) {
		t.Error("settled before all agents were heard")
	}
	said(c, testStart, "host-b", &wire.RunnerStatus{StartedAtMillis: 1})
	if !d.isSettled(testStart.Add(time.Second), c.current()) {
		t.Error("not settled though all were heard")
	}
	c.registry.Remove(testStart, "b")
	c.publish()
	if d.isSettled(testStart.Add(time.Second), c.current()) {
		t.Error("settled before all runners have registered themselves")
	}
	if !d.isSettled(testStart.Add(firstSettleTime), c.current()) {
		t.Error("not settled after the longest wait")
	}
}

func TestLostRunnerKeepsItsPermitsForAMoment(t *testing.T) {
	c := fixture(testStart, testRunner{id: "a", permits: true})
	d := &decider{control: c, logger: quiet()}
	d.begin(1)
	c.agentLost("host-a", c.agents["host-a"].from)
	d.noteDown(testStart, c.current())
	s := c.current().servers[testEngine][0]
	if !d.usable(testStart.Add(downTolerance/2), s) || d.usable(testStart.Add(downTolerance), s) {
		t.Error("a runner isn't given up after the tolerance")
	}
	said(c, testStart, "host-a", &wire.RunnerStatus{StartedAtMillis: 1})
	d.noteDown(testStart, c.current())
	if !d.usable(testStart.Add(time.Hour), c.current().servers[testEngine][0]) {
		t.Error("a runner that is back isn't used")
	}
}

func TestStartLimitsAreTheLeastOfAllEngines(t *testing.T) {
	c := newControl(quiet())
	c.configured(&fleet.Configuration{Version: 1, Services: []fleet.Service{
		{Name: "a", Engine: &fleet.Engine{LoadsPerSecond: 4}},
		{Name: "b", Engine: &fleet.Engine{LoadsPerSecond: 2}},
		{Name: "c", Engine: &fleet.Engine{}},
		{Name: "d"},
	}})
	d := &decider{control: c}
	d.setLoadsAtOnce(3)
	if got := d.startLimits(c.current()); got.PerSecond != 2 || got.MaxConcurrent != 3 {
		t.Errorf("limits %+v", got)
	}
}

var errTest = errors.New("test")

// TestFailedWatchesAreOpenedAnewTogether checks that a failure of one watch doesn't
// leave another one on a connection that has fallen silent.
func TestFailedWatchesAreOpenedAnewTogether(t *testing.T) {
	store := newStore(t)
	c := newControl(quiet())
	s := newSources(Dependencies{Store: store, SiteStore: store, Codec: Codec{ConfigurationKey: "c", DecodeConfiguration: func([]byte) (*fleet.Configuration, error) {
		return nil, errTest
	}}}, c, quiet())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{}, 2)
	for _, run := range []func(context.Context){c.loop.Run, s.followConfiguration} {
		go func() {
			run(ctx)
			done <- struct{}{}
		}()
	}
	readings := func() int { return store.Calls() }
	for readings() < 2 {
		time.Sleep(time.Millisecond)
	}
	before := readings()
	s.noteBroken()
	for range 1000 {
		if readings() > before {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if readings() == before {
		t.Error("the watch goes on")
	}
	cancel()
	<-done
	<-done
}
