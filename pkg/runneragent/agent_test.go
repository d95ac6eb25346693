package runneragent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/keyvalue/keyvaluetest"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/modelrunner"
	"teaselgauge.example/teaselgauge/pkg/roster"
	"teaselgauge.example/teaselgauge/pkg/settings"
	"teaselgauge.example/teaselgauge/pkg/state"
	"teaselgauge.example/teaselgauge/pkg/telemetry"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

const (
	agentID   = "side-1"
	instance  = "r-1"
	startedAt = 7
	// eventTimeout limits the wait for an expected event.
	eventTimeout = 10 * time.Second
)

// fakeRunner accepts every order and completes loads immediately.
type fakeRunner struct {
	mu     sync.Mutex
	report modelrunner.Report
	orders []modelrunner.Order
	err    error
}

func (r *fakeRunner) Report(context.Context) (modelrunner.Report, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.report, r.err
}

func (r *fakeRunner) Order(_ context.Context, order modelrunner.Order) (modelrunner.Result, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders = append(r.orders, order)
	r.report.Sequence++
	if order.Operation == modelrunner.Load && order.Adapter == "" {
		r.report.Models = append(r.report.Models, modelrunner.LoadedModel{Name: order.Model})
	}
	return modelrunner.Accepted, nil
}

func (r *fakeRunner) setError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err = err
}

// restart begins another incarnation, which has what the one before had.
func (r *fakeRunner) restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.StartedAtMillis++
}

// fixture is an agent with a gateway's node of the internal protocol.
type fixture struct {
	t            *testing.T
	runner       *fakeRunner
	store        *keyvaluetest.Store
	node         *wire.Node
	address      string
	subscription *wire.Stream
}

func freeUDP(t *testing.T) string {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	return conn.LocalAddr().String()
}

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func startAgent(t *testing.T) *fixture {
	t.Helper()
	store := keyvaluetest.NewStore(1)
	f := &fixture{t: t, store: store, address: freeUDP(t), runner: &fakeRunner{report: modelrunner.Report{StartedAtMillis: startedAt, OnDisk: []string{"m"}}}}
	logger := discardLogger()
	config := settings.Runner{
		Host:   settings.Host{ID: agentID, FailureDomain: "z"},
		Listen: settings.RunnerListen{Internal: f.address, Metrics: "127.0.0.1:0"},
		Runner: "127.0.0.1:1",
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	processTelemetry := telemetry.New(state.Identity{Program: "agent"})
	dependencies := Dependencies{Store: store, StaleStore: store, Runner: f.runner, Telemetry: processTelemetry, Metrics: metrics.NewRunner(processTelemetry.Scope())}
	go func() { done <- Run(ctx, config, dependencies, logger) }()
	t.Cleanup(func() {
		defer processTelemetry.Close()
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	f.connect(store, logger)
	return f
}

// connect opens a gateway's node and subscribes to the agent.
func (f *fixture) connect(store *keyvaluetest.Store, logger *slog.Logger) {
	f.t.Helper()
	secret, err := roster.Secret(f.t.Context(), store, store, func(error) {})
	if err != nil {
		f.t.Fatal(err)
	}
	ephemeral, err := keys.NewEphemeralCredentials(secret, "front-1", keys.RoleEntry, time.Now())
	if err != nil {
		f.t.Fatal(err)
	}
	f.node, err = wire.NewNode(wire.NodeConfig{
		Address: "127.0.0.1:0", ServerTLS: ephemeral.ServerConfig(keys.RoleAgent), ClientTLS: ephemeral.ClientConfig(keys.RoleAgent),
		Identify: keys.Identify, Handler: rejectStreams{}, Logger: logger,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(f.node.Close)
	f.subscription = f.open(&wire.Frame{Subscribe: &wire.Subscribe{Entry: "front-1"}})
	f.t.Cleanup(f.subscription.Cancel)
}

// rejectStreams cancels all incoming streams.
type rejectStreams struct{}

func (rejectStreams) ServeStream(_ context.Context, _ wire.Peer, stream *wire.Stream) {
	stream.Cancel()
}

// open opens a stream and sends a first frame, once the agent listens.
func (f *fixture) open(first *wire.Frame) *wire.Stream {
	f.t.Helper()
	for end := time.Now().Add(eventTimeout); time.Now().Before(end); {
		ctx, cancel := context.WithTimeout(f.t.Context(), time.Second)
		stream, err := f.node.Open(ctx, agentID, f.address)
		cancel()
		if err == nil {
			if err := stream.Send(first); err != nil {
				f.t.Fatal(err)
			}
			return stream
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatal("the agent doesn't listen")
	return nil
}

// sendPlacement sends a placement for the runner.
func (f *fixture) sendPlacement(asOf int64) {
	f.t.Helper()
	err := f.subscription.Send(&wire.Frame{RunnerPlacement: &wire.RunnerPlacement{
		Revision: 5, AsOf: asOf, Instance: instance, StartedAtMillis: startedAt,
		Permits: []wire.ModelPermit{{Model: "m", Rank: 1}},
		Engine: &wire.Engine{Version: 1, Slots: 2, MiB: 100, Models: []wire.EngineModel{
			{Name: "m", MiB: 40, RemoteLoadMillis: 100, DiskLoadMillis: 20, MemoryLoadMillis: 10},
		}},
	}})
	if err != nil {
		f.t.Fatal(err)
	}
}

// awaitStatus reads statuses until one meets a condition.
func (f *fixture) awaitStatus(condition func(*wire.RunnerStatus) bool) {
	f.t.Helper()
	for {
		f.subscription.SetReadDeadline(time.Now().Add(eventTimeout))
		frame, err := f.subscription.Receive()
		if err != nil {
			f.t.Fatal(err)
		}
		if frame.RunnerStatus != nil && condition(frame.RunnerStatus) {
			return
		}
	}
}

func (f *fixture) awaitPlacement() {
	f.t.Helper()
	f.sendPlacement(1000)
	f.awaitStatus(func(s *wire.RunnerStatus) bool { return s.PlacementRevision == 5 })
}

func acquire(id, model string) *wire.Frame {
	return &wire.Frame{Acquire: &wire.Acquire{
		RequestID: id, Model: model, Route: "advice", DeadlineMillis: 5000, StartMillis: 5000, TargetMillis: 300, Tokens: 10, PromptTokens: 10,
	}}
}

// outcomeOf reads a stream until the lease is granted or refused.
func (f *fixture) outcomeOf(stream *wire.Stream) *wire.Frame {
	f.t.Helper()
	stream.SetReadDeadline(time.Now().Add(eventTimeout))
	for {
		frame, err := stream.Receive()
		if err != nil {
			f.t.Fatalf("no outcome arrived: %v", err)
		}
		if frame.Accepted == nil {
			return frame
		}
	}
}

func TestLeaseIsGrantedAfterLoad(t *testing.T) {
	f := startAgent(t)
	f.awaitPlacement()
	stream := f.open(acquire("q1", "m"))
	defer stream.Cancel()
	if frame := f.outcomeOf(stream); frame.Granted == nil {
		t.Fatalf("outcome %+v", frame)
	}
	f.runner.mu.Lock()
	defer f.runner.mu.Unlock()
	if len(f.runner.orders) != 1 || f.runner.orders[0].Fence == 0 || f.runner.orders[0].Instance != instance || f.runner.orders[0].Holder != agentID {
		t.Errorf("orders %+v", f.runner.orders)
	}
}

// TestRefusalIsSentBeforeStreamEnds repeatedly requests a lease that is refused.
// The refusal must arrive before the stream ends.
func TestRefusalIsSentBeforeStreamEnds(t *testing.T) {
	f := startAgent(t)
	f.awaitPlacement()
	for i := range 200 {
		stream := f.open(acquire("q", "unknown"))
		frame := f.outcomeOf(stream)
		if frame.Refusal == nil || frame.Refusal.Outcome != wire.OutcomeNotRun {
			t.Fatalf("outcome %d: %+v", i, frame)
		}
		stream.Cancel()
	}
}

// TestSlotIsFreedAfterRelease ends leases by release, close and cancellation.
func TestSlotIsFreedAfterRelease(t *testing.T) {
	f := startAgent(t)
	f.awaitPlacement()
	for i := range 12 {
		stream := f.open(acquire("q"+string(rune('a'+i)), "m"))
		if frame := f.outcomeOf(stream); frame.Granted == nil {
			t.Fatalf("outcome %d: %+v", i, frame)
		}
		switch i % 3 {
		case 0:
			if err := stream.Send(&wire.Frame{Released: &wire.Released{}}); err != nil {
				t.Fatal(err)
			}
			stream.Close()
		case 1:
			stream.Close()
		default:
			stream.Cancel()
		}
	}
}

// TestStalePlacementIsIgnored sends a placement as of a revision before the agent's
// registration: an earlier incarnation may have acted on a newer one.
func TestStalePlacementIsIgnored(t *testing.T) {
	f := startAgent(t)
	f.sendPlacement(0)
	stream := f.open(acquire("q1", "m"))
	defer stream.Cancel()
	if frame := f.outcomeOf(stream); frame.Refusal == nil {
		t.Errorf("outcome %+v", frame)
	}
	f.awaitPlacement()
}

func TestRunnerFailureIsReported(t *testing.T) {
	f := startAgent(t)
	f.awaitPlacement()
	f.runner.setError(errors.New("no response"))
	f.awaitStatus(func(s *wire.RunnerStatus) bool { return s.Down })
	stream := f.open(acquire("q1", "m"))
	defer stream.Cancel()
	if frame := f.outcomeOf(stream); frame.Refusal == nil || frame.Refusal.Reason != wire.ReasonUnavailable {
		t.Errorf("outcome %+v", frame)
	}
	f.runner.setError(nil)
	f.awaitStatus(func(s *wire.RunnerStatus) bool { return !s.Down })
}

// TestObservedLimitIsReported has a gateway report the limit that the response to a
// request named, and then its end.
func TestObservedLimitIsReported(t *testing.T) {
	f := startAgent(t)
	f.awaitPlacement()
	for id, observed := range []wire.LimitObserved{{Limited: true, LimitPerSecond: 1.5}, {}} {
		stream := f.open(acquire(fmt.Sprint(id), "m"))
		if frame := f.outcomeOf(stream); frame.Granted == nil {
			t.Fatalf("outcome %+v", frame)
		}
		if err := stream.Send(&wire.Frame{LimitObserved: &observed}); err != nil {
			t.Fatal(err)
		}
		f.awaitStatus(func(s *wire.RunnerStatus) bool {
			return s.Limited == observed.Limited && s.LimitPerSecond == observed.LimitPerSecond
		})
		stream.Close()
	}
}
