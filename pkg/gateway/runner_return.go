package gateway

import (
	"slices"
	"time"
)

// crashNoticeTime is the time within which the status of an agent shows that its runner has
// crashed.
const crashNoticeTime = time.Second

// canAwaitReturn reports whether a request that requires a software may wait for a runner
// that has crashed and is still registered: it is soon back or its registration expires.
// Other requests go to other runners, but what this one needs has few.
func (x *exchange) canAwaitReturn(sel *selection) bool {
	if sel.software == "" || !sel.now.Before(x.startDeadline()) {
		return false
	}
	return slices.ContainsFunc(sel.view.servers[sel.service], func(s *server) bool {
		return sel.mayBecomeEligible(s) && sel.mayBePermitted(s) && (sel.isAway(s) || x.mayHaveCrashed(sel.now, s))
	})
}

// mayBePermitted reports whether a server has a permit for the model, as far as known.
func (sel *selection) mayBePermitted(s *server) bool {
	return s.state == nil || s.isPermitted(sel.model)
}

// isAway reports whether a server is down, was restarted, or has an agent that can't be
// reached.
func (sel *selection) isAway(s *server) bool {
	return s.replaced || !s.hasFreshStatus(sel.now) || s.state.Status.Down
}

// mayHaveCrashed reports whether the request has just failed at a server, so that the status
// of its agent doesn't show yet whether it has crashed.
func (x *exchange) mayHaveCrashed(now time.Time, s *server) bool {
	return slices.Contains(x.failedAt, s.ID) && now.Sub(x.lastFailure) < crashNoticeTime
}
