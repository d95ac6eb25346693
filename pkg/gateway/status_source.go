package gateway

import (
	"sync/atomic"
	"time"
)

// statusSource is a stream on which the statuses of an agent, or of several
// through a relay, are received. It is safe for concurrent use.
type statusSource struct {
	receivedAt atomic.Pointer[time.Time]
}

// markReceived records the arrival of a frame.
func (s *statusSource) markReceived(now time.Time) { s.receivedAt.Store(&now) }

// age is the time since the last frame, or neverConfirmed. It is zero for a frame
// that arrived after now, which callers may have read some time ago.
func (s *statusSource) age(now time.Time) time.Duration {
	at := s.receivedAt.Load()
	if at == nil {
		return neverConfirmed
	}
	return max(now.Sub(*at), 0)
}
