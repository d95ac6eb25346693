// Package eventloop runs commands sequentially on one goroutine, which owns the
// state that they access.
package eventloop

import "context"

// queueLength is the number of commands that may wait for the loop.
const queueLength = 1024

// Loop runs commands on one goroutine. Use New.
type Loop struct {
	commands chan func()
	stopped  chan struct{}
}

// New returns a loop that isn't running yet.
func New() *Loop {
	return &Loop{
		commands: make(chan func(), queueLength),
		stopped:  make(chan struct{}),
	}
}

// Run executes commands until ctx is done. It must be called only once.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.stopped)
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-l.commands:
			command()
		}
	}
}

// Post queues a command without waiting for its execution. The command is dropped
// if the loop has stopped.
func (l *Loop) Post(command func()) {
	select {
	case l.commands <- command:
	case <-l.stopped:
	}
}

// Do executes a command on the loop and waits for it. It returns false if the loop
// stopped first. It must not be called from the loop's goroutine.
func (l *Loop) Do(command func()) bool {
	done := make(chan struct{})
	l.Post(func() {
		defer close(done)
		command()
	})
	select {
	case <-done:
		return true
	case <-l.stopped:
		return false
	}
}
