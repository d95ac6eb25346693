package agent

import (
	"context"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

// forwardResponse sends a response from an offset to its end over a stream.
func forwardResponse(ctx context.Context, stream *wire.Stream, from *responseBuffer, offset int64, status func() *wire.Status) error {
	headSent := false
	for {
		state, err := from.next(ctx, offset, headSent)
		if err != nil {
			return err
		}
		if state.head != nil {
			if err := stream.Send(&wire.Frame{Head: state.head}); err != nil {
				return err
			}
			headSent = true
		}
		if len(state.data) > 0 {
			chunk := &wire.Chunk{RequestID: from.id, Offset: offset, Data: state.data}
			if err := stream.Send(&wire.Frame{Chunk: chunk}); err != nil {
				return err
			}
			offset += int64(len(state.data))
		}
		if state.ended {
			return stream.Send(lastFrame(from.id, state, status()))
		}
	}
}

func lastFrame(id string, state responseChunk, status *wire.Status) *wire.Frame {
	if state.refusal != nil {
		refusal := *state.refusal
		refusal.Status = status
		return &wire.Frame{Refusal: &refusal}
	}
	return &wire.Frame{End: &wire.End{
		RequestID: id,
		Length:    state.length,
		Sum:       state.sum,
		Status:    status,
	}}
}
