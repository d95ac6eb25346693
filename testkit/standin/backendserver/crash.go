package backendserver

import (
	"net"
	"net/http"
	"time"

	"teaselgauge.example/teaselgauge/testkit/standin/httpapi"
)

// crashes describes the requests that crash the server.
type crashes struct {
	// on reports whether a request crashes the server; nil if none does.
	on func(request *http.Request, body string) bool
	// downFor is the time until the server is back.
	downFor time.Duration
}

// CrashOn makes requests crash the server as soon as it begins a response to them. It
// is back after downFor, under the same ID and without what it had loaded.
func (s *Server) CrashOn(downFor time.Duration, on func(request *http.Request, body string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes = crashes{on: on, downFor: downFor}
}

// Crash resets all connections. The server is back after downFor.
func (s *Server) Crash(downFor time.Duration) {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		return
	}
	s.down = true
	s.journal.Crashes = append(s.journal.Crashes, time.Now())
	crashed := s.http
	s.mu.Unlock()
	_ = crashed.Close()
	time.AfterFunc(downFor, s.comeBack)
}

// comeBack starts the next incarnation after a crash.
func (s *Server) comeBack() {
	s.mu.Lock()
	select {
	case <-s.stopped:
		s.mu.Unlock()
		return
	default:
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		s.mu.Unlock()
		time.AfterFunc(listenRetryInterval, s.comeBack)
		return
	}
	s.startedAt = time.Now().UnixMilli()
	if s.engine != nil {
		s.engine.restart()
	}
	s.http = &http.Server{Handler: s.routes()}
	s.down = false
	next := s.http
	s.mu.Unlock()
	go func() { _ = next.Serve(listener) }()
	s.Register()
}

// listenRetryInterval is the time between attempts to listen on the address again.
const listenRetryInterval = 20 * time.Millisecond

// crashIfDeadly crashes the server if the request does. A stream has its header by
// then.
func (s *Server) crashIfDeadly(w http.ResponseWriter, r *http.Request, body string, isStream bool) {
	s.mu.Lock()
	what := s.crashes
	s.mu.Unlock()
	if what.on == nil || !what.on(r, body) {
		return
	}
	if isStream {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
	}
	s.Crash(what.downFor)
	httpapi.Abort()
}
