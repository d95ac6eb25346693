package modelengine

import (
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
)

// Event is the kind of a journal entry.
type Event string

// The events of a journal.
const (
	EventLoadOrdered   Event = "load-ordered"
	EventLoaded        Event = "loaded"
	EventLoadFailed    Event = "load-failed"
	EventUnloadOrdered Event = "unload-ordered"
	EventUnloaded      Event = "unloaded"
	EventRole          Event = "role"
	EventRefused       Event = "refused"
	EventRunStarted    Event = "run-started"
	EventRunEnded      Event = "run-ended"
	EventRunCancelled  Event = "run-cancelled"
	EventResumed       Event = "resumed"
)

// Entry is one event.
type Entry struct {
	// Sequence numbers the entries, starting from 1.
	Sequence   int           `json:"sequence"`
	AtUnixNano int64         `json:"at_unix_nano"`
	Event      Event         `json:"event"`
	OrderID    string        `json:"order_id,omitempty"`
	RequestID  string        `json:"request_id,omitempty"`
	Fence      int64         `json:"fence,omitempty"`
	Target     engine.Target `json:"target"`
	MemoryMiB  int64         `json:"memory_mib,omitempty"`
	// UsedMiB is the memory in use after the event.
	UsedMiB int64  `json:"used_mib"`
	Detail  string `json:"detail,omitempty"`
}

// Violations counts what a correct agent never causes.
type Violations struct {
	// Overcommits counts refused loads beyond the memory.
	Overcommits int `json:"overcommits"`
	// StaleOrders counts orders with a stale fencing token that were carried out
	// because the engine doesn't check fencing tokens.
	StaleOrders int `json:"stale_orders"`
	// RepeatedLoads counts load orders for targets that are resident already.
	RepeatedLoads int `json:"repeated_loads"`
	// RunsNotLoaded counts requests for targets that aren't loaded.
	RunsNotLoaded int `json:"runs_not_loaded"`
}

// Journal records what the engine received and did.
type Journal struct {
	Violations Violations `json:"violations"`
	Entries    []Entry    `json:"entries"`
}

type journal struct {
	mu         sync.Mutex
	violations Violations
	entries    []Entry
}

func (j *journal) add(entry Entry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	entry.Sequence = len(j.entries) + 1
	entry.AtUnixNano = time.Now().UnixNano()
	j.entries = append(j.entries, entry)
}

func (j *journal) countViolation(counter *int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	*counter++
}

// read returns the entries after a sequence number.
func (j *journal) read(after int) Journal {
	j.mu.Lock()
	defer j.mu.Unlock()
	after = min(max(after, 0), len(j.entries))
	return Journal{Violations: j.violations, Entries: append([]Entry{}, j.entries[after:]...)}
}
