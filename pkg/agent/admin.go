package agent

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"teaselgauge.example/teaselgauge/pkg/state"
)

// adminHeaderTimeout bounds the time in which a client must send its headers.
const adminHeaderTimeout = 5 * time.Second

// listenAdmin serves health, metrics and the state dump.
func (a *Agent) listenAdmin() error {
	listener, err := net.Listen("tcp", a.config.Listen.Admin)
	if err != nil {
		return fmt.Errorf("listen on admin address: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", a.serveReady)
	mux.Handle("GET /metrics", a.registry.Handler())
	mux.Handle("GET "+state.Path, a.dump().Handler())
	a.admin = &http.Server{Handler: mux, ReadHeaderTimeout: adminHeaderTimeout}
	a.wait.Go(func() { _ = a.admin.Serve(listener) })
	return nil
}

// dump returns the registry of the state dump's sections.
func (a *Agent) dump() *state.Registry {
	dump := state.NewRegistry(state.Identity{
		Program: "teaselgauge-agent",
		Version: a.version,
		HostID:  a.config.Host.ID,
	}, nil)
	dump.Register("control", func() any {
		var part controllerDump
		a.controller.loop.Do(func() { part = a.controller.dump(time.Now()) })
		return part
	})
	return dump
}

func (a *Agent) serveReady(w http.ResponseWriter, _ *http.Request) {
	leaving := true
	a.controller.loop.Do(func() { leaving = a.controller.leaving })
	if leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
