package httpresponse

import (
	"bufio"
	"bytes"
	"io"
)

// chunkPart is the part of a chunked body that comes next.
type chunkPart uint8

// The parts of a chunked body.
const (
	partSize chunkPart = iota
	partData
	// partDataEnd is the CR LF after the data of a chunk.
	partDataEnd
	partTrailers
	partEnd
)

// chunkedBody is a body in chunks.
type chunkedBody struct {
	source *bufio.Reader
	next   chunkPart
	// left is the number of bytes left of the chunk.
	left int64
	// err is the error that ended the body.
	err error
}

func newChunkedBody(source *bufio.Reader) *chunkedBody { return &chunkedBody{source: source} }

// Read implements io.Reader. It waits only for the first byte.
func (b *chunkedBody) Read(p []byte) (n int, err error) {
	for b.err == nil && n < len(p) && (n == 0 || b.isBuffered()) {
		var size int
		size, b.err = b.readPart(p[n:])
		n += size
	}
	if n > 0 && b.err != io.EOF {
		// The data before an error is delivered first.
		return n, nil
	}
	return n, b.err
}

// isBuffered reports whether the next part can be read without waiting, as far as that is
// easy to tell. Of data a byte suffices.
func (b *chunkedBody) isBuffered() bool {
	buffered := b.source.Buffered()
	switch b.next {
	case partData:
		return buffered > 0
	case partDataEnd:
		return buffered >= len(lineEnd)
	case partEnd:
		return true
	}
	peeked, err := b.source.Peek(buffered)
	if err != nil {
		return false
	}
	if b.next == partTrailers {
		return bytes.HasPrefix(peeked, []byte(lineEnd))
	}
	return bytes.IndexByte(peeked, '\n') >= 0
}

// readPart reads the next part, of which only data is copied to p.
func (b *chunkedBody) readPart(p []byte) (n int, err error) {
	switch b.next {
	case partSize:
		err = b.readSize()
	case partData:
		n, err = b.readData(p)
	case partDataEnd:
		err = b.readDataEnd()
	case partTrailers:
		err = b.readTrailers()
	default:
		return 0, io.EOF
	}
	return n, unexpectedEnd(err)
}

func (b *chunkedBody) readSize() error {
	lines := lineReader{source: b.source, bytesLeft: maxChunkLineBytes, linesLeft: 1}
	line, err := lines.next()
	if err != nil {
		return err
	}
	b.left, err = parseChunkSize(line)
	if err != nil {
		return err
	}
	b.next = partData
	if b.left == 0 {
		b.next = partTrailers
	}
	return nil
}

func (b *chunkedBody) readData(p []byte) (int, error) {
	n, err := b.source.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	if b.left == 0 {
		b.next = partDataEnd
	}
	return n, err
}

// lineEnd is the end of a line and of the data of a chunk.
const lineEnd = "\r\n"

func (b *chunkedBody) readDataEnd() error {
	var end [len(lineEnd)]byte
	if _, err := io.ReadFull(b.source, end[:]); err != nil {
		return err
	}
	if string(end[:]) != lineEnd {
		return malformed("chunk longer than its size")
	}
	b.next = partSize
	return nil
}

// readTrailers checks the trailers and drops them.
func (b *chunkedBody) readTrailers() error {
	if err := newHeadReader(b.source).fields(func(string, string) {}); err != nil {
		return err
	}
	b.next = partEnd
	return nil
}
