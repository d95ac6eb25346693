// Package httpjson holds what the clients of JSON over HTTP have in common.
package httpjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	dialTimeout       = time.Second
	idleConnTimeout   = 90 * time.Second
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	// maxErrorBytes bounds the part of a failure's body that its error quotes.
	maxErrorBytes = 4 << 10
)

// ErrTooLarge tells that a body exceeds its bound.
var ErrTooLarge = errors.New("response too large")

// NewTransport returns a transport without compression whose connections are
// probed while idle. maxConns bounds the connections to one host.
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
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     maxConns,
		MaxIdleConnsPerHost: maxConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
}

// RefuseRedirect is a CheckRedirect that follows no redirect.
func RefuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// StatusError describes an answer whose status is a failure. It reads a part of
// the body and leaves closing it to the caller.
func StatusError(answer *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(answer.Body, maxErrorBytes))
	return fmt.Errorf("status %d: %s", answer.StatusCode, bytes.TrimSpace(text))
}

// Decode reads one JSON value of at most maxBytes from a body.
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
