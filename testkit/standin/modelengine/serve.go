package modelengine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/testkit/standin/httpapi"
)

// Completion is a complete response or one event of a stream.
type Completion struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	// Created is the Unix time in seconds.
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is one alternative of a response. One of Message, Delta and Text is set.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Usage counts the output tokens of a response.
type Usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

func (r *run) completion(object string, choice Choice) Completion {
	return Completion{
		ID: "cmpl-" + r.requestID, Object: object, Created: r.started.Unix(), Model: Name(r.target), Choices: []Choice{choice},
	}
}

// chunk returns one server-sent event.
func (r *run) chunk(token string, last bool) []byte {
	choice := Choice{Text: token}
	object := "text_completion"
	if r.chat {
		choice = Choice{Delta: &Message{Role: "assistant", Content: token}}
		object = "chat.completion.chunk"
	}
	if last {
		choice.FinishReason = "stop"
	}
	return event(r.completion(object, choice))
}

func event(completion Completion) []byte {
	data, err := json.Marshal(completion)
	if err != nil {
		panic(err)
	}
	return append(append([]byte("data: "), data...), "\n\n"...)
}

// finalBytes returns the end mark of a stream, or the complete response.
func (r *run) finalBytes() []byte {
	if r.stream {
		return []byte("data: [DONE]\n\n")
	}
	text := strings.Join(r.tokens, "")
	choice := Choice{Text: text, FinishReason: "stop"}
	object := "text_completion"
	if r.chat {
		choice = Choice{Message: &Message{Role: "assistant", Content: text}, FinishReason: "stop"}
		object = "chat.completion"
	}
	completion := r.completion(object, choice)
	completion.Usage = &Usage{CompletionTokens: len(r.tokens)}
	data, err := json.Marshal(completion)
	if err != nil {
		panic(err)
	}
	return data
}

// serve writes a run's response from an offset on. If truncateAfter is positive, it
// closes the connection after that many bytes.
func serve(w http.ResponseWriter, r *http.Request, current *run, offset, truncateAfter int64) {
	w.Header().Set(engine.HeaderRequestID, current.requestID)
	if !current.stream {
		serveComplete(w, r, current, offset, truncateAfter)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	writer := &truncatingWriter{w: w, left: truncateAfter, limited: truncateAfter > 0}
	for {
		data, done, aborted, changed := current.readFrom(offset)
		writer.write(data)
		offset += int64(len(data))
		if aborted {
			httpapi.Abort()
		}
		if done {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func serveComplete(w http.ResponseWriter, r *http.Request, current *run, offset, truncateAfter int64) {
	for {
		data, done, aborted, changed := current.readFrom(offset)
		if aborted {
			httpapi.Abort()
		}
		if done {
			w.Header().Set("Content-Type", "application/json")
			w.Header().Set("Content-Length", strconv.Itoa(len(data)))
			writer := &truncatingWriter{w: w, left: truncateAfter, limited: truncateAfter > 0}
			writer.write(data)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// truncatingWriter closes the connection after a number of bytes.
type truncatingWriter struct {
	w       http.ResponseWriter
	left    int64
	limited bool
}

func (t *truncatingWriter) write(data []byte) {
	if t.limited && int64(len(data)) >= t.left {
		_, _ = t.w.Write(data[:t.left])
		_ = http.NewResponseController(t.w).Flush()
		httpapi.Abort()
	}
	t.left -= int64(len(data))
	_, _ = t.w.Write(data)
	_ = http.NewResponseController(t.w).Flush()
}
