// Package httpapi holds the HTTP helpers that all stand-ins share.
package httpapi

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const maxBodyBytes = 64 << 20

// ErrorResponse is the JSON body of an error response.
type ErrorResponse struct {
	Error string `json:"error"`
	Code  int    `json:"code"`
}

// WriteJSON sends a value as JSON, with its Content-Length.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// WriteError sends an ErrorResponse.
func WriteError(w http.ResponseWriter, status int, text string) {
	WriteJSON(w, status, ErrorResponse{Error: text, Code: status})
}

// ReadBody reads the complete body of a request.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	return body, nil
}

// ReadJSON decodes the JSON body of a request. On failure it responds with status
// 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	body, err := ReadBody(w, r)
	if err == nil {
		err = json.Unmarshal(body, into)
	}
	if err != nil {
		WriteError(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// Abort closes the connection without a response.
func Abort() {
	panic(http.ErrAbortHandler)
}

// Sleep waits until the duration has passed or ctx ends, and reports whether the
// duration has passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
