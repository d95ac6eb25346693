package gateway

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"teaselgauge.example/teaselgauge/pkg/backends"
)

const (
	// moveCheck is how often a request that waits for a runner looks for a better
	// one.
	moveCheck = 100 * time.Millisecond
	// moveGain is how much shorter the expected wait must be at a runner that
	// doesn't have the model loaded either.
	moveGain = 1500 * time.Millisecond
	// maxMoves bounds how often a request leaves a runner for a better one.
	maxMoves = 3
)

// mover ends the wait of one request at a runner when another one can serve it
// sooner.
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
// serve it sooner.
func (x *exchange) canMove(now time.Time, waitsAt *server) bool {
	h := x.handler
	return betterRunner(now, h.control.current(), h.tracker, x.service, x.caller.Model, h.domain, waitsAt.ID, x.tried)
}

// betterRunner tells whether a runner that was not tried can serve a request sooner
// than the one where it waits: it has the model loaded and room for the request, or
// is expected to have the model loaded earlier.
func betterRunner(now time.Time, v *view, tracker *backends.Tracker, service, model, domain, waitsAt string, tried []string) bool {
	best := chooseRunner(now, v, tracker, service, model, domain, tried)
	if best == nil || best.ID == waitsAt || best.agent == "" {
		return false
	}
	key := modelKey{service, model}
	better := newCandidate(now, v, best, key)
	better.health = tracker.Health(now, best.ID)
	if better.place == readyBusy || better.trouble() != 0 {
		return false
	}
	at := slices.IndexFunc(v.servers[service], func(s *server) bool { return s.ID == waitsAt })
	if at < 0 {
		return true
	}
	here := newCandidate(now, v, v.servers[service][at], key)
	if here.place == readyNow {
		return false
	}
	return better.place == readyNow || here.wait >= better.wait+moveGain
}
