package logtrace

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Names of the attributes that the package interprets.
const (
	attrTime    = "time"
	attrMessage = "msg"
	attrHost    = "host"
	attrRequest = "request"
	attrView    = "belief"
	attrModel   = "model"
	attrAgent   = "agent"
	attrBackend = "backend"
)

// Attr is one attribute of a line.
type Attr struct{ Name, Value string }

// Line is one log line.
type Line struct {
	Time    time.Time
	Host    string
	Message string
	// Attrs holds all other attributes in the order of the line.
	Attrs []Attr
}

// Get returns an attribute's value, or an empty string if it is missing.
func (l *Line) Get(name string) string {
	for _, attr := range l.Attrs {
		if attr.Name == name {
			return attr.Value
		}
	}
	return ""
}

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// Read parses a log. Lines in another format are skipped, and so are words before the
// time of a line.
func Read(source io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := parse(scanner.Bytes()); ok {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return lines, fmt.Errorf("read log: %w", err)
	}
	return lines, nil
}

func parse(text []byte) (Line, bool) {
	var line Line
	decoder := logfmt.NewDecoder(bytes.NewReader(text))
	if !decoder.ScanRecord() {
		return line, false
	}
	for decoder.ScanKeyval() {
		line.add(string(decoder.Key()), string(decoder.Value()))
	}
	return line, decoder.Err() == nil && !line.Time.IsZero() && line.Message != ""
}

func (l *Line) add(name, value string) {
	switch name {
	case attrTime:
		// Lines with an invalid time are skipped.
		l.Time, _ = time.Parse(time.RFC3339Nano, value)
	case attrMessage:
		l.Message = value
	case attrHost:
		l.Host = value
	default:
		if !l.Time.IsZero() {
			l.Attrs = append(l.Attrs, Attr{Name: name, Value: value})
		}
	}
}
