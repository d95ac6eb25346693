package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPendingBytes bounds the lines that wait for a slow reader.
	maxPendingBytes = 256 << 10
	// closeTimeout bounds the writing of what is left when a process ends.
	closeTimeout = 200 * time.Millisecond
)

// AsyncWriter passes lines on to a writer in the background, so that a reader who is
// slow or doesn't read holds up nothing. Lines beyond maxPendingBytes are dropped
// and counted in a line of their own. Use NewAsyncWriter.
type AsyncWriter struct {
	target io.Writer

	mu      sync.Mutex
	pending []byte
	dropped int
	closed  bool
	// wake holds a token while lines wait.
	wake  chan struct{}
	ended chan struct{}
}

// NewAsyncWriter returns a writer with a goroutine that ends with Close.
func NewAsyncWriter(target io.Writer) *AsyncWriter {
	a := &AsyncWriter{target: target, wake: make(chan struct{}, 1), ended: make(chan struct{})}
	go a.run()
	return a
}

// Write takes in one line. It never blocks and never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	a.mu.Lock()
	if a.closed || len(a.pending)+len(line) > maxPendingBytes {
		a.dropped++
	} else {
		a.pending = append(a.pending, line...)
	}
	a.mu.Unlock()
	a.signal()
	return len(line), nil
}

func (a *AsyncWriter) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Dropped returns the number of lines that were dropped and not reported yet.
func (a *AsyncWriter) Dropped() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.dropped
}

func (a *AsyncWriter) run() {
	defer close(a.ended)
	var batch []byte
	for range a.wake {
		var dropped int
		var closed bool
		a.mu.Lock()
		batch, a.pending = a.pending, batch[:0]
		dropped, a.dropped = a.dropped, 0
		closed = a.closed
		a.mu.Unlock()
		if dropped > 0 {
			batch = fmt.Appendf(batch, "time=%s level=WARN msg=\"log lines dropped\" count=%d\n",
				time.Now().Format(time.RFC3339Nano), dropped)
		}
		if len(batch) > 0 {
			// A log that can't be written has nowhere to be reported.
			_, _ = a.target.Write(batch)
		}
		if closed {
			return
		}
	}
}

// Close writes what is left and waits for it for a short time.
func (a *AsyncWriter) Close() {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	a.signal()
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-a.ended:
	case <-timer.C:
	}
}
