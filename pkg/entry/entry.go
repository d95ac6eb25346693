package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/pkg/adminapi"
	"teaselgauge.example/teaselgauge/pkg/callers"
	"teaselgauge.example/teaselgauge/pkg/hostlist"
	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/keyvalue"
	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/pkg/loading"
	"teaselgauge.example/teaselgauge/pkg/metrics"
	"teaselgauge.example/teaselgauge/pkg/routing"
	"teaselgauge.example/teaselgauge/pkg/settings"
	"teaselgauge.example/teaselgauge/pkg/state"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// drainDelay is how long a stopping entry keeps accepting requests after its
	// readiness has turned false, so that the load balancer stops sending first.
	drainDelay = 2 * time.Second
	// drainPoll is the interval at which a draining entry checks for running
	// requests.
	drainPoll = 20 * time.Millisecond
)

// Entry is the process on an entry host.
type Entry struct {
	config        settings.Entry
	version       string
	logger        *slog.Logger
	store         keyvalue.Store
	lister        hostlist.Lister
	control       *controlState
	lists         *lists.Store
	placementLoop *placementLoop
	node          *wire.Node
	registry      *metrics.Registry
	metrics       *metrics.Entry
	callers       *callers.Handler
	ready         readiness
	servers       []*httpServer
	wait          sync.WaitGroup
}

// Run serves until ctx ends and then drains: readiness turns false, and after
// drainDelay new requests are refused while those in flight complete.
func Run(ctx context.Context, config settings.Entry, version string, logger *slog.Logger) error {
	e := &Entry{config: config, version: version, logger: logger, registry: metrics.NewRegistry()}
	// Running requests continue while the process drains, after ctx has ended.
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer func() {
		stopWork()
		e.cleanUp()
		e.wait.Wait()
	}()
	if err := e.provision(); err != nil {
		return fmt.Errorf("entry %s: %w", config.Host.ID, err)
	}
	e.startBackgroundWork(workCtx)
	if err := e.listen(); err != nil {
		return fmt.Errorf("entry %s: %w", config.Host.ID, err)
	}
	logger.Info("serving", "callers", config.Listen.Callers,
		"admin", config.Listen.Admin, "inner", e.node.Address())
	<-ctx.Done()
	e.drain()
	return nil
}

// provision creates the clients and the node of the internal protocol.
func (e *Entry) provision() error {
	store, err := keyvalue.NewEtcd(e.config.KeyValue)
	if err != nil {
		return err
	}
	e.metrics = metrics.NewEntry(e.registry.Scope())
	e.store = keyvalue.WithPrefix(keyvalue.WithObserver(store, e.metrics.ObserveKeyValue), e.config.KeyValue.Prefix)
	e.lister = hostlist.New(e.config.HostList)
	e.lists = lists.NewStore(e.store, "")
	e.control = newControlState(loading.StoreLimits{
		StartsPerSecond: e.config.WeightStore.LoadsPerSecond,
		MaxConcurrent:   e.config.WeightStore.MaxConcurrentLoads,
	}, e.logger)
	e.placementLoop = newPlacementLoop(e.config.Host.ID, e.control, e.store, e.metrics, e.logger)
	e.control.listsChanged = e.placementLoop.trigger
	if err := e.createNode(); err != nil {
		return err
	}
	return e.createCallersHandler()
}

func (e *Entry) createNode() error {
	serverTLS, err := keys.ServerConfig(e.config.TLS, keys.RoleEntry, keys.RoleAgent)
	if err != nil {
		return err
	}
	clientTLS, err := keys.ClientConfig(e.config.TLS, keys.RoleEntry, keys.RoleAgent)
	if err != nil {
		return err
	}
	resetKey, err := keys.ResetKey(e.config.TLS)
	if err != nil {
		return err
	}
	handler := &server{control: e.control}
	e.node, err = wire.NewNode(wire.NodeConfig{
		ResetKey:  resetKey,
		Address:   e.config.Listen.Internal,
		ServerTLS: serverTLS,
		ClientTLS: clientTLS,
		Identify:  keys.Identify,
		Handler:   &wire.FrameHandler{Serve: handler.serve, Logger: e.logger},
		Logger:    e.logger,
	})
	return err
}

func (e *Entry) createCallersHandler() error {
	handler, err := callers.New(callers.Config{
		Resolver: &accessResolver{control: e.control},
		Dispatcher: &dispatcher{
			node:    e.node,
			control: e.control,
			budget:  routing.NewRetryBudget(),
			metrics: e.metrics,
		},
		Limits:  e.config.Limits,
		Metrics: e.metrics,
		Logger:  e.logger,
		Ready:   e.isReady,
	})
	e.callers = handler
	return err
}

// startBackgroundWork starts the background goroutines.
func (e *Entry) startBackgroundWork(ctx context.Context) {
	self := e.config.Host.ID
	syncer := &stateSyncer{
		self:    self,
		control: e.control,
		store:   e.store,
		lists:   e.lists,
		node:    e.node,
		metrics: e.metrics,
		logger:  e.logger,
		seed:    newSeed(),
	}
	probes := newProber(self, e.control, e.node)
	e.wait.Go(func() { e.control.loop.Run(ctx) })
	hosts := &hostPoller{
		lister:   e.lister,
		interval: time.Duration(e.config.HostList.PollMillis) * time.Millisecond,
		control:  e.control,
		syncer:   syncer,
		node:     e.node,
		metrics:  e.metrics,
		logger:   e.logger,

		ownership: newOwnership(self),
	}
	e.wait.Go(func() { hosts.run(ctx) })
	e.wait.Go(func() { syncer.run(ctx) })
	e.wait.Go(func() { probes.run(ctx) })
	e.wait.Go(func() { e.placementLoop.run(ctx) })
}

// listen opens the listeners for callers and administrators.
func (e *Entry) listen() error {
	if err := e.listenHTTP(e.config.Listen.Callers, e.callers); err != nil {
		return err
	}
	return e.listenHTTP(e.config.Listen.Admin, e.adminHandler())
}

func (e *Entry) listenHTTP(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	server := newHTTPServer(handler, e.ready.draining.Load)
	server.http.ErrorLog = slog.NewLogLogger(e.logger.Handler(), slog.LevelDebug)
	listener = server.listener(limitConnections(listener, e.config.Limits.MaxConnections))
	if e.config.CallersTLS != nil {
		callersTLS, err := keys.CallersConfig(*e.config.CallersTLS)
		if err != nil {
			_ = listener.Close()
			return fmt.Errorf("callers_tls: %w", err)
		}
		listener = tls.NewListener(listener, callersTLS)
	}
	e.servers = append(e.servers, server)
	e.wait.Go(func() {
		err := server.http.Serve(listener)
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			e.logger.Error("HTTP server failed", "address", address, "error", err)
		}
	})
	return nil
}

func (e *Entry) adminHandler() http.Handler {
	dump := state.NewRegistry(state.Identity{
		Program: "teaselgauge-entry",
		Version: e.version,
		HostID:  e.config.Host.ID,
	}, nil)
	e.registerDump(dump)
	api := adminapi.New(adminapi.Config{
		Credentials: e.config.Admin,
		Lists:       e.lists,
		Status:      &statusSource{self: e.config.Host.ID, control: e.control, callers: e.callers},
		Dump:        func() any { return dump.Dump() },
		Logger:      e.logger,
	})
	mux := http.NewServeMux()
	mux.Handle("/", api)
	mux.Handle("GET /metrics", e.registry.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !e.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// drain stops accepting requests and waits for those in flight.
func (e *Entry) drain() {
	e.logger.Info("draining", "in_flight", e.callers.InFlight())
	e.ready.startDraining()
	time.Sleep(drainDelay)
	e.callers.StartDraining()
	deadline := time.Now().Add(time.Duration(e.config.Limits.DrainMillis) * time.Millisecond)
	for e.callers.InFlight() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPoll)
	}
	e.logger.Info("stopped", "in_flight", e.callers.InFlight())
}

func (e *Entry) cleanUp() {
	var stopped sync.WaitGroup
	for _, server := range e.servers {
		stopped.Go(server.stop)
	}
	stopped.Wait()
	if e.node != nil {
		e.node.Close()
	}
	_ = e.registry.Close()
}
