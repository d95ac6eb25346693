package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// HTTPService is a client of a plain service. It is safe for concurrent use.
type HTTPService struct {
	url    string
	client *http.Client
}

var _ Service = (*HTTPService)(nil)

// NewHTTPService returns a client of the plain service at a base URL. Connections
// aren't reused, because the transport may resend a request if a reused connection
// breaks.
func NewHTTPService(url string) *HTTPService {
	return &HTTPService{url: strings.TrimRight(url, "/"), client: newClient(false)}
}

// Call sends a request once. A response with any status is returned as a Response,
// unless the service reports that the request did not run.
func (s *HTTPService) Call(ctx context.Context, call Call) (Response, error) {
	const op = "call"
	parts := requestParts{method: call.Method, url: s.url + call.Path, body: call.Body}
	parts.set("Content-Type", call.ContentType)
	parts.set(HeaderRequestID, call.RequestID)
	parts.set(HeaderIdempotencyKey, call.IdempotencyKey)
	response, err := send(ctx, s.client, op, parts)
	if err != nil {
		return Response{}, err
	}
	if err := checkRequestID(op, call.RequestID, response); err != nil {
		response.Body.Close()
		return Response{}, err
	}
	if isNotRun(response) {
		defer response.Body.Close()
		return Response{}, checkStatus(op, response)
	}
	if err := checkServiceResponse(call, response); err != nil {
		response.Body.Close()
		return Response{}, &Error{Op: op, Status: response.StatusCode, Err: err}
	}
	return Response{
		StatusCode:  response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Length:      response.ContentLength,
		Body:        &responseBody{op: op, reader: response.Body, closer: response.Body},
	}, nil
}

// checkServiceResponse rejects encoded responses and responses whose end can't be
// distinguished from a truncation.
func checkServiceResponse(call Call, response *http.Response) error {
	if call.Method != http.MethodHead && response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return errors.New("answer without a length")
	}
	return checkEncoding(response)
}

// Healthy returns an error unless the service responds to GET /healthz with a
// success status within the timeout.
func (s *HTTPService) Healthy(ctx context.Context, timeout time.Duration) error {
	const op = "health"
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := send(ctx, s.client, op, requestParts{method: http.MethodGet, url: s.url + "/healthz"})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if err := checkStatus(op, response); err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorBytes)); err != nil {
		return &Error{Op: op, Err: fmt.Errorf("read answer: %w", err)}
	}
	return nil
}
