// Package eventloop runs commands one after the other on one goroutine, which
// thereby owns the state that they touch.
package eventloop

import "context"

// queueLength is how many commands may wait for the loop.
const queueLength = 1024

// Loop runs commands on one goroutine. Use New.
type Loop struct {
	commands chan func()
	stopped  chan struct{}
}

// New returns a loop that doesn't run yet.
func New() *Loop {
	return &Loop{
		commands: make(chan func(), queueLength),
		stopped:  make(chan struct{}),
	}
}

// Run executes commands until ctx ends. It is called once.
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

// Post hands a command over without waiting for its end. It is dropped if the
// loop has stopped.
func (l *Loop) Post(command func()) {
	select {
	case l.commands <- command:
	case <-l.stopped:
	}
}

// Do executes a command and waits for it. It returns false if the loop stopped
// first. It must not be called on the loop.
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
