package quarantine

import "time"

const (
	// maxHistory is the number of fingerprints from which a history forgets the
	// oldest ones.
	maxHistory = 4096
	// historyRetention is how long a start counts.
	historyRetention = 10 * time.Minute
)

// History holds when a response to a request with a fingerprint last started. Its
// memory is bounded: it keeps two generations of fingerprints and forgets the older
// one. The zero value is empty.
type History struct {
	recent, older map[Fingerprint]time.Time
}

// Record records a start.
func (h *History) Record(fingerprint Fingerprint, at time.Time) {
	if last, ok := h.Last(at, fingerprint); ok && !at.After(last) {
		return
	}
	if h.recent == nil || len(h.recent) >= maxHistory/2 {
		h.older = h.recent
		h.recent = make(map[Fingerprint]time.Time)
	}
	h.recent[fingerprint] = at
}

// Last returns the last start; false if there was none lately.
func (h *History) Last(now time.Time, fingerprint Fingerprint) (time.Time, bool) {
	at, ok := h.recent[fingerprint]
	if !ok {
		at, ok = h.older[fingerprint]
	}
	return at, ok && now.Sub(at) < historyRetention
}
