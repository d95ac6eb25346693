package logtrace

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"time"

	"github.com/go-logfmt/logfmt"
)

// The attributes that the package reads.
const (
	attrTime    = "time"
	attrMessage = "msg"
	attrHost    = "host"
	attrRequest = "request"
	attrBelief  = "belief"
	attrModel   = "model"
	attrAgent   = "agent"
	attrBackend = "backend"
)

// Attr is one attribute of a line.
type Attr struct{ Name, Value string }

// Line is one line of a log.
type Line struct {
	Time    time.Time
	Host    string
	Message string
	// Attrs are all others, in the order of the line.
	Attrs []Attr
}

// Get returns an attribute's value, or an empty string.
func (l *Line) Get(name string) string {
	for _, attr := range l.Attrs {
		if attr.Name == name {
			return attr.Value
		}
	}
	return ""
}

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// Read reads a log. Lines that aren't in the format of the logs, and words before
// the time, are passed over.
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
		// A line whose time can't be read is passed over.
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
