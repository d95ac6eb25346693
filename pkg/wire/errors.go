package wire

import "errors"

// Error is a failure of the internal protocol.
type Error struct {
	// Op is the failed operation, such as "connect to".
	Op   string
	Host string
	// NotSent is set if nothing of the message left this process.
	NotSent bool
	Err     error
}

// Error implements error.
func (e *Error) Error() string {
	return "internal protocol: " + e.Op + " " + e.Host + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsNotSent reports whether nothing of the failed message left this process.
func IsNotSent(err error) bool {
	var wireErr *Error
	return errors.As(err, &wireErr) && wireErr.NotSent
}
