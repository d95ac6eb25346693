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

// slowWriter blocks its writes until release is closed.
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

func TestLinesAreWrittenInOrder(t *testing.T) {
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
		t.Errorf("%d bytes were written, want %d", len(got), want.Len())
	}
}

func TestStalledReaderDoesNotBlockWriters(t *testing.T) {
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
		t.Error("nothing was dropped although nothing is read")
	}
	started = time.Now()
	async.Close()
	if took := time.Since(started); took > 2*closeTimeout {
		t.Errorf("Close took %s", took)
	}
	close(w.release)
	<-async.ended
	text := w.text()
	if len(text) > 3*maxPendingBytes {
		t.Errorf("%d bytes were buffered for a stalled reader", len(text))
	}
	if !strings.Contains(text, "log lines dropped") {
		t.Error("no line reports the dropped lines")
	}
}

// BenchmarkStalledReader measures writing a line that is never read.
func BenchmarkStalledReader(b *testing.B) {
	reader, writer := io.Pipe()
	defer reader.Close()
	async := NewAsyncWriter(writer)
	line := []byte(strings.Repeat("x", 300) + "\n")
	for b.Loop() {
		_, _ = async.Write(line)
	}
}
