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
func (p *toggledTask) set(on bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.on == on {
		return false
	}
	p.on = on
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
	if !on && p.cancel != nil {
		p.cancel()
		p.cancel = nil
	}
	return true
}

// isOn reports whether the task is switched on.
func (p *toggledTask) isOn() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.on
}

// run calls work whenever the task is switched on, with a context that ends when
// it is switched off, until ctx ends.
func (p *toggledTask) run(ctx context.Context, work func(context.Context)) {
	for ctx.Err() == nil {
		on, changed, workCtx := p.enter(ctx)
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

func (p *toggledTask) enter(ctx context.Context) (on bool, changed <-chan struct{}, workCtx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.on {
		if p.changed == nil {
			p.changed = make(chan struct{})
		}
		return false, p.changed, nil
	}
	workCtx, p.cancel = context.WithCancel(ctx)
	return true, nil, workCtx
}
