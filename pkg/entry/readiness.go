package entry

import "sync/atomic"

// readiness tells the balancer whether to send requests here.
type readiness struct {
	stopping atomic.Bool
}

func (r *readiness) stop() { r.stopping.Store(true) }

// isReady tells whether lists are in force and the process isn't stopping. The
// administration API works before.
func (e *Entry) isReady() bool {
	return !e.ready.stopping.Load() && e.control.current().index != nil
}
