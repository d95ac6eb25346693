package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"teaselgauge.example/teaselgauge/pkg/attempt"
	"teaselgauge.example/teaselgauge/pkg/backends"
	"teaselgauge.example/teaselgauge/pkg/backpressure"
	"teaselgauge.example/teaselgauge/pkg/callerlimits"
	"teaselgauge.example/teaselgauge/pkg/forward"
	"teaselgauge.example/teaselgauge/pkg/httpdrain"
	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/keyvalue"
	"teaselgauge.example/teaselgauge/pkg/memory"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/quarantine"
	"teaselgauge.example/teaselgauge/pkg/quota"
	"teaselgauge.example/teaselgauge/pkg/ratelimit"
	"teaselgauge.example/teaselgauge/pkg/roster"
	"teaselgauge.example/teaselgauge/pkg/settings"
	"teaselgauge.example/teaselgauge/pkg/telemetry"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// minStatusInterval is the minimum time between two views that differ in
	// statuses only.
	minStatusInterval = 25 * time.Millisecond

	headerTimeout = 10 * time.Second
)

// Dependencies are the platform clients that a gateway uses.
type Dependencies struct {
	Store keyvalue.LeaseStore
	// RegistrationStore is the same store with a shorter long-poll timeout.
	RegistrationStore keyvalue.Store
	// SiteStore is the same store with a longer long-poll timeout, for the keys
	// that the site's own processes write.
	SiteStore keyvalue.Store
	// StaleStore is the same store with reads that may be seconds out of date.
	StaleStore  keyvalue.Store
	Codec       Codec
	HeaderCodec forward.HeaderCodec
	// ReadinessPath is the path of the load balancer's readiness check.
	ReadinessPath string
	// Telemetry serves Metrics and the state dump.
	Telemetry *telemetry.Telemetry
	Metrics   *metrics.Gateway
	// Updates delivers changed settings.
	Updates <-chan settings.Gateway
}

// Gateway is the state of the process.
type Gateway struct {
	config       settings.Gateway
	logger       *slog.Logger
	control      *control
	storeWatcher *storeWatcher
	handler      *handler
	pool         *forward.Pool
	decider      *decider
	observer     *observer
	stopped      atomic.Bool
	callerServer *http.Server
	// endRequests ends the contexts of all requests.
	endRequests     context.CancelCauseFunc
	readinessServer *http.Server
	wait            sync.WaitGroup
	// callerConnections are those of callerServer.
	callerConnections httpdrain.Connections
	// callerMemory is what callers may hold.
	callerMemory *memory.Pool
}

// Run serves callers until ctx ends, then drains.
func Run(ctx context.Context, config settings.Gateway, dependencies Dependencies, logger *slog.Logger) error {
	g := &Gateway{config: config, logger: logger}
	g.initialize(dependencies)
	if err := g.limitMemory(); err != nil {
		return fmt.Errorf("gateway %s: %w", config.Host.ID, err)
	}
	if err := dependencies.Telemetry.Listen(config.Listen.Metrics, logger); err != nil {
		return fmt.Errorf("gateway %s: %w", config.Host.ID, err)
	}
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer func() {
		stopWork()
		g.wait.Wait()
	}()
	g.start(workCtx, ctx, dependencies)
	if err := g.listen(workCtx, dependencies.ReadinessPath); err != nil {
		return fmt.Errorf("gateway %s: %w", config.Host.ID, err)
	}
	logger.Info("serving", "callers", config.Listen.Callers)
	g.applyUpdates(ctx, dependencies.Updates)
	g.drain()
	return nil
}

// applyUpdates applies changed settings until ctx ends. Addresses and the host's
// identity take effect at the next start.
func (g *Gateway) applyUpdates(ctx context.Context, updates <-chan settings.Gateway) {
	for {
		select {
		case <-ctx.Done():
			return
		case config := <-updates:
			restart := config.Host != g.config.Host || config.Listen != g.config.Listen || config.Store != g.config.Store
			g.config.DrainMillis = config.DrainMillis
			g.handler.budget.SetLimits(budgetLimits(config.Retries))
			g.decider.setMaxConcurrentLoads(config.WeightStore.MaxConcurrentLoads)
			g.logger.Info("settings applied", "needs_restart", restart)
		}
	}
}

func (g *Gateway) initialize(d Dependencies) {
	g.observer = newObserver(g.logger, d.Metrics)
	g.control = newControl(g.logger)
	g.control.registry.SetHeartbeat(time.Duration(g.config.HeartbeatMillis) * time.Millisecond)
	g.control.statusThrottle.MinInterval = minStatusInterval
	g.storeWatcher = newStoreWatcher(d, g.control, g.logger)
	g.decider = &decider{store: d.Store, control: g.control, logger: g.logger}
	g.decider.setMaxConcurrentLoads(g.config.WeightStore.MaxConcurrentLoads)
	g.pool = forward.NewPool(d.HeaderCodec, g.observer.connected)
	g.handler = &handler{
		control:     g.control,
		headerCodec: d.HeaderCodec,
		pool:        g.pool,
		tracker:     backends.NewTracker(),
		gate:        backpressure.NewGate(),
		limits:      ratelimit.NewRegistry(),
		budget:      attempt.NewBudget(time.Now(), budgetLimits(g.config.Retries)),
		crashes:     newCrashObserver(g.control, g.logger, d.Metrics),
		domain:      g.config.Host.FailureDomain,
		observer:    g.observer,
	}
	g.handler.quarantine = newQuarantineClient(g.control, &g.handler.node, g.logger)
	g.handler.quarantine.self = g.config.Host.ID
	g.handler.quarantine.startup = newStartup(time.Now())
	g.handler.crashes.reportCrash = g.handler.quarantine.reportCrash
	g.handler.limiters = newLimiterClient(g.config.Host.ID, g.control)
	g.handler.quotas = newQuotaClient(g.config.Host.ID, time.Now(), quotaBounds(g.config.Quotas), g.control, &g.handler.node, g.observer)
	d.Telemetry.Register(DumpName, g.dump)
	g.handler.queued, g.handler.cancelQueued = context.WithCancel(context.Background())
}

func budgetLimits(config settings.Retries) attempt.BudgetLimits {
	return attempt.BudgetLimits{
		Ratio:  config.Ratio,
		Slack:  config.Slack,
		Window: time.Duration(config.WindowSeconds * float64(time.Second)),
	}
}

func quotaBounds(config settings.Quotas) quota.Bounds {
	return quota.Bounds{
		Window: time.Duration(config.WindowSeconds * float64(time.Second)),
		Over:   config.Over,
		Slack:  config.Slack,
	}
}

// start starts the background tasks, which run until ctx ends. leading ends
// earlier, when the process begins to stop.
func (g *Gateway) start(ctx, leading context.Context, d Dependencies) {
	g.wait.Go(func() { g.control.loop.Run(ctx) })
	g.wait.Go(func() { g.storeWatcher.followConfiguration(ctx) })
	g.wait.Go(func() { g.storeWatcher.followRegistrations(ctx) })
	g.wait.Go(func() { g.storeWatcher.followSite(ctx) })
	g.wait.Go(func() { g.storeWatcher.runExpiry(ctx) })
	g.wait.Go(func() { g.pool.Run(ctx) })
	g.wait.Go(func() { g.syncRequestPath(ctx) })
	g.wait.Go(func() { g.handler.quotas.keep(ctx) })
	g.wait.Go(func() { telemetry.RunPeriodically(ctx, gaugeInterval, g.updateGauges) })
	g.wait.Go(func() { telemetry.RunPeriodically(ctx, deliveryInterval, g.handler.quarantine.tick) })
	g.wait.Go(func() { g.join(ctx, leading, d) })
}

// gaugeInterval is the time between two updates of the gauges.
const gaugeInterval = time.Second

// updateGauges updates the gauges and logs the number of omitted log lines.
func (g *Gateway) updateGauges(now time.Time) {
	current := g.control.current()
	usable := 0
	for _, servers := range current.servers {
		usable += len(servers)
	}
	connected := 0
	for _, state := range current.agents {
		if state.Connected {
			connected++
		}
	}
	g.observer.metrics.State(int(g.handler.inFlight.Load()), usable, connected, current.leader.host == g.config.Host.ID)
	g.observer.metrics.Blocks(len(g.handler.quarantine.blocks(now)))
	g.observer.metrics.LimitedServers(g.handler.limits.Limited())
	g.observer.metrics.Origins(g.handler.origins.count())
	g.control.freshness.updateGauges(now, g.observer.metrics)
	g.updateMemoryGauges()
	g.observer.logSkipped()
}

// join derives the process's keys from the site's secret, registers the host and
// connects to the agents. A stopping entry resigns as leader immediately, so that
// another one takes over during the drain.
func (g *Gateway) join(ctx, leading context.Context, d Dependencies) {
	failed := func(err error) { g.logger.Warn("store call failed", "error", err) }
	secret, err := roster.Secret(ctx, d.StaleStore, d.Store, failed)
	if err != nil {
		return
	}
	node, err := g.openNode(secret)
	if err != nil {
		g.logger.Error("internal protocol node not started", "error", err)
		return
	}
	defer node.Close()
	fingerprinter, err := quarantine.NewFingerprinter(secret)
	if err != nil {
		g.logger.Error("requests that crash servers won't be recognised", "error", err)
	}
	g.handler.fingerprinter.Store(fingerprinter)
	self := g.config.Host.ID
	f := newFollower(self, g.config.Host.FailureDomain, node, g.control, g.storeWatcher, g.logger)
	g.decider.grantLoad = func(host, internalAddress, model string) {
		g.wait.Go(func() { f.agentConnections.grantLoad(ctx, host, internalAddress, model) })
	}
	election := &leadership{self: self, store: d.Store, control: g.control, logger: g.logger, decider: g.decider}
	g.handler.node.Store(node)
	var wait sync.WaitGroup
	defer wait.Wait()
	wait.Go(func() { f.run(ctx) })
	wait.Go(func() { g.handler.quarantine.learnBlocks(ctx, node) })
	host := roster.Host{
		ID:              self,
		Role:            keys.RoleEntry,
		InternalAddress: g.config.Listen.Internal,
		FailureDomain:   g.config.Host.FailureDomain,
		CPUShare:        g.config.ProcessorShare,
	}
	if _, err := roster.Register(ctx, d.Store, host, failed); err != nil {
		return
	}
	g.logger.Info("host registered in the store")
	keeper := &registrationKeeper{store: d.Store, secret: secret, host: host, control: g.control, logger: g.logger}
	wait.Go(func() { keeper.run(leading) })
	election.run(leading)
}

func (g *Gateway) openNode(secret []byte) (*wire.Node, error) {
	ephemeral, err := keys.NewEphemeralCredentials(secret, g.config.Host.ID, keys.RoleEntry, time.Now())
	if err != nil {
		return nil, err
	}
	return wire.NewNode(wire.NodeConfig{
		Address:   g.config.Listen.Internal,
		ServerTLS: ephemeral.ServerConfig(keys.RoleAgent, keys.RoleEntry),
		ClientTLS: ephemeral.ClientConfig(keys.RoleAgent, keys.RoleEntry),
		Identify:  keys.Identify,
		Handler:   &peerServer{relay: &relayServer{control: g.control}, limiter: g.handler.limiters.server, quarantine: g.handler.quarantine, quotas: g.handler.quotas.server, logger: g.logger},
		ResetKey:  ephemeral.ResetKey(),
		Logger:    g.logger,
	})
}

func (g *Gateway) listen(ctx context.Context, readinessPath string) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+readinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	readiness, err := listenTCP(g.config.Listen.Readiness)
	if err != nil {
		return err
	}
	limitedReadiness := callerlimits.NewInternalListener(readiness, g.observer.limitExceeded)
	g.wait.Go(func() { limitedReadiness.Sweep(ctx) })
	g.readinessServer = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, ConnState: limitedReadiness.StateChanged}
	g.serve(g.readinessServer, limitedReadiness)
	callers, err := listenTCP(g.config.Listen.Callers)
	if err != nil {
		return err
	}
	g.serveCallers(g.limitCallers(ctx, callers))
	return nil
}

// serveCallers serves the callers that a listener accepts.
func (g *Gateway) serveCallers(limited *callerlimits.Listener) {
	g.callerServer = newCallerServer(g.handler, &g.callerConnections, g.logger)
	// The ends of responses are recorded before their connections count as closed.
	g.callerServer.ConnState = connStates(limited.StateChanged, g.callerConnections.StateChanged)
	var requests context.Context
	requests, g.endRequests = context.WithCancelCause(context.Background())
	g.callerServer.BaseContext = func(net.Listener) context.Context { return requests }
	g.serve(g.callerServer, g.callerConnections.Listener(limited))
}

// newCallerServer returns the HTTP server for callers, which is to serve a listener of
// connections.
func newCallerServer(h *handler, connections *httpdrain.Connections, logger *slog.Logger) *http.Server {
	return &http.Server{
		Handler:           h,
		ConnContext:       withCallerConnection,
		ConnState:         connections.StateChanged,
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          slog.NewLogLogger(logger.Handler(), slog.LevelDebug),
	}
}

func listenTCP(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return listener, nil
}

// serve serves a listener until the server or the listener is closed.
func (g *Gateway) serve(server *http.Server, listener net.Listener) {
	g.wait.Go(func() {
		err := server.Serve(listener)
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			g.logger.Error("HTTP server failed", "address", listener.Addr().String(), "error", err)
		}
	})
}
