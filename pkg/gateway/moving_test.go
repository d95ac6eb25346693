package gateway

import (
	"context"
	"sync"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backends"
	"teaselgauge.example/teaselgauge/pkg/backpressure"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/forward"
	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/keyvalue/keyvaluetest"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/roster"
	"teaselgauge.example/teaselgauge/pkg/state"
	"teaselgauge.example/teaselgauge/pkg/telemetry"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

func TestBetterRunner(t *testing.T) {
	loaded := wire.RunnerModel{State: wire.ModelLoaded}
	waiting := wire.RunnerModel{Wanted: true, WaitMillis: 1000}
	tests := []struct {
		name  string
		here  testRunner
		other testRunner
		tried []string
		want  bool
	}{
		{name: "the other one has the model", here: testRunner{permits: true, status: statusOf(0, waiting)}, other: testRunner{status: statusOf(0, loaded)}, want: true},
		{name: "the other one would have to load it as long", here: testRunner{permits: true, status: statusOf(0, waiting)}, other: testRunner{permits: true, status: statusOf(0, wire.RunnerModel{WaitMillis: 750})}},
		{name: "the other one is expected to load it sooner", here: testRunner{permits: true, status: statusOf(0, wire.RunnerModel{Wanted: true, WaitMillis: 4000})}, other: testRunner{permits: true, status: statusOf(0, wire.RunnerModel{WaitMillis: 1250})}, want: true},
		{name: "the other one is busy", here: testRunner{permits: true, status: statusOf(0, waiting)}, other: testRunner{status: statusOf(9, loaded)}},
		{name: "both have it", here: testRunner{status: statusOf(5, loaded)}, other: testRunner{status: statusOf(0, loaded)}},
		{name: "this one is busy", here: testRunner{status: statusOf(9, loaded)}, other: testRunner{status: statusOf(0, loaded)}, want: true},
		{name: "the other one was tried", here: testRunner{permits: true, status: statusOf(0, waiting)}, other: testRunner{status: statusOf(0, loaded)}, tried: []string{"other"}},
		{name: "the agent here is silent and the other one would have to load it", here: testRunner{permits: true, lost: true, status: statusOf(0, waiting)}, other: testRunner{permits: true, status: statusOf(0, wire.RunnerModel{WaitMillis: 4000})}, want: true},
		{name: "the agent here is silent with the model and the other one is busy", here: testRunner{lost: true, status: statusOf(0, loaded)}, other: testRunner{status: statusOf(9, loaded)}, want: true},
		{name: "both agents are silent", here: testRunner{lost: true, status: statusOf(0, loaded)}, other: testRunner{lost: true, status: statusOf(0, loaded)}},
		{name: "the other agent is silent", here: testRunner{permits: true, status: statusOf(0, waiting)}, other: testRunner{lost: true, loaded: true, status: statusOf(0, loaded)}},
		{name: "this one is gone", here: testRunner{draining: true}, other: testRunner{status: statusOf(0, loaded)}, want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.here.id, test.other.id = "here", "other"
			c := fixture(testStart, test.here, test.other)
			got := betterRunner(selectionAt(testStart, c, backends.NewTracker(), test.tried...), "here")
			if got != test.want {
				t.Errorf("got %t", got)
			}
		})
	}
}

// fakeAgent takes in uses. It grants them at once, or lets them wait and tells
// when they end.
type fakeAgent struct {
	grants bool
	// refuses is its answer to all uses if it isn't nil.
	refuses *wire.Refusal
	// before is called before it answers.
	before func()
	asked  chan struct{}
	ended  chan struct{}
}

func newFakeAgent(grants bool) *fakeAgent {
	return &fakeAgent{grants: grants, asked: make(chan struct{}, 1), ended: make(chan struct{}, 1)}
}

func (a *fakeAgent) ServeStream(_ context.Context, _ wire.Peer, stream *wire.Stream) {
	defer stream.Close()
	if frame, err := stream.ReceiveFirst(); err != nil || frame.Acquire == nil {
		return
	}
	a.asked <- struct{}{}
	if a.before != nil {
		a.before()
	}
	answer := &wire.Frame{Accepted: &wire.Accepted{}}
	if a.grants {
		answer = &wire.Frame{Granted: &wire.Granted{}}
	}
	if a.refuses != nil {
		_ = stream.Send(&wire.Frame{Refusal: a.refuses})
		return
	}
	if stream.Send(answer) == nil {
		_, _ = stream.Receive()
	}
	a.ended <- struct{}{}
}

// newNode opens one process's end of the inner protocol.
func newNode(t *testing.T, secret []byte, host, role, peers string, handler wire.Handler) *wire.Node {
	t.Helper()
	ephemeral, err := keys.NewEphemeralCredentials(secret, host, role, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	node, err := wire.NewNode(wire.NodeConfig{
		Address: "127.0.0.1:0", ServerTLS: ephemeral.ServerConfig(peers), ClientTLS: ephemeral.ClientConfig(peers),
		Identify: keys.Identify, Handler: handler, Logger: quiet(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Close)
	return node
}

// moveFixture is a control state with agents that answer, and an exchange that
// asks them.
func moveFixture(t *testing.T, target time.Duration, c *control, agents map[string]*fakeAgent) *exchange {
	t.Helper()
	store := keyvaluetest.NewStore(1)
	secret, err := roster.Secret(t.Context(), store, store, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	for id, agent := range agents {
		node := newNode(t, secret, "host-"+id, keys.RoleAgent, keys.RoleEntry, agent)
		host := c.hosts["host-"+id]
		host.InternalAddress = node.Address()
		c.siteChanged(siteChange{asOf: 10, hosts: []roster.Host{host}})
	}
	h := &handler{control: c, dialect: &recorder{}, tracker: backends.NewTracker(), gate: backpressure.NewGate(), observer: newObserver(quiet(), testMetrics(t))}
	h.unsent, h.giveUpUnsent = context.WithCancel(t.Context())
	h.node.Store(newNode(t, secret, "front-1", keys.RoleEntry, keys.RoleAgent, refuseStreams{}))
	x := testExchange(&recorder{}, &fleet.Route{TargetLatency: target, Destinations: []fleet.Destination{{Service: testEngine, Weight: 1}}})
	x.handler = h
	x.caller = forward.RequestInfo{RequestID: "r", Model: testModel}
	x.arrived = time.Now()
	x.deadline = x.arrived.Add(10 * time.Second)
	return x
}

func testMetrics(t *testing.T) *metrics.Gateway {
	t.Helper()
	shown := telemetry.New(state.Identity{Program: "entry"})
	t.Cleanup(func() { shown.Close() })
	return metrics.NewGateway(shown.Scope())
}

// loads tells that a runner has the model.
func loads(c *control, id string) {
	said(c, time.Now(), "host-"+id, &wire.RunnerStatus{StartedAtMillis: 1, Slots: 10, Models: []wire.RunnerModel{{Name: testModel, State: wire.ModelLoaded}}})
	c.publish()
}

// TestWaitingRequestMoves has a request wait at a runner until another one has
// the model loaded.
func TestWaitingRequestMoves(t *testing.T) {
	c := fixture(time.Now(),
		testRunner{id: "here", permits: true, status: statusOf(0, wire.RunnerModel{Wanted: true, WaitMillis: 1000})},
		testRunner{id: "other", permits: true, status: statusOf(0, wire.RunnerModel{WaitMillis: 2000})})
	here, other := newFakeAgent(false), newFakeAgent(true)
	x := moveFixture(t, 0, c, map[string]*fakeAgent{"here": here, "other": other})
	ctx, cancel := context.WithDeadline(t.Context(), x.deadline)
	defer cancel()
	go func() {
		<-here.asked
		loads(c, "other")
	}()
	chosen, held, ok := x.next(ctx)
	if !ok || chosen.ID != "other" || held == nil {
		t.Fatalf("got %v %v %t, want a lease at the other runner", chosen, held, ok)
	}
	held.release(false, 0)
	select {
	case <-here.ended:
	case <-ctx.Done():
		t.Fatal("the request still waits where it was")
	}
	if x.moves != 1 || len(x.tried) != 0 {
		t.Errorf("moves %d, tried %v", x.moves, x.tried)
	}
}

// TestRequestWaitsForARunner has no runner for a request until a moment later, and
// none for requests that have less time, were declined or name an unknown model.
func TestRequestWaitsForARunner(t *testing.T) {
	const soon, late = 5 * time.Second, 20 * time.Millisecond
	tests := []struct {
		name     string
		target   time.Duration
		declined bool
		model    string
		want     bool
	}{
		{name: "there is time", target: soon, model: testModel, want: true},
		{name: "it would be late", target: late, model: testModel},
		{name: "an agent has declined it", target: soon, declined: true, model: testModel},
		{name: "its model is unknown", target: soon, model: "unknown"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := fixture(time.Now(), testRunner{id: "a", permits: true, status: &wire.RunnerStatus{Down: true}})
			x := moveFixture(t, test.target, c, map[string]*fakeAgent{"a": newFakeAgent(true)})
			x.caller.Model, x.declined = test.model, test.declined
			var wait sync.WaitGroup
			wait.Go(func() {
				time.Sleep(4 * runnerCheck)
				loads(c, "a")
			})
			_, held, ok := x.next(t.Context())
			if ok != test.want {
				t.Errorf("found a runner %t, want %t", ok, test.want)
			}
			if took := time.Since(x.arrived); took > time.Second {
				t.Errorf("it took %s", took)
			}
			held.release(false, 0)
			wait.Wait()
		})
	}
}

// TestRequestWaitsForTheRegistrationOfARestartedRunner has an agent tell of its
// runner's restart before the store does.
func TestRequestWaitsForTheRegistrationOfARestartedRunner(t *testing.T) {
	const target = 5 * time.Second
	c := fixture(time.Now(), testRunner{id: "a", loaded: true})
	status := statusOf(0, wire.RunnerModel{State: wire.ModelLoaded, PermitRank: 1})
	status.StartedAtMillis = 2
	said(c, time.Now(), "host-a", status)
	c.publish()
	x := moveFixture(t, target, c, map[string]*fakeAgent{"a": newFakeAgent(true)})
	var wait sync.WaitGroup
	wait.Go(func() {
		time.Sleep(4 * runnerCheck)
		restarted := c.registry.Backends()[0]
		restarted.StartedAtMillis = 2
		c.registry.Put(time.Now(), restarted)
		said(c, time.Now(), "host-a", status)
		c.publish()
	})
	_, held, ok := x.next(t.Context())
	if !ok {
		t.Error("refused while the runner registers itself")
	}
	held.release(false, 0)
	wait.Wait()
}

// TestHopelessRequestIsRefusedAtOnce has one agent refuse a request, while the others
// would have to load the model for longer than it can wait. They aren't asked.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	const loads = 15000
	slow := wire.RunnerModel{WaitMillis: loads}
	c := fixture(time.Now(),
		testRunner{id: "a", permits: true, status: statusOf(0, wire.RunnerModel{WaitMillis: loads - 1})},
		testRunner{id: "b", permits: true, status: statusOf(0, slow)},
		testRunner{id: "c", permits: true, status: statusOf(0, slow)})
	asked := newFakeAgent(false)
	asked.refuses = &wire.Refusal{Reason: wire.ReasonDeadline, RetryAfterMillis: loads}
	others := newFakeAgent(true)
	x := moveFixture(t, 0, c, map[string]*fakeAgent{"a": asked, "b": others, "c": others})
	if _, _, ok := x.next(t.Context()); ok {
		t.Fatal("the request was let in")
	}
	if len(others.asked) > 0 || x.retryAfter != loads*time.Millisecond {
		t.Errorf("%d others were asked; come back after %s", len(others.asked), x.retryAfter)
	}
}
