package crashhistory

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/testkit/platformsite"
	"teaselgauge.example/teaselgauge/testkit/site"
	"teaselgauge.example/teaselgauge/testkit/standin/backendserver"
)

const (
	modelName = "m1"
	// startTimeout bounds waits for processes.
	startTimeout = 20 * time.Second
	// soundPeriod is the time between two sound requests at one entry, budget how long
	// callers wait for a response.
	soundPeriod = 100 * time.Millisecond
	budget      = 3 * time.Second
	// soundSubjects is the number of second parts of the sound requests' prompts.
	soundSubjects = 20
	// deadlySubject is the second part that deadly requests share with sound ones.
	deadlySubject = 3
)

// history is a play of a plan.
type history struct {
	plan  *plan
	site  *platformsite.Site
	begin time.Time
	// wait ends with all faults and requests.
	wait sync.WaitGroup

	mu   sync.Mutex
	sent []sentRequest
	// disturbances are the times at which entries were disturbed.
	disturbances []disturbance
	notes        []string
	// killed holds how long servers that were killed are down.
	killed map[*platformsite.ServerProcess]time.Duration
	kills  []serverKill
}

// serverKill is the kill of a server by a fault.
type serverKill struct {
	server *platformsite.ServerProcess
	at     time.Time
}

// sentRequest is a request with its result and the entry that it was sent to.
type sentRequest struct {
	platformsite.Request
	result platformsite.Result
	entry  int
	at     time.Time
	// deadly requests crash servers; sameFirst have the same first part of their prompt
	// without doing so.
	deadly, sameFirst bool
}

// disturbance is a time at which an entry was disturbed.
type disturbance struct {
	entry    int
	from, to time.Time
}

// note records an event of the history that happens now, noteAt one that happened before.
func (h *history) note(format string, args ...any) { h.noteAt(time.Now(), format, args...) }

func (h *history) noteAt(at time.Time, format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notes = append(h.notes, stamp(at)+" "+fmt.Sprintf(format, args...))
}

// stamp returns a time as the processes' logs have it.
func stamp(at time.Time) string { return at.UTC().Format("15:04:05.000") }

func (h *history) disturbed(entry int, from, to time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbances = append(h.disturbances, disturbance{entry, from, to})
}

// awaitService waits until each entry serves.
func (h *history) awaitService(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	for _, entry := range h.site.Entries {
		err := site.Eventually(ctx, func() error {
			request := h.soundRequest(0, true)
			return h.site.Check(request, entry.Send(ctx, request))
		})
		if err != nil {
			t.Fatalf("%s: %v", entry.ID, err)
		}
	}
}

// playRequests sends sound requests to all entries, and beside them deadly ones, to one
// entry after the other.
func (h *history) playRequests(ctx context.Context) {
	deadlyAt, sentDeadly := h.begin.Add(deadlyFrom), 0
	for number := 0; time.Since(h.begin) < historyLength; {
		for entry := range h.site.Entries {
			number++
			same := number/entryCount%2 == 0
			h.send(ctx, sentRequest{Request: h.soundRequest(number, same), entry: entry, sameFirst: same})
		}
		for next := time.Now().Add(soundPeriod); time.Now().Before(next); time.Sleep(min(time.Until(next), time.Until(deadlyAt))) {
			if time.Now().After(deadlyAt) {
				deadlyAt = deadlyAt.Add(h.plan.period)
				h.send(ctx, sentRequest{Request: h.deadlyRequest(sentDeadly), entry: sentDeadly / len(h.plan.marks) % entryCount, deadly: true})
				sentDeadly++
			}
		}
	}
}

// send sends a request without waiting for its response.
func (h *history) send(ctx context.Context, request sentRequest) {
	request.at = time.Now()
	h.wait.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, budget+time.Second)
		defer cancel()
		request.result = h.site.Entries[request.entry].Send(ctx, request.Request)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.sent = append(h.sent, request)
	})
}

// newRequest returns a request on the path of the deadly ones.
func (h *history) newRequest() platformsite.Request {
	model := modelName
	if h.plan.kind == deadlyPlainRequest {
		model = ""
	}
	request := h.site.NewRequest(h.plan.path, model)
	request.Budget = budget
	return request
}

// soundRequest returns a request of one of several subjects, with the first part of the
// deadly requests' prompts or another one.
func (h *history) soundRequest(number int, sameFirst bool) platformsite.Request {
	first := "f2"
	if sameFirst {
		first = "f1"
	}
	return withPrompt(h.newRequest(), fmt.Sprintf("%s:80,5e%02d:60", first, number%soundSubjects))
}

// deadlyRequest returns a new request with the next of the deadly parts, or the next of the
// deadly requests under a new ID.
func (h *history) deadlyRequest(number int) platformsite.Request {
	mark := h.plan.marks[number%len(h.plan.marks)]
	prompt := fmt.Sprintf("f1:80,5e%02d:60", deadlySubject)
	request := h.newRequest()
	if h.plan.kind == deadlyPart {
		return withPrompt(request, prompt+","+mark+":30")
	}
	request.Body = fmt.Sprintf(`{"deadly":%q}`, mark)
	return withPrompt(request, prompt)
}

// withPrompt gives a request for a model a prompt, with a last part of its own.
func withPrompt(request platformsite.Request, parts string) platformsite.Request {
	if request.Model != "" {
		request.Header = http.Header{backendserver.HeaderPrompt: {fmt.Sprintf("%s,%s:20", parts, request.ID)}}
	}
	return request
}
