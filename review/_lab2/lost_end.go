package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	lostEndEvents   = 40
	lostEndInterval = 100
	// lostEndRunners is the number of runners, of which one is taken away; lostEndCallers
	// is that of callers.
	lostEndRunners = 8
	lostEndCallers = 8
	// runnersZone is the zone whose links lose packets; the entry is in another one.
	runnersZone = "nl-west-b"
	// noticeTime is the time between the notice and the end of a runner that is taken
	// away at short notice.
	noticeTime = 2 * time.Second
	// resendTime is after how long a lost packet is sent again.
	resendTime = 250 * time.Millisecond
)

// callerResult is what a caller of a stream got.
type callerResult struct {
	id string
	// status is zero without an answer.
	status int
	events int
	// complete is set if the answer ended as complete.
	complete bool
	err      error
}

// startOtherRunners starts the runners that stay.
func (l *lab) startOtherRunners() error {
	for number := 2; number <= lostEndRunners; number++ {
		address := fmt.Sprintf("%s:8300", l.ip(3, number))
		runner := l.newProcess(fmt.Sprintf("runner-%d", number), nil, "target/review-2/lab2", "runner", address, fmt.Sprint(lostEndEvents), fmt.Sprint(lostEndInterval))
		if err := runner.start(); err != nil {
			return err
		}
		if err := l.eventually("listening", startTimeout, func() bool {
			connection, err := net.Dial("tcp", address)
			if err == nil {
				_ = connection.Close()
			}
			return err == nil
		}); err != nil {
			return err
		}
		l.register(fmt.Sprintf("i-7f3a91d%d", number), "huvo11a", address, map[string]any{"zone": runnersZone})
	}
	return nil
}

// playLostEnd plays a runner that is taken away at short notice while it streams, over a link
// that loses one packet.
func playLostEnd(l *lab, trouble bool) error {
	runnerAddress, linkAddress := l.ip(3, 1)+":8300", l.ip(4, 1)+":8300"
	runner := l.newProcess("runner-1", nil, "target/review-2/lab2", "runner", runnerAddress, fmt.Sprint(lostEndEvents), fmt.Sprint(lostEndInterval))
	if err := runner.start(); err != nil {
		return err
	}
	network, err := l.newLink(linkAddress, runnerAddress)
	if err != nil {
		return err
	}
	if err := l.configure(map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-1", "host": "ficu95.example", "pathPrefix": "/lohu930/", "routeType": "streaming", "timeoutMs": 12000,
			"targetLatencyMs": 300, "priority": 1, "service": "huvo11a", "maxAttempts": 1, "resumable": false, "gapAimMs": 200,
		}},
		"services": []any{map[string]any{"name": "huvo11a", "healthPath": "/health", "maxConnections": 250}},
		"limits":   limits(),
	}); err != nil {
		return err
	}
	registered := l.register("i-7f3a91c2", "huvo11a", linkAddress, map[string]any{"zone": runnersZone})
	if err := l.startOtherRunners(); err != nil {
		return err
	}
	e, err := l.newEntry(1)
	if err != nil {
		return err
	}
	if err := e.start(); err != nil {
		return err
	}
	if err := l.eventually("ready", startTimeout, e.isReady); err != nil {
		return err
	}
	if result := stream(e.front, "warm-up"); !result.isWhole() {
		return fmt.Errorf("the answer in calm isn't whole: %+v", result)
	}
	l.note("an answer in calm is whole: %d events", lostEndEvents)
	results := make([]callerResult, lostEndCallers)
	var callers sync.WaitGroup
	for i := range results {
		callers.Go(func() { results[i] = stream(e.front, fmt.Sprintf("attempt-%d", i+1)) })
	}
	time.Sleep(500 * time.Millisecond)
	registered.change(map[string]any{"state": "draining", "remainingMs": noticeTime.Milliseconds()})
	l.note("runner i-7f3a91c2 reports draining, remainingMs %d", noticeTime.Milliseconds())
	if trouble {
		time.Sleep(noticeTime)
		number, open := network.loseEnd(resendTime)
		l.note("the runner's time is over: it is gone; of %d open connections, the packet that ends connection %d is lost and sent again %s later", open, number, resendTime)
		network.close()
		runner.signal(syscall.SIGKILL)
		registered.leave()
	}
	callers.Wait()
	wrong := 0
	for _, result := range results {
		if !result.isWhole() {
			l.note("caller of %s: status %d, %d of %d events, complete %t, %v", result.id, result.status, result.events, lostEndEvents, result.complete, result.err)
		}
		if result.complete && result.events < lostEndEvents {
			wrong++
		}
	}
	whole := 0
	for _, result := range results {
		if result.isWhole() {
			whole++
		}
	}
	l.note("%d of %d callers got a whole stream", whole, len(results))
	if wrong > 0 {
		return fmt.Errorf("%w: %d of %d streams ended as complete before their last piece", errBroken, wrong, len(results))
	}
	return nil
}

func (r callerResult) isWhole() bool { return r.complete && r.events == lostEndEvents }

// stream sends a request on a connection of its own and reads its answer to the end.
func stream(front, id string) callerResult {
	result := callerResult{id: id}
	connection, err := net.Dial("tcp", front)
	if err != nil {
		result.err = err
		return result
	}
	defer connection.Close()
	fmt.Fprintf(connection, "POST /lohu930/%s HTTP/1.1\r\nHost: ficu95.example\r\n%s: %s\r\nTeaselgauge-Deadline-Ms: 12000\r\nContent-Length: 2\r\n\r\nhi", id, headerAttempt, id)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		result.err = err
		return result
	}
	result.status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	result.events = strings.Count(string(body), "data: "+id)
	result.complete = err == nil && response.StatusCode == http.StatusOK
	result.err = err
	return result
}
