// Package httpapi holds what the HTTP interfaces of all stand-ins share.
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

// Failure is the JSON body of an error answer.
type Failure struct {
	Error string `json:"error"`
	Code  int    `json:"code"`
}

// Write answers with a value as JSON and its length.
func Write(w http.ResponseWriter, status int, value any) {
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

// Fail answers with a Failure.
func Fail(w http.ResponseWriter, status int, text string) {
	Write(w, status, Failure{Error: text, Code: status})
}

// Body reads a request's whole body.
func Body(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	return body, nil
}

// Read decodes a request's JSON body. If it can't, it answers with status 400
// and returns false.
func Read(w http.ResponseWriter, r *http.Request, into any) bool {
	body, err := Body(w, r)
	if err == nil {
		err = json.Unmarshal(body, into)
	}
	if err != nil {
		Fail(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// Abort breaks the connection without an answer.
func Abort() {
	panic(http.ErrAbortHandler)
}

// Sleep waits until the duration has passed or ctx ends, and tells whether the
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
