package agent

import "context"

// loopQueue is how many commands may wait for the loop.
const loopQueue = 1024

// loop runs commands on one goroutine.
type loop struct {
	commands chan func()
	stopped  chan struct{}
}

func newLoop() *loop {
	return &loop{
		commands: make(chan func(), loopQueue),
		stopped:  make(chan struct{}),
	}
}

// run executes commands until ctx ends.
func (l *loop) run(ctx context.Context) {
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

// post hands a command over. It is dropped if the loop has stopped.
func (l *loop) post(command func()) {
	select {
	case l.commands <- command:
	case <-l.stopped:
	}
}

// do executes a command and waits for it. It returns false if the loop stopped
// first.
func (l *loop) do(command func()) bool {
	done := make(chan struct{})
	l.post(func() {
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
