// Package schema strictly decodes JSON documents and validates them against the
// validation tags of their Go types. It reports all problems of a document at once,
// each with its JSON path.
package schema

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Problem is one invalid part of a document.
type Problem struct {
	// Path is the JSON path, such as "plans[2].weight".
	Path string `json:"path"`
	// Message describes the problem and the allowed values.
	Message string `json:"message"`
}

// String returns the path and the message.
func (p Problem) String() string {
	if p.Path == "" {
		return p.Message
	}
	return p.Path + ": " + p.Message
}

// Error lists all problems of a document.
type Error struct {
	Problems []Problem
}

// Error implements error with one line per problem.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, problem := range e.Problems {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Decode decodes exactly one JSON value from data into target, which is a pointer.
// Unknown fields and trailing data are rejected with an *Error.
func Decode(data []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return decodeError(data, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return single("", fmt.Sprintf("data after the document at byte %d", decoder.InputOffset()))
	}
	return nil
}

func decodeError(data []byte, err error) error {
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		line, column := position(data, syntaxErr.Offset)
		return single("", fmt.Sprintf("line %d, column %d: %v", line, column, syntaxErr))
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		message := fmt.Sprintf("is a JSON %s, must be %s", typeErr.Value, typeErr.Type)
		return single(typeErr.Field, message)
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return single("", "the document ends too early")
	}
	return single("", strings.TrimPrefix(err.Error(), "json: "))
}

func single(path, message string) error {
	return &Error{Problems: []Problem{{Path: path, Message: message}}}
}

// position returns the line and the column, both starting at 1, of the last byte
// that a decoder read before it failed.
func position(data []byte, offset int64) (line, column int) {
	before := data[:max(0, min(offset, int64(len(data)))-1)]
	line = 1 + bytes.Count(before, []byte("\n"))
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}
