package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"teaselgauge.example/teaselgauge/pkg/attempt"
	"teaselgauge.example/teaselgauge/pkg/eventstream"
	"teaselgauge.example/teaselgauge/pkg/fleet"
	"teaselgauge.example/teaselgauge/pkg/forward"
	"teaselgauge.example/teaselgauge/pkg/memory"
)

const (
	// maxBufferedBytes is the size up to which a response that is not a stream is
	// buffered completely before it is sent, so that a truncated one can be
	// retried.
	maxBufferedBytes = 256 << 10
)

// progress is the part of the response that was sent to the caller.
type progress struct {
	// responses is the number of servers' responses that were forwarded, wholly or in
	// part; more than one of a resumed stream. framing is that of the last one.
	responses int
	framing   forward.Framing
	// events are those that were sent; scanner finds them in the response. weightsVersion is the version of the weights that
	// the last one was made with; empty if it isn't known.
	events         eventstream.Sequence
	scanner        eventstream.Scanner
	weightsVersion string
	// lastData is when the header or the last bytes of a response were received.
	lastData time.Time
	// lastRead is when the last bytes of a stream were read, longestGap the longest
	// interval between two reads.
	lastRead   time.Time
	longestGap time.Duration
	// firstEvent is when the first complete event of a stream was received.
	firstEvent time.Time
	// evidence is what shows that the response is complete.
	evidence endEvidence
}

// minTimedEvents is the number of events of a stream from which the mean interval between
// them is known well enough.
const minTimedEvents = 4

// eventInterval returns the mean interval between the events of a stream; zero if there
// were too few, or if they came from several servers.
func (p *progress) eventInterval() time.Duration {
	if p.responses != 1 || p.events.Count() < minTimedEvents {
		return 0
	}
	return p.lastRead.Sub(p.firstEvent) / time.Duration(p.events.Count()-1)
}

// forwardResponse sends a response to the caller. It returns nil when the caller
// has all of it, and the failure otherwise.
func (x *exchange) forwardResponse(ctx context.Context, backend *server, response *forward.Response) *attempt.Event {
	x.recordResponse()
	defer x.handler.tracker.RequestEnded(backend.ID)
	x.watchServer(ctx, backend, response)
	defer x.endWatch()
	if x.route.Kind == fleet.Streaming && response.Status == http.StatusOK {
		return x.forwardStream(ctx, backend, response)
	}
	return x.forwardBuffered(ctx, backend, response)
}

// recordResponse records a response that is about to be forwarded.
func (x *exchange) recordResponse() {
	x.progress.responses++
	x.progress.evidence = endUnconfirmed
}

// forwardFailure sends a server's own error response.
func (x *exchange) forwardFailure(ctx context.Context, backend *server, response *forward.Response) {
	x.recordResponse()
	if event := x.forwardBuffered(ctx, backend, response); event != nil {
		x.fail(refusal{status: http.StatusBadGateway, reason: "answer of the backend server is incomplete"})
	}
}

// forwardBuffered reads a response completely before sending it.
func (x *exchange) forwardBuffered(ctx context.Context, backend *server, response *forward.Response) *attempt.Event {
	if response.ContentLength > maxBufferedBytes {
		return x.forwardUnbuffered(ctx, backend, response)
	}
	body, err := x.bufferResponse(ctx, backend, response)
	if errors.Is(err, memory.ErrTooLarge) || errors.Is(err, memory.ErrExhausted) {
		return x.forwardOverflow(ctx, backend, response, body)
	}
	if err != nil {
		return x.responseLost(backend, response, err)
	}
	if err := x.confirmEnd(ctx, backend, response).err(); err != nil {
		return x.responseLost(backend, response, err)
	}
	if err := x.startResponse(response, forward.FramingLength, len(body)); err != nil {
		return x.responseLost(backend, response, err)
	}
	_, _ = x.response.Write(body)
	x.recordForwarded(response.Status)
	return nil
}

// bufferResponse reads a response. Its error is memory.ErrTooLarge or memory.ErrExhausted,
// with the first part of the response, if the rest can't be buffered.
func (x *exchange) bufferResponse(ctx context.Context, backend *server, response *forward.Response) ([]byte, error) {
	connection := limitedConnection(x.request)
	return memory.Buffer{
		Reserve: func(n int64) error { return connection.TryReserve(memory.Response, n) },
		Release: func(n int64) { connection.Release(memory.Response, n) },
		Length:  response.ContentLength,
		Limit:   maxBufferedBytes,
	}.ReadAll(watchedReader{ctx, x, backend, response})
}

// responseLost records why none of a response can be sent, and closes it.
func (x *exchange) responseLost(backend *server, response *forward.Response, err error) *attempt.Event {
	response.Close()
	if response.Status < http.StatusInternalServerError && !x.callerLeft() {
		x.handler.tracker.RequestFailed(time.Now(), backend.ID)
	}
	x.sendError = err
	event := attempt.Lost
	return &event
}

// forwardUnbuffered streams a response whose length is too long to be buffered.
func (x *exchange) forwardUnbuffered(ctx context.Context, backend *server, response *forward.Response) *attempt.Event {
	if err := x.startResponse(response, forward.FramingLength, int(response.ContentLength)); err != nil {
		return x.responseLost(backend, response, err)
	}
	return x.copyBody(ctx, backend, response)
}

// forwardOverflow streams a response of which the buffer has the first part, and that is too
// long to be buffered.
func (x *exchange) forwardOverflow(ctx context.Context, backend *server, response *forward.Response, first []byte) *attempt.Event {
	framing, length := forward.FramingChunks, len(first)
	if response.Framing == forward.FramingLength {
		framing, length = forward.FramingLength, int(response.ContentLength)
	}
	if err := x.startResponse(response, framing, length); err != nil {
		return x.responseLost(backend, response, err)
	}
	if _, err := x.response.Write(first); err != nil {
		response.Close()
		return nil
	}
	return x.copyBody(ctx, backend, response)
}

// copyBody sends the rest of a response that has started and that no other server can
// continue.
func (x *exchange) copyBody(ctx context.Context, backend *server, response *forward.Response) *attempt.Event {
	_, err := io.Copy(x.response, watchedReader{ctx, x, backend, response})
	if err == nil {
		err = x.confirmEnd(ctx, backend, response).err()
	}
	if err != nil {
		response.Close()
		x.sendError = err
		event := attempt.Unresumable
		return &event
	}
	x.recordForwarded(response.Status)
	return nil
}

// recordForwarded records that a response was forwarded to its end.
func (x *exchange) recordForwarded(status int) {
	x.response.complete()
	x.recordStart(time.Now())
	x.result = requestResult{outcome: outcomeCompleted, status: status}
	if status >= http.StatusInternalServerError {
		x.result.outcome = outcomeServerFailed
	}
}

// startResponse sends the header of a response. framing is to mark the end of the body;
// length is its length if that does. The error means that another response was started
// before, or errDrainEnded that the request is being cut off.
func (x *exchange) startResponse(response *forward.Response, framing forward.Framing, length int) error {
	if x.wasCutOff() {
		return errDrainEnded
	}
	if err := x.response.start(response, framing, length); err != nil {
		return err
	}
	x.machine.ResponseStarted()
	x.timeToFirstByte = time.Since(x.arrived)
	return nil
}
