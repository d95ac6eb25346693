package wire

import (
	"bufio"
	"context"
	"time"

	"github.com/quic-go/quic-go"
)

// FirstFrameTimeout limits the wait for the first frame of a call.
const FirstFrameTimeout = 5 * time.Second

const (
	readBufferBytes = 4 << 10

	// streamCancelled is the QUIC error code of a stream cancelled by its user.
	streamCancelled quic.StreamErrorCode = 1
)

// Stream is one call on a connection. One goroutine may send while another
// receives.
type Stream struct {
	stream    *quic.Stream
	reader    *bufio.Reader
	host      string
	onRelease func()
}

func newStream(stream *quic.Stream, host string, onRelease func()) *Stream {
	return &Stream{
		stream:    stream,
		reader:    bufio.NewReaderSize(stream, readBufferBytes),
		host:      host,
		onRelease: onRelease,
	}
}

// Send writes one frame.
func (s *Stream) Send(frame *Frame) error {
	if err := WriteFrame(s.stream, frame); err != nil {
		return &Error{Op: "send to", Host: s.host, Err: err}
	}
	return nil
}

// Receive reads one frame.
func (s *Stream) Receive() (*Frame, error) {
	frame, err := ReadFrame(s.reader)
	if err != nil {
		return nil, &Error{Op: "receive from", Host: s.host, Err: err}
	}
	return frame, nil
}

// ReceiveFirst reads the first frame of a call from a peer, which must arrive within
// FirstFrameTimeout.
func (s *Stream) ReceiveFirst() (*Frame, error) {
	s.SetReadDeadline(time.Now().Add(FirstFrameTimeout))
	defer s.SetReadDeadline(time.Time{})
	return s.Receive()
}

// SetReadDeadline sets the deadline of Receive. The zero time means no deadline.
func (s *Stream) SetReadDeadline(t time.Time) {
	_ = s.stream.SetReadDeadline(t)
}

// Context ends when the peer cancels the stream or the connection breaks.
func (s *Stream) Context() context.Context { return s.stream.Context() }

// CloseSend signals to the peer that no more frames follow.
func (s *Stream) CloseSend() { _ = s.stream.Close() }

// Cancel cancels the stream in both directions and releases it.
func (s *Stream) Cancel() {
	s.stream.CancelRead(streamCancelled)
	s.stream.CancelWrite(streamCancelled)
	s.release()
}

// Close ends the stream gracefully and releases it.
func (s *Stream) Close() {
	_ = s.stream.Close()
	s.stream.CancelRead(streamCancelled)
	s.release()
}

func (s *Stream) release() {
	if s.onRelease != nil {
		s.onRelease()
		s.onRelease = nil
	}
}

// Abort makes pending reads and writes fail without releasing the stream.
func (s *Stream) Abort() {
	s.stream.CancelRead(streamCancelled)
	s.stream.CancelWrite(streamCancelled)
}
