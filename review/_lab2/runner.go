package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"
)

// The headers of the users' protocol that the stand-ins use.
const (
	headerAttempt = "Teaselgauge-Attempt-Id"
	headerSeal    = "Teaselgauge-Response-Seal"
	headerNotRun  = "Teaselgauge-Not-Executed"
	healthPath    = "/health"
)

// serveRunner is a runner in a process of its own: ADDRESS EVENTS INTERVAL_MS. It answers
// each request with a stream of events that has no length and ends with its connection.
func serveRunner(args []string) {
	events, _ := strconv.Atoi(args[1])
	interval, _ := strconv.Atoi(args[2])
	listener, err := net.Listen("tcp", args[0])
	if err != nil {
		fmt.Fprintln(os.Stderr, "runner:", err)
		os.Exit(exitNotRun)
	}
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go answer(connection, events, time.Duration(interval)*time.Millisecond)
	}
}

// answer answers the one request of a connection.
func answer(connection net.Conn, events int, interval time.Duration) {
	defer connection.Close()
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return
	}
	if request.URL.Path == healthPath {
		fmt.Fprint(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		return
	}
	id := request.Header.Get(headerAttempt)
	fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", headerAttempt, id, headerSeal, id)
	for number := 1; number <= events; number++ {
		time.Sleep(interval)
		if _, err := fmt.Fprintf(connection, "id: %d\ndata: %s %d of %d\n\n", number, id, number, events); err != nil {
			return
		}
	}
}
