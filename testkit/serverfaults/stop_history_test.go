package serverfaults

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/pkg/settings"
	"teaselgauge.example/teaselgauge/testkit/platformsite"
	"teaselgauge.example/teaselgauge/testkit/site"
	"teaselgauge.example/teaselgauge/testkit/standin/backendserver"
)

const (
	// stopGrace is the time between SIGTERM and SIGKILL.
	stopGrace = 5 * time.Second
	// lateSend is how long after SIGTERM a request may be sent that is cut off at the end.
	lateSend = 3 * time.Second
	// stopDeadlineSlack is how much earlier than its caller a request may be ended at its deadline.
	stopDeadlineSlack = 100 * time.Millisecond
	// stopCallers is the number of connections to an entry that stops.
	stopCallers = 24
	// stopSpread is the time over which entries get SIGTERM, one after the other.
	stopSpread = 1500 * time.Millisecond
)

// stopPlan is what happens in one history.
type stopPlan struct {
	// endsServers has a server end, announced or not, beside the stop.
	endsServers bool
	// signals has SIGHUP, changed settings and a second SIGTERM arrive beside the stop.
	signals bool
	// queues has streams wait at their runners.
	queues bool
}

// stopHistory is a play of streams that may not be resumed while entries stop.
type stopHistory struct {
	t    *testing.T
	site *platformsite.Site
	plan stopPlan

	mu sync.Mutex
	// ended holds the servers that have ended.
	ended  map[string]bool
	counts map[string]int
}

// stoppedEntry is an entry that gets SIGTERM at a time.
type stoppedEntry struct {
	*platformsite.Entry
	stopAt time.Time
}

// stopCaller is a connection to an entry that stops.
type stopCaller struct {
	history *stopHistory
	entry   *stoppedEntry
	random  *rand.Rand
	conn    net.Conn
	reader  *bufio.Reader
	// early has the caller send each next request before it has read the last response.
	early bool
	// slow makes the reads small, with pauses.
	slow bool
}

// sentRequest is a request on a connection.
type sentRequest struct {
	caller
	at time.Time
	// headerAt is when the header of the response arrived; zero before.
	headerAt time.Time
	// length is how long its server sends the response.
	length time.Duration
}

// serverEnd is when the server has sent the whole response.
func (r *sentRequest) serverEnd() time.Time {
	if r.headerAt.IsZero() {
		return r.at.Add(r.length)
	}
	return r.headerAt.Add(r.length)
}

func stopOptions(plan stopPlan) platformsite.Options {
	options := platformsite.DefaultOptions()
	options.Entries, options.Runners, options.Plain = 3, 3, 2
	options.Slots = 128
	options.LogLevel = "info"
	options.Models = options.Models[:1]
	options.ConfigureEngine = func(_ int, engine *backendserver.Engine) { engine.Loaded = []string{modelName} }
	options.DrainMillis = int(stopGrace.Milliseconds())
	options.Retries = settings.Retries{Ratio: 10, Slack: 1000}
	options.ServerProcesses = true
	if plan.queues {
		options.RunnerPlaces, options.RunnerQueue = 6, options.Slots
	}
	return options
}

// pausingReader reads little at a time, with pauses.
type pausingReader struct {
	conn   net.Conn
	random *rand.Rand
}

func (r pausingReader) Read(p []byte) (int, error) {
	if r.random.IntN(8) == 0 {
		time.Sleep(time.Duration(r.random.IntN(120)) * time.Millisecond)
	}
	return r.conn.Read(p[:min(len(p), 1+r.random.IntN(slowReadBytes))])
}

// dialStop connects to an entry.
func (h *stopHistory) dialStop(entry *stoppedEntry, random *rand.Rand) (*stopCaller, error) {
	c := &stopCaller{history: h, entry: entry, random: random, early: random.IntN(3) == 0, slow: random.IntN(3) == 0}
	dialer := net.Dialer{Timeout: time.Second}
	if c.slow {
		dialer.Control = setSmallReceiveBuffer
	}
	conn, err := dialer.Dial("tcp", entry.Callers)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	c.conn = conn
	c.reader = bufio.NewReader(conn)
	if c.slow {
		c.reader = bufio.NewReaderSize(pausingReader{conn, random}, 16)
	}
	return c, nil
}

// newRequest returns a stream whose server works for at most a time.
func (c *stopCaller) newRequest(longest time.Duration) *sentRequest {
	random := c.random
	length := time.Duration(random.Int64N(int64(longest)))
	plan := backendserver.Plan{Framing: framings[random.IntN(len(framings))], Events: 2 + random.IntN(60)}
	plan.GapMillis = max(int(length.Milliseconds())/plan.Events, 1)
	if c.slow || random.IntN(4) == 0 {
		plan.PieceBytes = random.IntN(6000)
	}
	request := &sentRequest{
		caller: caller{call: call{path: platformsite.AdvicePath, plan: plan, budget: 11 * time.Second}},
		length: time.Duration(plan.Events*plan.GapMillis) * time.Millisecond,
	}
	request.id = fmt.Sprintf("q%06d", lastID.Add(1))
	if random.IntN(4) == 0 {
		request.budget = time.Duration(300+random.IntN(4000)) * time.Millisecond
	}
	request.http10 = !c.early && random.IntN(6) == 0
	return request
}

func (c *stopCaller) send(request *sentRequest) error {
	request.at = time.Now()
	_, err := io.WriteString(c.conn, request.encode())
	return err
}

// play sends requests on the connection until it ends.
func (c *stopCaller) play(first time.Duration) {
	defer c.conn.Close()
	pending := []*sentRequest{}
	for longest := first; ; longest = stopGrace {
		if len(pending) == 0 {
			request := c.newRequest(longest)
			if err := c.send(request); err != nil {
				c.history.count("not sent")
				return
			}
			pending = append(pending, request)
		}
		if c.early && len(pending) == 1 && !pending[0].http10 {
			time.Sleep(time.Duration(c.random.IntN(300)) * time.Millisecond)
			request := c.newRequest(stopGrace / 2)
			if err := c.send(request); err == nil {
				pending = append(pending, request)
			}
		}
		request := pending[0]
		pending = pending[1:]
		if !c.receive(request) || request.http10 {
			c.checkDropped(pending)
			return
		}
		if c.random.IntN(2) == 0 {
			time.Sleep(time.Duration(c.random.IntN(700)) * time.Millisecond)
		}
	}
}

// checkDropped checks that requests on a connection that has ended were not sent on.
func (c *stopCaller) checkDropped(pending []*sentRequest) {
	for _, request := range pending {
		c.history.count("dropped behind another one")
		if len(request.runs(c.history.site)) > 0 {
			c.lost(request, 0, "", "behind another request", net.ErrClosed)
		}
	}
}

// receive reads the response to a request and judges it. It returns false if the connection
// has ended.
func (c *stopCaller) receive(request *sentRequest) bool {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		c.lost(request, 0, "", "no response", err)
		return false
	}
	request.headerAt = time.Now()
	body, err := io.ReadAll(response.Body)
	server := response.Header.Get(backendserver.HeaderServer)
	want := strings.Join(request.plan.Pieces(request.id, request.path), "")
	switch {
	case err != nil:
		c.lost(request, response.StatusCode, server, fmt.Sprintf("%d of %d bytes", len(body), len(want)), err)
		return false
	case refusals[response.StatusCode]:
		c.history.count(fmt.Sprint("refused ", response.StatusCode))
	case response.StatusCode != http.StatusOK || string(body) != want:
		c.history.t.Errorf("%s: status %d, %d of %d bytes as a complete response", request.id, response.StatusCode, len(body), len(want))
	default:
		c.history.count("whole")
	}
	return !response.Close
}

// lost judges a request without a whole response.
func (c *stopCaller) lost(request *sentRequest, status int, server, what string, err error) {
	now := time.Now()
	sinceStop := now.Sub(c.entry.stopAt)
	lastSixth := c.entry.stopAt.Add(stopGrace * 5 / 6)
	wasSent := len(request.runs(c.history.site)) > 0
	h := c.history
	lines := linesOf(c.entry.Log(), request.id)
	switch {
	case !wasSent && lines == "" && c.isUnread(err):
		h.count("not read")
	case now.Sub(request.at) > request.budget-stopDeadlineSlack:
		h.count("deadline")
	case h.hasEnded(server):
		h.count("its server ended")
	case !request.headerAt.IsZero() && now.After(lastSixth) && request.serverEnd().After(lastSixth) && request.at.Before(c.entry.stopAt.Add(lateSend)):
		h.count("cut off at the end")
	default:
		h.count("LOST")
		h.t.Errorf("%s %s lost %.3f s after SIGTERM, sent %.3f s after it, for %s, early=%t slow=%t http10=%t framing %s: status %d, server %s, sent on %t, %s: %v\n%s",
			c.entry.ID, request.id, sinceStop.Seconds(), request.at.Sub(c.entry.stopAt).Seconds(), request.length, c.early, c.slow, request.http10, request.plan.Framing,
			status, server, wasSent, what, err, lines)
	}
}

// resetTime is the time in which a reset arrives over loopback.
const resetTime = 50 * time.Millisecond

// isUnread reports whether the connection ended with a reset, which is how a caller can tell
// that its request wasn't read. A reset that follows an end shows in the next write.
func (c *stopCaller) isUnread(err error) bool {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		time.Sleep(resetTime)
		_, err = io.WriteString(c.conn, "\n")
	}
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

func linesOf(log, id string) string {
	var lines []string
	for line := range strings.Lines(log) {
		if strings.Contains(line, id) {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "")
}

func (h *stopHistory) count(what string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts[what]++
}

func (h *stopHistory) setEnded(server string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended[server] = true
}

func (h *stopHistory) hasEnded(server string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ended[server]
}

// run plays a history.
func (h *stopHistory) run(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 57))
	var wait sync.WaitGroup
	begun := time.Now()
	const before = 2 * time.Second
	for _, entry := range h.site.Entries {
		stopped := &stoppedEntry{Entry: entry, stopAt: begun.Add(before + time.Duration(random.Int64N(int64(stopSpread))))}
		for range stopCallers {
			begin := time.Duration(random.Int64N(int64(before + stopSpread + 2500*time.Millisecond)))
			callerRandom := rand.New(rand.NewPCG(random.Uint64(), 1))
			wait.Go(func() {
				time.Sleep(begin)
				c, err := h.dialStop(stopped, callerRandom)
				if err != nil {
					h.count("not connected")
					return
				}
				c.play(stopGrace + before)
			})
		}
		wait.Go(func() {
			time.Sleep(time.Until(stopped.stopAt))
			h.stop(ctx, stopped)
		})
		if h.plan.signals {
			at := time.Duration(random.Int64N(int64(before + stopSpread + stopGrace)))
			second := stopped.stopAt.Add(time.Duration(random.Int64N(int64(stopGrace))))
			wait.Go(func() { h.signal(stopped, begun.Add(at), second) })
		}
	}
	if h.plan.endsServers {
		server := h.site.Servers[2+random.IntN(3)]
		how, at := random.IntN(3), begun.Add(time.Duration(random.Int64N(int64(before+stopGrace))))
		wait.Go(func() { h.endServer(ctx, server, how, at) })
	}
	wait.Wait()
}

// stop sends SIGTERM, and SIGKILL after the grace, and checks that the entry needed none.
func (h *stopHistory) stop(ctx context.Context, entry *stoppedEntry) {
	if err := entry.Terminate(); err != nil {
		h.t.Error(err)
	}
	waitCtx, cancel := context.WithTimeout(ctx, stopGrace)
	defer cancel()
	if err := entry.Wait(waitCtx); err != nil {
		h.t.Errorf("%s: %v", entry.ID, err)
		_ = entry.Kill()
	}
}

func (h *stopHistory) signal(entry *stoppedEntry, hangUp, second time.Time) {
	time.Sleep(time.Until(hangUp))
	if hangUp.UnixNano()%2 == 0 {
		_ = h.site.ChangeLogLevel(entry.ID, "info")
	}
	_ = entry.Signal(syscall.SIGHUP)
	time.Sleep(time.Until(second))
	_ = entry.Terminate()
}

// endServer ends a server: killed, terminated, or terminated after it has announced it.
func (h *stopHistory) endServer(ctx context.Context, server *platformsite.ServerProcess, how int, at time.Time) {
	time.Sleep(time.Until(at))
	h.setEnded(server.ID)
	if how == 2 {
		_ = server.AnnounceDrain(ctx)
		time.Sleep(time.Second)
	}
	if how == 0 {
		_ = server.Kill()
	} else {
		_ = server.Terminate()
	}
	time.Sleep(registrationExpiry)
	server.Deregister()
}

// startStopHistory starts a site for histories.
func startStopHistory(t *testing.T, plan stopPlan) *stopHistory {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	binaries, err := site.Shared()
	if err != nil {
		t.Fatal(err)
	}
	s, err := platformsite.Start(t.Context(), binaries, stopOptions(plan))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	})
	h := &stopHistory{t: t, site: s, plan: plan, ended: map[string]bool{}, counts: map[string]int{}}
	err = site.Eventually(testContext(t), func() error {
		for _, entry := range s.Entries {
			c, err := dial(entry, call{path: platformsite.AdvicePath, plan: streamPlan(backendserver.FramingConnection)}, func(*caller) {})
			if err != nil {
				return err
			}
			if err := c.checkServed(c.finish()); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return h
}

// TestHistoryOfStoppingEntriesLosesNoStream plays the seeds of SERVERFAULTS_STOPS, from 1 on.
func TestHistoryOfStoppingEntriesLosesNoStream(t *testing.T) {
	for seed := range stopSeeds() {
		number := firstStop() + seed
		t.Run(fmt.Sprint(number), func(t *testing.T) {
			h := startStopHistory(t, stopPlan{endsServers: number%3 == 1, signals: number%2 == 1, queues: number%4 == 0})
			h.run(t.Context(), uint64(number))
			t.Logf("%+v %v", h.plan, h.counts)
		})
	}
}

// stopSeeds returns the number of histories to play, firstStop the first seed.
func stopSeeds() int { return seedSetting("SERVERFAULTS_STOPS", 1) }

func firstStop() int { return seedSetting("SERVERFAULTS_FIRST_STOP", 1) }

func seedSetting(name string, otherwise int) int {
	if value, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return value
	}
	return otherwise
}
