package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"teaselgauge.example/teaselgauge/pkg/engine"
	"teaselgauge.example/teaselgauge/pkg/lists"
	"teaselgauge.example/teaselgauge/testkit/site"
)

// runTimeout bounds the whole demo run.
const runTimeout = 2 * time.Minute

// addedModel is the model that the demo adds to the lists.
var addedModel = lists.Model{Name: "dispatch-summary", Version: "1", MemoryMiB: 20480, MaxReplicas: 1}

var addedTarget = engine.Target{Model: addedModel.Name, Version: addedModel.Version}

// step is one request of the demo.
type step struct {
	title string
	send  func(context.Context) (site.Result, error)
	check func(site.Result) error
}

// runDemo adds a model to the lists, sends one request of each kind and checks the
// responses.
func runDemo(ctx context.Context, s *site.Site) error {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	if err := addModel(ctx, s); err != nil {
		return err
	}
	var failures []error
	for _, step := range steps(s) {
		if err := step.run(ctx); err != nil {
			failures = append(failures, fmt.Errorf("%s: %w", step.title, err))
		}
	}
	if err := runPlatformDemo(ctx); err != nil {
		failures = append(failures, fmt.Errorf("operator's platform: %w", err))
	}
	if len(failures) > 0 {
		return fmt.Errorf("wrong responses: %w", errors.Join(failures...))
	}
	fmt.Println("all responses are correct")
	return nil
}

func (s step) run(ctx context.Context) error {
	fmt.Printf("\n%s\n", s.title)
	result, err := s.send(ctx)
	if err != nil {
		fmt.Println("  failed:", err)
		return err
	}
	fmt.Printf("  status %d, outcome %s, first byte after %v, complete after %v\n  %s\n", result.Status, result.Outcome,
		result.FirstByte.Round(time.Millisecond), result.Total.Round(time.Millisecond), result.Body)
	if err := s.check(result); err != nil {
		fmt.Println("  wrong:", err)
		return err
	}
	return nil
}

// addModel adds a model to the lists and waits until each entry has a permitted runner
// for it.
func addModel(ctx context.Context, s *site.Site) error {
	snapshot, err := s.Lists(ctx, s.Entries[0])
	if err != nil {
		return err
	}
	allowances := snapshot.Allowances
	allowances.Models = append(allowances.Models, addedModel)
	start := time.Now()
	if err := s.PutLists(ctx, snapshot.Revision, snapshot.Plans, allowances); err != nil {
		return err
	}
	if err := s.AwaitModel(ctx, addedModel.Name, addedModel.Version); err != nil {
		return err
	}
	fmt.Printf("model %s added to the lists, permitted at all entries after %v\n",
		addedModel.Name, time.Since(start).Round(time.Millisecond))
	return nil
}

// steps returns the requests of the demo in order.
func steps(s *site.Site) []step {
	const question = "Which mix matches Pantone 186 C on coated paper?"
	first, second := s.Entries[0], s.Entries[len(s.Entries)-1]
	var receipt []byte
	return []step{
		chatStep("cold request at "+first.ID, s, first, question, false),
		chatStep("warm request at "+second.ID, s, second, question, false),
		chatStep("streamed request at "+first.ID, s, first, question, true),
		{
			title: "order desk call with an Idempotency-Key at " + first.ID,
			send:  func(ctx context.Context) (site.Result, error) { return book(ctx, s, first) },
			check: func(result site.Result) error {
				receipt = result.Body
				return expectStatus(result, http.StatusOK)
			},
		},
		{
			title: "the same call again at " + second.ID,
			send:  func(ctx context.Context) (site.Result, error) { return book(ctx, s, second) },
			check: func(result site.Result) error { return checkRetry(s, result, receipt) },
		},
		{
			title: "request beyond the plan at " + first.ID,
			send: func(ctx context.Context) (site.Result, error) {
				return s.Caller(first, site.KeyReports).Chat(ctx, addedModel.Name, question, false)
			},
			check: checkRefused,
		},
	}
}

func chatStep(title string, s *site.Site, entry *site.Host, question string, stream bool) step {
	return step{
		title: title,
		send: func(ctx context.Context) (site.Result, error) {
			return s.Caller(entry, site.KeyPrepress).Chat(ctx, addedModel.Name, question, stream)
		},
		check: func(result site.Result) error { return site.CheckChat(result, addedTarget, question, stream) },
	}
}

func book(ctx context.Context, s *site.Site, entry *site.Host) (site.Result, error) {
	key := site.Header{Name: "Idempotency-Key", Value: "dispatch-1"}
	return s.Caller(entry, site.KeyPrepress).Do(ctx, http.MethodPost, "/services/orders/dispatch", []byte(`{"drums":2}`), key)
}

func expectStatus(result site.Result, status int) error {
	if result.Status != status {
		return fmt.Errorf("status %d, want %d", result.Status, status)
	}
	return nil
}

// checkRetry checks that a retry got the first call's response and that the service
// ran once.
func checkRetry(s *site.Site, result site.Result, receipt []byte) error {
	if err := expectStatus(result, http.StatusOK); err != nil {
		return err
	}
	if string(result.Body) != string(receipt) {
		return errors.New("the response differs from that of the first call")
	}
	runs, err := s.Runs(context.Background())
	if err != nil {
		return err
	}
	if runs.Total != 1 {
		return fmt.Errorf("the service ran %d times", runs.Total)
	}
	return nil
}

// checkRefused checks that a request was refused as not run.
func checkRefused(result site.Result) error {
	if result.Status < 400 || result.Status > 499 || result.Outcome != "not-run" {
		return fmt.Errorf("status %d with outcome %q, want a 4xx with not-run", result.Status, result.Outcome)
	}
	return nil
}
