package logging

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// slowWriter holds up its writer until it is released.
type slowWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *slowWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

func (w *slowWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.String()
}

func TestLinesArriveInOrder(t *testing.T) {
	w := &slowWriter{release: make(chan struct{})}
	close(w.release)
	async := NewAsyncWriter(w)
	var want strings.Builder
	for i := range 1000 {
		line := fmt.Sprintf("line %d\n", i)
		want.WriteString(line)
		if n, err := async.Write([]byte(line)); n != len(line) || err != nil {
			t.Fatalf("wrote %d, %v", n, err)
		}
	}
	async.Close()
	if got := w.text(); got != want.String() {
		t.Errorf("%d bytes arrived, want %d", len(got), want.Len())
	}
}

func TestStalledReaderHoldsUpNothing(t *testing.T) {
	w := &slowWriter{release: make(chan struct{})}
	async := NewAsyncWriter(w)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	started := time.Now()
	const lines = 10_000
	for range lines {
		_, _ = async.Write(line)
	}
	if took := time.Since(started); took > time.Second {
		t.Errorf("%d lines took %s", lines, took)
	}
	if async.Dropped() == 0 {
		t.Error("nothing was dropped although nobody reads")
	}
	started = time.Now()
	async.Close()
	if took := time.Since(started); took > 2*closeTimeout {
		t.Errorf("closing took %s", took)
	}
	close(w.release)
	<-async.ended
	text := w.text()
	if len(text) > 3*maxPendingBytes {
		t.Errorf("%d bytes were kept for a reader that doesn't read", len(text))
	}
	if !strings.Contains(text, "log lines dropped") {
		t.Error("nothing tells of the dropped lines")
	}
}

// BenchmarkStalledReader is the cost of a line that nobody reads.
func BenchmarkStalledReader(b *testing.B) {
	reader, writer := io.Pipe()
	defer reader.Close()
	async := NewAsyncWriter(writer)
	line := []byte(strings.Repeat("x", 300) + "\n")
	for b.Loop() {
		_, _ = async.Write(line)
	}
}
