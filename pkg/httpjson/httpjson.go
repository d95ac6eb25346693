// Package httpjson provides helpers for clients of JSON over HTTP.
package httpjson

import (
	"bytes"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"teaselgauge.example/teaselgauge/pkg/httpresponse"
)

const (
	dialTimeout       = time.Second
	idleConnTimeout   = 90 * time.Second
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	// maxErrorBytes limits the part of an error response's body that is quoted.
	maxErrorBytes = 4 << 10
)

// ErrTooLarge is returned for a body that exceeds its maximum size.
var ErrTooLarge = errors.New("response too large")

// NewTransport returns a transport without compression that sends keep-alive
// probes on idle connections and refuses malformed responses; errors about these wrap
// httpresponse.ErrMalformed. maxConns limits the connections to one host. Requests must not
// be of method HEAD.
func NewTransport(maxConns int) *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	return &http.Transport{
		DialContext:         httpresponse.Checked(dialer.DialContext),
		DialTLSContext:      httpresponse.Checked((&tls.Dialer{NetDialer: dialer}).DialContext),
		MaxConnsPerHost:     maxConns,
		MaxIdleConnsPerHost: maxConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
}

// RefuseRedirect is a CheckRedirect function that follows no redirects.
func RefuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// StatusError returns an error that describes a response with a failure status. It
// reads a part of the body; the caller closes the body.
func StatusError(response *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	return fmt.Errorf("status %d: %s", response.StatusCode, bytes.TrimSpace(text))
}

// Decode reads and decodes one JSON value of at most maxBytes.
func Decode(body io.Reader, maxBytes int64, into any) error {
	data, err := io.ReadAll(io.LimitReader(body, maxBytes+1))
	if err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	if int64(len(data)) > maxBytes {
		return ErrTooLarge
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}
