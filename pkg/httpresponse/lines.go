package httpresponse

import (
	"bufio"
	"bytes"
	"net/http"
)

const (
	// MaxHeadBytes limits the size of the head of a response, with the informational
	// responses before it, and that of its trailers.
	MaxHeadBytes = 256 << 10
	// maxHeadLines limits the number of lines of the same.
	maxHeadLines = 1024
	// maxChunkLineBytes limits the first line of a chunk, with its extensions.
	maxChunkLineBytes = 4 << 10
)

// lineReader reads lines of limited size and number.
type lineReader struct {
	source    *bufio.Reader
	bytesLeft int
	linesLeft int
}

func newHeadReader(source *bufio.Reader) *lineReader {
	return &lineReader{source: source, bytesLeft: MaxHeadBytes, linesLeft: maxHeadLines}
}

// next returns the next line without the CR LF at its end. The error is that of the source
// or wraps ErrMalformed. It is io.EOF only if the source ended before the line.
func (r *lineReader) next() (string, error) {
	if r.linesLeft == 0 {
		return "", malformed("too many lines")
	}
	r.linesLeft--
	var line []byte
	for {
		part, err := r.source.ReadSlice('\n')
		r.bytesLeft -= len(part)
		if r.bytesLeft < 0 {
			return "", malformed("too many bytes")
		}
		line = append(line, part...)
		if err == nil {
			break
		}
		if err != bufio.ErrBufferFull {
			if len(line) > 0 {
				err = unexpectedEnd(err)
			}
			return "", err
		}
	}
	text, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok {
		return "", malformed("line without CR at its end")
	}
	return string(text), nil
}

// fields reads lines up to an empty one. keep is called with each name and value.
func (r *lineReader) fields(keep func(name, value string)) error {
	for {
		line, err := r.next()
		if err != nil {
			return unexpectedEnd(err)
		}
		if line == "" {
			return nil
		}
		name, value, err := parseField(line)
		if err != nil {
			return err
		}
		keep(name, value)
	}
}

// header reads the fields of a header.
func (r *lineReader) header() (http.Header, error) {
	header := make(http.Header)
	err := r.fields(header.Add)
	return header, err
}
