package platformsite

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"teaselgauge.example/teaselgauge/testkit/standin/backendserver"
)

// Request is a caller's request.
type Request struct {
	// ID identifies the request. NewRequest sets it.
	ID     string
	Method string
	Path   string
	Body   string
	// Model is MODEL or MODEL/ADAPTER; empty for plain services.
	Model  string
	Budget time.Duration
	Header http.Header
}

// Result is the response to a request. Err is set if no complete response was received.
type Result struct {
	Status int
	Header http.Header
	Body   string
	// HeaderTime is the time until the response headers were received.
	HeaderTime time.Duration
	Total      time.Duration
	Err        error
}

// String returns the result's status and the start of its body.
func (r Result) String() string {
	const maxShown = 200
	return fmt.Sprintf("status=%d body=%q error=%v", r.Status, r.Body[:min(len(r.Body), maxShown)], r.Err)
}

// IsNotRun reports whether the response guarantees that the request has not run.
func (r Result) IsNotRun() bool {
	return r.Err == nil && (r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests)
}

// NewRequest returns a request with a unique ID.
func (s *Site) NewRequest(path, model string) Request {
	s.nextID++
	return Request{
		ID: fmt.Sprintf("q%06d", s.nextID), Method: http.MethodPost, Path: path + "item", Model: model,
		Body: fmt.Sprintf(`{"n":%d}`, s.nextID), Budget: 10 * time.Second,
	}
}

// callerClient reuses its connections, as real callers do.
var callerClient = &http.Client{
	Transport:     &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// Send sends a request to an entry and reads the complete response.
func (e *Entry) Send(ctx context.Context, request Request) Result {
	sent, err := http.NewRequestWithContext(ctx, request.Method, "http://"+e.Callers+request.Path, strings.NewReader(request.Body))
	if err != nil {
		return Result{Err: err}
	}
	sent.Host = Host
	for name, values := range request.Header {
		sent.Header[name] = values
	}
	sent.Header.Set(backendserver.HeaderRequestID, request.ID)
	if request.Budget > 0 {
		sent.Header.Set(backendserver.HeaderBudget, fmt.Sprint(request.Budget.Milliseconds()))
	}
	if request.Model != "" {
		sent.Header.Set(backendserver.HeaderModel, request.Model)
		sent.Header.Set(backendserver.HeaderTokens, "100,50")
	}
	started := time.Now()
	response, err := callerClient.Do(sent)
	if err != nil {
		return Result{Err: err, Total: time.Since(started)}
	}
	defer response.Body.Close()
	result := Result{Status: response.StatusCode, Header: response.Header, HeaderTime: time.Since(started)}
	body, err := io.ReadAll(response.Body)
	result.Body, result.Err, result.Total = string(body), err, time.Since(started)
	return result
}

// Check returns an error unless a result is the complete response to this request.
func (s *Site) Check(request Request, result Result) error {
	if result.Err != nil || result.Status != http.StatusOK {
		return fmt.Errorf("%s: not served: %s", request.ID, result)
	}
	if got, want := result.Header.Get(backendserver.HeaderSeal), backendserver.Seal(request.ID); got != want {
		return fmt.Errorf("%s: seal %q, want %q", request.ID, got, want)
	}
	want := backendserver.ResponseBody(request.ID, request.Path, request.Body)
	if strings.HasPrefix(request.Path, backendserver.StreamPath) {
		want = backendserver.Stream(request.ID, s.options.Events)
	}
	if result.Body != want {
		return fmt.Errorf("%s: body %q, want %q", request.ID, result.Body, want)
	}
	return nil
}

// Runs returns all runs of a request at all backend servers.
func (s *Site) Runs(requestID string) []backendserver.Run {
	var runs []backendserver.Run
	for _, backend := range s.Backends() {
		for _, run := range backend.Journal().Runs[requestID] {
			if run.Ran {
				runs = append(runs, run)
			}
		}
	}
	return runs
}

// CheckInvariants compares a request and its result with the backend servers'
// journals. It returns an error if the request ran more often than allowed, ran
// although the response guaranteed that it didn't, or arrived modified.
func (s *Site) CheckInvariants(request Request, result Result) error {
	runs := s.Runs(request.ID)
	var failures []error
	if runsAtMostOnce(request.Path) && len(runs) > 1 {
		failures = append(failures, fmt.Errorf("%s ran %d times", request.ID, len(runs)))
	}
	if runsAtMostOnce(request.Path) && result.IsNotRun() && len(runs) > 0 {
		failures = append(failures, fmt.Errorf("%s got status %d but ran", request.ID, result.Status))
	}
	for _, run := range runs {
		if run.Method != request.Method || run.Path != request.Path || run.Body != request.Body || run.Model != request.Model {
			failures = append(failures, fmt.Errorf("%s arrived modified: %+v", request.ID, run))
		}
	}
	if result.Err == nil && result.Status == http.StatusOK {
		failures = append(failures, s.Check(request, result))
	}
	return errors.Join(failures...)
}

// runsAtMostOnce reports whether requests to a path must run at most once.
func runsAtMostOnce(path string) bool {
	return strings.HasPrefix(path, AdvicePath) || strings.HasPrefix(path, BookingPath)
}

// Violations returns the sum of the violations that the backend servers recorded.
// Requests for another incarnation aren't included: the servers don't run them.
func (s *Site) Violations() backendserver.Violations {
	var total backendserver.Violations
	for _, backend := range s.Backends() {
		violations := backend.Journal().Violations
		total.Overcommits += violations.Overcommits
		total.StaleOrders += violations.StaleOrders
	}
	return total
}
