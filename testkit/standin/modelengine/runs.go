package modelengine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/testkit/standin/httpapi"
)

const (
	// defaultTokens is the number of output tokens if a request sets no limit.
	defaultTokens = 8
	// maxKeptRuns is the number of responses that are kept for resume.
	maxKeptRuns = 4096
)

// Prompt holds the fields of a request that the engine reads.
type Prompt struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages,omitempty"`
	Prompt    json.RawMessage `json:"prompt,omitempty"`
	MaxTokens int             `json:"max_tokens,omitempty"`
	Stream    bool            `json:"stream,omitempty"`
}

// Text returns a target's response to a request body: the word "echo", the
// target's name, a hash of the messages or the prompt, and numbered words up to
// the maximum number of tokens.
func Text(target engine.Target, body []byte) (string, error) {
	var prompt Prompt
	if err := json.Unmarshal(body, &prompt); err != nil {
		return "", fmt.Errorf("decode body: %w", err)
	}
	tokens, err := prompt.tokens(target)
	return strings.Join(tokens, ""), err
}

func (p Prompt) tokens(target engine.Target) ([]string, error) {
	source := p.Messages
	if len(source) == 0 {
		source = p.Prompt
	}
	if len(source) == 0 {
		return nil, errors.New("neither messages nor prompt")
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, source); err != nil {
		return nil, fmt.Errorf("compact prompt: %w", err)
	}
	count := p.MaxTokens
	if count <= 0 {
		count = defaultTokens
	}
	tokens := []string{"echo", " " + Name(target), fmt.Sprintf(" %016x", xxhash.Sum64(compact.Bytes()))}
	for i := len(tokens); i < count; i++ {
		tokens = append(tokens, " w"+strconv.Itoa(i))
	}
	return tokens, nil
}

// run is one request and its response, which grows while it is generated.
type run struct {
	requestID string
	started   time.Time
	target    engine.Target
	stream    bool
	chat      bool
	tokens    []string
	cancel    context.CancelFunc

	mu       sync.Mutex
	response []byte
	done     bool
	aborted  bool
	changed  chan struct{}
}

func (r *run) append(data []byte, done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.response = append(r.response, data...)
	r.done = done
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *run) abort() {
	r.mu.Lock()
	r.aborted = true
	r.mu.Unlock()
	r.append(nil, true)
}

// readFrom returns the part of the response from an offset on, whether the response
// is complete or aborted, and a channel that is closed when it grows.
func (r *run) readFrom(offset int64) (data []byte, done, aborted bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	offset = min(offset, int64(len(r.response)))
	return r.response[offset:], r.done, r.aborted, r.changed
}

func (s *Server) handleCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := httpapi.ReadBody(w, r)
	if err != nil {
		refuse(http.StatusBadRequest, "%v", err).write(w)
		return
	}
	current, f := s.newRun(r, body)
	if f != nil {
		w.Header().Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
		f.write(w)
		return
	}
	priority, _ := strconv.Atoi(r.Header.Get(engine.HeaderPriority))
	ctx, cancel := context.WithCancel(context.Background())
	current.cancel = cancel
	s.retainRun(current)
	go s.generate(ctx, current, priority)
	s.mu.Lock()
	truncateAfter := s.faults.CutNextAfterBytes
	s.faults.CutNextAfterBytes = 0
	delay := time.Duration(s.faults.DelayResponsesMillis) * time.Millisecond
	s.mu.Unlock()
	if !httpapi.Sleep(r.Context(), delay) {
		return
	}
	serve(w, r, current, 0, truncateAfter)
}

// newRun validates a request and counts it as a running request of its target.
func (s *Server) newRun(r *http.Request, body []byte) (*run, *failure) {
	var prompt Prompt
	if err := json.Unmarshal(body, &prompt); err != nil {
		return nil, refuse(http.StatusBadRequest, "decode body: %v", err)
	}
	target := requestTarget(r, prompt)
	tokens, err := prompt.tokens(target)
	if err != nil {
		return nil, refuse(http.StatusBadRequest, "%v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	res := s.targets[target]
	if res == nil || res.state != engine.StateLoaded {
		s.journal.countViolation(&s.journal.violations.RunsNotLoaded)
		return nil, refuse(http.StatusNotFound, "%s is not loaded", Name(target))
	}
	if s.faults.FailNextCalls > 0 {
		s.faults.FailNextCalls--
		return nil, &failure{status: http.StatusInternalServerError, text: "call failed"}
	}
	current := &run{
		requestID: r.Header.Get(engine.HeaderRequestID),
		started:   s.options.Now(),
		target:    target,
		stream:    prompt.Stream,
		chat:      strings.HasSuffix(r.URL.Path, "/chat/completions"),
		tokens:    tokens,
		changed:   make(chan struct{}),
	}
	if s.faults.CrossNext > 0 {
		s.faults.CrossNext--
		current.requestID = "crossed-" + current.requestID
		current.tokens = []string{"echo", " crossed"}
	}
	res.running++
	return current, nil
}

// requestTarget reads the target from the headers, or else from the model in the
// body.
func requestTarget(r *http.Request, prompt Prompt) engine.Target {
	target := engine.Target{
		Model:          r.Header.Get(engine.HeaderModel),
		Version:        r.Header.Get(engine.HeaderModelVersion),
		Adapter:        r.Header.Get(engine.HeaderAdapter),
		AdapterVersion: r.Header.Get(engine.HeaderAdapterVersion),
	}
	if target.Model == "" {
		target.Model, target.Version, _ = strings.Cut(prompt.Model, "@")
	}
	return target
}

// retainRun keeps a run for resume and cancel, and drops the oldest one if there
// are too many.
func (s *Server) retainRun(current *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[current.requestID] = current
	s.runIDs = append(s.runIDs, current.requestID)
	if len(s.runIDs) > maxKeptRuns {
		delete(s.runs, s.runIDs[0])
		s.runIDs = s.runIDs[1:]
	}
}

// generate waits for a slot and generates the response token by token. It
// continues if the agent disconnects and stops only if the run is cancelled.
func (s *Server) generate(ctx context.Context, current *run, priority int) {
	defer current.cancel()
	defer s.release(current)
	if !s.acquireSlot(ctx, priority) {
		current.abort()
		s.recordRun(EventRunCancelled, current)
		return
	}
	defer s.releaseSlot()
	s.recordRun(EventRunStarted, current)
	for i, token := range current.tokens {
		if !httpapi.Sleep(ctx, s.options.TokenTime) {
			current.abort()
			s.recordRun(EventRunCancelled, current)
			return
		}
		if current.stream {
			current.append(current.chunk(token, i == len(current.tokens)-1), false)
		}
	}
	current.append(current.finalBytes(), true)
	s.recordRun(EventRunEnded, current)
}

func (s *Server) release(current *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if res := s.targets[current.target]; res != nil {
		res.running--
	}
	s.notify()
}

func (s *Server) recordRun(event Event, current *run) {
	s.mu.Lock()
	used := s.usedMiB
	s.mu.Unlock()
	s.journal.add(Entry{Event: event, RequestID: current.requestID, Target: current.target, UsedMiB: used})
}

func (s *Server) findRun(requestID string) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[requestID]
}

// cancelRequest is the body of a cancel request.
type cancelRequest struct {
	RequestID string `json:"request_id"`
}

func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request) {
	var body cancelRequest
	if !httpapi.ReadJSON(w, r, &body) {
		return
	}
	current := s.findRun(body.RequestID)
	if current == nil {
		refuse(http.StatusNotFound, "unknown request").write(w)
		return
	}
	current.cancel()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleResume(w http.ResponseWriter, r *http.Request) {
	current := s.findRun(r.URL.Query().Get("request_id"))
	offset, err := strconv.ParseInt(r.URL.Query().Get("offset"), 10, 64)
	if current == nil || err != nil || offset < 0 {
		refuse(http.StatusNotFound, "unknown request or offset").write(w)
		return
	}
	s.recordRun(EventResumed, current)
	serve(w, r, current, offset, 0)
}
