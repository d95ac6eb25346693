package wire

import "context"

// Call sends one frame to a host and returns the one frame of the response.
func (n *Node) Call(ctx context.Context, host, address string, frame *Frame) (*Frame, error) {
	stream, err := n.Open(ctx, host, address)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	if deadline, ok := ctx.Deadline(); ok {
		stream.SetReadDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, stream.Abort)
	defer stop()
	if err := stream.Send(frame); err != nil {
		return nil, err
	}
	stream.CloseSend()
	return stream.Receive()
}
