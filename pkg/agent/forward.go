package agent

import (
	"context"

	"teaselgauge.example/teaselgauge/pkg/wire"
)

// forwardResponse sends a response from an offset to its end over a stream.
func forwardResponse(ctx context.Context, stream *wire.Stream, buffer *responseBuffer, offset int64, status func() *wire.Status) error {
	headSent := false
	for {
		part, err := buffer.next(ctx, offset, headSent)
		if err != nil {
			return err
		}
		if part.head != nil {
			if err := stream.Send(&wire.Frame{Head: part.head}); err != nil {
				return err
			}
			headSent = true
		}
		if len(part.data) > 0 {
			chunk := &wire.Chunk{RequestID: buffer.id, Offset: offset, Data: part.data}
			if err := stream.Send(&wire.Frame{Chunk: chunk}); err != nil {
				return err
			}
			offset += int64(len(part.data))
		}
		if part.ended {
			return stream.Send(lastFrame(buffer.id, part, status()))
		}
	}
}

func lastFrame(id string, part responseChunk, status *wire.Status) *wire.Frame {
	if part.refusal != nil {
		refusal := *part.refusal
		refusal.Status = status
		return &wire.Frame{Refusal: &refusal}
	}
	return &wire.Frame{End: &wire.End{
		RequestID: id,
		Length:    part.length,
		Sum:       part.sum,
		Status:    status,
	}}
}
