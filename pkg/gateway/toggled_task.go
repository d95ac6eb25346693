package gateway

import (
	"context"
	"sync"
)

// toggledTask is a task that can be switched on and off. The zero value is off; it
// is safe for concurrent use.
type toggledTask struct {
	mu     sync.Mutex
	on     bool
	cancel context.CancelFunc
	// changed is closed and replaced when on changes.
	changed chan struct{}
}

// set switches the task on or off. It reports whether that is a change.
func (t *toggledTask) set(on bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.on == on {
		return false
	}
	t.on = on
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
	if !on && t.cancel != nil {
		t.cancel()
		t.cancel = nil
	}
	return true
}

// isOn reports whether the task is switched on.
func (t *toggledTask) isOn() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.on
}

// run calls work whenever the task is switched on, with a context that ends when
// it is switched off, until ctx ends.
func (t *toggledTask) run(ctx context.Context, work func(context.Context)) {
	for ctx.Err() == nil {
		on, changed, workCtx := t.workContext(ctx)
		if on {
			work(workCtx)
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

func (t *toggledTask) workContext(ctx context.Context) (on bool, changed <-chan struct{}, workCtx context.Context) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.on {
		if t.changed == nil {
			t.changed = make(chan struct{})
		}
		return false, t.changed, nil
	}
	workCtx, t.cancel = context.WithCancel(ctx)
	return true, nil, workCtx
}
