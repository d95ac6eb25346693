package memory

import (
	"errors"
	"io"
)

const (
	// unknownFirst is the first size of a buffer for an unknown number of bytes, knownFirst
	// the largest first size for a known one.
	unknownFirst = 2 << 10
	knownFirst   = 16 << 10
)

// ErrTooLarge means that more bytes came than are allowed.
var ErrTooLarge = errors.New("size exceeds its limit")

// Buffer reads into memory that it reserves before it allocates.
type Buffer struct {
	// Reserve reserves a number of bytes, Release releases them.
	Reserve func(n int64) error
	Release func(n int64)
	// Length is the expected number of bytes; negative if it isn't known. Limit is the
	// largest number of bytes.
	Length, Limit int64
}

// ReadAll reads to the end of r. Its error is ErrTooLarge, that of Reserve, or that of r; the
// bytes read so far are returned with it, and stay reserved.
func (b Buffer) ReadAll(r io.Reader) ([]byte, error) {
	data, err := b.grow(nil, b.first())
	for err == nil {
		var n int
		n, err = r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case err == io.EOF:
			err = nil
			if int64(len(data)) > b.Limit {
				err = ErrTooLarge
			}
			return data, err
		case err != nil:
		case int64(len(data)) > b.Limit:
			return data, ErrTooLarge
		case len(data) == cap(data):
			data, err = b.grow(data, b.next(len(data)))
		}
	}
	return data, err
}

// first returns the first size. One byte more than expected shows the end of the reader.
func (b Buffer) first() int64 {
	if b.Length < 0 {
		return min(unknownFirst, b.Limit+1)
	}
	return min(b.Length+1, knownFirst, b.Limit+1)
}

// next returns the size after a full one.
func (b Buffer) next(size int) int64 {
	next := min(2*int64(size), b.Limit+1)
	if b.Length >= int64(size) {
		next = min(next, b.Length+1)
	}
	return next
}

// grow returns a larger buffer with the same data. While it copies, both are reserved.
func (b Buffer) grow(data []byte, size int64) ([]byte, error) {
	if err := b.Reserve(size); err != nil {
		return data, err
	}
	larger := make([]byte, len(data), size)
	copy(larger, data)
	if cap(data) > 0 {
		b.Release(int64(cap(data)))
	}
	return larger, nil
}
