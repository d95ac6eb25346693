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
	line, err := r.readLine()
	if err != nil {
		return "", err
	}
	text, ok := bytes.CutSuffix(line, []byte(lineEnd))
	if !ok {
		return "", malformed("line without CR at its end")
	}
	return string(text), nil
}

// readLine reads up to the next LF. The result is valid until the next read.
func (r *lineReader) readLine() ([]byte, error) {
	part, err := r.readPart()
	if err == nil {
		return part, nil
	}
	var line []byte
	for err == bufio.ErrBufferFull {
		line = append(line, part...)
		part, err = r.readPart()
	}
	line = append(line, part...)
	if len(line) > 0 {
		err = unexpectedEnd(err)
	}
	return line, err
}

// readPart reads up to the next LF, or bufio.ErrBufferFull.
func (r *lineReader) readPart() ([]byte, error) {
	part, err := r.source.ReadSlice('\n')
	r.bytesLeft -= len(part)
	if r.bytesLeft < 0 {
		return nil, malformed("too many bytes")
	}
	return part, err
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
