package agent

import (
	"bytes"
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// responseBuffer collects the backend server's response to one request. It
// outlives the stream that requested it, so that a broken stream can be resumed.
type responseBuffer struct {
	id string

	mu   sync.Mutex
	head *wire.Head
	// length is the number of bytes that the backend server announced, or
	// engine.UnknownLength.
	length  int64
	data    []byte
	ended   bool
	refusal *wire.Refusal
	changed chan struct{}
}

func newResponseBuffer(id string) *responseBuffer {
	return &responseBuffer{id: id, changed: make(chan struct{})}
}

// notify wakes the waiting readers. The caller holds mu.
func (b *responseBuffer) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// start records the response's status code, content type and announced length. It
// returns false if the response has started with another status or type, which may
// have been forwarded already.
func (b *responseBuffer) start(statusCode int, contentType string, length int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	head := wire.Head{RequestID: b.id, StatusCode: statusCode, ContentType: contentType}
	if b.ended || (b.head != nil && *b.head != head) {
		return false
	}
	b.length = length
	if b.head == nil {
		b.head = &head
		b.notify()
	}
	return true
}

// isContinuedBy reports whether a resumed response is the rest of this one: it has
// the same type, together they have the announced length, and it repeats what came
// last.
func (b *responseBuffer) isContinuedBy(resumed engine.Response) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.head == nil || b.head.ContentType != resumed.ContentType {
		return false
	}
	announced := b.length != engine.UnknownLength && resumed.Length != engine.UnknownLength
	if announced && b.length != int64(len(b.data))+resumed.Length {
		return false
	}
	return bytes.HasSuffix(b.data, resumed.Overlap)
}

// append adds bytes and reports whether the response stays within its size limit.
func (b *responseBuffer) append(data []byte) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended || len(b.data)+len(data) > wire.MaxResponseBytes {
		return false
	}
	b.data = append(b.data, data...)
	b.notify()
	return true
}

// size returns the number of bytes received so far.
func (b *responseBuffer) size() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int64(len(b.data))
}

// finish marks the response as complete.
func (b *responseBuffer) finish() { b.complete(nil) }

// refuse ends the response with a refusal.
func (b *responseBuffer) refuse(refusal *wire.Refusal) { b.complete(refusal) }

func (b *responseBuffer) complete(refusal *wire.Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return
	}
	b.ended = true
	b.refusal = refusal
	b.notify()
}

// isRefusedNotRun reports whether the response is a refusal of a request that
// did not run.
func (b *responseBuffer) isRefusedNotRun() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refusal != nil && b.refusal.Outcome == wire.OutcomeNotRun
}

// result returns the content of an ended response.
func (b *responseBuffer) result() (head *wire.Head, data []byte, refusal *wire.Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.head, b.data, b.refusal
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
func (b *responseBuffer) next(ctx context.Context, offset int64, headSeen bool) (responseChunk, error) {
	for {
		part, changed := b.chunk(offset, headSeen)
		if part.head != nil || len(part.data) > 0 || part.ended {
			return part, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return responseChunk{}, ctx.Err()
		}
	}
}

// chunk returns what there is now, and a channel that is closed when there is more.
func (b *responseBuffer) chunk(offset int64, headSeen bool) (part responseChunk, changed <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !headSeen {
		part.head = b.head
	}
	if offset < int64(len(b.data)) {
		end := min(int64(len(b.data)), offset+wire.MaxChunkBytes)
		part.data = b.data[offset:end:end]
	}
	if b.ended && offset+int64(len(part.data)) >= int64(len(b.data)) {
		part.ended = true
		part.refusal = b.refusal
		part.length = int64(len(b.data))
		if b.refusal == nil {
			part.sum = xxhash.Sum64(b.data)
		}
	}
	return part, b.changed
}
