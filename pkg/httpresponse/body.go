package httpresponse

import (
	"bufio"
	"io"
)

// lengthBody is a body of known length.
type lengthBody struct {
	source *bufio.Reader
	left   int64
}

// Read implements io.Reader. It returns io.EOF together with the last bytes.
func (b *lengthBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.source.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	switch {
	case b.left == 0:
		return n, io.EOF
	default:
		return n, unexpectedEnd(err)
	}
}
