package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// siteZones are the zones of the site's entries, a letter for each of them.
	siteZones = "aabcd"
	// allZones are the zones of the site's entries, and of its spare ones.
	allZones = siteZones + "abcd"
	rounds   = 11
	// calmJitter spreads the silences over the period of the watches.
	calmJitter = 2 * time.Second
	// silentShare is the share of the machines at which connections go silent, silentPart
	// the part of their open connections that do at most.
	silentShare = 0.7
	silentPart  = 0.55
	// contactTime is contactMs, applyTime is configApplyMs of the site.
	contactTime = 3 * time.Second
	applyTime   = 2 * time.Second
	// changeAfter is the time from the silence to the change, probeUntil that from the
	// silence to the last probe.
	changeAfter = 500 * time.Millisecond
	probeUntil  = 4500 * time.Millisecond
	calmTime    = 3300 * time.Millisecond
	probeGap    = 50 * time.Millisecond
	probeSlack  = 100 * time.Millisecond
)

// playSilentStore plays connections to the store that go silent for good, and a change of the
// configuration after it.
func playSilentStore(l *lab, trouble bool) error {
	address := l.ip(3, 1) + ":8300"
	l.serveBookings("i-9e16b79e", address)
	l.register("i-9e16b79e", "xano55b", address, map[string]any{"slots": 6})
	if err := l.configure(routesConfiguration(1)); err != nil {
		return err
	}
	entries, links, err := l.startLinkedEntries(allZones)
	if err != nil {
		return err
	}
	var late atomic.Int64
	for version := 2; version <= rounds+1; version++ {
		if err := l.playSilence(entries, links, version, trouble, &late); err != nil {
			return err
		}
	}
	if n := late.Load(); n > 0 {
		return fmt.Errorf("%w: %d requests were handled as only an older version allows", errBroken, n)
	}
	return nil
}

// startLinkedEntries starts an entry for each letter, in the zone of that letter, with a link of
// its own to the store, and waits until all are ready.
func (l *lab) startLinkedEntries(zones string) ([]*entry, []*link, error) {
	var entries []*entry
	var links []*link
	for i, zone := range zones {
		number := i + 1
		e, err := l.newEntry(number)
		if err != nil {
			return nil, nil, err
		}
		network, err := l.newLink(l.ip(5, number)+":8142", l.address)
		if err != nil {
			return nil, nil, err
		}
		entries, links = append(entries, e), append(links, network)
		e.fields["zone"] = quote("nl-west-" + string(zone))
		e.fields["platform.address"] = quote(l.ip(5, number) + ":8142")
		if err := e.writeSettings(); err != nil {
			return nil, nil, err
		}
		if err := e.start(); err != nil {
			return nil, nil, err
		}
	}
	for _, e := range entries {
		if err := l.eventually("ready", startTimeout, e.isReady); err != nil {
			return nil, nil, err
		}
	}
	return entries, links, nil
}

// silence has a part of the open connections to the store go silent at a share of the machines,
// and no more of either.
func (l *lab) silence(links []*link) {
	machines := int(silentShare * float64(len(links)))
	type connection struct {
		link   *link
		number int
	}
	var all []connection
	for _, i := range rand.Perm(len(links))[:machines] {
		for _, number := range links[i].openNumbers() {
			all = append(all, connection{links[i], number})
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	open := len(all)
	silent := int(silentPart * float64(open))
	for _, c := range all[:silent] {
		c.link.silence(c.number)
	}
	l.note("at %d of %d machines, %d of %d open connections to the store go silent for good; new ones work", machines, len(links), silent, open)
}

// playSilence plays one silence and one change at entries that have just been started.
func (l *lab) playSilence(entries []*entry, links []*link, version int, trouble bool, late *atomic.Int64) error {
	for _, e := range entries {
		e.kill()
		if err := e.start(); err != nil {
			return err
		}
	}
	for _, e := range entries {
		if err := l.eventually("ready", startTimeout, e.isReady); err != nil {
			return err
		}
	}
	time.Sleep(calmTime + rand.N(calmJitter))
	silentAt := time.Now()
	if trouble {
		l.silence(links)
	}
	time.Sleep(changeAfter)
	if err := l.configure(routesConfiguration(version)); err != nil {
		return err
	}
	ackedAt := time.Now()
	var probes sync.WaitGroup
	for _, e := range entries {
		probes.Go(func() {
			before := 0
			for time.Since(silentAt) < probeUntil {
				sentAt := time.Now()
				status := probe(e.front, version)
				bound := sentAt.Sub(ackedAt) > applyTime+probeSlack && sentAt.Sub(silentAt) > contactTime+probeSlack
				if status == http.StatusNotFound && bound {
					late.Add(1)
					before++
				}
				if before == 1 || (before > 1 && status != http.StatusNotFound) {
					l.note("%s answers %d on the route of version %d, sent %.3f s after its acknowledgement and %.3f s after the silence; %d such 404 so far",
						e.name, status, version, sentAt.Sub(ackedAt).Seconds(), sentAt.Sub(silentAt).Seconds(), before)
				}
				if status != http.StatusNotFound {
					before = 0
				}
				time.Sleep(probeGap)
			}
		})
	}
	probes.Wait()
	return nil
}

// routesConfiguration has as many routes as its version.
func routesConfiguration(version int) map[string]any {
	configuration := bookingConfiguration()
	configuration["version"] = version
	routes := configuration["routes"].([]any)
	for i := 1; i <= version; i++ {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("p-%d", i), "host": "ficu95.example", "pathPrefix": fmt.Sprintf("/uk%d/", i), "routeType": "idempotent", "timeoutMs": 1000,
			"targetLatencyMs": 120, "priority": 2, "service": "xano55b", "maxAttempts": 2,
		})
	}
	configuration["routes"] = routes
	return configuration
}

var probeCount atomic.Int64

// probe sends a request on the route of a version, and returns the status; zero without an
// answer.
func probe(front string, version int) int {
	connection, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return 0
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(connection, "GET /uk%d/x HTTP/1.1\r\nHost: ficu95.example\r\n%s: probe-%d\r\nTeaselgauge-Deadline-Ms: 1000\r\nConnection: close\r\n\r\n", version, headerAttempt, probeCount.Add(1))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}
