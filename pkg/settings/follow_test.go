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

// seen is what a follower reported.
type seen struct {
	text string
	err  error
}

func startFollower(t *testing.T) (path string, signals chan os.Signal, reports chan seen) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "settings")
	write(t, path, "first")
	signals = make(chan os.Signal)
	reports = make(chan seen, 10)
	follower := &Follower[string]{
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
		Changed:   func(text string) { reports <- seen{text: text} },
		Unchanged: func() { reports <- seen{text: "unchanged"} },
		Failed:    func(err error) { reports <- seen{err: err} },
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		follower.Run(ctx)
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

func TestSignalHasSettingsRead(t *testing.T) {
	path, signals, reports := startFollower(t)
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

func TestChangeWithoutASignalIsNoticed(t *testing.T) {
	path, _, reports := startFollower(t)
	write(t, path, "second")
	select {
	case got := <-reports:
		if got.text != "second" {
			t.Errorf("reported %+v", got)
		}
	case <-time.After(3 * followInterval):
		t.Error("the change wasn't noticed")
	}
}
