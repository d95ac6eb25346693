package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"teaselgauge.example/teaselgauge/pkg/httpjson"
)

// The headers between an agent and its backend server.
const (
	// HeaderRequestID identifies a request; the response repeats it.
	HeaderRequestID = "X-Request-Id"
	// HeaderPriority is the priority of a request, higher first.
	HeaderPriority = "X-Priority"
	// HeaderOutcome is OutcomeNotRun in the response to a request or an order that
	// the backend server certainly did not carry out.
	HeaderOutcome = "X-Outcome"
	// HeaderIdempotencyKey is the caller's idempotency key for a plain service.
	HeaderIdempotencyKey = "Idempotency-Key"

	HeaderModel          = "X-Model"
	HeaderModelVersion   = "X-Model-Version"
	HeaderAdapter        = "X-Adapter"
	HeaderAdapterVersion = "X-Adapter-Version"
)

// OutcomeNotRun is the value of HeaderOutcome for a request that did not run.
const OutcomeNotRun = "not-run"

const (
	dialTimeout     = time.Second
	idleConnTimeout = 90 * time.Second
	maxIdleConns    = 64
	maxStateBytes   = 16 << 20
	maxErrorBytes   = 4 << 10
)

// plainEncoding is the only content encoding of a response that is accepted. A
// response is passed on without its Content-Encoding.
const plainEncoding = "identity"

// errWrongResponse reports that a response belongs to another request.
var errWrongResponse = errors.New("answer belongs to another request")

// HTTPEngine is a client of a model engine with OpenAI-compatible routes for
// requests and control routes for orders. It is safe for concurrent use.
type HTTPEngine struct {
	url    string
	client *http.Client
}

var _ Engine = (*HTTPEngine)(nil)

// NewHTTPEngine returns a client of the engine at a base URL.
func NewHTTPEngine(url string) *HTTPEngine {
	return &HTTPEngine{url: strings.TrimRight(url, "/"), client: newClient(true)}
}

// Close closes the idle connections.
func (e *HTTPEngine) Close() {
	e.client.CloseIdleConnections()
}

// State returns the engine's report of its state.
func (e *HTTPEngine) State(ctx context.Context) (State, error) {
	const op = "state"
	response, err := send(ctx, e.client, op, requestParts{method: http.MethodGet, url: e.url + "/control/state"})
	if err != nil {
		return State{}, err
	}
	defer response.Body.Close()
	if err := checkStatus(op, response); err != nil {
		return State{}, err
	}
	var state State
	if err := httpjson.Decode(response.Body, maxStateBytes, &state); err != nil {
		return State{}, &Error{Op: op, Err: err}
	}
	return state, nil
}

// Load returns when the target is loaded.
func (e *HTTPEngine) Load(ctx context.Context, order Order) error {
	return e.order(ctx, "load", order)
}

// Unload returns when the target's memory is free.
func (e *HTTPEngine) Unload(ctx context.Context, order Order) error {
	return e.order(ctx, "unload", order)
}

// SetRole changes the engine's role.
func (e *HTTPEngine) SetRole(ctx context.Context, order Order) error {
	return e.order(ctx, "role", order)
}

func (e *HTTPEngine) order(ctx context.Context, op string, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return &Error{Op: op, NotRun: true, Err: fmt.Errorf("encode: %w", err)}
	}
	return e.sendControl(ctx, op, body)
}

// cancelRequest is the body of a cancel request.
type cancelRequest struct {
	RequestID string `json:"request_id"`
}

// Cancel stops a request.
func (e *HTTPEngine) Cancel(ctx context.Context, requestID string) error {
	body, err := json.Marshal(cancelRequest{RequestID: requestID})
	if err != nil {
		return &Error{Op: "cancel", NotRun: true, Err: fmt.Errorf("encode: %w", err)}
	}
	return e.sendControl(ctx, "cancel", body)
}

func (e *HTTPEngine) sendControl(ctx context.Context, op string, body []byte) error {
	parts := requestParts{method: http.MethodPost, url: e.url + "/control/" + op, body: body}
	parts.set("Content-Type", "application/json")
	response, err := send(ctx, e.client, op, parts)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if err := checkStatus(op, response); err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStateBytes)); err != nil {
		return &Error{Op: op, Err: fmt.Errorf("read answer: %w", err)}
	}
	return nil
}

// Call starts a request. A response with a server error status is returned as
// *Error, one with another status as a Response.
func (e *HTTPEngine) Call(ctx context.Context, call Call) (Response, error) {
	const op = "call"
	response, err := send(ctx, e.client, op, e.callParts(call))
	if err != nil {
		return Response{}, err
	}
	if err := checkRequestID(op, call.RequestID, response); err != nil {
		response.Body.Close()
		return Response{}, err
	}
	if isNotRun(response) || response.StatusCode >= http.StatusInternalServerError {
		defer response.Body.Close()
		return Response{}, checkStatus(op, response)
	}
	return e.toResponse(op, call.RequestID, response, newEndReader(0))
}

func (e *HTTPEngine) callParts(call Call) requestParts {
	parts := requestParts{method: call.Method, url: e.url + call.Path, body: call.Body}
	if parts.method == "" {
		parts.method = http.MethodPost
	}
	parts.set("Content-Type", call.ContentType)
	parts.set(HeaderRequestID, call.RequestID)
	parts.set(HeaderPriority, strconv.Itoa(call.Priority))
	parts.set(HeaderModel, call.Target.Model)
	parts.set(HeaderModelVersion, call.Target.Version)
	parts.set(HeaderAdapter, call.Target.Adapter)
	parts.set(HeaderAdapterVersion, call.Target.AdapterVersion)
	if call.Stream {
		parts.set("Accept", eventStreamType)
	}
	return parts
}

// Resume continues the response to a request from a byte offset. It requests a few
// bytes before the offset, so that an end marker that spans the offset is recognised.
// They are returned as Overlap.
func (e *HTTPEngine) Resume(ctx context.Context, requestID string, offset int64) (Response, error) {
	const op = "resume"
	overlap := min(offset, resumeOverlapBytes)
	query := url.Values{}
	query.Set("request_id", requestID)
	query.Set("offset", strconv.FormatInt(offset-overlap, 10))
	parts := requestParts{method: http.MethodGet, url: e.url + "/control/resume?" + query.Encode()}
	parts.set(HeaderRequestID, requestID)
	response, err := send(ctx, e.client, op, parts)
	if err != nil {
		return Response{}, err
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return Response{}, statusError(op, response)
	}
	end := newEndReader(offset - overlap)
	result, err := e.toResponse(op, requestID, response, end)
	if err != nil {
		return Response{}, err
	}
	result.Overlap = make([]byte, overlap)
	if _, err := io.ReadFull(result.Body, result.Overlap); err != nil {
		result.Body.Close()
		return Response{}, &Error{Op: op, Err: fmt.Errorf("answer ends before offset %d: %w", offset, err)}
	}
	if result.Length != UnknownLength {
		result.Length -= overlap
	}
	return result, nil
}

func (e *HTTPEngine) toResponse(op, requestID string, response *http.Response, end *endReader) (Response, error) {
	if got := response.Header.Get(HeaderRequestID); got != requestID {
		response.Body.Close()
		return Response{}, &Error{Op: op, Status: response.StatusCode, Err: fmt.Errorf("%w: got id %q", errWrongResponse, got)}
	}
	if err := checkEncoding(response); err != nil {
		response.Body.Close()
		return Response{}, &Error{Op: op, Status: response.StatusCode, Err: err}
	}
	result := Response{
		StatusCode:  response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Length:      response.ContentLength,
	}
	if isEventStream(result.ContentType) {
		end.source = response.Body
		result.Body = &responseBody{op: op, reader: end, closer: response.Body}
		return result, nil
	}
	if response.ContentLength < 0 {
		response.Body.Close()
		return Response{}, &Error{Op: op, Status: response.StatusCode, Err: errors.New("answer without a length")}
	}
	result.Body = &responseBody{op: op, reader: response.Body, closer: response.Body}
	return result, nil
}

// checkEncoding rejects responses with an encoding that wasn't asked for.
func checkEncoding(response *http.Response) error {
	encoding := response.Header.Get("Content-Encoding")
	if encoding != "" && encoding != plainEncoding {
		return fmt.Errorf("answer with the encoding %q", encoding)
	}
	return nil
}
