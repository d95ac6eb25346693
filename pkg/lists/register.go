package lists

import "sync"

// Rejection describes a revision that is stored and not in force.
type Rejection struct {
	Revision int64  `json:"revision"`
	Reason   string `json:"reason"`
}

// Register decides which revision is in force in this process. Revisions go
// only upward; a bad one leaves the last good one in force. It does no I/O and
// is safe for concurrent use.
type Register struct {
	mu       sync.RWMutex
	current  *Index
	rejected *Rejection
	// offered is the highest revision that was decided on, good or bad.
	offered int64
}

// NewRegister returns a register with no revision in force.
func NewRegister() *Register { return &Register{} }

// Offer puts a snapshot in force if it is newer and valid, and tells whether it
// did.
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
	r.offered = max(r.offered, snapshot.Revision)
	if r.rejected != nil && r.rejected.Revision < snapshot.Revision {
		r.rejected = nil
	}
	return true
}

// isNewer tells whether a revision is above the one in force.
func (r *Register) isNewer(revision int64) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return revision > 0 && (r.current == nil || revision > r.current.Revision())
}

// Reject records a revision that can't be read or used. The revision in force
// stays.
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
	r.offered = max(r.offered, revision)
}

// Current returns the index in force, or nil before the first.
func (r *Register) Current() *Index {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.current
}

// Revision returns the revision in force, or zero before the first.
func (r *Register) Revision() int64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.current == nil {
		return 0
	}
	return r.current.Revision()
}

// Decided returns the highest revision that was put in force or rejected, from
// which a watch goes on.
func (r *Register) Decided() int64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.offered
}

// Rejected returns the newest stored revision if it was rejected, else nil.
func (r *Register) Rejected() *Rejection {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.rejected
}
