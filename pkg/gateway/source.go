package gateway

import (
	"sync/atomic"
	"time"
)

// source is a stream on which an agent, or an entry that relays what agents say,
// is heard. It is safe for concurrent use.
type source struct {
	heardAt atomic.Pointer[time.Time]
}

// hear notes a frame.
func (s *source) hear(now time.Time) { s.heardAt.Store(&now) }

// age is the time since the last frame, or neverConfirmed. A frame that came after
// now, which a decision may have fixed some time ago, is no time old.
func (s *source) age(now time.Time) time.Duration {
	at := s.heardAt.Load()
	if at == nil {
		return neverConfirmed
	}
	return max(now.Sub(*at), 0)
}
