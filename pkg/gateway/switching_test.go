package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backends"
	"teaselgauge.example/teaselgauge/pkg/backpressure"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/forward"
	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/keyvalue/keyvaluetest"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/ratelimit"
	"teaselgauge.example/teaselgauge/pkg/roster"
	"teaselgauge.example/teaselgauge/pkg/state"
	"teaselgauge.example/teaselgauge/pkg/telemetry"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

func TestHasBetterRunner(t *testing.T) {
	loaded := wire.RunnerModel{State: wire.ModelLoaded}
	waiting := wire.RunnerModel{Wanted: true, WaitMillis: 1000}
	tests := []struct {
		name     string
		here     testRunner
		other    testRunner
		excluded []string
		want     bool
	}{
		{name: "other has the model loaded", here: testRunner{permitted: true, status: statusOf(0, waiting)}, other: testRunner{status: statusOf(0, loaded)}, want: true},
		{name: "other would have to load it for as long", here: testRunner{permitted: true, status: statusOf(0, waiting)}, other: testRunner{permitted: true, status: statusOf(0, wire.RunnerModel{WaitMillis: 750})}},
		{name: "other is expected to load it sooner", here: testRunner{permitted: true, status: statusOf(0, wire.RunnerModel{Wanted: true, WaitMillis: 4000})}, other: testRunner{permitted: true, status: statusOf(0, wire.RunnerModel{WaitMillis: 1250})}, want: true},
		{name: "other is busy", here: testRunner{permitted: true, status: statusOf(0, waiting)}, other: testRunner{status: statusOf(9, loaded)}},
		{name: "both have it loaded", here: testRunner{status: statusOf(5, loaded)}, other: testRunner{status: statusOf(0, loaded)}},
		{name: "current is busy", here: testRunner{status: statusOf(9, loaded)}, other: testRunner{status: statusOf(0, loaded)}, want: true},
		{name: "other is excluded", here: testRunner{permitted: true, status: statusOf(0, waiting)}, other: testRunner{status: statusOf(0, loaded)}, excluded: []string{"other"}},
		{name: "agent of current is disconnected and other would have to load it", here: testRunner{permitted: true, disconnected: true, status: statusOf(0, waiting)}, other: testRunner{permitted: true, status: statusOf(0, wire.RunnerModel{WaitMillis: 4000})}, want: true},
		{name: "agent of current is disconnected with the model loaded and other is busy", here: testRunner{disconnected: true, status: statusOf(0, loaded)}, other: testRunner{status: statusOf(9, loaded)}, want: true},
		{name: "both agents are disconnected", here: testRunner{disconnected: true, status: statusOf(0, loaded)}, other: testRunner{disconnected: true, status: statusOf(0, loaded)}},
		{name: "agent of other is disconnected", here: testRunner{permitted: true, status: statusOf(0, waiting)}, other: testRunner{disconnected: true, loaded: true, status: statusOf(0, loaded)}},
		{name: "current is draining", here: testRunner{draining: true}, other: testRunner{status: statusOf(0, loaded)}, want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.here.id, test.other.id = "here", "other"
			c := newTestControl(testStart, test.here, test.other)
			got := hasBetterRunner(selectionAt(testStart, c, backends.NewTracker(), test.excluded...), "here")
			if got != test.want {
				t.Errorf("got %t", got)
			}
		})
	}
}

// fakeAgent receives lease requests. It grants them immediately, or queues them and
// signals when they end.
type fakeAgent struct {
	grants bool
	// refuses is the response to all requests if it isn't nil.
	refuses *wire.Refusal
	// refusesOnce limits that to the first request, refused is set after it.
	refusesOnce bool
	refused     atomic.Bool
	// beforeReply is called before each reply, if it is set.
	beforeReply atomic.Pointer[func()]
	requested   chan struct{}
	ended       chan struct{}
}

func newFakeAgent(grants bool) *fakeAgent {
	return &fakeAgent{grants: grants, requested: make(chan struct{}, 1), ended: make(chan struct{}, 1)}
}

func (a *fakeAgent) ServeStream(_ context.Context, _ wire.Peer, stream *wire.Stream) {
	defer stream.Close()
	if frame, err := stream.ReceiveFirst(); err != nil || frame.Acquire == nil {
		return
	}
	signal(a.requested)
	if call := a.beforeReply.Load(); call != nil {
		(*call)()
	}
	reply := &wire.Frame{Accepted: &wire.Accepted{}}
	if a.grants {
		reply = &wire.Frame{Granted: &wire.Granted{}}
	}
	if a.refuses != nil && !(a.refused.Swap(true) && a.refusesOnce) {
		_ = stream.Send(&wire.Frame{Refusal: a.refuses})
		return
	}
	if stream.Send(reply) == nil {
		_, _ = stream.Receive()
	}
	signal(a.ended)
}

// signal reports that something has happened, unless that is still to be received.
func signal(happened chan<- struct{}) {
	select {
	case happened <- struct{}{}:
	default:
	}
}

// newNode opens a process's node of the internal protocol.
func newNode(t *testing.T, secret []byte, host, role, peers string, handler wire.Handler) *wire.Node {
	t.Helper()
	ephemeral, err := keys.NewEphemeralCredentials(secret, host, role, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	node, err := wire.NewNode(wire.NodeConfig{
		Address: "127.0.0.1:0", ServerTLS: ephemeral.ServerConfig(peers), ClientTLS: ephemeral.ClientConfig(peers),
		Identify: keys.Identify, Handler: handler, Logger: discardLogger(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Close)
	return node
}

// newLeaseExchange returns an exchange on a control state whose agents are served
// by fake ones.
func newLeaseExchange(t *testing.T, target time.Duration, c *control, agents map[string]*fakeAgent) *exchange {
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
		c.applySiteChange(siteChange{asOf: 10, hosts: []roster.Host{host}})
	}
	h := &handler{control: c, headerCodec: &recorder{}, tracker: backends.NewTracker(), gate: backpressure.NewGate(), limits: ratelimit.NewRegistry(), observer: newObserver(discardLogger(), testMetrics(t))}
	h.limiters = newLimiterClient("front-1", c)
	h.queued, h.cancelQueued = context.WithCancel(t.Context())
	h.node.Store(newNode(t, secret, "front-1", keys.RoleEntry, keys.RoleAgent, rejectStreams{}))
	x := testExchange(&recorder{}, &fleet.Route{TargetLatency: target, Destinations: []fleet.Destination{{Service: testEngine, Weight: 1}}})
	x.handler = h
	x.caller = forward.RequestInfo{RequestID: "r", Model: testModel}
	x.arrived = time.Now()
	x.deadline = x.arrived.Add(10 * time.Second)
	return x
}

func testMetrics(t *testing.T) *metrics.Gateway {
	t.Helper()
	entryTelemetry := telemetry.New(state.Identity{Program: "entry"})
	t.Cleanup(func() { entryTelemetry.Close() })
	return metrics.NewGateway(entryTelemetry.Scope())
}

// markLoaded reports that a runner has the model loaded.
func markLoaded(c *control, id string) {
	receiveStatus(c, time.Now(), "host-"+id, &wire.RunnerStatus{StartedAtMillis: 1, Slots: 10, Models: []wire.RunnerModel{{Name: testModel, State: wire.ModelLoaded}}})
	c.publish()
}

// TestWaitingRequestSwitchesRunner has a request wait at a runner until another
// one has the model loaded.
func TestWaitingRequestSwitchesRunner(t *testing.T) {
	c := newTestControl(time.Now(),
		testRunner{id: "here", permitted: true, status: statusOf(0, wire.RunnerModel{Wanted: true, WaitMillis: 1000})},
		testRunner{id: "other", permitted: true, status: statusOf(0, wire.RunnerModel{WaitMillis: 2000})})
	here, other := newFakeAgent(false), newFakeAgent(true)
	x := newLeaseExchange(t, 0, c, map[string]*fakeAgent{"here": here, "other": other})
	ctx, cancel := context.WithDeadline(t.Context(), x.deadline)
	defer cancel()
	go func() {
		<-here.requested
		markLoaded(c, "other")
	}()
	chosen, granted, ok := x.acquireServer(ctx)
	if !ok || chosen.ID != "other" || granted == nil {
		t.Fatalf("got %v %v %t, want a lease at the other runner", chosen, granted, ok)
	}
	granted.release(false, 0)
	select {
	case <-here.ended:
	case <-ctx.Done():
		t.Fatal("the request still waits at the first runner")
	}
	if x.switches != 1 || len(x.excluded) != 0 {
		t.Errorf("switches %d, excluded %v", x.switches, x.excluded)
	}
}

// TestRequestWaitsForRunner has a runner become available after a moment. Requests
// that have less time, were declined or name an unknown model are refused without
// waiting.
func TestRequestWaitsForRunner(t *testing.T) {
	const soon, late = 5 * time.Second, 20 * time.Millisecond
	tests := []struct {
		name     string
		target   time.Duration
		declined bool
		model    string
		want     bool
	}{
		{name: "enough time", target: soon, model: testModel, want: true},
		{name: "target latency too short", target: late, model: testModel},
		{name: "declined by an agent", target: soon, declined: true, model: testModel},
		{name: "unknown model", target: soon, model: "unknown"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newTestControl(time.Now(), testRunner{id: "a", permitted: true, status: &wire.RunnerStatus{Down: true}})
			x := newLeaseExchange(t, test.target, c, map[string]*fakeAgent{"a": newFakeAgent(true)})
			x.caller.Model, x.declined = test.model, test.declined
			var wait sync.WaitGroup
			wait.Go(func() {
				time.Sleep(4 * runnerCheckInterval)
				markLoaded(c, "a")
			})
			_, granted, ok := x.acquireServer(t.Context())
			if ok != test.want {
				t.Errorf("found a runner %t, want %t", ok, test.want)
			}
			if took := time.Since(x.arrived); took > time.Second {
				t.Errorf("it took %s", took)
			}
			granted.release(false, 0)
			wait.Wait()
		})
	}
}

// TestRequestWaitsForRegistrationOfRestartedRunner has an agent report its runner's
// restart before the new registration is in the store.
func TestRequestWaitsForRegistrationOfRestartedRunner(t *testing.T) {
	const target = 5 * time.Second
	c := newTestControl(time.Now(), testRunner{id: "a", loaded: true})
	status := statusOf(0, wire.RunnerModel{State: wire.ModelLoaded, PermitRank: 1})
	status.StartedAtMillis = 2
	receiveStatus(c, time.Now(), "host-a", status)
	c.publish()
	x := newLeaseExchange(t, target, c, map[string]*fakeAgent{"a": newFakeAgent(true)})
	var wait sync.WaitGroup
	wait.Go(func() {
		time.Sleep(4 * runnerCheckInterval)
		restarted := c.registry.Backends()[0]
		restarted.StartedAtMillis = 2
		c.registry.Put(time.Now(), restarted)
		receiveStatus(c, time.Now(), "host-a", status)
		c.publish()
	})
	_, granted, ok := x.acquireServer(t.Context())
	if !ok {
		t.Error("refused before the runner has registered")
	}
	granted.release(false, 0)
	wait.Wait()
}

// TestRequestThatCannotStartInTimeIsRefused has one agent refuse a request while
// the other runners would have to load the model for too long. Their agents
// don't get the request.
func TestRequestThatCannotStartInTimeIsRefused(t *testing.T) {
	const loads = 15000
	slow := wire.RunnerModel{WaitMillis: loads}
	c := newTestControl(time.Now(),
		testRunner{id: "a", permitted: true, status: statusOf(0, wire.RunnerModel{WaitMillis: loads - 1})},
		testRunner{id: "b", permitted: true, status: statusOf(0, slow)},
		testRunner{id: "c", permitted: true, status: statusOf(0, slow)})
	declining := newFakeAgent(false)
	declining.refuses = &wire.Refusal{Reason: wire.ReasonDeadline, RetryAfterMillis: loads}
	others := newFakeAgent(true)
	x := newLeaseExchange(t, 0, c, map[string]*fakeAgent{"a": declining, "b": others, "c": others})
	if _, _, ok := x.acquireServer(t.Context()); ok {
		t.Fatal("the request was accepted")
	}
	if len(others.requested) > 0 || x.retryAfter != loads*time.Millisecond {
		t.Errorf("%d other agents received a request; retry-after %s", len(others.requested), x.retryAfter)
	}
}

// Guards against a wait that is given up for a runner that loads the model too late as well,
// whereupon the request is refused.
func TestRequestDoesNotSwitchToARunnerThatLoadsTooLate(t *testing.T) {
	c := newTestControl(testStart,
		testRunner{id: "here", permitted: true, status: statusOf(0, wire.RunnerModel{Wanted: true, WaitMillis: 9000})},
		testRunner{id: "other", permitted: true, status: statusOf(0, wire.RunnerModel{WaitMillis: 6000})})
	for _, test := range []struct {
		startIn time.Duration
		want    bool
	}{{5 * time.Second, false}, {7 * time.Second, true}} {
		sel := selectionAt(testStart, c, backends.NewTracker())
		sel.startBy = testStart.Add(test.startIn)
		if got := hasBetterRunner(sel, "here"); got != test.want {
			t.Errorf("start in %s: switches %t", test.startIn, got)
		}
	}
}

// Guards against a request that waits for a server's lease until after the server has left.
func TestLeaseOfServerThatLeftWhileRequestWaitedIsNotUsed(t *testing.T) {
	for name, leave := range map[string]func(c *control, leaving fleet.Backend){
		"draining": func(c *control, leaving fleet.Backend) {
			leaving.State, leaving.Sequence = fleet.BackendDraining, leaving.Sequence+1
			c.updateRegistry(func(r *backends.Registry) bool { return r.Put(time.Now(), leaving) })
		},
		"removed": func(c *control, leaving fleet.Backend) {
			c.updateRegistry(func(r *backends.Registry) bool { return r.Remove(time.Now(), leaving.ID) })
		},
		"started again": func(c *control, leaving fleet.Backend) {
			leaving.StartedAtMillis++
			c.updateRegistry(func(r *backends.Registry) bool { return r.Put(time.Now(), leaving) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestControl(time.Now(), loadedRunner("here"))
			x := newLeaseExchange(t, 0, c, map[string]*fakeAgent{"here": newFakeAgent(true)})
			chosen := x.selection(time.Now()).choose()
			if chosen == nil || !x.maySend(chosen.server) {
				t.Fatalf("chosen %+v, want a server that may be sent the request", chosen)
			}
			leave(c, *chosen.Backend)
			if x.maySend(chosen.server) {
				t.Error("the request is sent to a server that has left")
			}
		})
	}
}
