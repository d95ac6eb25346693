package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// relayZones are the zones of the entries, a letter for each of them.
	relayZones = "aaabcd"
	// cutZone is the number of entries in the first zone, of which one is cut off.
	cutZone      = 3
	changeRounds = 7
	cutTime      = 4 * time.Second
	// stayTime is how long a runner serves after it has reported draining: drainMs and
	// some seconds longer. A request is late from lateAfter on: later than drainMs, and later
	// than contactMs, so that the cut is no excuse whatever it counts as.
	stayTime  = 6 * time.Second
	lateAfter = 3 * time.Second
)

// readTime is the time within which a machine that reads the list of runners has read it.
const readTime = 2500 * time.Millisecond

// nextReader returns the machine to cut off: of those that read the list of runners, the one
// that was cut off least often.
func nextReader(links []*link, cuts []int) int {
	best := -1
	for i, network := range links {
		if time.Since(network.lastRead()) < readTime && (best < 0 || cuts[i] < cuts[best]) {
			best = i
		}
	}
	return max(best, 0)
}

// playLostChange plays a machine that is partitioned from the store, and a runner that leaves
// just before the cut heals.
func playLostChange(l *lab, trouble bool) error {
	if err := l.configure(bookingConfiguration()); err != nil {
		return err
	}
	// late counts the requests that reached a leaving runner too late, by the entry.
	var mu sync.Mutex
	late := make(map[string]int)
	var leavingID string
	var leavingAt time.Time
	var cutName string
	var counts [changeRounds + serving]arrivals
	var registrations []*registration
	var running []*http.Server
	add := func(i int) {
		id, address := fmt.Sprintf("i-9e16b79%x", i), fmt.Sprintf("%s:8300", l.ip(3, i+1))
		running = append(running, l.serveBookingsTo(id, address, func(r *http.Request) {
			counts[i].add()
			mu.Lock()
			name, _, _ := strings.Cut(r.Header.Get(headerAttempt), "-attempt")
			if id == leavingID && name != cutName && time.Since(leavingAt) > lateAfter+probeSlack {
				late[name]++
			}
			mu.Unlock()
			time.Sleep(workTime)
		}))
		registrations = append(registrations, l.register(id, "xano55b", address, map[string]any{"slots": 6}))
	}
	for i := range serving {
		add(i)
	}
	entries, links, err := l.startLinkedEntries(relayZones)
	if err != nil {
		return err
	}
	var sending atomic.Bool
	sending.Store(true)
	var callers sync.WaitGroup
	for i := range 2 * len(entries) {
		callers.Go(func() {
			for sending.Load() {
				l.book(entries[i%len(entries)])
				time.Sleep(probeGap)
			}
		})
	}
	left, cuts := make([]bool, len(counts)), make([]int, len(links))
	total := 0
	for round := range changeRounds {
		add(serving + round)
		time.Sleep(calmTime)
		reader := nextReader(links[:cutZone], cuts)
		cuts[reader]++
		if trouble {
			l.note("%s, which reads the list of runners, is partitioned from the store", entries[reader].name)
			links[reader].setCut(true)
		}
		time.Sleep(cutTime)
		leaving := busiest(counts[:len(registrations)], left)
		left[leaving] = true
		mu.Lock()
		leavingID, leavingAt, cutName = registrations[leaving].id, time.Now(), entries[reader].name
		clear(late)
		mu.Unlock()
		registrations[leaving].change(map[string]any{"state": "draining"})
		l.note("runner %s reports draining", registrations[leaving].id)
		time.Sleep(pollInterval)
		links[reader].setCut(false)
		if trouble {
			l.note("the cut heals")
		}
		time.Sleep(stayTime)
		mu.Lock()
		for name, count := range late {
			total += count
			l.note("%s, which was in touch all the time, sent it %d requests later than %s after that", name, count, lateAfter)
		}
		leavingID = ""
		mu.Unlock()
		registrations[leaving].leave()
		_ = running[leaving].Close()
	}
	sending.Store(false)
	callers.Wait()
	if total > 0 {
		return fmt.Errorf("%w: %d requests of machines in touch reached a runner later than drainMs after it had reported draining", errBroken, total)
	}
	return nil
}
