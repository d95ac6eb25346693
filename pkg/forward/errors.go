package forward

import "errors"

// Error is a failure of a request to a backend server.
type Error struct {
	Op      string
	Address string
	// NotSent tells that no byte of the request was written, so that it surely
	// did not run.
	NotSent bool
	Err     error
}

// Error implements error.
func (e *Error) Error() string {
	return "backend server " + e.Address + ": " + e.Op + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsNotSent tells whether a failed request surely did not reach the server.
func IsNotSent(err error) bool {
	var failure *Error
	return errors.As(err, &failure) && failure.NotSent
}

// The causes of failures that aren't those of the network.
var (
	// ErrForeignAnswer tells that the server sent answers to other requests only.
	ErrForeignAnswer = errors.New("answer belongs to another request")
	// ErrMalformed tells that what came isn't an HTTP answer.
	ErrMalformed = errors.New("malformed answer")
	// ErrStaleConn tells that a kept connection was closed by the server or held
	// bytes that nobody asked for.
	ErrStaleConn = errors.New("kept connection is no longer usable")
)
