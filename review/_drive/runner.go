package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/testkit/standin/metadatastore"
)

const (
	headerAttempt     = "Teaselgauge-Attempt-Id"
	headerSeal        = "Teaselgauge-Response-Seal"
	headerNotExecuted = "Teaselgauge-Not-Executed"
	headerInstance    = "Teaselgauge-Expect-Instance"
)

// model is a model of the deployment.
type model struct {
	name       string
	mb         float64
	load, disk time.Duration
}

// runner is a stand-in for a model runner of the platform, at the level of connections.
type runner struct {
	id, zone, service, address string
	// mb is its memory for weights. places is the number of requests whose memory it holds
	// at once, queue the number that wait beyond.
	mb            float64
	places, queue int
	slots         int
	models        []model
	// events and gap describe its streams. unframed streams end with their connection.
	events   int
	gap      time.Duration
	unframed bool
	// plain is set for a server of a service without models.
	plain bool
	// extra is the largest share of its answers of which a second copy comes late, where the
	// next answer on that connection is expected. The fault is in how it rejects requests.
	extra float64
	// lateOrder has the named model's load order left without an answer and carried out
	// after this time.
	lateModel string
	lateAfter time.Duration

	record   *record
	listener net.Listener

	mu       sync.Mutex
	born     int64
	sequence int64
	fence    int64
	busy     bool
	down     bool
	loaded   []string
	disk     []string
	running  int
	waiting  int
	draining bool
	leavesAt time.Time
	conns    map[net.Conn]bool
	// runs counts the runs by attempt, ran those that began.
	runs map[string]int
	// overcommits counts the orders that asked for more than the memory holds.
	overcommits int
	lateTaken   bool
	// answers counts the answers to requests, copies those that come twice.
	answers, copies int
	beats           int64
	freed           chan struct{}
}

func (r *runner) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.listener = listener
	r.address = listener.Addr().String()
	r.born = time.Now().UnixMilli()
	r.conns = make(map[net.Conn]bool)
	if r.runs == nil {
		r.runs = make(map[string]int)
	}
	if r.freed == nil {
		r.freed = make(chan struct{}, 1024)
	}
	r.down = false
	r.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			r.conns[conn] = true
			r.mu.Unlock()
			go r.serve(conn)
		}
	}()
	return nil
}

// crash resets all connections and loses what the runner holds, but for its disk.
func (r *runner) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.listener.Close()
	for conn := range r.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	r.down = true
	r.loaded = nil
	r.sequence, r.fence, r.running, r.waiting = 0, 0, 0, 0
	r.busy = false
}

// registration is the runner's entry in the store.
func (r *runner) registration() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.beats++
	entry := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots,
		"state": "ready", "coldRemainingMs": 0, "sequence": r.beats, "born": r.born, "models": r.held(),
	}
	if r.draining {
		entry["state"] = "draining"
		if !r.leavesAt.IsZero() {
			entry["remainingMs"] = max(time.Until(r.leavesAt).Milliseconds(), 0)
		}
	}
	value, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	return value
}

func (r *runner) held() []map[string]any {
	list := []map[string]any{}
	for _, name := range r.loaded {
		list = append(list, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	return list
}

// register writes the runner's entry now.
func (r *runner) register(store *metadatastore.Server) {
	store.Put("servers/"+r.id, r.registration())
}

// beat writes the runner's entry at each heartbeat while it runs.
func (r *runner) beat(store *metadatastore.Server, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(heartbeatInterval):
		}
		r.mu.Lock()
		down := r.down
		r.mu.Unlock()
		if !down {
			r.register(store)
		}
	}
}

// serve serves one request at a time on a connection.
func (r *runner) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		r.mu.Lock()
		delete(r.conns, conn)
		r.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	var late []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if late != nil {
			r.record.add("%s sends a second copy of its last answer on this connection", r.id)
			if _, err := conn.Write(late); err != nil {
				return
			}
			late = nil
			time.Sleep(time.Millisecond)
		}
		switch {
		case request.URL.Path == registrationPath:
			_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", r.registration())
			if err == nil {
				err = io.EOF
			}
		case request.URL.Path == noticePath:
			r.mu.Lock()
			r.draining = true
			r.leavesAt = time.Now().Add(noticeTime)
			r.mu.Unlock()
			err = r.answerJSON(conn, http.StatusOK, map[string]any{})
		case request.URL.Path == "/v1/report":
			err = r.answerJSON(conn, http.StatusOK, r.report())
		case request.URL.Path == "/v1/order":
			status := r.order(request.Header.Get(headerInstance), body)
			if status == 0 {
				return
			}
			err = r.answerJSON(conn, status, map[string]any{})
		default:
			late, err = r.request(conn, request)
		}
		if err != nil {
			return
		}
	}
}

func (r *runner) leavingLine() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return "Server-Leaving: 1\r\n"
	}
	return ""
}

func (r *runner) answerJSON(conn net.Conn, status int, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), r.leavingLine(), len(text), text)
	return err
}

func (r *runner) report() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := "ready"
	report := map[string]any{
		"stage": "prefill_decode", "models": r.held(), "busy": r.busy, "sequence": r.sequence, "born": r.born,
		"waiting": r.waiting, "running": r.running, "kvUsed": r.running * 1000, "kvTotal": r.places * 1000, "handles": 0,
		"coming": []string{}, "atHand": map[string]any{"inMemory": []string{}, "onDisk": r.disk},
	}
	if r.draining {
		state = "draining"
		if !r.leavesAt.IsZero() {
			report["remainingMs"] = max(time.Until(r.leavesAt).Milliseconds(), 0)
		}
	}
	report["state"] = state
	return report
}

// orderBody is the body of an order.
type orderBody struct {
	Operation, Model, Adapter, Holder string
	Expected                          *int64
	FencingToken                      int64
}

// order answers an order with its status, or leaves it without an answer with 0.
func (r *runner) order(instance string, body []byte) int {
	var wanted orderBody
	if json.Unmarshal(body, &wanted) != nil || wanted.Holder == "" || wanted.FencingToken == 0 {
		return http.StatusBadRequest
	}
	r.mu.Lock()
	isLate := r.lateModel != "" && !r.lateTaken && wanted.Operation == "load" && wanted.Model == r.lateModel
	if isLate {
		r.lateTaken = true
	}
	r.mu.Unlock()
	if isLate {
		r.record.add("%s gets the order %s, leaves it without an answer, and carries it out %s later", r.id, body, r.lateAfter)
		time.AfterFunc(r.lateAfter, func() {
			status := r.carryOut(instance, wanted)
			r.record.add("%s now carries out the late order %s: %d", r.id, body, status)
		})
		return 0
	}
	status := r.carryOut(instance, wanted)
	r.record.add("%s gets the order %s for %s: %d", r.id, body, instance, status)
	return status
}

func (r *runner) carryOut(instance string, wanted orderBody) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := slices.IndexFunc(r.models, func(m model) bool { return m.name == wanted.Model })
	held := slices.Contains(r.loaded, wanted.Model)
	switch {
	case r.down:
		return http.StatusServiceUnavailable
	case instance != "" && instance != r.id:
		return http.StatusMisdirectedRequest
	case wanted.FencingToken < r.fence:
		return http.StatusPreconditionFailed
	case r.busy || (wanted.Expected != nil && *wanted.Expected != r.sequence):
		return http.StatusConflict
	case at < 0 || wanted.Adapter != "":
		return http.StatusBadRequest
	}
	r.fence = wanted.FencingToken
	if (wanted.Operation == "load") == held {
		return http.StatusOK
	}
	r.sequence++
	if wanted.Operation == "unload" {
		r.loaded = slices.DeleteFunc(r.loaded, func(name string) bool { return name == wanted.Model })
		return http.StatusAccepted
	}
	used := r.models[at].mb
	for _, name := range r.loaded {
		for _, m := range r.models {
			if m.name == name {
				used += m.mb
			}
		}
	}
	if used > r.mb {
		r.overcommits++
		r.record.add("%s is ordered to hold %.0f MB of weights of %.0f MB and crashes", r.id, used, r.mb)
	}
	took := r.models[at].load
	if slices.Contains(r.disk, wanted.Model) {
		took = r.models[at].disk
	}
	r.busy = true
	born := r.born
	time.AfterFunc(took, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.born != born || r.down {
			return
		}
		r.busy = false
		r.loaded = append(r.loaded, wanted.Model)
		if !slices.Contains(r.disk, wanted.Model) {
			r.disk = append(r.disk, wanted.Model)
		}
	})
	return http.StatusAccepted
}

// request answers a client's request. It returns the second copy of its answer that comes
// late, if there is one.
func (r *runner) request(conn net.Conn, request *http.Request) (late []byte, err error) {
	id := request.Header.Get(headerAttempt)
	refuse := func(status int, why string) ([]byte, error) {
		text := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: 1\r\n%sContent-Length: 0\r\n\r\n",
			status, http.StatusText(status), headerAttempt, id, headerNotExecuted, r.leavingLine())
		r.record.add("%s rejects %s with %d, not executed: %s (connection %s)", r.id, id, status, why, conn.RemoteAddr())
		_, err := conn.Write(text)
		return r.copyOf(text), err
	}
	if expected := request.Header.Get(headerInstance); expected != "" && expected != r.id {
		return refuse(http.StatusMisdirectedRequest, "another instance")
	}
	name, _, _ := strings.Cut(request.Header.Get("Teaselgauge-Model"), "/")
	r.mu.Lock()
	r.answers++
	held := r.plain || slices.Contains(r.loaded, name)
	r.mu.Unlock()
	if !held {
		return refuse(http.StatusMisdirectedRequest, "model not present")
	}
	if !r.admit() {
		return refuse(http.StatusServiceUnavailable, "full")
	}
	defer r.leave()
	r.mu.Lock()
	r.runs[id]++
	runs := r.runs[id]
	r.mu.Unlock()
	r.record.add("%s runs %s (run %d here, connection %s)", r.id, id, runs, conn.RemoteAddr())
	if r.plain {
		return nil, r.answerPlain(conn, id)
	}
	return nil, r.stream(conn, id, request.Header.Get("Last-Event-Id"))
}

// answerPlain answers a request to a service without models.
func (r *runner) answerPlain(conn net.Conn, id string) error {
	time.Sleep(r.gap)
	text := "booked " + id
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\n%sContent-Length: %d\r\n\r\n%s",
		headerAttempt, id, headerSeal, id, r.leavingLine(), len(text), text)
	return err
}

// copyOf returns a copy of an answer for the share of answers that come twice.
func (r *runner) copyOf(text []byte) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.extra == 0 || float64(r.copies+1) > r.extra*float64(r.answers) {
		return nil
	}
	r.copies++
	return text
}

// admit waits for a place; it returns false if the queue is full.
func (r *runner) admit() bool {
	r.mu.Lock()
	if r.running < r.places {
		r.running++
		r.mu.Unlock()
		return true
	}
	if r.waiting >= r.queue {
		r.mu.Unlock()
		return false
	}
	r.waiting++
	r.mu.Unlock()
	<-r.freed
	return true
}

// leave frees a place for the next request.
func (r *runner) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waiting > 0 {
		r.waiting--
		r.freed <- struct{}{}
		return
	}
	r.running = max(r.running-1, 0)
}

// event returns one event of a request's stream.
func event(id string, number, of int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d of %d\n\n", number, id, number, of)
}

func (r *runner) stream(conn net.Conn, id, lastEvent string) error {
	framing := "Transfer-Encoding: chunked\r\n"
	if r.unframed {
		framing = "Connection: close\r\n"
	}
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\nContent-Type: text/event-stream\r\n%s%s\r\n",
		headerAttempt, id, headerSeal, id, r.leavingLine(), framing); err != nil {
		return err
	}
	first := 1
	_, _ = fmt.Sscan(lastEvent, &first)
	if lastEvent != "" {
		first++
	}
	for number := first; number <= r.events; number++ {
		time.Sleep(r.gap)
		text := event(id, number, r.events)
		if !r.unframed {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return err
		}
	}
	if r.unframed {
		r.record.add("%s has sent all of %s and closes the connection", r.id, id)
		return io.EOF
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err
}
