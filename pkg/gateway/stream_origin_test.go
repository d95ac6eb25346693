package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
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
	"teaselgauge.example/teaselgauge/pkg/resumption"
	"teaselgauge.example/teaselgauge/pkg/roster"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// originAgent answers queries for the origin of a stream, and records what is handed over.
type originAgent struct {
	// origin is what it knows; nil if it knows nothing.
	origin *wire.StreamOrigin
	// delay is the time to its answer.
	delay time.Duration
	// silent has it never answer, failures is the number of queries that it rejects first.
	silent     bool
	failures   atomic.Int32
	handedOver chan *wire.OriginHandover
}

func newOriginAgent(origin *wire.StreamOrigin) *originAgent {
	return &originAgent{origin: origin, handedOver: make(chan *wire.OriginHandover, 1)}
}

func (a *originAgent) ServeStream(ctx context.Context, _ wire.Peer, stream *wire.Stream) {
	defer stream.Close()
	frame, err := stream.ReceiveFirst()
	switch {
	case err != nil:
	case frame.OriginHandover != nil:
		a.handedOver <- frame.OriginHandover
	case frame.OriginQuery != nil && a.silent:
		<-ctx.Done()
	case frame.OriginQuery != nil && a.failures.Add(-1) >= 0:
	case frame.OriginQuery != nil:
		time.Sleep(a.delay)
		_ = stream.Send(&wire.Frame{OriginAnswer: &wire.OriginAnswer{Origin: a.origin}})
	}
}

// originOf returns an origin of the stream "s".
func originOf(software string, ordinal int, confirmed bool) *wire.StreamOrigin {
	return &wire.StreamOrigin{Service: testEngine, Software: software, RequestID: "s", Ordinal: ordinal, Confirmed: confirmed}
}

// newResumingExchange returns an exchange of a request that resumes the stream "s", at an
// entry that knows nothing of it.
func newResumingExchange(t *testing.T, c *control, agents map[string]*originAgent) *exchange {
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
		if state := c.agents[host.ID]; state != nil {
			receiveStatus(c, time.Now(), host.ID, state.Status)
		}
	}
	recordVersions(c)
	h := &handler{control: c, headerCodec: &recorder{}, tracker: backends.NewTracker(), gate: backpressure.NewGate(), limits: ratelimit.NewRegistry(), observer: newObserver(discardLogger(), testMetrics(t))}
	h.quarantine = newQuarantineClient(c, &h.node, discardLogger())
	h.queued, h.cancelQueued = context.WithCancel(t.Context())
	h.node.Store(newNode(t, secret, "front-1", keys.RoleEntry, keys.RoleAgent, rejectStreams{}))
	route := &fleet.Route{
		Kind: fleet.Streaming, Resumable: true, MaxAttempts: 2, TargetLatency: time.Second,
		Destinations: []fleet.Destination{{Service: testEngine, Weight: 1}},
	}
	caller := forward.RequestInfo{RequestID: "r", Budget: 5 * time.Second, Model: testModel, LastEventID: "3", Resumes: "s"}
	request := httptest.NewRequest(http.MethodPost, "/p/item", nil)
	return h.newExchange(newCallerResponse(httptest.NewRecorder(), request, discardLogger()), request, route, caller, nil, time.Now())
}

// versionedRunner is a runner that has the test's model loaded.
func versionedRunner(id, software string) testRunner {
	return testRunner{id: id, software: software, permitted: true, status: statusOf(0, wire.RunnerModel{State: wire.ModelLoaded})}
}

// Guards against a resumed stream that goes on at another version than its agents know.
func TestEntryAsksAgentsWhereAStreamBegan(t *testing.T) {
	silent := newOriginAgent(nil)
	silent.silent = true
	late := newOriginAgent(originOf("v2", 2, false))
	late.delay = agentTimeout / 3
	tests := []struct {
		name   string
		a, b   *originAgent
		want   string
		within time.Duration
	}{
		{name: "one agent knows", a: newOriginAgent(nil), b: newOriginAgent(originOf("v2", 1, false)), want: "v2"},
		{name: "a later attempt at a slower agent", a: newOriginAgent(originOf("v1", 1, false)), b: late, want: "v2"},
		{name: "a confirmed origin beside a silent agent", a: newOriginAgent(originOf("v1", 1, true)), b: silent, want: "v1", within: agentTimeout},
		{name: "an unconfirmed origin beside a silent agent", a: newOriginAgent(originOf("v1", 1, false)), b: silent, want: "v1"},
		{name: "no agent knows", a: newOriginAgent(nil), b: newOriginAgent(nil)},
		{name: "no server of the version", a: newOriginAgent(originOf("v0", 1, true)), b: newOriginAgent(nil)},
		{name: "a service that the route doesn't allow", a: newOriginAgent(&wire.StreamOrigin{Service: "other", Software: "v1", RequestID: "s", Confirmed: true}), b: newOriginAgent(nil)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newTestControl(time.Now(), versionedRunner("a", "v1"), versionedRunner("b", "v2"))
			x := newResumingExchange(t, c, map[string]*originAgent{"a": test.a, "b": test.b})
			// The connections are open from then on.
			x.lookUpOrigin(t.Context())
			startedAt := time.Now()
			ok := x.resumeStream(t.Context())
			if ok != (test.want != "") || x.software != test.want {
				t.Errorf("goes on %t at %q, want %q", ok, x.software, test.want)
			}
			if !ok && (x.result.outcome != outcomeNotRun || x.result.status != http.StatusServiceUnavailable || x.result.retryAfter == 0) {
				t.Errorf("ended as %+v", x.result)
			}
			if took := time.Since(startedAt); test.within > 0 && took >= test.within {
				t.Errorf("it took %s", took)
			}
		})
	}
}

// Guards against a stream of another version that an entry with an old view takes for one
// of the only version.
func TestOldViewDoesNotShowTheOnlyVersion(t *testing.T) {
	c := newTestControl(time.Now(), versionedRunner("a", "v1"))
	x := newResumingExchange(t, c, map[string]*originAgent{"a": newOriginAgent(nil)})
	x.route.TargetLatency = 0
	c.freshness.confirm(time.Now().Add(-2*maxVersionsAge), metrics.ViewRegistrations, 1)
	if x.resumeStream(t.Context()) || x.result.outcome != outcomeNotRun {
		t.Errorf("goes on at %q, ended as %+v", x.software, x.result)
	}
	c.freshness.confirm(time.Now(), metrics.ViewRegistrations, 1)
	if !x.resumeStream(t.Context()) || x.software != "v1" {
		t.Errorf("software %q with a new view", x.software)
	}
}

// Guards against a refusal while an agent that knows the stream can't be reached yet.
func TestSilentAgentIsAskedAgain(t *testing.T) {
	c := newTestControl(time.Now(), versionedRunner("a", "v1"), versionedRunner("b", "v2"))
	slow := newOriginAgent(originOf("v2", 1, true))
	slow.failures.Store(1)
	x := newResumingExchange(t, c, map[string]*originAgent{"a": newOriginAgent(nil), "b": slow})
	if !x.resumeStream(t.Context()) || x.software != "v2" {
		t.Errorf("software %q, ended as %+v", x.software, x.result)
	}
}

// Guards against an entry that doesn't ask the agent of a runner that has gone.
func TestAgentOfAnUnregisteredRunnerIsAsked(t *testing.T) {
	c := newTestControl(time.Now(), versionedRunner("a", "v1"), versionedRunner("b", "v2"), versionedRunner("gone", "v2"))
	x := newResumingExchange(t, c, map[string]*originAgent{
		"a": newOriginAgent(nil), "b": newOriginAgent(nil), "gone": newOriginAgent(originOf("v2", 1, false)),
	})
	c.registry.Drop(time.Now(), "gone")
	c.publish()
	if !x.resumeStream(t.Context()) || x.software != "v2" {
		t.Errorf("software %q, ended as %+v", x.software, x.result)
	}
}

// Guards against an entry that has just started and takes what it doesn't know yet for what
// isn't there.
func TestStartedEntryWaitsForAgentsThatMayKnowAStream(t *testing.T) {
	c := newTestControl(time.Now(), versionedRunner("a", "v1"))
	c.agentsKnown = false
	b := versionedRunner("b", "v2")
	x := newResumingExchange(t, c, map[string]*originAgent{"a": newOriginAgent(originOf("v2", 1, true))})
	var wait sync.WaitGroup
	wait.Go(func() {
		time.Sleep(2 * originCheckInterval)
		c.registry.Put(time.Now(), fleet.Backend{ID: b.id, Service: testEngine, Address: "addr-b", Software: b.software, StartedAtMillis: 1})
		c.publish()
	})
	if !x.resumeStream(t.Context()) || x.software != "v2" {
		t.Errorf("software %q, ended as %+v", x.software, x.result)
	}
	wait.Wait()
}

// Guards against a stream that is forgotten with the host of its server.
func TestOriginOfABrokenStreamIsHandedOver(t *testing.T) {
	c := newTestControl(time.Now(), versionedRunner("a", "v1"), versionedRunner("b", "v2"))
	other := newOriginAgent(nil)
	x := newResumingExchange(t, c, map[string]*originAgent{"a": newOriginAgent(nil), "b": other})
	x.lastAgent = "host-a"
	x.origin = &resumption.Origin{Service: testEngine, Software: "v1", Confirmed: true, RecordedAt: time.Now()}
	x.abortResponse("stream broke off")
	x.handOverAtEnd()
	select {
	case got := <-other.handedOver:
		if got.StreamID != "s" || got.Origin.Software != "v1" || !got.Origin.Confirmed || got.KeepMillis == 0 {
			t.Errorf("got %+v", got)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("nothing was handed over")
	}
}

// Guards against hand-overs that no caller needs.
func TestOriginIsHandedOverOnlyIfNeeded(t *testing.T) {
	c := newTestControl(time.Now(), versionedRunner("a", "v1"), testRunner{id: "b", software: "v1", status: statusOf(0, wire.RunnerModel{}), disconnected: true})
	x := newResumingExchange(t, c, nil)
	for _, test := range []struct {
		outcome outcome
		agent   string
		want    bool
	}{
		{outcomeBroken, "host-a", true},
		{outcomeCallerLeft, "host-a", false},
		{outcomeCallerLeft, "host-b", true},
		{outcomeCallerLeft, "", true},
		{outcomeCompleted, "host-b", false},
	} {
		x.result.outcome, x.lastAgent = test.outcome, test.agent
		if got := x.mayBeResumed(); got != test.want {
			t.Errorf("%s with agent %q: %t", test.outcome, test.agent, got)
		}
	}
}

// Guards against lease requests from which an agent can't tell where a stream began, or
// which attempt was the last one.
func TestLeaseRequestDescribesTheStream(t *testing.T) {
	c := newTestControl(time.Now(), versionedRunner("a", "v1"))
	x := newResumingExchange(t, c, nil)
	s := c.current().servers[testEngine][0]
	for ordinal := 1; ordinal <= 2; ordinal++ {
		got := x.acquireFrame(x.arrived, s).Stream
		want := wire.StreamAttempt{
			StreamID: "s", Service: testEngine, Software: "v1", Ordinal: ordinal, StartedAtMillis: 1,
			KeepMillis: uint32((5*time.Second + resumption.ReturnSlack).Milliseconds()), Begun: true,
		}
		if got == nil || *got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
	x.caller.LastEventID, x.caller.Resumes = "", ""
	if x.streamAttempt(x.arrived, s).Begun {
		t.Error("a new stream counts as begun")
	}
	x.stream = ""
	if got := x.acquireFrame(x.arrived, s).Stream; got != nil {
		t.Errorf("got %+v of a response that can't be resumed", got)
	}
}

// Guards against requests that give up a runner since it was restarted.
func TestRestartedRunnerIsNotExcluded(t *testing.T) {
	c := newTestControl(time.Now(), versionedRunner("a", "v1"))
	agent := newFakeAgent(false)
	agent.refuses = &wire.Refusal{Reason: wire.ReasonReplaced}
	x := newLeaseExchange(t, time.Second, c, map[string]*fakeAgent{"a": agent})
	ctx, cancel := context.WithTimeout(t.Context(), 3*runnerCheckInterval)
	defer cancel()
	stop := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		for {
			select {
			case <-agent.requested:
			case <-stop:
				return
			}
		}
	})
	if _, _, ok := x.acquireServer(ctx); ok || len(x.excluded) > 0 {
		t.Errorf("granted %t, excluded %v", ok, x.excluded)
	}
	close(stop)
	wait.Wait()
}
