package agent

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// adminHeaderTimeout bounds how long a client may take to send its headers.
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
	a.admin = &http.Server{Handler: mux, ReadHeaderTimeout: adminHeaderTimeout}
	a.wait.Go(func() { _ = a.admin.Serve(listener) })
	return nil
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
