package wire

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"pgregory.net/rapid"
)

func genFrame(t *rapid.T) *Frame {
	data := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "data")
	id := rapid.String().Draw(t, "id")
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		return &Frame{Request: &Request{ID: id, Plan: "p", Body: data, BudgetMillis: 5}}
	case 1:
		return &Frame{Chunk: &Chunk{RequestID: id, Offset: 7, Data: data}}
	case 2:
		return &Frame{Refusal: &Refusal{RequestID: id, Outcome: OutcomeNotRun, Reason: ReasonDeadline}}
	default:
		return &Frame{End: &End{RequestID: id, Length: int64(len(data)), Sum: 9}}
	}
}

func TestFrameRoundTripAndTruncation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		frame := genFrame(t)
		var buffer bytes.Buffer
		if err := WriteFrame(&buffer, frame); err != nil {
			t.Fatal(err)
		}
		encoded := bytes.Clone(buffer.Bytes())
		if _, err := ReadFrame(&buffer); err != nil {
			t.Fatal(err)
		}
		cut := rapid.IntRange(1, len(encoded)-1).Draw(t, "cut")
		_, err := ReadFrame(bytes.NewReader(encoded[:cut]))
		if !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatalf("truncated at %d of %d bytes: error %v, want %v", cut, len(encoded), err, io.ErrUnexpectedEOF)
		}
	})
}

func FuzzReadFrame(f *testing.F) {
	var seed bytes.Buffer
	_ = WriteFrame(&seed, &Frame{Probe: &Probe{Leaving: true}})
	f.Add(seed.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 1, 0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := ReadFrame(bytes.NewReader(data))
		if err != nil {
			return
		}
		if frame.countMessages() != 1 {
			t.Fatalf("%d messages in one frame", frame.countMessages())
		}
	})
}
