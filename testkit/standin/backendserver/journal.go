package backendserver

import (
	"maps"
	"time"
)

// Run is one arrival of a request at the server.
type Run struct {
	ID       string
	Method   string
	Path     string
	Body     string
	Model    string
	Priority string
	// Budget is the time for the answer that came with it, in milliseconds.
	Budget string
	// LastEventID is the event after which a stream went on.
	LastEventID string
	// At is when it arrived.
	At time.Time
	// Ran tells that the server began to work on it, Ended that it finished and
	// Abandoned that its connection was closed before.
	Ran       bool
	Ended     bool
	Abandoned bool
}

// Violations count what a correct system never does.
type Violations struct {
	// Overcommits are loads beyond the memory or the places for adapters.
	Overcommits int
	// StaleOrders are orders with a lower fencing token than one before.
	StaleOrders int
	// WrongInstance are requests for another incarnation.
	WrongInstance int
}

// Journal is what the server was sent and did.
type Journal struct {
	Runs       map[string][]Run
	Violations Violations
	// Loads counts the loads by model, StoreLoads those from the weight store.
	Loads      map[string]int
	StoreLoads int
	Unloads    int
}

func newJournal() Journal {
	return Journal{Runs: map[string][]Run{}, Loads: map[string]int{}}
}

// Journal returns a copy of what was noted so far.
func (s *Server) Journal() Journal {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := s.journal
	copied.Runs = make(map[string][]Run, len(s.journal.Runs))
	for id, runs := range s.journal.Runs {
		copied.Runs[id] = append([]Run(nil), runs...)
	}
	copied.Loads = maps.Clone(s.journal.Loads)
	return copied
}

// note adds an arrival and returns how to change it.
func (s *Server) note(run Run) func(change func(*Run)) {
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
