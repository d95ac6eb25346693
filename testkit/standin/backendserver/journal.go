package backendserver

import (
	"maps"
	"slices"
	"time"
)

// Run is one request that the server received.
type Run struct {
	ID       string
	Method   string
	Path     string
	Body     string
	Model    string
	Priority string
	// Budget is the deadline header of the request, in milliseconds.
	Budget string
	// LastEventID is the event after which the caller resumes a stream.
	LastEventID string
	// Keys are the values of the key header, which no server may receive; Organisation is
	// that of the caller.
	Keys         []string
	Organisation string
	// Prompt lists the parts of the prompt.
	Prompt string
	// At is the time of arrival.
	At time.Time
	// Ran is set once the server starts to process the request, Ended when it
	// completes, and Abandoned if its connection is closed before.
	Ran bool
	// Early is set if the server ran the request before it had read its body.
	Early     bool
	Ended     bool
	Abandoned bool
}

// Violations counts what a correct system never causes.
type Violations struct {
	// Overcommits are loads beyond the memory or the adapter slots.
	Overcommits int
	// StaleOrders are orders with a lower fencing token than an earlier one.
	StaleOrders int
	// WrongInstance are requests that expect another incarnation.
	WrongInstance int
}

// Journal records what the server received and did.
type Journal struct {
	Runs       map[string][]Run
	Violations Violations
	// Loads counts the loads by model, StoreLoads those from the weight store.
	Loads      map[string]int
	StoreLoads int
	Unloads    int
	// Crashes are the times of the crashes.
	Crashes []time.Time
}

func newJournal() Journal {
	return Journal{Runs: map[string][]Run{}, Loads: map[string]int{}}
}

// Journal returns a copy of the records so far.
func (s *Server) Journal() Journal {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := s.journal
	copied.Runs = make(map[string][]Run, len(s.journal.Runs))
	for id, runs := range s.journal.Runs {
		copied.Runs[id] = append([]Run(nil), runs...)
	}
	copied.Loads = maps.Clone(s.journal.Loads)
	copied.Crashes = slices.Clone(s.journal.Crashes)
	return copied
}

// recordRun adds a request and returns a function that changes its record.
func (s *Server) recordRun(run Run) func(change func(*Run)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := len(s.journal.Runs[run.ID])
	s.journal.Runs[run.ID] = append(s.journal.Runs[run.ID], run)
	return func(change func(*Run)) {
		s.mu.Lock()
		defer s.mu.Unlock()
		change(&s.journal.Runs[run.ID][at])
	}
}
