package agent

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

// responseBuffer collects the backend server's response to one request. It
// outlives the stream that requested it, so that a broken stream can be resumed.
type responseBuffer struct {
	id string

	mu      sync.Mutex
	head    *wire.Head
	data    []byte
	ended   bool
	refusal *wire.Refusal
	changed chan struct{}
}

func newResponseBuffer(id string) *responseBuffer {
	return &responseBuffer{id: id, changed: make(chan struct{})}
}

// notify wakes the waiting readers. The caller holds mu.
func (a *responseBuffer) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// start records the response's status code and content type.
func (a *responseBuffer) start(statusCode int, contentType string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.head != nil || a.ended {
		return
	}
	a.head = &wire.Head{RequestID: a.id, StatusCode: statusCode, ContentType: contentType}
	a.notify()
}

// append adds bytes and reports whether the response stays within its size limit.
func (a *responseBuffer) append(data []byte) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended || len(a.data)+len(data) > wire.MaxResponseBytes {
		return false
	}
	a.data = append(a.data, data...)
	a.notify()
	return true
}

// size returns the number of bytes received so far.
func (a *responseBuffer) size() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int64(len(a.data))
}

// finish marks the response as complete.
func (a *responseBuffer) finish() { a.complete(nil) }

// refuse ends the response with a refusal.
func (a *responseBuffer) refuse(refusal *wire.Refusal) { a.complete(refusal) }

func (a *responseBuffer) complete(refusal *wire.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	a.refusal = refusal
	a.notify()
}

// isRefusedNotRun reports whether the response is a refusal of a request that
// did not run.
func (a *responseBuffer) isRefusedNotRun() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.refusal != nil && a.refusal.Outcome == wire.OutcomeNotRun
}

// result returns the content of an ended response.
func (a *responseBuffer) result() (head *wire.Head, data []byte, refusal *wire.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.head, a.data, a.refusal
}

// responseChunk is what follows an offset in the response.
type responseChunk struct {
	head    *wire.Head
	data    []byte
	ended   bool
	refusal *wire.Refusal
	length  int64
	sum     uint64
}

// next waits until there are bytes after offset, a head that the reader hasn't
// received, or the end of the response.
func (a *responseBuffer) next(ctx context.Context, offset int64, headSeen bool) (responseChunk, error) {
	for {
		a.mu.Lock()
		state := a.chunkLocked(offset, headSeen)
		changed := a.changed
		a.mu.Unlock()
		if state.head != nil || len(state.data) > 0 || state.ended {
			return state, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return responseChunk{}, ctx.Err()
		}
	}
}

func (a *responseBuffer) chunkLocked(offset int64, headSeen bool) responseChunk {
	var state responseChunk
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
