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

// recordingSink records what the caller receives.
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

// responseFrames splits a response into the frames that an agent sends.
func responseFrames(id string, data []byte, size int) []*wire.Frame {
	frames := []*wire.Frame{{Head: &wire.Head{RequestID: id, StatusCode: 200}}}
	for offset := 0; offset < len(data); offset += size {
		part := data[offset:min(offset+size, len(data))]
		frames = append(frames, &wire.Frame{Chunk: &wire.Chunk{RequestID: id, Offset: int64(offset), Data: part}})
	}
	end := &wire.End{RequestID: id, Length: int64(len(data)), Sum: xxhash.Sum64(data)}
	return append(frames, &wire.Frame{End: end})
}

// damageFrames drops, repeats, swaps, replaces or alters one frame.
func damageFrames(t *rapid.T, frames, foreign []*wire.Frame) []*wire.Frame {
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
		damaged[i] = alteredFrame(frames[i])
	}
	return damaged
}

// alteredFrame returns a frame with a different first byte, if it has one.
func alteredFrame(frame *wire.Frame) *wire.Frame {
	if frame.Chunk == nil {
		return frame
	}
	chunk := *frame.Chunk
	chunk.Data = bytes.Clone(chunk.Data)
	chunk.Data[0]++
	return &wire.Frame{Chunk: &chunk}
}

// TestOnlyCompleteResponsesAreForwarded guards against truncated or mixed-up
// responses. An exchange gets the frames of its response, some of them dropped,
// repeated, swapped, altered or replaced by another request's. It may report
// success only if the caller received its own complete response, and a response
// that isn't streamed may reach the caller only then.
func TestOnlyCompleteResponsesAreForwarded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		own := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "own")
		other := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "other")
		size := rapid.IntRange(1, 20).Draw(t, "chunk")
		complete := responseFrames("own", own, size)
		frames := complete
		for range rapid.IntRange(0, 2).Draw(t, "damages") {
			if len(frames) > 0 {
				frames = damageFrames(t, frames, responseFrames("other", other, size))
			}
		}
		stream := rapid.Bool().Draw(t, "stream")
		sink := &recordingSink{}
		x := &exchange{request: &wire.Request{ID: "own", Stream: stream}, sink: sink, digest: xxhash.New()}
		event := handleFrames(x, frames)
		_, completed := event.(routing.Completed)
		isComplete := sink.status == 200 && bytes.Equal(sink.data, own)
		if completed && !isComplete {
			t.Fatalf("completed with %q, want %q", sink.data, own)
		}
		if !completed && !stream && sink.status != 0 {
			t.Fatalf("the caller received %q of an incomplete response", sink.data)
		}
		if !completed && fmt.Sprint(frames) == fmt.Sprint(complete) {
			t.Fatalf("event %T for a complete response", event)
		}
	})
}

// handleFrames processes frames until one ends the attempt, and returns its event or
// nil.
func handleFrames(x *exchange, frames []*wire.Frame) routing.Event {
	for _, frame := range frames {
		if event := x.handleFrame(frame); event != nil {
			return event
		}
	}
	return nil
}
