package backendserver

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"teaselgauge.example/teaselgauge/testkit/standin/httpapi"
)

// The headers that the stand-in reads and writes.
const (
	HeaderRequestID = "Teaselgauge-Attempt-Id"
	HeaderModel     = "Teaselgauge-Model"
	HeaderBudget    = "Teaselgauge-Deadline-Ms"
	HeaderTokens    = "Teaselgauge-Token-Count"
	HeaderSeal      = "Teaselgauge-Response-Seal"
	HeaderNotRun    = "Teaselgauge-Not-Executed"
	HeaderInstance  = "Teaselgauge-Expect-Instance"
	HeaderPriority  = "Teaselgauge-Request-Priority"
	HeaderLeaving   = "Server-Leaving"
	HeaderLimit     = "Server-Limit"
	HeaderPrompt    = "Teaselgauge-Prompt-Prefix"
	HeaderLastEvent = "Last-Event-Id"
	// HeaderKey is a caller's key, HeaderOrganisation the name of its organisation.
	HeaderKey          = "Api-Key"
	HeaderOrganisation = "Teaselgauge-Tenant"
	// HeaderResumes is the HeaderRequestID of the attempt that brought the first event of
	// a stream that is resumed.
	HeaderResumes = "Resumes"
)

// StreamPath is the prefix of the paths that are answered with a stream.
const StreamPath = "/stream/"

// Seal returns the seal of the response to a request.
func Seal(requestID string) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, requestID)
	return strconv.FormatUint(h.Sum64(), 16)
}

// ResponseBody returns the body of the response to a plain request.
func ResponseBody(requestID, path, body string) string {
	return fmt.Sprintf("%s|%s|%s", requestID, path, body)
}

// Event returns one event of the stream for a request.
func Event(requestID string, number, last int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d of %d\n\n", number, requestID, number, last)
}

// Stream returns the complete stream for a request.
func Stream(requestID string, events int) string {
	var text strings.Builder
	for i := 1; i <= events; i++ {
		text.WriteString(Event(requestID, i, events))
	}
	return text.String()
}

func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(HeaderRequestID)
	if limit := s.limitValue(); limit != "" {
		w.Header().Set(HeaderLimit, limit)
	}
	if id != "" && s.isEarly(r) {
		s.respondEarly(w, r, id)
		return
	}
	if s.respondSpoiltEarly(w, r, id) {
		return
	}
	body, err := httpapi.ReadBody(w, r)
	if err != nil || id == "" {
		s.refuse(w, r, id, http.StatusBadRequest)
		return
	}
	run := Run{
		ID: id, Method: r.Method, Path: r.URL.RequestURI(), Body: string(body), Model: r.Header.Get(HeaderModel),
		Priority: r.Header.Get(HeaderPriority), Budget: r.Header.Get(HeaderBudget),
		LastEventID: r.Header.Get("Last-Event-Id"), Prompt: r.Header.Get(HeaderPrompt), At: time.Now(),
		Keys: r.Header.Values(HeaderKey), Organisation: strings.Join(r.Header.Values(HeaderOrganisation), ","),
	}
	change := s.recordRun(run)
	if s.options.OnArrival != nil {
		s.options.OnArrival(run)
	}
	if remaining := s.rejectionTime(); remaining > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(remaining.Seconds(), 'f', 3, 64))
		s.refuse(w, r, id, http.StatusServiceUnavailable)
		return
	}
	if status := s.refusalStatus(r); status != 0 {
		s.refuse(w, r, id, status)
		return
	}
	r, stopTimer := s.withDeadline(r)
	defer stopTimer()
	if !s.acquireSlot(r.Context()) {
		s.refuse(w, r, id, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	change(func(run *Run) { run.Ran = true })
	if s.options.OnRun != nil {
		s.options.OnRun(run)
	}
	defer func() {
		abandoned := r.Context().Err() != nil
		change(func(run *Run) { run.Ended, run.Abandoned = !abandoned, abandoned })
	}()
	s.respond(w, r, id, string(body))
}

// rejectionTime returns for how long requests are still rejected, or zero.
func (s *Server) rejectionTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.faults.TurnAwayFor > 0 {
		s.rejectUntil = now.Add(s.faults.TurnAwayFor)
		s.faults.TurnAwayFor = 0
	}
	return max(s.rejectUntil.Sub(now), 0)
}

func (s *Server) refuse(w http.ResponseWriter, r *http.Request, id string, status int) {
	w.Header().Set(HeaderRequestID, id)
	w.Header().Set(HeaderNotRun, "1")
	if s.options.CopyRejections > 0 {
		copyLater(r, id, status)
	}
	w.WriteHeader(status)
}

// refusalStatus returns the status with which a request is refused, or zero.
func (s *Server) refusalStatus(r *http.Request) int {
	if s.consumeFault(func(f *Faults) *int { return &f.RefuseNext }) {
		return http.StatusServiceUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if expected := r.Header.Get(HeaderInstance); expected != "" && expected != s.id {
		s.journal.Violations.WrongInstance++
		return http.StatusMisdirectedRequest
	}
	if s.engine == nil {
		return 0
	}
	model, adapter, named := strings.Cut(r.Header.Get(HeaderModel), "/")
	adapters, loaded := s.engine.loaded[model]
	if !loaded || (named && !adapters[adapter]) {
		return http.StatusMisdirectedRequest
	}
	return 0
}

// acquireSlot waits for a slot. It returns false if the queue is full, or if the
// request or the server ends first.
func (s *Server) acquireSlot(ctx context.Context) bool {
	s.mu.Lock()
	if len(s.slots) == cap(s.slots) && s.waiting >= s.options.Queue {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.waiting--
	}()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	case <-s.stopped:
		return false
	}
}

func (s *Server) respond(w http.ResponseWriter, r *http.Request, id, body string) {
	s.mu.Lock()
	work, events, silent, drip := s.options.Work, s.options.Events, s.faults.Silent, s.faults.Drip
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	if s.respondSpoilt(w, r, id) {
		return
	}
	switch {
	case s.consumeFault(func(f *Faults) *int { return &f.GarbleNext }):
		s.hijack(w, "\x00\x01 this is no answer\r\n\r\n")
		return
	case s.consumeFault(func(f *Faults) *int { return &f.LoseNext }):
		httpapi.Sleep(r.Context(), work)
		httpapi.Abort()
	}
	w.Header().Set(HeaderRequestID, id)
	w.Header().Set(HeaderSeal, Seal(id))
	if s.consumeFault(func(f *Faults) *int { return &f.FailNext }) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if plan := s.planOf(r); plan != nil {
		s.respondPlanned(w, r, id, plan)
		return
	}
	isStream := strings.HasPrefix(r.URL.Path, StreamPath)
	s.crashIfDeadly(w, r, body, isStream)
	s.endIfDeadly(w, r, body, isStream)
	truncate := s.consumeFault(func(f *Faults) *int { return &f.CutNext })
	if isStream && drip > 0 {
		s.stallStream(w, r, drip)
		return
	}
	if isStream {
		s.respondStream(w, r, id, work, events, truncate)
		return
	}
	s.respondPlain(w, r, id, body, work, truncate)
}

func (s *Server) respondPlain(w http.ResponseWriter, r *http.Request, id, body string, work time.Duration, truncate bool) {
	if spread := s.options.WorkSpread; spread > 0 {
		work += rand.N(spread)
	}
	if !httpapi.Sleep(r.Context(), work) {
		if errors.Is(r.Context().Err(), context.DeadlineExceeded) {
			w.WriteHeader(http.StatusGatewayTimeout)
		}
		return
	}
	text := ResponseBody(id, r.URL.RequestURI(), body)
	if s.consumeFault(func(f *Faults) *int { return &f.DoubleNext }) {
		s.hijack(w, rawResponse(rawSuccess, id, text)+rawResponse(rawSuccess, id, text))
		return
	}
	if s.consumeFault(func(f *Faults) *int { return &f.MalformedNext }) {
		s.hijack(w, rawResponse(s.malformedHead(), id, text))
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if truncate {
		_, _ = io.WriteString(w, text[:len(text)/2])
		_ = http.NewResponseController(w).Flush()
		httpapi.Abort()
	}
	_, _ = io.WriteString(w, text)
}

// malformedHead returns the start of a malformed response.
func (s *Server) malformedHead() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.MalformedHead
}

// rawSuccess is the start of a successful response.
const rawSuccess = "HTTP/1.1 200 OK\r\n"

func rawResponse(head, id, text string) string {
	return head + fmt.Sprintf("%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		HeaderRequestID, id, HeaderSeal, Seal(id), len(text), text)
}

func (s *Server) hijack(w http.ResponseWriter, raw string) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		httpapi.Abort()
	}
	_, _ = buffered.WriteString(raw)
	_ = buffered.Flush()
	// The connection stays open for a moment, as that of a faulty server does.
	time.AfterFunc(time.Second, func() { _ = conn.Close() })
}

// stallStream sends the bytes of an event that never ends, until the request is
// cancelled.
func (s *Server) stallStream(w http.ResponseWriter, r *http.Request, pause time.Duration) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	text := "id: 1\ndata: "
	for httpapi.Sleep(r.Context(), pause) {
		_, _ = io.WriteString(w, text)
		_ = flusher.Flush()
		text = "x"
	}
}

func (s *Server) respondStream(w http.ResponseWriter, r *http.Request, id string, work time.Duration, events int, truncate bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	first := 1
	if after, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = after + 1
	}
	out := bufio.NewWriter(w)
	for i := first; i <= events; i++ {
		if !httpapi.Sleep(r.Context(), work) {
			return
		}
		event := Event(id, i, events)
		if truncate && i == (first+events)/2 {
			_, _ = out.WriteString(event[:len(event)/2])
			_ = out.Flush()
			_ = flusher.Flush()
			httpapi.Abort()
		}
		_, _ = out.WriteString(event)
		_ = out.Flush()
		_ = flusher.Flush()
	}
}
