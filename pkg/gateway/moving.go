package gateway

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backends"
)

const (
	// moveCheck is how often a request that waits for a runner looks whether
	// another one has its model loaded by now.
	moveCheck = 100 * time.Millisecond
	// maxMoves bounds how often a request leaves a runner for such a one.
	maxMoves = 3
)

// mover ends the wait of one request at a runner when another one can serve it at
// once.
type mover struct {
	moved atomic.Bool
	done  chan struct{}
}

// watch begins to look for a runner that is better than the one that the request
// waits at, until ctx ends. cancel ends the wait.
func (x *exchange) watch(ctx context.Context, waitsAt *server, cancel context.CancelFunc) *mover {
	m := &mover{done: make(chan struct{})}
	if x.moves >= maxMoves {
		close(m.done)
		return m
	}
	go func() {
		defer close(m.done)
		ticker := time.NewTicker(moveCheck)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-ticker.C:
				if !x.canMove(now, waitsAt) {
					continue
				}
				m.moved.Store(true)
				cancel()
				return
			}
		}
	}()
	return m
}

// canMove tells whether another runner than the one that the request waits at can
// serve it at once.
func (x *exchange) canMove(now time.Time, waitsAt *server) bool {
	h := x.handler
	return betterRunner(now, h.control.current(), h.tracker, x.service, x.caller.Model, h.domain, waitsAt.ID, x.tried)
}

// betterRunner tells whether a runner that was not tried has a model loaded and
// room for a request, which the one where the request waits doesn't.
func betterRunner(now time.Time, v *view, tracker *backends.Tracker, service, model, domain, waitsAt string, tried []string) bool {
	best := chooseRunner(now, v, tracker, service, model, domain, tried)
	if best == nil || best.ID == waitsAt || best.agent == "" {
		return false
	}
	key := modelKey{service, model}
	better := newCandidate(now, v, best, key)
	better.health = tracker.Health(now, best.ID)
	if better.place != readyNow || better.trouble() != 0 {
		return false
	}
	return !slices.ContainsFunc(v.servers[service], func(s *server) bool {
		here := newCandidate(now, v, s, key)
		return s.ID == waitsAt && here.place == readyNow
	})
}
