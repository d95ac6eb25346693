package forward

import (
	"io"
	"net/http"
	"time"

	"teaselgauge.example/teaselgauge/pkg/httpresponse"
)

// Framing is what marks the end of a response's body.
type Framing = httpresponse.Framing

// The framings.
const (
	FramingNone       = httpresponse.FramingNone
	FramingLength     = httpresponse.FramingLength
	FramingChunks     = httpresponse.FramingChunks
	FramingConnection = httpresponse.FramingConnection
)

// Response is the response of a backend server. The caller must read the body to
// its end or call Close.
type Response struct {
	Status int
	Header http.Header
	Info   ResponseInfo
	// ContentLength is -1 if the response has no length.
	ContentLength int64
	Framing       Framing
	// Skipped is the number of responses to earlier requests that arrived before it on its
	// connection.
	Skipped int

	exchange *exchange
	body     io.Reader
	// reusable is set if the connection may serve another request after a complete
	// response.
	reusable bool
	ended    bool
	// connectionEnd is set once the connection that delimits the response has ended.
	connectionEnd ConnectionEnd
	// endErr is why that isn't the end of the response; nil if it is.
	endErr error
}

// ConnectionEnd returns what was known of the connection when it ended, if that is the
// response's framing.
func (r *Response) ConnectionEnd() ConnectionEnd { return r.connectionEnd }

func (x *exchange) response(header *httpresponse.Response, info ResponseInfo) *Response {
	return &Response{
		Status:        header.Status,
		Header:        header.Header,
		Info:          info,
		ContentLength: header.ContentLength,
		Framing:       header.Framing,
		exchange:      x,
		body:          header.Body,
		reusable:      header.Reusable,
	}
}

// Read reads the body. It returns io.EOF at its length or last chunk, or at an orderly end
// of the connection if that is the response's framing; other errors are *Error. They wrap
// ErrReset or ErrRequestUnwritten if the connection ended and its end isn't that of the
// response.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	// An error that wraps io.EOF isn't the end.
	if err == io.EOF && r.Framing == FramingConnection && !r.ended {
		r.connectionEnd = r.exchange.connectionEnd()
		r.endErr = r.connectionEnd.err()
	}
	if err == io.EOF && r.endErr != nil {
		err = r.endErr
	}
	switch err {
	case nil:
		return n, nil
	case io.EOF:
		r.finish()
		return n, io.EOF
	default:
		r.Close()
		return n, &Error{Op: "read response", Address: r.exchange.conn.address, Err: classify(err)}
	}
}

// finish keeps the connection after a complete response if it can serve another
// request.
func (r *Response) finish() {
	if r.ended {
		return
	}
	r.ended = true
	x := r.exchange
	x.pool.unsetBusy(x.conn)
	interrupted := !x.stop()
	if interrupted || !r.reusable || !x.written.Load() || x.conn.reader.Buffered() > 0 {
		_ = x.conn.raw.Close()
		return
	}
	x.conn.setIdleDeadline(time.Now(), r.Header)
	x.pool.putIdle(x.conn)
}

// Discard reads the rest of a short response that isn't needed, so that its
// connection can be kept, and closes it otherwise.
func (r *Response) Discard() {
	if r.ContentLength < 0 || r.ContentLength > maxDiscardBytes {
		r.Close()
		return
	}
	if _, err := io.Copy(io.Discard, r); err != nil {
		r.Close()
	}
}

// Close ends the exchange. If the response wasn't read to its end, the connection
// is reset, which makes the server cancel the request.
func (r *Response) Close() {
	if r.ended {
		return
	}
	r.ended = true
	r.exchange.abort()
}
