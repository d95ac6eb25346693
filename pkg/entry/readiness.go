package entry

import "sync/atomic"

// readiness tracks whether the load balancer may send requests to this entry.
type readiness struct {
	draining atomic.Bool
}

func (r *readiness) startDraining() { r.draining.Store(true) }

// isReady reports whether lists are active and the process isn't draining. The
// administration API works before.
func (e *Entry) isReady() bool {
	return !e.ready.draining.Load() && e.control.current().index != nil
}
