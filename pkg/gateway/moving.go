package gateway

import (
	"context"
	"slices"
	"sync"
	"time"
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
// sooner. Most requests don't wait until the first check, so it is a timer.
type mover struct {
	mu sync.Mutex
	// timer is nil if the request stays where it is.
	timer *time.Timer
	ended bool
	moved bool
}

// watch begins to look for a runner that is better than the one that the request
// waits at. cancel ends the wait. The exchange doesn't change until end is called.
func (x *exchange) watch(waitsAt *server, cancel context.CancelFunc) *mover {
	m := &mover{}
	if x.moves >= maxMoves {
		return m
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.timer = time.AfterFunc(moveCheck, func() { m.check(x, waitsAt, cancel) })
	return m
}

func (m *mover) check(x *exchange, waitsAt *server, cancel context.CancelFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended {
		return
	}
	if !x.canMove(time.Now(), waitsAt) {
		m.timer.Reset(moveCheck)
		return
	}
	m.moved = true
	cancel()
}

// end stops looking, and tells whether the wait was ended for a better runner.
func (m *mover) end() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
	if m.timer != nil {
		m.timer.Stop()
	}
	return m.moved
}

// canMove tells whether another runner than the one that the request waits at can
// serve it sooner.
func (x *exchange) canMove(now time.Time, waitsAt *server) bool {
	return betterRunner(x.selection(now), waitsAt.ID)
}

// betterRunner tells whether a runner that was not tried can serve a request sooner
// than the one where it waits: it has the model loaded and room for the request, or
// is expected to have the model loaded earlier.
func betterRunner(sel *selection, waitsAt string) bool {
	servers := sel.view.servers[sel.service]
	at := slices.IndexFunc(servers, func(s *server) bool { return s.ID == waitsAt })
	if at < 0 || !sel.isOpen(servers[at]) || !servers[at].hears(sel.now) {
		return sel.without(waitsAt).hasHeardRunner()
	}
	better := chooseRunner(sel)
	if better == nil || better.ID == waitsAt || better.agent == "" || better.place == readyBusy || better.trouble() != 0 {
		return false
	}
	here := newCandidate(sel.now, servers[at], sel.model)
	if here.place == readyNow {
		return false
	}
	return better.place == readyNow || here.wait >= better.wait+moveGain
}

// hasHeardRunner tells whether a runner in good health may serve the model whose
// agent is heard, and so can grant its use.
func (sel *selection) hasHeardRunner() bool {
	return slices.ContainsFunc(candidatesFor(sel), func(c candidate) bool {
		return c.hears(sel.now) && c.trouble() == 0
	})
}

// without returns the selection with one more server out of the question.
func (sel *selection) without(server string) *selection {
	narrowed := *sel
	narrowed.tried = append(slices.Clone(sel.tried), server)
	return &narrowed
}
