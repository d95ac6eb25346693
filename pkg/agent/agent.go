package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"teaselgauge.example/teaselgauge/pkg/backoff"
	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/hostlist"
	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/keyvalue"
	"teaselgauge.example/teaselgauge/pkg/loading"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/settings"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	// engineRetryInterval is the delay between attempts to read the engine's state
	// at startup.
	engineRetryInterval = 500 * time.Millisecond
	// stateTimeout bounds one read of the engine's state.
	stateTimeout = 5 * time.Second
	// drainPoll is the interval at which a draining agent checks for running
	// requests.
	drainPoll = 20 * time.Millisecond
	// drainLinger is how long a drained agent keeps running, so that the last
	// frames reach the entries.
	drainLinger = 200 * time.Millisecond
)

var errUnexpectedResponse = errors.New("response of the entry holds no update")

// Agent is one incarnation of the agent process.
type Agent struct {
	config       settings.Agent
	version      string
	logger       *slog.Logger
	incarnation  string
	store        keyvalue.Store
	lister       hostlist.Lister
	controller   *controller
	node         *wire.Node
	directory    *entryDirectory
	coordinator  *coordinatorClient
	registry     *metrics.Registry
	metrics      *metrics.Agent
	instanceLock net.Listener
	admin        *http.Server
	wait         sync.WaitGroup
}

// Run serves until ctx ends and then drains: it refuses new requests and returns
// when the running ones have ended or the drain timeout has passed.
func Run(ctx context.Context, config settings.Agent, version string, logger *slog.Logger) error {
	a := &Agent{
		config:      config,
		version:     version,
		logger:      logger,
		incarnation: uuid.NewString(),
		registry:    metrics.NewRegistry(),
	}
	if err := a.provision(ctx); err != nil {
		a.cleanUp()
		return fmt.Errorf("agent %s: %w", config.Host.ID, err)
	}
	return a.serve(ctx)
}

// provision acquires the instance lock address and creates the clients.
func (a *Agent) provision(ctx context.Context) error {
	instanceLock, err := acquireInstanceLock(ctx, a.config.Listen.InstanceLock, a.logger)
	if err != nil {
		return err
	}
	a.instanceLock = instanceLock
	store, err := keyvalue.NewEtcd(a.config.KeyValue)
	if err != nil {
		return err
	}
	a.metrics = metrics.NewAgent(a.registry.Scope())
	a.store = keyvalue.WithPrefix(keyvalue.WithObserver(store, a.metrics.ObserveKeyValue), a.config.KeyValue.Prefix)
	a.lister = hostlist.New(a.config.HostList)
	a.directory = &entryDirectory{
		host:   a.config.Host,
		lister: a.lister,
		logger: a.logger,
		seed:   rand.Uint64(),

		runnersChanged: func(int) {},
		refreshNow:     make(chan struct{}, 1),
	}
	return nil
}

func (a *Agent) cleanUp() {
	if a.node != nil {
		a.node.Close()
	}
	if a.admin != nil {
		_ = a.admin.Close()
	}
	if a.instanceLock != nil {
		_ = a.instanceLock.Close()
	}
	_ = a.registry.Close()
}

func (a *Agent) serve(ctx context.Context) error {
	// Running requests continue while the process drains, after ctx has ended.
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer func() {
		stopWork()
		a.cleanUp()
		a.wait.Wait()
	}()
	a.controller = newController(workCtx, a.config, a.incarnation, a.metrics, a.logger)
	a.coordinator = &coordinatorClient{ctx: workCtx, loop: a.controller.loop, directory: a.directory}
	a.wait.Go(func() { a.controller.loop.Run(workCtx) })
	if err := a.openBackend(ctx, workCtx); err != nil {
		return err
	}
	if err := a.listen(); err != nil {
		return err
	}
	a.wait.Go(func() { a.tick(workCtx) })
	a.logger.Info("serving", "incarnation", a.incarnation, "inner", a.node.Address())
	<-ctx.Done()
	a.drain()
	return nil
}

// openBackend connects the controller to the model engine or the plain service.
func (a *Agent) openBackend(ctx, workCtx context.Context) error {
	if a.config.Backend.Kind == settings.BackendService {
		a.openService(workCtx)
		return nil
	}
	return a.openEngine(ctx, workCtx)
}

func (a *Agent) openService(workCtx context.Context) {
	c := a.controller
	runner := &requestRunner{controller: c, service: engine.NewHTTPService(a.config.Backend.URL)}
	c.start = func(rs *requestState) { go runner.run(rs) }
	c.idempotent = newIdempotentCalls(c, a.store)
	a.wait.Go(func() { c.idempotent.writeRecords(workCtx) })
}

func (a *Agent) openEngine(ctx, workCtx context.Context) error {
	c := a.controller
	client := engine.NewHTTPEngine(a.config.Backend.URL)
	runner := &requestRunner{controller: c, engine: client}
	c.start = func(rs *requestState) { go runner.run(rs) }
	claimer := &engineClaimer{engine: client, checksFences: a.config.Backend.ChecksFences, incarnation: a.incarnation, logger: a.logger}
	claimed, err := claimer.claim(ctx)
	if err != nil {
		return err
	}
	executor := &engineExecutor{
		ctx:         workCtx,
		loop:        c.loop,
		engine:      client,
		store:       a.store,
		incarnation: a.incarnation,
		fence:       claimed.fence,
	}
	c.loop.Do(func() {
		c.models = newModelTable(c, claimed.state.MemoryMiB, executor)
		c.models.enablePacing(loading.StoreLimits{
			StartsPerSecond: a.config.WeightStore.LoadsPerSecond,
			MaxConcurrent:   a.config.WeightStore.MaxConcurrentLoads,
		}, a.coordinator.sendRequest)
		executor.table = c.models
		c.models.initialize(time.Now(), claimed.state)
	})
	a.directory.runnersChanged = func(runners int) {
		c.loop.Post(func() { c.models.setRunnerCount(runners) })
	}
	a.wait.Go(func() { a.reconcile(workCtx, client) })
	return nil
}

// reconcile periodically compares the agent's state with the engine's.
func (a *Agent) reconcile(ctx context.Context, client engine.Engine) {
	for ctx.Err() == nil {
		backoff.Sleep(ctx, reconcileInterval)
		readAt := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, stateTimeout)
		state, err := client.State(callCtx)
		cancel()
		if err != nil {
			a.logger.Warn("engine state read failed", "error", err)
			continue
		}
		a.controller.loop.Do(func() { a.controller.models.reconcile(time.Now(), readAt, state) })
	}
}

func (a *Agent) listen() error {
	serverTLS, err := keys.ServerConfig(a.config.TLS, keys.RoleEntry)
	if err != nil {
		return err
	}
	clientTLS, err := keys.ClientConfig(a.config.TLS, keys.RoleEntry)
	if err != nil {
		return err
	}
	resetKey, err := keys.ResetKey(a.config.TLS)
	if err != nil {
		return err
	}
	handler := &server{controller: a.controller}
	a.node, err = wire.NewNode(wire.NodeConfig{
		ResetKey:  resetKey,
		Address:   a.config.Listen.Internal,
		ServerTLS: serverTLS,
		ClientTLS: clientTLS,
		Identify:  keys.Identify,
		Handler:   &wire.FrameHandler{Serve: handler.serve, Logger: a.logger},
		Logger:    a.logger,
	})
	if err != nil {
		return err
	}
	a.coordinator.node.Store(a.node)
	a.wait.Go(func() { a.directory.refresh(a.controller.ctx) })
	a.startPermitSync()
	return a.listenAdmin()
}

func (a *Agent) startPermitSync() {
	if a.controller.models == nil {
		return
	}
	syncer := &permitSyncer{
		loop:      a.controller.loop,
		table:     a.controller.models,
		store:     a.store,
		node:      a.node,
		directory: a.directory,
		logger:    a.logger,
		runner:    a.controller.runner,
	}
	ctx := a.controller.ctx
	a.wait.Go(func() {
		syncer.readUntilDone(ctx)
		syncer.follow(ctx)
	})
}

// tick processes deadlines and idle models, less often while the controller is
// quiescent.
func (a *Agent) tick(ctx context.Context) {
	for ctx.Err() == nil {
		quiescent := false
		a.controller.loop.Do(func() {
			a.controller.tick(a.controller.now())
			quiescent = a.controller.isQuiescent()
		})
		if quiescent {
			a.waitForRequest(ctx)
		}
		backoff.Sleep(ctx, tickInterval)
	}
}

// waitForRequest waits for quiescentTickInterval or until a request arrives.
func (a *Agent) waitForRequest(ctx context.Context) {
	timer := time.NewTimer(quiescentTickInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-a.controller.wakeup:
	}
}

// drain refuses new requests and waits for the running ones and their responses.
func (a *Agent) drain() {
	a.controller.loop.Do(func() { a.controller.leave("signal") })
	deadline := time.Now().Add(time.Duration(a.config.Limits.DrainMillis) * time.Millisecond)
	for time.Now().Before(deadline) {
		drained := false
		a.controller.loop.Do(func() { drained = a.controller.isDrained() })
		if drained {
			break
		}
		time.Sleep(drainPoll)
	}
	time.Sleep(drainLinger)
	a.logger.Info("stopped")
}
