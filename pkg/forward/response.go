package forward

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// Response is the answer of a backend server. The caller reads Body to its end
// or calls Close.
type Response struct {
	Status int
	Header http.Header
	Info   ResponseInfo
	// ContentLength is -1 if the answer names no length.
	ContentLength int64

	exchange *exchange
	body     io.ReadCloser
	// reusable tells that the connection may serve another request after a whole
	// answer.
	reusable bool
	ended    bool
}

func (x *exchange) response(head *http.Response, info ResponseInfo) *Response {
	return &Response{
		Status:        head.StatusCode,
		Header:        head.Header,
		Info:          info,
		ContentLength: head.ContentLength,
		exchange:      x,
		body:          head.Body,
		reusable:      !head.Close,
	}
}

// Read reads the body. It returns io.EOF only if the answer is whole; other
// errors are *Error.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		r.finish()
		return n, io.EOF
	default:
		r.Close()
		return n, &Error{Op: "read answer", Address: r.exchange.conn.address, Err: err}
	}
}

// finish keeps the connection after a whole answer if it can serve another
// request.
func (r *Response) finish() {
	if r.ended {
		return
	}
	r.ended = true
	x := r.exchange
	interrupted := !x.stop()
	if interrupted || !r.reusable || !x.written.Load() || x.conn.reader.Buffered() > 0 {
		_ = x.conn.raw.Close()
		return
	}
	x.conn.keepUntil(time.Now(), r.Header)
	x.pool.put(x.conn)
}

// Discard reads the rest of a short answer that isn't needed, so that its
// connection can be kept, and closes it otherwise.
func (r *Response) Discard() {
	if r.ContentLength < 0 || r.ContentLength > maxDrainBytes {
		r.Close()
		return
	}
	if _, err := io.Copy(io.Discard, r); err != nil {
		r.Close()
	}
}

// Close ends the exchange. If the answer wasn't read to its end, the connection
// is closed, which makes the server drop the request.
func (r *Response) Close() {
	if r.ended {
		return
	}
	r.ended = true
	r.exchange.abort()
}
