package keyvalue

import "errors"

// ErrCompacted tells that a watch asked for a revision that is no longer kept.
var ErrCompacted = errors.New("revision compacted")

// ErrLeaseEnded tells that a lease has run out or was ended.
var ErrLeaseEnded = errors.New("lease has ended")

// StoreError is a failure of the key-value service.
type StoreError struct {
	Op string
	// Uncertain tells that the change may have been made: the request was sent
	// and no answer came.
	Uncertain bool
	Err       error
}

// Error implements error.
func (e *StoreError) Error() string {
	return "key-value service: " + e.Op + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error { return e.Err }

// IsUncertain tells whether a failed change may have been made all the same.
func IsUncertain(err error) bool {
	var storeErr *StoreError
	return errors.As(err, &storeErr) && storeErr.Uncertain
}
