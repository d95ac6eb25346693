package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
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

// playSettingsChange plays a change of the settings, and a final fault after it.
func playSettingsChange(l *lab, trouble bool) error {
	address := l.ip(3, 1) + ":8300"
	l.serveBookings(address)
	if err := l.configure(bookingConfiguration()); err != nil {
		return err
	}
	l.register("i-9e16b79e", "xano55b", address, map[string]any{"slots": 6})
	var entries []*entry
	for number := 1; number <= 2; number++ {
		e, err := l.newEntry(number)
		if err != nil {
			return err
		}
		entries = append(entries, e)
		if err := e.start(); err != nil {
			return err
		}
	}
	for _, e := range entries {
		if err := l.eventually("ready", startTimeout, e.isReady); err != nil {
			return err
		}
	}
	if trouble {
		for _, e := range entries {
			e.fields["bounds.graceS"] = "7.5"
			if err := e.writeSettings(); err != nil {
				return err
			}
			e.signal(syscall.SIGHUP)
		}
		l.note("the settings have changed: bounds.graceS is 7.5 instead of 8; both entries get SIGHUP")
	}
	before := l.sample(entries, sampleTime)
	l.note("before the final fault %s", before)
	for _, e := range entries {
		e.signal(syscall.SIGKILL)
	}
	l.note("final fault: all processes are killed")
	for _, e := range entries {
		<-e.done
	}
	stop := make(chan struct{})
	for _, e := range entries {
		time.Sleep(restartDelay / 2)
		if err := e.start(); err != nil {
			return err
		}
		go e.keepRunning(stop)
	}
	l.note("the platform has started them again, with the settings in effect")
	time.Sleep(recoverTime)
	after := l.sample(entries, sampleTime)
	close(stop)
	l.note("later than recoverS after that %s", after)
	if 4*before.served < before.sent {
		return fmt.Errorf("less than a quarter was served before the final fault")
	}
	if 4*after.served < after.sent {
		return fmt.Errorf("%w: %d of %d requests were served later than recoverS after the final fault; a quarter is the least", errBroken, after.served, after.sent)
	}
	return nil
}

// keepRunning starts the process again whenever it ends, as the platform does.
func (e *entry) keepRunning(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-e.done:
		}
		time.Sleep(restartDelay)
		select {
		case <-stop:
			return
		default:
			_ = e.start()
		}
	}
}

func bookingConfiguration() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-2", "host": "ficu95.example", "pathPrefix": "/puxa403/", "routeType": "non_idempotent", "timeoutMs": 1000,
			"targetLatencyMs": 120, "priority": 2, "service": "xano55b", "maxAttempts": 1,
		}},
		"services": []any{map[string]any{"name": "xano55b", "healthPath": "/health", "maxConnections": 110}},
		"limits":   limits(),
	}
}

// serveBookings starts a runner that answers each request at once.
func (l *lab) serveBookings(address string) {
	server := &http.Server{Addr: address, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(headerAttempt)
		body, _ := io.ReadAll(r.Body)
		w.Header().Set(headerAttempt, id)
		w.Header().Set(headerSeal, "seal-"+id)
		fmt.Fprintf(w, "booked %s %s", id, body)
	})}
	l.atEnd(func() { _ = server.Close() })
	go func() { _ = server.ListenAndServe() }()
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
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(sampleGap) {
		counts.sent++
		id := fmt.Sprintf("attempt-%d", time.Now().UnixNano())
		request, err := http.NewRequest(http.MethodPost, "http://"+entries[counts.sent%len(entries)].front+"/puxa403/2f", strings.NewReader("one drum"))
		if err != nil {
			continue
		}
		request.Host = "ficu95.example"
		request.Header.Set(headerAttempt, id)
		request.Header.Set("Teaselgauge-Deadline-Ms", "1000")
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK && string(body) == "booked "+id+" one drum" {
			counts.served++
		}
	}
	return counts
}
