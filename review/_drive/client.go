package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client has seen of one attempt.
type answer struct {
	id     string
	status int
	seal   string
	body   string
	// end is how the answer ended: whole, or why not.
	end string
	// complete is set if the answer looks complete to the client.
	complete bool
}

// send sends one request, for a model or for none, on a new connection and reads the answer to its end.
func send(e *entry, path, id, model string, wait time.Duration) answer {
	a := answer{id: id, end: "no answer"}
	conn, err := net.DialTimeout("tcp", e.callers, time.Second)
	if err != nil {
		a.end = "no connection"
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(wait + 2*time.Second))
	body := "prompt " + id
	prompt := ""
	if model != "" {
		prompt = fmt.Sprintf("Teaselgauge-Model: %s\r\nTeaselgauge-Token-Count: 600,100\r\nTeaselgauge-Prompt-Prefix: aa01:200,%s:400\r\n", model, id)
	}
	if _, err := fmt.Fprintf(conn, "POST %sitem HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%sTeaselgauge-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		path, host, headerAttempt, id, prompt, wait.Milliseconds(), len(body), body); err != nil {
		return a
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		a.end = "cut before the answer: " + err.Error()
		return a
	}
	a.status = response.StatusCode
	a.seal = response.Header.Get(headerSeal)
	received, err := io.ReadAll(response.Body)
	a.body = string(received)
	a.complete = err == nil
	a.end = "complete"
	if err != nil {
		a.end = "cut in the answer: " + err.Error()
	}
	return a
}

// wholeStream returns the whole body of a request's stream.
func wholeStream(id string, events int) string {
	var text strings.Builder
	for number := 1; number <= events; number++ {
		text.WriteString(event(id, number, events))
	}
	return text.String()
}
