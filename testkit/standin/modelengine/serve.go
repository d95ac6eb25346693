package modelengine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/testkit/standin/httpapi"
)

// Completion is a whole answer or one event of a streamed one.
type Completion struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	// Created is in seconds since 1970.
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is one alternative of an answer. One of Message, Delta and Text is
// set.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

// Message is a part of a chat.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Usage counts the tokens of an answer.
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

// ending returns the end mark of a stream, or the whole answer.
func (r *run) ending() []byte {
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

// serve writes a run's answer from an offset on. If cut is positive, it breaks
// the connection after so many bytes.
func serve(w http.ResponseWriter, r *http.Request, current *run, offset, cut int64) {
	w.Header().Set(engine.HeaderRequestID, current.requestID)
	if !current.stream {
		serveWhole(w, r, current, offset, cut)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	writer := &cutWriter{w: w, left: cut, limited: cut > 0}
	for {
		data, done, aborted, changed := current.from(offset)
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

func serveWhole(w http.ResponseWriter, r *http.Request, current *run, offset, cut int64) {
	for {
		data, done, aborted, changed := current.from(offset)
		if aborted {
			httpapi.Abort()
		}
		if done {
			w.Header().Set("Content-Type", "application/json")
			w.Header().Set("Content-Length", strconv.Itoa(len(data)))
			writer := &cutWriter{w: w, left: cut, limited: cut > 0}
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

// cutWriter breaks the connection after a number of bytes.
type cutWriter struct {
	w       http.ResponseWriter
	left    int64
	limited bool
}

func (c *cutWriter) write(data []byte) {
	if c.limited && int64(len(data)) >= c.left {
		_, _ = c.w.Write(data[:c.left])
		_ = http.NewResponseController(c.w).Flush()
		httpapi.Abort()
	}
	c.left -= int64(len(data))
	_, _ = c.w.Write(data)
	_ = http.NewResponseController(c.w).Flush()
}
