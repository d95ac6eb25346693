package backendserver

import (
	"context"
	"net/http"
	"time"

	"teaselgauge.example/teaselgauge/testkit/standin/httpapi"
)

const (
	// RegistrationPath is the path at which a server returns its Registration.
	RegistrationPath = "/standin/registration"
	// ReleasePath is the prefix of the paths at which the stalled responses to a request
	// are released.
	ReleasePath = "/standin/release/"
	// ArrivalMark and CrashMark precede the records of requests that a process has
	// received and of its end in its log.
	ArrivalMark = "arrival "
	CrashMark   = "crash "
)

// lastResponsesDelay is the time between the end of listening and the release of stalled
// responses at a shutdown.
const lastResponsesDelay = 300 * time.Millisecond

// Registration is a server's entry in the store.
type Registration struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// addControlRoutes adds the paths for a test that doesn't share the server's process.
func (s *Server) addControlRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET "+RegistrationPath, func(w http.ResponseWriter, _ *http.Request) {
		httpapi.WriteJSON(w, http.StatusOK, s.Registration())
	})
	mux.HandleFunc("POST "+ReleasePath+"{id}", func(_ http.ResponseWriter, r *http.Request) {
		s.Release(r.PathValue("id"))
	})
}

// Shutdown announces that the server is leaving, stops listening, completes all
// responses, also stalled ones, and then closes their connections in order.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Leave()
	release := time.AfterFunc(lastResponsesDelay, func() { close(s.stopped) })
	defer release.Stop()
	s.mu.Lock()
	running := s.http
	s.mu.Unlock()
	return running.Shutdown(ctx)
}
