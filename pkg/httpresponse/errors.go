package httpresponse

import (
	"errors"
	"fmt"
	"io"
)

// ErrMalformed means that the received bytes aren't a response by the grammar, or exceed a
// limit. The text of an error that wraps it says what is wrong, without values.
var ErrMalformed = errors.New("malformed HTTP response")

// maxQuotedBytes limits how much of a name is quoted in an error.
const maxQuotedBytes = 40

// malformed returns an error that wraps ErrMalformed.
func malformed(problem string) error {
	return fmt.Errorf("%w: %s", ErrMalformed, problem)
}

// malformedName returns an error that wraps ErrMalformed and quotes the start of a name.
func malformedName(problem, name string) error {
	return fmt.Errorf("%w: %s %q", ErrMalformed, problem, name[:min(len(name), maxQuotedBytes)])
}

// unexpectedEnd replaces io.EOF by io.ErrUnexpectedEOF.
func unexpectedEnd(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
