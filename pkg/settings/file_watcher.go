package settings

import (
	"bytes"
	"context"
	"os"
	"time"
)

// pollInterval is the polling interval of the settings file. Polling detects changes
// without a signal.
const pollInterval = 2 * time.Second

// FileWatcher reloads a settings file when it receives a signal or the content
// changes.
type FileWatcher[T any] struct {
	Path string
	// Content is the file's content, read before the current settings were loaded.
	Content []byte
	Load    func(path string) (T, error)
	// Signals triggers a reload.
	Signals <-chan os.Signal
	// Changed receives new settings. Failed receives the error of a file that cannot
	// be used; the last valid settings then stay active. Unchanged is called for a
	// signal without a change.
	Changed   func(T)
	Unchanged func()
	Failed    func(error)
}

// Run watches the file until ctx ends.
func (f *FileWatcher[T]) Run(ctx context.Context) {
	last := f.Content
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-f.Signals:
			signalled = true
		case <-ticker.C:
		}
		last = f.reloadIfChanged(last, signalled)
	}
}

// reloadIfChanged reloads the file if it has changed and returns its content.
func (f *FileWatcher[T]) reloadIfChanged(last []byte, signalled bool) []byte {
	content, err := os.ReadFile(f.Path)
	if err != nil {
		if signalled {
			f.Failed(err)
		}
		return last
	}
	if bytes.Equal(content, last) {
		if signalled {
			f.Unchanged()
		}
		return last
	}
	loaded, err := f.Load(f.Path)
	if err != nil {
		f.Failed(err)
		return content
	}
	f.Changed(loaded)
	return content
}
