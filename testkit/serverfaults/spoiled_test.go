package serverfaults

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/settings"
	"teaselgauge.example/teaselgauge/testkit/platformsite"
	"teaselgauge.example/teaselgauge/testkit/standin/backendserver"
)

const (
	// spoiledCallers is the number of callers at one time.
	spoiledCallers = 48
	// spoiledBudget is how long a caller waits.
	spoiledBudget = 400 * time.Millisecond
	// spoiledServers is the number of servers, so that a request can be sent again.
	spoiledServers = 2
	// longBodyBytes is more than an entry writes before it reads the response.
	longBodyBytes = 256 << 10
	// firstPath is the path of the requests that each server rejects.
	firstPath = platformsite.BookingPath + "first"
	// idMark stands for the request's ID in the bytes of a case.
	idMark = "THIS-ID"
)

// spoiledCase is what a server that ran a request sends.
type spoiledCase struct {
	name string
	raw  string
	// closes has the connection closed afterwards, early has the bytes sent before a long
	// body is read.
	closes, early bool
}

// answersOfRuns are the whole answers of a server that ran a request.
func answersOfRuns() map[string]string {
	const head = backendserver.HeaderRequestID + ": " + idMark + "\r\n" + backendserver.HeaderSeal + ": 3e1b.07\r\n"
	return map[string]string{
		"success": "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 4\r\n\r\nbody",
		"chunked": "HTTP/1.1 200 OK\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"failure": "HTTP/1.1 500 Internal Server Error\r\n" + backendserver.HeaderRequestID + ": " + idMark + "\r\nContent-Length: 0\r\n\r\n",
	}
}

// rejectionsOfOthers are rejections of another request, with their fields in several orders.
func rejectionsOfOthers() map[string]string {
	const (
		id     = backendserver.HeaderRequestID + ": another\r\n"
		word   = backendserver.HeaderNotRun + ": 1\r\n"
		after  = "Retry-After: 0.05\r\n"
		length = "Content-Length: 0\r\n"
	)
	rejections := map[string]string{}
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusMisdirectedRequest} {
		line := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
		rejections[fmt.Sprint(status, " with its ID first")] = line + id + word + after + length + "\r\n"
		rejections[fmt.Sprint(status, " with its word first")] = line + word + after + length + id + "\r\n"
	}
	return rejections
}

// promisesOfRuns are answers of a server that ran a request with a status that promises.
func promisesOfRuns() []spoiledCase {
	var cases []spoiledCase
	for _, status := range []int{408, 421, 429, 503} {
		raw := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: 3e1b.07\r\nContent-Length: 0\r\n\r\n",
			status, http.StatusText(status), backendserver.HeaderRequestID, idMark, backendserver.HeaderSeal)
		cases = append(cases, spoiledCase{name: fmt.Sprint("status ", status), raw: raw})
	}
	return cases
}

// afterBrokenRejections are answers right behind each beginning of a rejection of another
// request.
func afterBrokenRejections() []spoiledCase {
	var cases []spoiledCase
	for rejectionName, rejection := range rejectionsOfOthers() {
		for answerName, answer := range answersOfRuns() {
			if answerName == "chunked" {
				continue
			}
			for cut := range len(rejection) {
				cases = append(cases, spoiledCase{
					name: fmt.Sprintf("%s behind %d bytes of a %s: %q", answerName, cut, rejectionName, rejection[max(0, cut-20):cut]),
					raw:  rejection[:cut] + answer,
				})
			}
		}
	}
	return cases
}

// doubleFields are answers whose head has the fields of two.
func doubleFields() []spoiledCase {
	const (
		id    = backendserver.HeaderRequestID + ": " + idMark + "\r\n"
		other = backendserver.HeaderRequestID + ": another\r\n"
		seal  = backendserver.HeaderSeal + ": 3e1b.07\r\n"
		word  = backendserver.HeaderNotRun + ": 1\r\n"
		end   = "Content-Length: 0\r\n\r\n"
	)
	heads := map[string]string{
		"own ID, then another":             "HTTP/1.1 503 Busy\r\n" + id + word + other + end,
		"another ID, then its own":         "HTTP/1.1 503 Busy\r\n" + other + word + id + end,
		"not run, with success and a seal": "HTTP/1.1 200 OK\r\n" + id + seal + word + end,
		"not run, twice":                   "HTTP/1.1 503 Busy\r\n" + word + id + word + end,
		"two seals":                        "HTTP/1.1 503 Busy\r\n" + word + seal + id + seal + end,
	}
	var cases []spoiledCase
	for name, raw := range heads {
		cases = append(cases, spoiledCase{name: name, raw: raw})
	}
	return cases
}

// spoiledBytes are answers of which one byte is another, and answers that break off.
func spoiledBytes() []spoiledCase {
	var cases []spoiledCase
	for name, answer := range answersOfRuns() {
		for at := range len(answer) {
			cases = append(cases, spoiledCase{name: fmt.Sprintf("%s cut after %d bytes", name, at), raw: answer[:at], closes: true})
			for _, with := range []string{"\x00", " ", "\n", "0", ":"} {
				cases = append(cases, spoiledCase{
					name: fmt.Sprintf("%s with %q at %d", name, with, at), raw: answer[:at] + with + answer[at+1:], closes: true,
				})
			}
		}
	}
	for _, status := range []string{"000", "099", "0503", "5", "103", "-503", "+503", "503.0", "0x1f7"} {
		raw := "HTTP/1.1 " + status + " Status\r\n" + backendserver.HeaderRequestID + ": " + idMark + "\r\nContent-Length: 0\r\n\r\n"
		cases = append(cases, spoiledCase{name: "status " + status, raw: raw, closes: true})
	}
	return cases
}

// spoilingServer is a server that runs each request that it gets.
type spoilingServer struct {
	listener net.Listener
	cases    []spoiledCase
	runs     *requestCounts
}

// requestCounts counts runs by the requests' IDs.
type requestCounts struct {
	mu   sync.Mutex
	runs map[string]int
}

func (c *requestCounts) add(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
}

func (c *requestCounts) of(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

// startSpoilingServer starts a server and registers it.
func startSpoilingServer(t *testing.T, s *platformsite.Site, id string, cases []spoiledCase, runs *requestCounts) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &spoilingServer{listener: listener, cases: cases, runs: runs}
	go server.serve()
	t.Cleanup(func() { _ = listener.Close() })
	value, err := json.Marshal(map[string]any{
		"service": platformsite.PlainService, "address": listener.Addr().String(), "zone": s.Entries[0].Zone, "version": "v1",
		"slots": spoiledCallers, "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		t.Fatal(err)
	}
	s.Store.Put("servers/"+id, value)
}

func (s *spoilingServer) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *spoilingServer) serveConn(conn net.Conn) {
	defer conn.Close()
	requests := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		id := request.Header.Get(backendserver.HeaderRequestID)
		s.runs.add(id)
		if request.URL.Path == firstPath {
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Busy\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n",
				backendserver.HeaderRequestID, id, backendserver.HeaderNotRun)
			continue
		}
		number, err := strconv.Atoi(strings.TrimPrefix(request.URL.Path, platformsite.BookingPath))
		if err != nil {
			return
		}
		sent := s.cases[number]
		if !sent.early {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		if _, err := io.WriteString(conn, strings.ReplaceAll(sent.raw, idMark, id)); err != nil || sent.closes {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
	}
}

// playSpoiled sends a request for each case and checks what its caller gets.
func playSpoiled(t *testing.T, cases []spoiledCase) {
	t.Helper()
	options := platformsite.DefaultOptions()
	options.Entries, options.Runners, options.Plain = 1, 1, 0
	options.LogLevel = "info"
	options.Retries = settings.Retries{Ratio: 10, Slack: 100000}
	s := startSite(t, options)
	runs := &requestCounts{runs: map[string]int{}}
	for i := range spoiledServers {
		startSpoilingServer(t, s, fmt.Sprintf("spoiling-%d", i+1), cases, runs)
	}
	awaitServers(t, s, runs)
	numbers := make(chan int)
	results := make([]platformsite.Result, len(cases))
	var group sync.WaitGroup
	for range spoiledCallers {
		group.Go(func() {
			for number := range numbers {
				results[number] = sendSpoiled(s, number, cases[number], spoiledID(number))
			}
		})
	}
	for number := range cases {
		numbers <- number
	}
	close(numbers)
	group.Wait()
	checkSpoiled(t, s, cases, results, runs)
}

func spoiledID(number int) string { return fmt.Sprintf("s%06d", number) }

func sendSpoiled(s *platformsite.Site, number int, sent spoiledCase, id string) platformsite.Result {
	request := platformsite.Request{
		ID: id, Method: http.MethodPost, Path: platformsite.BookingPath + strconv.Itoa(number), Body: "{}", Budget: spoiledBudget,
	}
	if sent.early {
		request.Body = strings.Repeat("x", longBodyBytes)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return s.Entries[0].Send(ctx, request)
}

// awaitServers waits until the entry sends requests to all servers.
func awaitServers(t *testing.T, s *platformsite.Site, runs *requestCounts) {
	t.Helper()
	ctx := testContext(t)
	for tries := 0; ctx.Err() == nil; tries++ {
		request := platformsite.Request{ID: fmt.Sprintf("first%d", tries), Method: http.MethodPost, Path: firstPath, Budget: spoiledBudget}
		_ = s.Entries[0].Send(ctx, request)
		if runs.of(request.ID) == spoiledServers {
			return
		}
		time.Sleep(connectPause)
	}
	t.Fatal("requests don't reach all servers")
}

// checkSpoiled checks that no request ran twice, nor was refused as not run after it ran.
func checkSpoiled(t *testing.T, s *platformsite.Site, cases []spoiledCase, results []platformsite.Result, runs *requestCounts) {
	t.Helper()
	statuses := map[int]int{}
	ran, twice, refused := 0, 0, 0
	for number, result := range results {
		count := runs.of(spoiledID(number))
		statuses[result.Status]++
		ran += min(count, 1)
		isRefused := result.Err == nil && isPromise(result.Status) && count > 0
		if count <= 1 && !isRefused {
			continue
		}
		if count > 1 {
			twice++
		}
		if isRefused {
			refused++
		}
		if twice+refused <= maxShown {
			t.Errorf("%s: status %d, %d runs", cases[number].name, result.Status, count)
			t.Log(linesAbout(s, spoiledID(number)))
		}
	}
	t.Logf("%d cases, %d ran, by status %v; %d ran twice, %d were refused though they ran", len(cases), ran, statuses, twice, refused)
	if twice+refused > 0 {
		t.Errorf("%d ran twice, %d were refused though they ran", twice, refused)
	}
	if ran < len(cases)*9/10 {
		t.Errorf("%d of %d cases were played", ran, len(cases))
	}
}

// Guards against a request that is refused or sent again after a spoiled answer of the server that ran it.
func TestRequestWithSpoiledAnswerIsNotRefusedOrSentAgain(t *testing.T) {
	var early []spoiledCase
	for name, answer := range answersOfRuns() {
		early = append(early, spoiledCase{name: "early " + name, raw: answer, early: true})
	}
	playSpoiled(t, slices.Concat(afterBrokenRejections(), promisesOfRuns(), doubleFields(), spoiledBytes(), early))
}
