package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// maxForeignAnswers bounds the answers to earlier requests that are skipped.
	maxForeignAnswers = 4
	// maxDrainBytes bounds what is read of an answer that nobody wants, so that
	// its connection can be kept.
	maxDrainBytes = 64 << 10
	// inlineWriteBytes is the size up to which a request is written before its
	// answer is awaited. Larger ones are written meanwhile, as a server may answer
	// before it has read all.
	inlineWriteBytes = 2 << 10
)

// pastDeadline makes pending reads and writes of a connection fail.
var pastDeadline = time.Unix(1, 0)

// exchange is one request on one connection.
type exchange struct {
	pool *Pool
	conn *conn
	// written tells that the whole request was written without error.
	written atomic.Bool
	// wroteAny tells that a byte of the request may have left.
	wroteAny atomic.Bool
	stop     func() bool
}

// Send writes a request and reads the head of its answer. fresh demands a new
// connection. ctx bounds the whole exchange, also the reading of the body. Its
// errors are *Error.
func (p *Pool) Send(ctx context.Context, address string, request *Request, fresh bool) (*Response, error) {
	var c *conn
	if !fresh {
		c = p.take(address, time.Now())
	}
	if c == nil {
		var err error
		if c, err = p.dial(ctx, address); err != nil {
			return nil, err
		}
	}
	x := &exchange{pool: p, conn: c}
	x.stop = context.AfterFunc(ctx, func() { _ = c.raw.SetDeadline(pastDeadline) })
	response, err := x.run(request)
	if err != nil {
		x.abort()
		if cause := context.Cause(ctx); cause != nil {
			err = fmt.Errorf("%w: %w", cause, err)
		}
		return nil, &Error{Op: "exchange", Address: address, NotSent: !x.wroteAny.Load(), Err: err}
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
		// A failed write shows as a failed read, since it closes the connection.
		go func() { _ = x.write(encoded) }()
	}
	for range maxForeignAnswers {
		head, err := x.conn.readHead(request.Method)
		if err != nil {
			return nil, classify(err)
		}
		info := x.pool.dialect.DecodeResponse(head.StatusCode, head.Header)
		if info.RequestID == request.ID {
			return x.response(head, info), nil
		}
		if err := x.skip(head); err != nil {
			return nil, err
		}
	}
	return nil, ErrForeignAnswer
}

func (x *exchange) write(encoded []byte) error {
	x.wroteAny.Store(true)
	if _, err := x.conn.raw.Write(encoded); err != nil {
		x.conn.reset()
		return err
	}
	x.written.Store(true)
	return nil
}

// skip reads past an answer to another request. An answer that ends with its
// connection can't be skipped.
func (x *exchange) skip(head *http.Response) error {
	if head.ContentLength < 0 && len(head.TransferEncoding) == 0 {
		return ErrForeignAnswer
	}
	n, err := io.Copy(io.Discard, io.LimitReader(head.Body, maxDrainBytes+1))
	if err != nil || n > maxDrainBytes {
		return ErrForeignAnswer
	}
	return nil
}

// abort resets the connection, which makes the server drop the request, and the
// network the bytes of it that are still on their way.
func (x *exchange) abort() {
	x.stop()
	x.conn.reset()
}

// classify tells network failures from answers that can't be read.
func classify(err error) error {
	var network net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrMalformed, err)
}
