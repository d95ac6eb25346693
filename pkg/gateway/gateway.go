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
	"teaselgauge.example/teaselgauge/pkg/forward"
	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/keyvalue"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/roster"
	"teaselgauge.example/teaselgauge/pkg/settings"
	"teaselgauge.example/teaselgauge/pkg/telemetry"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// statusPause is the least time between two views of the agents' statuses.
	statusPause = 25 * time.Millisecond

	headerTimeout = 10 * time.Second
	// drainNotice is how long a stopping entry goes on taking new connections
	// after its readiness has turned false, so that the balancer turns away first.
	drainNotice = 2500 * time.Millisecond
	// drainMargin is kept free before the platform kills the process.
	drainMargin = 300 * time.Millisecond
	// unsentMargin is how long before its end a stopping entry refuses the
	// requests that still wait for a runner.
	unsentMargin = 1200 * time.Millisecond
)

// Dependencies are the clients of the platform that a gateway works with.
type Dependencies struct {
	Store keyvalue.LeaseStore
	// RegistrationStore is the same store with a shorter wait for news.
	RegistrationStore keyvalue.Store
	// SiteStore is the same store with a longer wait for news, for what the site's
	// own processes write.
	SiteStore keyvalue.Store
	// StaleStore is the same store with reads that may be seconds old.
	StaleStore  keyvalue.Store
	Codec       Codec
	HeaderCodec forward.HeaderCodec
	// ReadinessPath is where the balancer asks whether the entry is ready.
	ReadinessPath string
	// Telemetry serves Metrics and the state dump.
	Telemetry *telemetry.Telemetry
	Metrics   *metrics.Gateway
	// Updates brings changed settings.
	Updates <-chan settings.Gateway
}

// Gateway is the process.
type Gateway struct {
	config   settings.Gateway
	logger   *slog.Logger
	control  *control
	sources  *sources
	handler  *handler
	pool     *forward.Pool
	decider  *decider
	observer *observer
	stopped  atomic.Bool
	callers  *http.Server
	ready    *http.Server
	wait     sync.WaitGroup
}

// Run serves callers until ctx ends, then drains.
func Run(ctx context.Context, config settings.Gateway, dependencies Dependencies, logger *slog.Logger) error {
	g := &Gateway{config: config, logger: logger}
	g.provision(dependencies)
	if err := dependencies.Telemetry.Listen(config.Listen.Metrics, logger); err != nil {
		return fmt.Errorf("gateway %s: %w", config.Host.ID, err)
	}
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer func() {
		stopWork()
		g.wait.Wait()
	}()
	g.work(workCtx, ctx, dependencies)
	if err := g.listen(dependencies.ReadinessPath); err != nil {
		return fmt.Errorf("gateway %s: %w", config.Host.ID, err)
	}
	logger.Info("serving", "callers", config.Listen.Callers)
	g.takeUpdates(ctx, dependencies.Updates)
	g.drain()
	return nil
}

// takeUpdates applies changed settings until ctx ends. Addresses and the host's
// identity take effect at the next start.
func (g *Gateway) takeUpdates(ctx context.Context, updates <-chan settings.Gateway) {
	for {
		select {
		case <-ctx.Done():
			return
		case config := <-updates:
			restart := config.Host != g.config.Host || config.Listen != g.config.Listen || config.Store != g.config.Store
			g.config.DrainMillis = config.DrainMillis
			g.handler.budget.SetLimits(budgetLimits(config.Retries))
			g.decider.setLoadsAtOnce(config.WeightStore.LoadsAtOnce)
			g.logger.Info("settings applied", "needs_restart", restart)
		}
	}
}

func (g *Gateway) provision(d Dependencies) {
	g.observer = newObserver(g.logger, d.Metrics)
	g.control = newControl(g.logger)
	g.control.statuses.Pause = statusPause
	g.sources = newSources(d, g.control, g.logger)
	g.decider = &decider{store: d.Store, control: g.control, logger: g.logger}
	g.decider.setLoadsAtOnce(g.config.WeightStore.LoadsAtOnce)
	g.pool = forward.NewPool(d.HeaderCodec, g.observer.connected)
	g.handler = &handler{
		control:  g.control,
		dialect:  d.HeaderCodec,
		pool:     g.pool,
		tracker:  backends.NewTracker(),
		gate:     backpressure.NewGate(),
		budget:   attempt.NewBudget(time.Now(), budgetLimits(g.config.Retries), assumedEntries),
		domain:   g.config.Host.FailureDomain,
		observer: g.observer,
	}
	d.Telemetry.Register(DumpName, g.dump)
	g.handler.unsent, g.handler.giveUpUnsent = context.WithCancel(context.Background())
}

func budgetLimits(config settings.Retries) attempt.BudgetLimits {
	return attempt.BudgetLimits{
		Ratio:  config.Ratio,
		Slack:  config.Slack,
		Window: time.Duration(config.WindowSeconds * float64(time.Second)),
	}
}

// assumedEntries is the number of entries that share the retry budget before it
// is known.
const assumedEntries = 8

// work starts what runs until ctx ends. leading ends earlier, when the process is
// to stop.
func (g *Gateway) work(ctx, leading context.Context, d Dependencies) {
	g.wait.Go(func() { g.control.loop.Run(ctx) })
	g.wait.Go(func() { g.sources.followConfiguration(ctx) })
	g.wait.Go(func() { g.sources.followRegistrations(ctx) })
	g.wait.Go(func() { g.sources.followSite(ctx) })
	g.wait.Go(func() { g.sources.expireLapsed(ctx) })
	g.wait.Go(func() { g.pool.Run(ctx) })
	g.wait.Go(func() { g.keepUp(ctx) })
	g.wait.Go(func() { telemetry.RunPeriodically(ctx, showInterval, g.show) })
	g.wait.Go(func() { g.join(ctx, leading, d) })
}

// showInterval is the time between two updates of the gauges.
const showInterval = time.Second

// show updates the gauges and reports the log lines that were left out.
func (g *Gateway) show(now time.Time) {
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
	g.control.beliefs.show(now, g.observer.metrics)
	g.observer.reportSkipped()
}

// join derives the process's keys from the site's secret, registers the host and
// takes up the work with the agents. A stopping entry leaves the lead at once, so
// that another one decides meanwhile.
func (g *Gateway) join(ctx, leading context.Context, d Dependencies) {
	failed := func(err error) { g.logger.Warn("store lost", "error", err) }
	secret, err := roster.Secret(ctx, d.StaleStore, d.Store, failed)
	if err != nil {
		return
	}
	node, err := g.openNode(secret)
	if err != nil {
		g.logger.Error("inner protocol not available", "error", err)
		return
	}
	defer node.Close()
	self := g.config.Host.ID
	f := newFollowing(self, g.config.Host.FailureDomain, node, g.control, g.sources, g.logger)
	g.decider.startLoad = func(host, inner, model string) {
		g.wait.Go(func() { f.links.startLoad(ctx, host, inner, model) })
	}
	leads := &leadership{self: self, store: d.Store, control: g.control, logger: g.logger, decider: g.decider}
	g.handler.node.Store(node)
	var wait sync.WaitGroup
	defer wait.Wait()
	wait.Go(func() { f.run(ctx) })
	_, err = roster.Register(ctx, d.Store, roster.Host{
		ID:              self,
		Role:            keys.RoleEntry,
		InternalAddress: g.config.Listen.Internal,
		FailureDomain:   g.config.Host.FailureDomain,
		CPUShare:        g.config.ProcessorShare,
	}, failed)
	if err != nil {
		return
	}
	g.logger.Info("registered")
	leads.run(leading)
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
		Handler:   &relayServer{control: g.control},
		ResetKey:  ephemeral.ResetKey(),
		Logger:    g.logger,
	})
}

func (g *Gateway) listen(readinessPath string) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+readinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	g.ready = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	if err := g.serve(g.ready, g.config.Listen.Readiness); err != nil {
		return err
	}
	g.callers = &http.Server{
		Handler:           g.handler,
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          slog.NewLogLogger(g.logger.Handler(), slog.LevelDebug),
	}
	return g.serve(g.callers, g.config.Listen.Callers)
}

func (g *Gateway) serve(server *http.Server, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	g.wait.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			g.logger.Error("HTTP server ended", "address", address, "error", err)
		}
	})
	return nil
}

// isReady tells the balancer whether to send new connections here.
func (g *Gateway) isReady() bool {
	current := g.control.current()
	return !g.stopped.Load() && current.table != nil && len(current.servers) > 0
}

// drain lets the balancer turn away, then takes no new connections and waits for
// the requests in flight.
func (g *Gateway) drain() {
	started := time.Now()
	end := started.Add(time.Duration(g.config.DrainMillis)*time.Millisecond - drainMargin)
	g.logger.Info("draining", "in_flight", g.handler.inFlight.Load())
	g.stopped.Store(true)
	g.handler.closing.Store(true)
	giveUp := time.AfterFunc(time.Until(end)-unsentMargin, g.handler.giveUpUnsent)
	defer giveUp.Stop()
	time.Sleep(drainNotice)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := g.callers.Shutdown(ctx); err != nil {
		_ = g.callers.Close()
	}
	_ = g.ready.Close()
	g.logger.Info("stopped", "in_flight", g.handler.inFlight.Load())
}
