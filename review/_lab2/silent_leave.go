package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// leavingTime is how long a runner that leaves goes on serving after the store has
	// removed its entry: drainMs, and some seconds longer. workTime is how long a booking
	// takes.
	leavingTime = 4 * time.Second
	workTime    = 60 * time.Millisecond
	settleTime  = 3 * time.Second
	// removeAfter is the time from the silence to the removal.
	removeAfter = 200 * time.Millisecond
	drainBound  = 2 * time.Second
	leaveRounds = 8
	// serving is the number of runners that serve at a time.
	serving = 4
)

// arrivals counts the requests that a server gets.
type arrivals struct {
	mu sync.Mutex
	at []time.Time
}

func (a *arrivals) add() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at = append(a.at, time.Now())
}

// between returns the number of arrivals in a span, and the first and the last one.
func (a *arrivals) between(from, until time.Time) (count int, first, last time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range a.at {
		if at.Before(from) || at.After(until) {
			continue
		}
		if count == 0 {
			first = at
		}
		count++
		last = at
	}
	return count, first, last
}

// busiest returns the server that got the most requests in the last second, apart from those
// that have left.
func busiest(counts []arrivals, left []bool) int {
	best, most := 0, -1
	for i := range counts {
		count, _, _ := counts[i].between(time.Now().Add(-time.Second), time.Now())
		if !left[i] && count > most {
			best, most = i, count
		}
	}
	return best
}

// playSilentLeave plays connections to the store that go silent for good, and a runner that
// leaves without a report just after it.
func playSilentLeave(l *lab, trouble bool) error {
	if err := l.configure(bookingConfiguration()); err != nil {
		return err
	}
	const servers = leaveRounds + serving
	var registrations []*registration
	var counts [servers]arrivals
	var running []*http.Server
	add := func(i int) {
		id, address := fmt.Sprintf("i-9e16b79%x", i), fmt.Sprintf("%s:8300", l.ip(3, i+1))
		running = append(running, l.serveBookingsTo(id, address, func(*http.Request) {
			counts[i].add()
			time.Sleep(workTime)
		}))
		registrations = append(registrations, l.register(id, "xano55b", address, map[string]any{"slots": 6}))
	}
	for i := range serving {
		add(i)
	}
	entries, links, err := l.startLinkedEntries(siteZones)
	if err != nil {
		return err
	}
	var sending atomic.Bool
	var unserved atomic.Int64
	sending.Store(true)
	var callers sync.WaitGroup
	const callersPerEntry = 2
	for i := range callersPerEntry * len(entries) {
		callers.Go(func() {
			for sending.Load() {
				if !l.book(entries[i%len(entries)]) {
					unserved.Add(1)
				}
				time.Sleep(probeGap)
			}
		})
	}
	broken := 0
	left := make([]bool, servers)
	for round := range leaveRounds {
		add(serving + round)
		time.Sleep(calmTime + rand.N(calmJitter))
		leaving := busiest(counts[:len(registrations)], left)
		left[leaving] = true
		silentAt := time.Now()
		if trouble {
			l.silence(links)
		}
		time.Sleep(removeAfter)
		registrations[leaving].leave()
		removedAt := time.Now()
		time.Sleep(leavingTime)
		failed := unserved.Load()
		_ = running[leaving].Close()
		time.Sleep(settleTime)
		from := removedAt.Add(drainBound + probeSlack)
		if bound := silentAt.Add(contactTime + probeSlack); bound.After(from) {
			from = bound
		}
		count, first, last := counts[leaving].between(from, time.Now())
		before, _, _ := counts[leaving].between(removedAt, from)
		l.note("after its removal runner %s got %d requests in time, and %d too late; it has ended %s after its removal, and %d bookings weren't served then",
			registrations[leaving].id, before, count, leavingTime, unserved.Load()-failed)
		if count > 0 {
			l.note("the first of these came %.3f s after the removal and %.3f s after the silence, the last one %.3f s and %.3f s",
				first.Sub(removedAt).Seconds(), first.Sub(silentAt).Seconds(), last.Sub(removedAt).Seconds(), last.Sub(silentAt).Seconds())
			broken += count
		}
	}
	sending.Store(false)
	callers.Wait()
	if broken > 0 {
		return fmt.Errorf("%w: %d requests reached a runner later than drainMs after its entry was removed", errBroken, broken)
	}
	return nil
}
