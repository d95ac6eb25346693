package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// recoverTime is recoverS of the site, sampleTime how long is sampled before the final
	// fault and after it.
	recoverTime = 12 * time.Second
	sampleTime  = 10 * time.Second
	sampleGap   = 100 * time.Millisecond
	// restartDelay is the short delay after which the platform starts a process again.
	restartDelay = time.Second
)

// startEntries starts two entries and waits until they are ready.
func (l *lab) startEntries() ([]*entry, error) {
	var entries []*entry
	for number := 1; number <= 2; number++ {
		e, err := l.newEntry(number)
		if err != nil {
			return nil, err
		}
		entries = append(entries, e)
		if err := e.start(); err != nil {
			return nil, err
		}
	}
	for _, e := range entries {
		if err := l.eventually("ready", startTimeout, e.isReady); err != nil {
			return nil, err
		}
	}
	return entries, nil
}

// bookingConfiguration is a configuration with model runners, and a plain service that takes
// bookings.
func bookingConfiguration() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{
				"name": "r-1", "host": "ficu95.example", "pathPrefix": "/lohu930/", "routeType": "streaming", "timeoutMs": 12000,
				"targetLatencyMs": 300, "priority": 1, "service": "huvo11a", "maxAttempts": 1, "sticky": true, "resumable": false, "gapAimMs": 200,
			},
			map[string]any{
				"name": "r-2", "host": "ficu95.example", "pathPrefix": "/puxa403/", "routeType": "non_idempotent", "timeoutMs": 1000,
				"targetLatencyMs": 120, "priority": 2, "service": "xano55b", "maxAttempts": 1,
			},
		},
		"services": []any{
			map[string]any{"name": "huvo11a", "healthPath": "/health", "maxConnections": 250, "engine": map[string]any{
				"slots": 32, "kvCapacity": 89395, "weightsMb": 200000, "adapterSlots": 8, "loadsPerS": 4.1,
				"models": []any{map[string]any{"name": "daka510000", "weightsMb": 65500, "loadS": 6, "adapters": 28, "adapterMb": 40, "warmS": 0.38, "diskS": 1}},
			}},
			map[string]any{"name": "xano55b", "healthPath": "/health", "maxConnections": 110},
		},
		"limits": limits(),
	}
}

// serveBookings starts a runner that answers each request at once.
func (l *lab) serveBookings(instance, address string) {
	l.serveBookingsTo(instance, address, func(*http.Request) {})
}

// serveBookingsTo is like serveBookings, and calls a function with each request that it runs.
func (l *lab) serveBookingsTo(instance, address string, run func(*http.Request)) *http.Server {
	server := &http.Server{Addr: address, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(headerAttempt)
		w.Header().Set(headerAttempt, id)
		expected := r.Header.Get("Teaselgauge-Expect-Instance")
		switch {
		case id == "":
			w.Header().Set(headerNotRun, "1")
			w.WriteHeader(http.StatusBadRequest)
			return
		case expected != "" && expected != instance:
			w.Header().Set("Teaselgauge-Instance-Id", instance)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		body, _ := io.ReadAll(r.Body)
		run(r)
		w.Header().Set(headerSeal, "seal-"+id)
		fmt.Fprintf(w, "booked %s %s", id, body)
	})}
	l.atEnd(func() { _ = server.Close() })
	go func() { _ = server.ListenAndServe() }()
	return server
}

// sampled counts requests.
type sampled struct{ sent, served int }

// String returns the counts for the record.
func (s sampled) String() string {
	return fmt.Sprintf("%d of %d requests were served", s.served, s.sent)
}

// sample sends requests to the entries in turn.
func (l *lab) sample(entries []*entry, span time.Duration) sampled {
	var counts sampled
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(sampleGap) {
		counts.sent++
		if l.book(entries[counts.sent%len(entries)]) {
			counts.served++
		}
	}
	return counts
}

// bookClient opens a connection for each request.
var bookClient = http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

var bookCount atomic.Int64

// book sends one booking to an entry and reports whether it was served.
func (l *lab) book(e *entry) bool {
	id := fmt.Sprintf("%s-attempt-%d", e.name, bookCount.Add(1))
	request, err := http.NewRequest(http.MethodPost, "http://"+e.front+"/puxa403/2f", strings.NewReader("one drum"))
	if err != nil {
		return false
	}
	request.Host = "ficu95.example"
	request.Header.Set(headerAttempt, id)
	request.Header.Set("Teaselgauge-Deadline-Ms", "1000")
	response, err := bookClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return err == nil && response.StatusCode == http.StatusOK && string(body) == "booked "+id+" one drum"
}
