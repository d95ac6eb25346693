package site

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"teaselgauge.example/teaselgauge/pkg/callers"
	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/testkit/standin/modelengine"
)

// Caller sends requests to one entry with one API key. It opens a new connection for
// each request and doesn't retry.
type Caller struct {
	url    string
	key    string
	client *http.Client
}

// Caller returns a caller of an entry.
func (s *Site) Caller(entry *Host, key string) *Caller {
	return &Caller{
		url: "http://" + entry.Callers,
		key: key,
		client: &http.Client{
			Transport:     &http.Transport{DisableKeepAlives: true},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Result is the response to a request.
type Result struct {
	Status    int
	Outcome   string
	RequestID string
	Body      []byte
	// FirstByte is the time until the first byte of the body.
	FirstByte time.Duration
	Total     time.Duration
}

// String returns the result's status, outcome, request ID and the start of its body.
func (r Result) String() string {
	const maxShown = 400
	body := r.Body[:min(len(r.Body), maxShown)]
	return fmt.Sprintf("status=%d outcome=%s request=%s body=%q", r.Status, r.Outcome, r.RequestID, body)
}

// Header is one header of a request.
type Header struct{ Name, Value string }

// Do sends a request. It returns an error if no complete response was received.
func (c *Caller) Do(ctx context.Context, method, path string, body []byte, headers ...Header) (Result, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.url+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return Result{}, err
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	for _, header := range headers {
		request.Header.Set(header.Name, header.Value)
	}
	start := time.Now()
	response, err := c.client.Do(request)
	if err != nil {
		return Result{}, fmt.Errorf("caller: %w", err)
	}
	defer response.Body.Close()
	result := Result{
		Status:    response.StatusCode,
		Outcome:   response.Header.Get(callers.HeaderOutcome),
		RequestID: response.Header.Get(callers.HeaderRequestID),
	}
	first := make([]byte, 1)
	n, err := io.ReadFull(response.Body, first)
	result.FirstByte = time.Since(start)
	if err == nil {
		result.Body, err = io.ReadAll(response.Body)
	}
	result.Body = append(first[:n], result.Body...)
	result.Total = time.Since(start)
	if err != nil && err != io.EOF {
		return result, fmt.Errorf("caller: read response: %w", err)
	}
	return result, nil
}

// ChatBody returns the body of a chat request.
func ChatBody(model, question string, stream bool) []byte {
	content, err := json.Marshal([]modelengine.Message{{Role: "user", Content: question}})
	if err != nil {
		panic(err)
	}
	body, err := json.Marshal(modelengine.Prompt{Model: model, Messages: content, Stream: stream})
	if err != nil {
		panic(err)
	}
	return body
}

// Chat sends a chat request.
func (c *Caller) Chat(ctx context.Context, model, question string, stream bool, headers ...Header) (Result, error) {
	return c.Do(ctx, http.MethodPost, "/v1/chat/completions", ChatBody(model, question, stream), headers...)
}

// CheckChat returns an error unless a result is the complete response of a target to
// this question.
func CheckChat(result Result, target engine.Target, question string, stream bool) error {
	if result.Status != http.StatusOK {
		return fmt.Errorf("refused: %s", result)
	}
	want, err := modelengine.Text(target, ChatBody(target.Model, question, stream))
	if err != nil {
		return err
	}
	got, err := modelengine.Content(result.Body, stream)
	if err != nil {
		return fmt.Errorf("%w: %s", err, result)
	}
	if got != want {
		return fmt.Errorf("response %q, want %q", got, want)
	}
	return nil
}
