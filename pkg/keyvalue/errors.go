package keyvalue

import "errors"

// ErrCompacted indicates that a watch requested a revision that was compacted.
var ErrCompacted = errors.New("requested revision is compacted")

// ErrLeaseEnded indicates that a lease has expired or was revoked.
var ErrLeaseEnded = errors.New("lease in the store has ended")

// ErrEra indicates that the store's era has fallen or is out of range.
var ErrEra = errors.New("era of the store can't be used")

// StoreError is a failure of the key-value service.
type StoreError struct {
	Op string
	// Uncertain indicates that the change may have been applied: the request was
	// sent but no conclusive response was received.
	Uncertain bool
	Err       error
}

// Error implements error.
func (e *StoreError) Error() string {
	return "key-value service: " + e.Op + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error { return e.Err }

// IsUncertain reports whether a failed change may have been applied.
func IsUncertain(err error) bool {
	var storeErr *StoreError
	return errors.As(err, &storeErr) && storeErr.Uncertain
}
