package engine

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync/atomic"

	"teaselgauge.example/teaselgauge/pkg/httpresponse"
)

// requestParts contains the parts of an HTTP request.
type requestParts struct {
	method string
	url    string
	header http.Header
	body   []byte
}

// set adds a header unless its value is empty.
func (p *requestParts) set(name, value string) {
	if value == "" {
		return
	}
	if p.header == nil {
		p.header = http.Header{}
	}
	p.header.Set(name, value)
}

// errInvalidStatus reports that a status isn't one of a final response of HTTP.
var errInvalidStatus = errors.New("answer with an invalid status")

// errTwoResponses reports that a head is that of two responses.
var errTwoResponses = errors.New("answer that runs into another one")

const (
	lowestStatus  = 200
	highestStatus = 599
)

// send sends a request once. Its error has NotRun set only if no connection was
// made.
func send(ctx context.Context, client *http.Client, op string, parts requestParts) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), parts.method, parts.url, nil)
	if err != nil {
		return nil, &Error{Op: op, NotRun: true, Err: err}
	}
	parts.set("Accept-Encoding", plainEncoding)
	request.Header = parts.header
	if len(parts.body) > 0 {
		// GetBody stays nil, so that the transport can't send the request again.
		request.Body = io.NopCloser(bytes.NewReader(parts.body))
		request.ContentLength = int64(len(parts.body))
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, &Error{Op: op, NotRun: !connected.Load(), Err: err}
	}
	if response.StatusCode < lowestStatus || response.StatusCode > highestStatus {
		response.Body.Close()
		return nil, &Error{Op: op, Status: response.StatusCode, Err: errInvalidStatus}
	}
	if isOfTwo(response) {
		response.Body.Close()
		return nil, &Error{Op: op, Status: response.StatusCode, Err: errTwoResponses}
	}
	return response, nil
}

// isOfTwo reports whether the head of a response that broke off is continued by the next one.
func isOfTwo(response *http.Response) bool {
	if httpresponse.HasStatusLine(response.Status) {
		return true
	}
	for _, values := range response.Header {
		if slices.ContainsFunc(values, httpresponse.HasStatusLine) {
			return true
		}
	}
	return false
}

func isNotRun(response *http.Response) bool {
	return response.StatusCode >= http.StatusBadRequest && response.Header.Get(HeaderOutcome) == OutcomeNotRun
}

// checkRequestID returns an *Error if a response names another request, also beside the right
// one. A service, and a refusal before the request was read, need not name it.
func checkRequestID(op, requestID string, response *http.Response) error {
	for _, got := range response.Header.Values(HeaderRequestID) {
		if got != requestID {
			return &Error{Op: op, Status: response.StatusCode, Err: fmt.Errorf("%w: got id %q", errWrongResponse, got)}
		}
	}
	return nil
}

// checkStatus returns an *Error unless the status indicates success.
func checkStatus(op string, response *http.Response) error {
	if response.StatusCode >= 200 && response.StatusCode < 300 {
		return nil
	}
	return statusError(op, response)
}

// statusError returns the error for a response with an unexpected status.
func statusError(op string, response *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	return &Error{
		Op:     op,
		NotRun: isNotRun(response),
		Status: response.StatusCode,
		Err:    fmt.Errorf("status %d: %s", response.StatusCode, bytes.TrimSpace(text)),
	}
}

// clientTransport refuses malformed responses, but for those to HEAD, whose header alone is
// read.
type clientTransport struct {
	checked *http.Transport
	head    *http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t *clientTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.Method == http.MethodHead {
		return t.head.RoundTrip(request)
	}
	return t.checked.RoundTrip(request)
}

// CloseIdleConnections is called by http.Client.
func (t *clientTransport) CloseIdleConnections() {
	t.checked.CloseIdleConnections()
	t.head.CloseIdleConnections()
}

func newClient(keepAlive bool) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	checked := newTransport(dialer, keepAlive)
	checked.DialContext = httpresponse.Checked(dialer.DialContext)
	checked.DialTLSContext = httpresponse.Checked((&tls.Dialer{NetDialer: dialer}).DialContext)
	return &http.Client{
		Transport:     &clientTransport{checked: checked, head: newTransport(dialer, keepAlive)},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func newTransport(dialer *net.Dialer, keepAlive bool) *http.Transport {
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableKeepAlives:   !keepAlive,
		DisableCompression:  true,
	}
}
