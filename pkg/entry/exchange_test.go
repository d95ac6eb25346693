package entry

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"teaselgauge.example/teaselgauge/pkg/routing"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// recordingSink keeps what the caller gets.
type recordingSink struct {
	status int
	data   []byte
}

func (s *recordingSink) Head(statusCode int, _ string) error {
	s.status = statusCode
	return nil
}

func (s *recordingSink) Write(data []byte) error {
	s.data = append(s.data, data...)
	return nil
}

// answerFrames cuts an answer into the frames that an agent sends.
func answerFrames(id string, data []byte, size int) []*wire.Frame {
	frames := []*wire.Frame{{Head: &wire.Head{RequestID: id, StatusCode: 200}}}
	for offset := 0; offset < len(data); offset += size {
		part := data[offset:min(offset+size, len(data))]
		frames = append(frames, &wire.Frame{Chunk: &wire.Chunk{RequestID: id, Offset: int64(offset), Data: part}})
	}
	end := &wire.End{RequestID: id, Length: int64(len(data)), Sum: xxhash.Sum64(data)}
	return append(frames, &wire.Frame{End: end})
}

// damage drops, repeats, swaps, crosses or alters one frame.
func damage(t *rapid.T, frames, foreign []*wire.Frame) []*wire.Frame {
	i := rapid.IntRange(0, len(frames)-1).Draw(t, "frame")
	damaged := append([]*wire.Frame(nil), frames...)
	switch rapid.SampledFrom([]string{"drop", "repeat", "swap", "cross", "alter"}).Draw(t, "damage") {
	case "drop":
		return append(damaged[:i], frames[i+1:]...)
	case "repeat":
		return append(damaged[:i+1], frames[i:]...)
	case "swap":
		j := rapid.IntRange(0, len(frames)-1).Draw(t, "other")
		damaged[i], damaged[j] = damaged[j], damaged[i]
	case "cross":
		damaged[i] = foreign[min(i, len(foreign)-1)]
	case "alter":
		damaged[i] = altered(frames[i])
	}
	return damaged
}

// altered returns a frame with another first byte, if it has one.
func altered(frame *wire.Frame) *wire.Frame {
	if frame.Chunk == nil {
		return frame
	}
	chunk := *frame.Chunk
	chunk.Data = bytes.Clone(chunk.Data)
	chunk.Data[0]++
	return &wire.Frame{Chunk: &chunk}
}

// TestOnlyWholeAnswersAreAnswered feeds an exchange the frames of its answer,
// some of them dropped, repeated, swapped, altered or of another request's
// answer. It reports an answer only if the caller got the whole of its own, and
// an answer that isn't streamed reaches the caller only then.
func TestOnlyWholeAnswersAreAnswered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		own := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "own")
		other := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "other")
		size := rapid.IntRange(1, 20).Draw(t, "chunk")
		whole := answerFrames("own", own, size)
		frames := whole
		for range rapid.IntRange(0, 2).Draw(t, "damages") {
			if len(frames) > 0 {
				frames = damage(t, frames, answerFrames("other", other, size))
			}
		}
		stream := rapid.Bool().Draw(t, "stream")
		sink := &recordingSink{}
		x := &exchange{request: &wire.Request{ID: "own", Stream: stream}, sink: sink, digest: xxhash.New()}
		event := takeAll(x, frames)
		_, answered := event.(routing.Completed)
		isWhole := sink.status == 200 && bytes.Equal(sink.data, own)
		if answered && !isWhole {
			t.Fatalf("answered with %q, want %q", sink.data, own)
		}
		if !answered && !stream && sink.status != 0 {
			t.Fatalf("the caller got %q of an answer that isn't whole", sink.data)
		}
		if !answered && fmt.Sprint(frames) == fmt.Sprint(whole) {
			t.Fatalf("event %T for a whole answer", event)
		}
	})
}

// takeAll feeds frames until one ends the attempt, and returns its event or nil.
func takeAll(x *exchange, frames []*wire.Frame) routing.Event {
	for _, frame := range frames {
		if event := x.take(frame); event != nil {
			return event
		}
	}
	return nil
}
