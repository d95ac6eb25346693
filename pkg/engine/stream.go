package engine

import (
	"errors"
	"io"
	"mime"
)

const (
	eventStreamType = "text/event-stream"
	// resumeOverlapBytes is the number of bytes that are read again on resume. It is
	// longer than an end marker with its line breaks.
	resumeOverlapBytes = 64
	endMarker          = "data: [DONE]"
	endMarkerNoSpace   = "data:[DONE]"
)

// errNoEndMarker reports that an event stream ended without its end marker.
var errNoEndMarker = errors.New("stream ended without an end mark")

func isEventStream(contentType string) bool {
	mediaType, _, err := mime.ParseMediaType(contentType)
	return err == nil && mediaType == eventStreamType
}

// endReader passes through a stream of server-sent events and replaces io.EOF by
// errNoEndMarker unless the last event is the end marker. It buffers only the first
// bytes of the current line.
type endReader struct {
	source io.Reader
	// line contains the start of the current line, at most one byte more than an end
	// marker.
	line []byte
	// startUnknown is set if the start of the current line wasn't read.
	startUnknown bool
	// ended is set if the last line that isn't blank is the end marker.
	ended bool
}

// newEndReader returns a reader for a stream that starts at a byte offset of the
// response.
func newEndReader(offset int64) *endReader {
	return &endReader{line: make([]byte, 0, len(endMarker)+1), startUnknown: offset > 0}
}

// Read implements io.Reader.
func (r *endReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	for _, b := range p[:n] {
		r.scan(b)
	}
	if err == io.EOF && !r.isComplete() {
		err = errNoEndMarker
	}
	return n, err
}

func (r *endReader) scan(b byte) {
	if b == '\n' || b == '\r' {
		r.endLine()
		return
	}
	if len(r.line) < cap(r.line) {
		r.line = append(r.line, b)
	}
}

func (r *endReader) endLine() {
	if len(r.line) > 0 || r.startUnknown {
		line := string(r.line)
		r.ended = !r.startUnknown && (line == endMarker || line == endMarkerNoSpace)
	}
	r.line = r.line[:0]
	r.startUnknown = false
}

// isComplete reports whether the stream is complete at this point.
func (r *endReader) isComplete() bool {
	return r.ended && len(r.line) == 0
}

// responseBody converts errors from reading a response into *Error.
type responseBody struct {
	op     string
	reader io.Reader
	closer io.Closer
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err != nil && err != io.EOF {
		err = &Error{Op: b.op, Err: err}
	}
	return n, err
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	if err := b.closer.Close(); err != nil {
		return &Error{Op: b.op, Err: err}
	}
	return nil
}
