package wire

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

const (
	// MaxFrameBytes limits the encoded size of one frame.
	MaxFrameBytes = 72 << 20
	// MaxResponseBytes limits the size of one response.
	MaxResponseBytes = 8 << 20
	// MaxChunkBytes limits the data of one Chunk.
	MaxChunkBytes = 64 << 10

	frameHeaderBytes = 4
	maxArrayElements = 1 << 17
	maxNestedLevels  = 8
)

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	options := cbor.DecOptions{
		MaxArrayElements: maxArrayElements,
		MaxNestedLevels:  maxNestedLevels,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// WriteFrame encodes a frame and writes it in a single call of Write.
func WriteFrame(w io.Writer, frame *Frame) error {
	body, err := encMode.Marshal(frame)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	if len(body) > MaxFrameBytes {
		return fmt.Errorf("encode frame: %d bytes exceed the limit of %d", len(body), MaxFrameBytes)
	}
	buffer := make([]byte, frameHeaderBytes, frameHeaderBytes+len(body))
	binary.BigEndian.PutUint32(buffer, uint32(len(body)))
	buffer = append(buffer, body...)
	_, err = w.Write(buffer)
	return err
}

// ReadFrame reads one frame. It returns io.EOF only at a frame boundary, and
// io.ErrUnexpectedEOF if the stream ends within a frame.
func ReadFrame(r io.Reader) (*Frame, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > MaxFrameBytes {
		return nil, fmt.Errorf("read frame: %d bytes exceed the limit of %d", length, MaxFrameBytes)
	}
	body, err := readIncrementally(r, int(length))
	if err != nil {
		return nil, err
	}
	return decodeFrame(body)
}

// readIncrementally grows its buffer as data arrives, so that a false length doesn't
// allocate memory.
func readIncrementally(r io.Reader, length int) ([]byte, error) {
	const step = 1 << 20
	body := make([]byte, 0, min(length, step))
	for len(body) < length {
		next := min(length-len(body), step)
		start := len(body)
		body = append(body, make([]byte, next)...)
		if _, err := io.ReadFull(r, body[start:]); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	return body, nil
}

func decodeFrame(body []byte) (*Frame, error) {
	frame := new(Frame)
	if err := decMode.Unmarshal(body, frame); err != nil {
		return nil, fmt.Errorf("decode frame: %w", err)
	}
	if count := frame.countMessages(); count != 1 {
		return nil, fmt.Errorf("decode frame: %d messages in one frame, want 1", count)
	}
	return frame, nil
}

// countMessages returns the number of messages set in the frame.
func (f *Frame) countMessages() int {
	count := 0
	for _, set := range []bool{
		f.Request != nil, f.Accepted != nil, f.Refusal != nil, f.Head != nil,
		f.Chunk != nil, f.End != nil, f.Probe != nil, f.Status != nil,
		f.Sync != nil, f.Update != nil, f.LoadRequest != nil, f.LoadGrant != nil,
		f.Resume != nil, f.Subscribe != nil, f.RunnerPlacement != nil, f.RunnerLoadGrant != nil,
		f.RunnerStatus != nil, f.Acquire != nil, f.Granted != nil, f.Released != nil,
		f.Follow != nil, f.SiteUpdate != nil, f.RateTokenRequest != nil, f.LimitObserved != nil,
		f.CrashReport != nil, f.StartReport != nil, f.OriginQuery != nil, f.OriginAnswer != nil,
		f.OriginHandover != nil, f.EvidenceHandover != nil, f.BlockQuery != nil, f.BlockAnswer != nil, f.QuotaRequest != nil, f.QuotaGrant != nil,
	} {
		if set {
			count++
		}
	}
	return count
}
