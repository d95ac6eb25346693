// Package hostlist is a stand-in for the platform's list of hosts, in which a
// change becomes visible only after a lag.
package hostlist

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/pkg/hostlist"
	"teaselgauge.example/teaselgauge/testkit/standin/httpapi"
)

// version is the content of the list from a point in time on.
type version struct {
	effectiveFrom time.Time
	hosts         []hostlist.Host
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	lag time.Duration
	mux *http.ServeMux

	mu sync.Mutex
	// versions holds the active list, followed by the pending ones in order.
	versions []version
	reads    int64
}

// Counters counts the reads.
type Counters struct {
	Reads int64 `json:"reads"`
}

// New returns an empty list whose changes become visible after the lag.
func New(lag time.Duration) *Server {
	s := &Server{lag: lag, mux: http.NewServeMux(), versions: []version{{hosts: []hostlist.Host{}}}}
	s.mux.HandleFunc("GET /hosts", s.handleGet)
	s.mux.HandleFunc("PUT /hosts", s.handlePut)
	s.mux.HandleFunc("GET /counters", s.handleCounters)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Set replaces the list after the lag. The first list is active immediately.
func (s *Server) Set(hosts []hostlist.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := time.Now().Add(s.lag)
	if len(s.versions) == 1 && len(s.versions[0].hosts) == 0 {
		from = time.Time{}
	}
	s.versions = append(s.versions, version{effectiveFrom: from, hosts: hosts})
}

// Hosts returns the active list.
func (s *Server) Hosts() []hostlist.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for len(s.versions) > 1 && !s.versions[1].effectiveFrom.After(now) {
		s.versions = s.versions[1:]
	}
	return s.versions[0].hosts
}

func (s *Server) handleGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	hosts := s.Hosts()
	tag := entityTag(hosts)
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	httpapi.WriteJSON(w, http.StatusOK, hosts)
}

// entityTag returns an ETag that is derived from the content of the list.
func entityTag(hosts []hostlist.Host) string {
	digest := fnv.New64a()
	_ = json.NewEncoder(digest).Encode(hosts)
	return fmt.Sprintf("%q", strconv.FormatUint(digest.Sum64(), 16))
}

func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	hosts := []hostlist.Host{}
	if !httpapi.ReadJSON(w, r, &hosts) {
		return
	}
	s.Set(hosts)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleCounters(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	httpapi.WriteJSON(w, http.StatusOK, Counters{Reads: s.reads})
}
