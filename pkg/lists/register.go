package lists

import "sync"

// Rejection describes a stored revision that was not applied.
type Rejection struct {
	Revision int64  `json:"revision"`
	Reason   string `json:"reason"`
}

// Register holds the active revision of this process. The revision only increases,
// and an invalid revision leaves the last valid one active. It does no I/O and is
// safe for concurrent use.
type Register struct {
	mu       sync.RWMutex
	current  *Index
	rejected *Rejection
	// lastEvaluated is the highest revision that was applied or rejected.
	lastEvaluated int64
}

// NewRegister returns a register without an active revision.
func NewRegister() *Register { return &Register{} }

// Offer applies a snapshot if it is newer and valid, and reports whether it did.
func (r *Register) Offer(snapshot Snapshot) bool {
	if !r.isNewer(snapshot.Revision) {
		return false
	}
	err := Check(snapshot.Plans, snapshot.Allowances)
	if err != nil {
		r.Reject(snapshot.Revision, err)
		return false
	}
	index := NewIndex(snapshot)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current != nil && snapshot.Revision <= r.current.Revision() {
		return false
	}
	r.current = index
	r.lastEvaluated = max(r.lastEvaluated, snapshot.Revision)
	if r.rejected != nil && r.rejected.Revision < snapshot.Revision {
		r.rejected = nil
	}
	return true
}

// isNewer reports whether a revision is above the active one.
func (r *Register) isNewer(revision int64) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return revision > 0 && (r.current == nil || revision > r.current.Revision())
}

// Reject records a revision that cannot be read or is invalid. The active revision
// does not change.
func (r *Register) Reject(revision int64, reason error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current != nil && revision <= r.current.Revision() {
		return
	}
	if r.rejected != nil && revision < r.rejected.Revision {
		return
	}
	r.rejected = &Rejection{Revision: revision, Reason: reason.Error()}
	r.lastEvaluated = max(r.lastEvaluated, revision)
}

// Current returns the active index, or nil if there is none yet.
func (r *Register) Current() *Index {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.current
}

// Revision returns the active revision, or zero if there is none yet.
func (r *Register) Revision() int64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.current == nil {
		return 0
	}
	return r.current.Revision()
}

// LastEvaluated returns the highest revision that was applied or rejected. A watch
// continues from it.
func (r *Register) LastEvaluated() int64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.lastEvaluated
}

// Rejected returns the newest stored revision if it was rejected, or nil.
func (r *Register) Rejected() *Rejection {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.rejected
}
