package settings

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// report is one call of a watcher's callbacks.
type report struct {
	text string
	err  error
}

func startWatcher(t *testing.T) (path string, signals chan os.Signal, reports chan report) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "settings")
	write(t, path, "first")
	signals = make(chan os.Signal)
	reports = make(chan report, 10)
	watcher := &FileWatcher[string]{
		Path:    path,
		Content: []byte("first"),
		Load: func(path string) (string, error) {
			content, err := os.ReadFile(path)
			if err == nil && string(content) == "broken" {
				err = errors.New("broken")
			}
			return string(content), err
		},
		Signals:   signals,
		Changed:   func(text string) { reports <- report{text: text} },
		Unchanged: func() { reports <- report{text: "unchanged"} },
		Failed:    func(err error) { reports <- report{err: err} },
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		watcher.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return path, signals, reports
}

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestSignalReloadsSettings(t *testing.T) {
	path, signals, reports := startWatcher(t)
	signals <- syscall.SIGHUP
	if got := <-reports; got.text != "unchanged" {
		t.Errorf("reported %+v", got)
	}
	write(t, path, "second")
	signals <- syscall.SIGHUP
	if got := <-reports; got.text != "second" {
		t.Errorf("reported %+v", got)
	}
	write(t, path, "broken")
	signals <- syscall.SIGHUP
	if got := <-reports; got.err == nil {
		t.Errorf("reported %+v", got)
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	signals <- syscall.SIGHUP
	if got := <-reports; got.err == nil {
		t.Errorf("reported %+v", got)
	}
}

func TestChangeWithoutASignalIsDetected(t *testing.T) {
	path, _, reports := startWatcher(t)
	write(t, path, "second")
	select {
	case got := <-reports:
		if got.text != "second" {
			t.Errorf("reported %+v", got)
		}
	case <-time.After(3 * pollInterval):
		t.Error("the change was not detected")
	}
}
