package gateway

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"strconv"

	"teaselgauge.example/teaselgauge/pkg/forward"
	"teaselgauge.example/teaselgauge/pkg/httpdrain"
	"teaselgauge.example/teaselgauge/pkg/tcpstate"
)

// responseState is how far the response to a caller has got.
type responseState uint8

// The states of a response.
const (
	// responseNotStarted: nothing was sent.
	responseNotStarted responseState = iota
	// responseStarted: the header was sent, and the end of the body isn't there yet.
	responseStarted
	// responseComplete: all was sent, and it is known to be all.
	responseComplete
)

// lingerDefault and lingerReset are arguments of net.TCPConn.SetLinger, in seconds: an
// orderly close in the background, and a reset.
const (
	lingerDefault = -1
	lingerReset   = 0
)

// callerConnectionKey is the key of the caller's connection in a request's context.
type callerConnectionKey struct{}

// withCallerConnection is the ConnContext of the HTTP server for callers.
func withCallerConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(httpdrain.WithConnection(ctx, connection), callerConnectionKey{}, connection)
}

// callerConnection returns the TCP connection below a caller's connection; nil if there is
// none.
func callerConnection(ctx context.Context) *net.TCPConn {
	return tcpstate.Below(ctx.Value(callerConnectionKey{}))
}

var (
	// errNoTCPConnection means that the caller's connection isn't over TCP.
	errNoTCPConnection = errors.New("no TCP connection")
	// errResponseStarted means that a response can't be started since another one was.
	errResponseStarted = errors.New("a response was started already")
	// errResponseNotOpen means that a body can't be written before the header or after
	// the end.
	errResponseNotOpen = errors.New("the response isn't open")
)

// callerResponse is the response to one caller. It alone decides how the response ends:
// in order only after complete, and otherwise such that the caller detects it as
// incomplete. It is used by one goroutine.
type callerResponse struct {
	writer  http.ResponseWriter
	request *http.Request
	logger  *slog.Logger
	state   responseState
	// framing is what marks the end of the body towards the caller.
	framing forward.Framing
	// heldStatus is the status of a header that is sent with the first bytes of the body or
	// the end; zero if it was sent.
	heldStatus int
	// written is the number of bytes of the body that net/http has taken.
	written int64
	// record records the end of the request; nil if nothing is left to record. Its argument is
	// the error of a write to the caller's connection.
	record func(writeErr error)
}

func newCallerResponse(w http.ResponseWriter, r *http.Request, logger *slog.Logger) *callerResponse {
	return &callerResponse{writer: w, request: r, logger: logger}
}

// started reports whether a header was sent.
func (r *callerResponse) started() bool { return r.state != responseNotStarted }

// start prepares the header of a server's response, which is sent with the first bytes of the
// body. framing is to mark the end of the body;
// length is its length if that does. It fails if a response was started before.
func (r *callerResponse) start(response *forward.Response, framing forward.Framing, length int) error {
	if r.started() {
		return errResponseStarted
	}
	r.state = responseStarted
	r.framing = r.supportedFraming(response, framing)
	header := r.writer.Header()
	for name, values := range forward.EndToEnd(response.Header) {
		if name == "Content-Length" && r.framing != forward.FramingNone {
			continue
		}
		header[name] = values
	}
	if len(header["Content-Type"]) == 0 {
		// A nil value disables content type detection in net/http.
		header["Content-Type"] = nil
	}
	switch r.framing {
	case forward.FramingLength:
		header.Set("Content-Length", strconv.Itoa(length))
	case forward.FramingConnection:
		// This value makes net/http send the body as it is and then close the connection.
		header.Set("Transfer-Encoding", "identity")
		r.setResetOnClose(true)
	}
	r.heldStatus = response.Status
	return nil
}

// sendHeader sends the header that start has prepared.
func (r *callerResponse) sendHeader() {
	if r.heldStatus != 0 {
		r.writer.WriteHeader(r.heldStatus)
		r.heldStatus = 0
	}
}

// retract takes a response back of which nothing was sent, so that another one may start.
func (r *callerResponse) retract() {
	if r.state != responseStarted || r.heldStatus == 0 {
		return
	}
	if r.framing == forward.FramingConnection {
		r.setResetOnClose(false)
	}
	header := r.writer.Header()
	maps.DeleteFunc(header, func(name string, _ []string) bool { return name != "Connection" })
	r.state, r.heldStatus = responseNotStarted, 0
}

// supportedFraming returns what can mark the end of a response towards the caller. Callers
// of HTTP/1.0 don't know chunks.
func (r *callerResponse) supportedFraming(response *forward.Response, wanted forward.Framing) forward.Framing {
	switch {
	case response.Framing == forward.FramingNone:
		return forward.FramingNone
	case wanted == forward.FramingChunks && !r.request.ProtoAtLeast(1, 1):
		return forward.FramingConnection
	default:
		return wanted
	}
}

// setResetOnClose makes the end of the caller's connection a reset, also if this process
// is killed, or an orderly one.
func (r *callerResponse) setResetOnClose(reset bool) {
	seconds := lingerDefault
	if reset {
		seconds = lingerReset
	}
	err := errNoTCPConnection
	if connection := callerConnection(r.request.Context()); connection != nil {
		err = connection.SetLinger(seconds)
	}
	if err != nil {
		r.logger.Warn("end of the caller's connection not set", "reset", reset, "error", err)
	}
}

// Write implements io.Writer. Apart from errResponseNotOpen, the error is that of the
// caller's connection.
func (r *callerResponse) Write(data []byte) (int, error) {
	if r.state != responseStarted {
		return 0, errResponseNotOpen
	}
	r.sendHeader()
	n, err := r.writer.Write(data)
	r.written += int64(n)
	return n, err
}

// flush sends what was written. An error shows at the next write as well.
func (r *callerResponse) flush() { _ = http.NewResponseController(r.writer).Flush() }

// complete records that all of the response was written, so that it may end in order.
func (r *callerResponse) complete() {
	r.sendHeader()
	if r.framing == forward.FramingConnection {
		r.flush()
		r.setResetOnClose(false)
	}
	r.state = responseComplete
}

// delivered is called once the response was handed to the kernel or its connection was
// closed. writeErr is the error of a write to the connection, if there was one.
func (r *callerResponse) delivered(writeErr error) {
	if r.record != nil {
		r.record(writeErr)
	}
}

// refuse sends a response of the gateway's own. It fails if a response was started
// before.
func (r *callerResponse) refuse(why refusal) error {
	if r.started() {
		return errResponseStarted
	}
	refuse(r.writer, why)
	r.complete()
	return nil
}

// end ends the response. It doesn't return if the response is incomplete: net/http then
// closes the connection without the end of the body, or resets it if its end is the end of
// the body.
func (r *callerResponse) end() {
	if r.state != responseComplete {
		panic(http.ErrAbortHandler)
	}
	httpdrain.ResponseComplete(r.request.Context())
}
