package serverfaults

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"teaselgauge.example/teaselgauge/testkit/platformsite"
	"teaselgauge.example/teaselgauge/testkit/standin/backendserver"
)

// chain is the requests of one caller for one stream: the first one, and those that resume
// it. Use newChain.
type chain struct {
	plan     backendserver.Plan
	deadline time.Time
	// unnamed is set if the caller doesn't say which request brought the first event.
	unnamed bool
	// content identifies what is asked for.
	content string
	// events are those that the caller has.
	events []backendserver.ReceivedEvent
	// tries are the requests, as sent.
	tries []*caller
	// refused holds the IDs of those that were refused as not run.
	refused []string
	// retryAfter is that of the last refusal.
	retryAfter time.Duration
	// complete is set once a response ended as complete.
	complete bool
}

func newChain(plan backendserver.Plan, budget time.Duration) *chain {
	return &chain{plan: plan, deadline: time.Now().Add(budget), content: fmt.Sprintf("s%06d", lastID.Add(1))}
}

// errNoTime means that the caller doesn't wait any longer.
var errNoTime = errors.New("the caller's time is over")

// dial sends the next request of the chain.
func (ch *chain) dial(entry *platformsite.Entry) (*caller, error) {
	if time.Until(ch.deadline) <= 0 {
		return nil, errNoTime
	}
	request := call{path: platformsite.BatchPath, plan: ch.plan, budget: time.Until(ch.deadline), content: ch.content}
	if len(ch.events) > 0 {
		request.lastEvent = ch.events[len(ch.events)-1].Number
		if !ch.unnamed {
			request.resumes = ch.events[0].RequestID
		}
	}
	return dial(entry, request, func(c *caller) { ch.tries = append(ch.tries, c) })
}

// awaitEvents reads until so many events of a request's response have arrived.
func (c *caller) awaitEvents(count int) error {
	for {
		got := parse(c.raw, c.err)
		events, _, err := backendserver.ParseEvents(got.body)
		switch {
		case err != nil:
			return err
		case len(events) >= count:
			return nil
		case got.end != endNone:
			return fmt.Errorf("%s ended before event %d: %s", c.id, count, got)
		}
		c.read()
	}
}

// add adds what a request of the chain received. The error means that the caller can't
// have got this from servers of one version that each did their part.
func (ch *chain) add(c *caller, got received) error {
	switch {
	case got.end == endTimeout, got.end == endMalformed:
		return fmt.Errorf("%s: %s", c.id, got)
	case got.status == 0:
		return nil
	case got.status != http.StatusOK:
		return ch.addRefusal(c, got)
	}
	events, rest, err := backendserver.ParseEvents(got.body)
	if err != nil {
		return fmt.Errorf("%s: %w", c.id, err)
	}
	for _, event := range events {
		if err := ch.addEvent(c, event); err != nil {
			return err
		}
	}
	if got.end != endComplete {
		return nil
	}
	ch.complete = true
	if len(ch.events) != ch.plan.Events || rest != "" {
		return fmt.Errorf("%s: complete after event %d of %d: %s", c.id, len(ch.events), ch.plan.Events, got)
	}
	return nil
}

func (ch *chain) addRefusal(c *caller, got received) error {
	if got.status == http.StatusServiceUnavailable {
		ch.refused = append(ch.refused, c.id)
		seconds, _ := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		ch.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return c.checkRefusal(got)
}

// addEvent adds an event. The error means that it doesn't follow those before it.
func (ch *chain) addEvent(c *caller, event backendserver.ReceivedEvent) error {
	ch.events = append(ch.events, event)
	first := ch.events[0]
	switch {
	case event.RequestID != c.id:
		return fmt.Errorf("%s: event %d is of request %s", c.id, event.Number, event.RequestID)
	case event.Number != len(ch.events):
		return fmt.Errorf("%s: event %d at place %d", c.id, event.Number, len(ch.events))
	case event.Software != first.Software:
		return fmt.Errorf("%s: event %d is of %s, the stream was begun by %s of %s", c.id, event.Number, event.Software, first.RequestID, first.Software)
	}
	return nil
}

// software is the version that began the stream; empty if it has no event.
func (ch *chain) software() string {
	if len(ch.events) == 0 {
		return ""
	}
	return ch.events[0].Software
}

// maxTakeUps bounds the requests by which a caller resumes a stream.
const maxTakeUps = 4

// goOn resumes the stream at an entry until it is complete. It honours Retry-After.
func (ch *chain) goOn(entry *platformsite.Entry) error {
	for range maxTakeUps {
		c, err := ch.dial(entry)
		if errors.Is(err, errNoTime) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := ch.add(c, c.finish()); err != nil || ch.complete {
			return err
		}
		time.Sleep(ch.retryAfter)
	}
	return nil
}

// checkRefused returns an error if a request ran that was refused as not run. ran holds the
// requests that ran, with their servers.
func (ch *chain) checkRefused(ran map[string]string) error {
	for _, id := range ch.refused {
		if server := ran[id]; server != "" {
			return fmt.Errorf("%s: refused as not run, and ran at %s", id, server)
		}
	}
	return nil
}

// ranAt returns the requests that ran, each with the last server that logged it.
func ranAt(s *platformsite.Site) map[string]string {
	ran := map[string]string{}
	for _, server := range s.Servers {
		for line := range strings.Lines(server.Log()) {
			var run backendserver.Run
			if err := json.Unmarshal([]byte(line), &run); err == nil && run.ID != "" {
				ran[run.ID] = server.ID
			}
		}
	}
	return ran
}

// trace returns the lines of all logs that name a request of the chain.
func (ch *chain) trace(s *platformsite.Site) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s, plan %+v\n", ch.content, ch.plan)
	for _, process := range s.Processes() {
		for line := range strings.Lines(process.Log()) {
			if slices.ContainsFunc(ch.tries, func(c *caller) bool { return strings.Contains(line, c.id) }) {
				fmt.Fprintf(&text, "%s: %s", process.Name, line)
			}
		}
	}
	return text.String()
}
