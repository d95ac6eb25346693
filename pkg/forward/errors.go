package forward

import "errors"

// Error is a failure of a request to a backend server.
type Error struct {
	Op      string
	Address string
	// NotSent is set if no byte of the request was written, so that it certainly
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

// IsNotSent reports whether a failed request certainly did not reach the server.
func IsNotSent(err error) bool {
	var failure *Error
	return errors.As(err, &failure) && failure.NotSent
}

// The causes of failures other than network errors.
var (
	// ErrForeignResponse means that the server sent only responses to other
	// requests.
	ErrForeignResponse = errors.New("response belongs to another request")
	// ErrMalformed means that the received bytes aren't an HTTP response.
	ErrMalformed = errors.New("malformed response")
	// ErrStaleConn means that an idle connection was closed by the server or has
	// unsolicited bytes.
	ErrStaleConn = errors.New("idle connection is no longer usable")
	// ErrReset means that the connection that delimits a response didn't end in order, or
	// that this isn't known.
	ErrReset = errors.New("connection failed before the end of the response")
	// ErrRequestUnwritten means that the connection that delimits a response ended before
	// the request was written.
	ErrRequestUnwritten = errors.New("response ended before the request was written")
)
