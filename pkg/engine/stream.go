package engine

import (
	"errors"
	"io"
	"mime"
)

const (
	eventStreamType = "text/event-stream"
	// resumeOverlapBytes is how much of a stream is read again on resume. It is
	// longer than an end mark with its line ends.
	resumeOverlapBytes = 64
	endMark            = "data: [DONE]"
	endMarkTight       = "data:[DONE]"
)

// errNoEndMark tells that an event stream ended without its end mark.
var errNoEndMark = errors.New("stream ended without an end mark")

func isEventStream(contentType string) bool {
	mediaType, _, err := mime.ParseMediaType(contentType)
	return err == nil && mediaType == eventStreamType
}

// endReader passes a stream of server-sent events through and replaces io.EOF
// by errNoEndMark unless the last event is the end mark. It keeps no more than
// the first bytes of the current line.
type endReader struct {
	source io.Reader
	// line holds the start of the current line, one byte more than an end mark
	// at most.
	line []byte
	// partial tells that the current line's start was not seen.
	partial bool
	// ended tells that the last line that isn't blank is the end mark.
	ended bool
}

// newEndReader returns a reader of a stream that starts at a byte offset of the
// answer.
func newEndReader(offset int64) *endReader {
	return &endReader{line: make([]byte, 0, len(endMark)+1), partial: offset > 0}
}

// Read implements io.Reader.
func (r *endReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	for _, b := range p[:n] {
		r.scan(b)
	}
	if errors.Is(err, io.EOF) && !r.isWhole() {
		err = errNoEndMark
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
	if len(r.line) > 0 || r.partial {
		line := string(r.line)
		r.ended = !r.partial && (line == endMark || line == endMarkTight)
	}
	r.line = r.line[:0]
	r.partial = false
}

// isWhole tells whether the stream may end here.
func (r *endReader) isWhole() bool {
	return r.ended && len(r.line) == 0
}

// answerBody turns the failures of reading an answer into *Error.
type answerBody struct {
	op     string
	reader io.Reader
	closer io.Closer
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err != nil && err != io.EOF {
		err = &Error{Op: b.op, Err: err}
	}
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	if err := b.closer.Close(); err != nil {
		return &Error{Op: b.op, Err: err}
	}
	return nil
}
