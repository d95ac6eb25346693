package agent

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

// answer collects what the backend server says to one request. It outlives the
// stream that asked for it, so that a cut link can be resumed.
type answer struct {
	id string

	mu      sync.Mutex
	head    *wire.Head
	data    []byte
	ended   bool
	refusal *wire.Refusal
	changed chan struct{}
}

func newAnswer(id string) *answer {
	return &answer{id: id, changed: make(chan struct{})}
}

// notify wakes the readers. The caller holds mu.
func (a *answer) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// start records the answer's head.
func (a *answer) start(statusCode int, contentType string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.head != nil || a.ended {
		return
	}
	a.head = &wire.Head{RequestID: a.id, StatusCode: statusCode, ContentType: contentType}
	a.notify()
}

// append adds bytes and tells whether the answer stays within its bound.
func (a *answer) append(data []byte) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended || len(a.data)+len(data) > wire.MaxResponseBytes {
		return false
	}
	a.data = append(a.data, data...)
	a.notify()
	return true
}

// size returns the number of bytes so far.
func (a *answer) size() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int64(len(a.data))
}

// finish marks the answer whole.
func (a *answer) finish() { a.end(nil) }

// refuse ends the answer with a refusal.
func (a *answer) refuse(refusal *wire.Refusal) { a.end(refusal) }

func (a *answer) end(refusal *wire.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	a.refusal = refusal
	a.notify()
}

// isNotRun tells whether the answer is a refusal of work that did not run.
func (a *answer) isNotRun() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.refusal != nil && a.refusal.Outcome == wire.OutcomeNotRun
}

// result returns what an ended answer holds.
func (a *answer) result() (head *wire.Head, data []byte, refusal *wire.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.head, a.data, a.refusal
}

// progress is what a reader at an offset finds.
type progress struct {
	head    *wire.Head
	data    []byte
	ended   bool
	refusal *wire.Refusal
	length  int64
	sum     uint64
}

// next waits until there is more than offset bytes, a head not yet seen, or the
// end.
func (a *answer) next(ctx context.Context, offset int64, headSeen bool) (progress, error) {
	for {
		a.mu.Lock()
		state := a.progressLocked(offset, headSeen)
		changed := a.changed
		a.mu.Unlock()
		if state.head != nil || len(state.data) > 0 || state.ended {
			return state, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return progress{}, ctx.Err()
		}
	}
}

func (a *answer) progressLocked(offset int64, headSeen bool) progress {
	var state progress
	if !headSeen {
		state.head = a.head
	}
	if offset < int64(len(a.data)) {
		end := min(int64(len(a.data)), offset+wire.MaxChunkBytes)
		state.data = a.data[offset:end:end]
	}
	if a.ended && offset+int64(len(state.data)) >= int64(len(a.data)) {
		state.ended = true
		state.refusal = a.refusal
		state.length = int64(len(a.data))
		if a.refusal == nil {
			state.sum = xxhash.Sum64(a.data)
		}
	}
	return state
}
