package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"teaselgauge.example/teaselgauge/pkg/httpresponse"
)

const (
	// maxForeignResponses limits the responses to earlier requests that are
	// skipped.
	maxForeignResponses = 4
	// maxDiscardBytes limits how much of an unneeded response is read to keep its
	// connection.
	maxDiscardBytes = 64 << 10
	// inlineWriteBytes is the size up to which a request is written before its
	// response is read. Larger ones are written concurrently, as a server may
	// respond before it has read the whole request.
	inlineWriteBytes = 2 << 10
	// writerSettleTime limits the wait for the writer of a request whose response has
	// ended with its connection: it may have written all and not said so yet.
	writerSettleTime = 100 * time.Millisecond
)

// pastDeadline makes pending reads and writes of a connection fail.
var pastDeadline = time.Unix(1, 0)

// exchange is one request on one connection.
type exchange struct {
	pool *Pool
	conn *conn
	// written is set once the whole request was written without error.
	written atomic.Bool
	// writeEnded is closed once the request's writer has ended, with or without an error.
	writeEnded chan struct{}
	// maybeSent is set once a byte of the request may have been sent.
	maybeSent atomic.Bool
	stop      func() bool
}

// Send writes a request and reads the header of its response. It uses a connection on
// which the request wasn't sent before. ctx covers the whole exchange, including the body.
// A response whose Info has a Contradiction may be that of another request.
// Errors are of type *Error.
func (p *Pool) Send(ctx context.Context, address string, request *Request) (*Response, error) {
	c := p.takeIdle(address, time.Now(), request.carriers)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, address); err != nil {
			return nil, err
		}
	}
	request.carriers = append(request.carriers, c)
	c.carry(request.ID)
	p.setBusy(c)
	x := &exchange{pool: p, conn: c, writeEnded: make(chan struct{})}
	x.stop = context.AfterFunc(ctx, func() { _ = c.raw.SetDeadline(pastDeadline) })
	response, err := x.run(request)
	if err != nil {
		x.abort()
		if cause := context.Cause(ctx); cause != nil {
			err = fmt.Errorf("%w: %w", cause, err)
		}
		return nil, &Error{Op: "exchange", Address: address, NotSent: !x.maybeSent.Load(), Err: err}
	}
	return response, nil
}

func (x *exchange) run(request *Request) (*Response, error) {
	encoded := request.encode()
	if len(encoded) <= inlineWriteBytes {
		if err := x.write(encoded); err != nil {
			return nil, err
		}
	} else {
		// The connection records an error of the write. The read may not see it: after a
		// reset that the write has met it may end in order.
		go func() { _ = x.write(encoded) }()
	}
	for skipped := range maxForeignResponses {
		header, err := x.conn.readHeader(request.Method)
		if err != nil {
			return nil, classify(err)
		}
		info := x.pool.headerCodec.DecodeResponse(header.Status, header.Header)
		// A header that contradicts itself doesn't show where its response ends either.
		if info.RequestID == request.ID || info.Contradiction != "" {
			response := x.response(header, info)
			response.Skipped = skipped
			return response, nil
		}
		// A response to an unknown request may be the one to this request with a spoiled ID.
		// What comes after it may be an extra one that doesn't hold.
		if !x.conn.hasCarried(info.RequestID) {
			return nil, ErrForeignResponse
		}
		if err := x.skip(header); err != nil {
			return nil, err
		}
	}
	return nil, ErrForeignResponse
}

// write writes the request and closes the connection if that fails.
func (x *exchange) write(encoded []byte) error {
	defer close(x.writeEnded)
	x.maybeSent.Store(true)
	if _, err := x.conn.raw.Write(encoded); err != nil {
		x.conn.recordFailure(err)
		x.conn.reset()
		return err
	}
	x.written.Store(true)
	return nil
}

// skip reads a response to another request to its end. A response that is
// delimited by the end of the connection can't be skipped.
func (x *exchange) skip(header *httpresponse.Response) error {
	if header.Framing == FramingConnection {
		return ErrForeignResponse
	}
	n, err := io.Copy(io.Discard, io.LimitReader(header.Body, maxDiscardBytes+1))
	if err != nil || n > maxDiscardBytes {
		return ErrForeignResponse
	}
	return nil
}

// abort resets the connection, which makes the server cancel the request and
// discards data that is still in transit.
func (x *exchange) abort() {
	x.stop()
	x.pool.unsetBusy(x.conn)
	x.conn.reset()
}

// classify separates malformed responses from network failures.
func classify(err error) error {
	if errors.Is(err, httpresponse.ErrMalformed) {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return err
}
