package gateway

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// switchCheckInterval is how often a request that waits for a runner checks
	// for a better one.
	switchCheckInterval = 100 * time.Millisecond
	// minSwitchGain is how much shorter the expected wait must be at another runner
	// that doesn't have the model loaded either.
	minSwitchGain = 1500 * time.Millisecond
	// maxSwitches limits how often a request switches to another runner.
	maxSwitches = 3
)

// switchWatcher cancels the wait of one request at a runner when another one can
// serve it sooner. It is a timer, as most requests don't wait until the first
// check.
type switchWatcher struct {
	mu sync.Mutex
	// timer is nil if the request must not switch again.
	timer    *time.Timer
	finished bool
	switched bool
}

// watchForBetter starts checking for a runner that is better than the one at which
// the request waits. cancel ends the wait. The exchange must not change until
// finish.
func (x *exchange) watchForBetter(currentRunner *server, cancel context.CancelFunc) *switchWatcher {
	w := &switchWatcher{}
	if x.switches >= maxSwitches {
		return w
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(switchCheckInterval, func() { w.check(x, currentRunner, cancel) })
	return w
}

func (w *switchWatcher) check(x *exchange, currentRunner *server, cancel context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.finished {
		return
	}
	if !x.canSwitch(time.Now(), currentRunner) {
		w.timer.Reset(switchCheckInterval)
		return
	}
	w.switched = true
	cancel()
}

// finish stops checking and reports whether the wait was cancelled for a better
// runner.
func (w *switchWatcher) finish() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finished = true
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.switched
}

// canSwitch reports whether another runner than the one at which the request waits
// can serve it sooner.
func (x *exchange) canSwitch(now time.Time, currentRunner *server) bool {
	sel := x.selection(now)
	sel.startBy = x.startDeadline()
	return hasBetterRunner(sel, currentRunner.ID)
}

// hasBetterRunner reports whether an eligible runner can serve a request sooner
// than the one at which it waits: it has the model loaded and capacity for the
// request, or is expected to have the model loaded earlier.
func hasBetterRunner(sel *selection, currentRunner string) bool {
	servers := sel.view.servers[sel.service]
	at := slices.IndexFunc(servers, func(s *server) bool { return s.ID == currentRunner })
	if at < 0 || !sel.acceptsRequests(servers[at]) || !servers[at].hasFreshStatus(sel.now) {
		return sel.atAnyTime().excluding(currentRunner).hasLeasableRunner()
	}
	better := bestRunner(sel)
	if better == nil || better.ID == currentRunner || better.agent == "" || better.ready == readyBusy || better.healthPenalty() != 0 {
		return false
	}
	current := newCandidate(sel.now, servers[at], sel.model)
	if current.ready == readyNow {
		return false
	}
	return better.ready == readyNow || current.wait >= better.wait+minSwitchGain
}

// hasLeasableRunner reports whether there is a healthy runner for the model whose
// agent is connected and can grant a lease.
func (sel *selection) hasLeasableRunner() bool {
	return slices.ContainsFunc(candidatesFor(sel), func(c candidate) bool {
		return c.hasFreshStatus(sel.now) && c.healthPenalty() == 0
	})
}

// excluding returns the selection with one more server excluded.
func (sel *selection) excluding(server string) *selection {
	narrowed := *sel
	narrowed.excluded = append(slices.Clone(sel.excluded), server)
	return &narrowed
}
