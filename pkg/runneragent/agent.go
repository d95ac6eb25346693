package runneragent

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backoff"
	"teaselgauge.example/teaselgauge/pkg/callerlimits"
	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/keyvalue"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/modelrunner"
	"teaselgauge.example/teaselgauge/pkg/residency"
	"teaselgauge.example/teaselgauge/pkg/roster"
	"teaselgauge.example/teaselgauge/pkg/settings"
	"teaselgauge.example/teaselgauge/pkg/telemetry"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// tickInterval is the time between two checks for expired lease requests.
const tickInterval = 50 * time.Millisecond

// gaugeInterval is the time between two updates of the gauges.
const gaugeInterval = time.Second

// Dependencies are the platform clients that an agent uses.
type Dependencies struct {
	Store keyvalue.Store
	// StaleStore is the same store with reads that may be seconds out of date.
	StaleStore keyvalue.Store
	Runner     modelrunner.Runner
	// Telemetry serves Metrics and the state dump.
	Telemetry *telemetry.Telemetry
	Metrics   *metrics.Runner
}

// agent is the state of the process.
type agent struct {
	config       settings.Runner
	dependencies Dependencies
	logger       *slog.Logger
	controller   *controller
	wait         sync.WaitGroup
}

// Run serves until ctx ends. A stopping agent drains nothing: the requests run at
// the runner and continue without it.
func Run(ctx context.Context, config settings.Runner, dependencies Dependencies, logger *slog.Logger) error {
	if config.Limits.MemoryMB > 0 {
		limits, err := callerlimits.ProcessResources(config.Limits.MemoryMB, config.Limits.MaxDescriptors)
		if err != nil {
			return fmt.Errorf("agent %s: %w", config.Host.ID, err)
		}
		debug.SetMemoryLimit(limits.HeapLimit())
	}
	if err := dependencies.Telemetry.Listen(config.Listen.Metrics, logger); err != nil {
		return fmt.Errorf("agent %s: %w", config.Host.ID, err)
	}
	a := &agent{config: config, dependencies: dependencies, logger: logger}
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer func() {
		stopWork()
		a.wait.Wait()
	}()
	a.start(workCtx)
	node, err := a.join(ctx)
	if err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return fmt.Errorf("agent %s: %w", config.Host.ID, err)
	}
	defer node.Close()
	logger.Info("serving", "inner", node.Address(), "runner", config.Runner)
	<-ctx.Done()
	logger.Info("stopped")
	return nil
}

// start starts the background tasks.
func (a *agent) start(ctx context.Context) {
	const notRegistered = 0
	manager := residency.NewManager(a.config.Host.ID, notRegistered)
	a.controller = newController(manager, a.dependencies.Metrics, a.logger)
	a.dependencies.Telemetry.Register(DumpName, a.controller.dump)
	a.controller.worker = newWorker(a.dependencies.Runner, a.controller, a.logger)
	a.wait.Go(func() { a.controller.loop.Run(ctx) })
	a.wait.Go(func() { a.controller.worker.run(ctx) })
	a.wait.Go(func() { a.tick(ctx) })
	a.wait.Go(func() { telemetry.RunPeriodically(ctx, gaugeInterval, a.controller.updateGauges) })
}

// join derives the process's keys from the site's secret, listens, and registers
// the host. The revision of the registration is the fencing token of this
// incarnation.
func (a *agent) join(ctx context.Context) (*wire.Node, error) {
	failed := func(err error) { a.logger.Warn("store call failed", "error", err) }
	secret, err := roster.Secret(ctx, a.dependencies.StaleStore, a.dependencies.Store, failed)
	if err != nil {
		return nil, err
	}
	ephemeral, err := keys.NewEphemeralCredentials(secret, a.config.Host.ID, keys.RoleAgent, time.Now())
	if err != nil {
		return nil, err
	}
	handler := &server{controller: a.controller}
	node, err := wire.NewNode(wire.NodeConfig{
		Address:   a.config.Listen.Internal,
		ServerTLS: ephemeral.ServerConfig(keys.RoleEntry),
		ClientTLS: ephemeral.ClientConfig(keys.RoleEntry),
		Identify:  keys.Identify,
		Handler:   &wire.FrameHandler{Serve: handler.serve, Logger: a.logger},
		ResetKey:  ephemeral.ResetKey(),
		Logger:    a.logger,
	})
	if err != nil {
		return nil, err
	}
	host := roster.Host{
		ID:              a.config.Host.ID,
		Role:            keys.RoleAgent,
		InternalAddress: a.config.Listen.Internal,
		FailureDomain:   a.config.Host.FailureDomain,
		Runner:          a.config.Runner,
	}
	fence, err := roster.Register(ctx, a.dependencies.Store, host, failed)
	if err != nil {
		node.Close()
		return nil, err
	}
	a.controller.loop.Do(func() { a.controller.setFence(time.Now(), fence) })
	a.logger.Info("host registered in the store", "fence", fence)
	keeper := &registrationKeeper{store: a.dependencies.Store, secret: secret, host: host, controller: a.controller, logger: a.logger}
	a.wait.Go(func() { keeper.run(ctx) })
	return node, nil
}

// tick runs the manager's timeouts until ctx ends.
func (a *agent) tick(ctx context.Context) {
	for ctx.Err() == nil {
		backoff.Sleep(ctx, tickInterval)
		a.controller.loop.Do(func() {
			a.controller.updateDetectors(time.Now())
			a.controller.perform(a.controller.manager.Tick(time.Now()))
		})
	}
}
