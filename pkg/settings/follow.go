package settings

import (
	"bytes"
	"context"
	"os"
	"time"
)

// followInterval is the time between two looks at the settings file, which may
// change without a signal.
const followInterval = 2 * time.Second

// Follower reads a settings file again when a signal comes or its content has
// changed.
type Follower[T any] struct {
	Path string
	// Content is the file's content before the present settings were loaded.
	Content []byte
	Load    func(path string) (T, error)
	// Signals ask for a reading.
	Signals <-chan os.Signal
	// Changed is told of new settings, Failed of a file that can't be used; the
	// last settings then stay in force. Unchanged is told of a signal without a
	// change.
	Changed   func(T)
	Unchanged func()
	Failed    func(error)
}

// Run follows the file until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) {
	last := f.Content
	ticker := time.NewTicker(followInterval)
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
		last = f.look(last, signalled)
	}
}

// look reads the file and returns its content.
func (f *Follower[T]) look(last []byte, signalled bool) []byte {
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
