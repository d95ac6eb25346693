package lists

import (
	"errors"
	"fmt"

	"teaselgauge.example/teaselgauge/pkg/schema"
)

// Errors of resolving a name given by a caller.
var (
	// ErrNotListed indicates that no such model, adapter or service is listed.
	ErrNotListed = errors.New("not listed")
	// ErrNotAllowed indicates that the plan may not use it.
	ErrNotAllowed = errors.New("not allowed for this plan")
)

// CheckError lists all problems of a pair of documents. Paths start with
// "plans." or "allowances.".
type CheckError struct {
	Problems []schema.Problem `json:"problems"`
}

// Error implements error with one line per problem.
func (e *CheckError) Error() string {
	inner := schema.Error{Problems: e.Problems}
	return inner.Error()
}

// ConflictError indicates that the expected revision is not the current one.
type ConflictError struct {
	Expected int64
	Current  int64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("lists: expected revision %d, current is %d", e.Expected, e.Current)
}

// UncertainError indicates that a change may or may not have been applied: the
// response was lost and reading back failed as well. ChangeID identifies the change
// in the manifest.
type UncertainError struct {
	ChangeID string
	Err      error
}

// Error implements error.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("lists: outcome of change %s is unknown: %v", e.ChangeID, e.Err)
}

// Unwrap returns the last error.
func (e *UncertainError) Unwrap() error { return e.Err }

// UnreadableError indicates that the stored revision cannot be decoded.
type UnreadableError struct {
	Revision int64
	Err      error
}

// Error implements error.
func (e *UnreadableError) Error() string {
	return fmt.Sprintf("lists: revision %d is unreadable: %v", e.Revision, e.Err)
}

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Err }
