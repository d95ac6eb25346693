package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// otherEntry plays entries of another writer under the prefix of the runners: they name a
// service that the configuration doesn't have, at the addresses of sound servers.
func otherEntry(l *lab, trouble bool) (bool, error) {
	const (
		before = 4 * time.Second
		lasts  = 44 * time.Second
	)
	models := []model{{name: "m1", mb: 65500, load: 6 * time.Second, disk: time.Second}}
	stop := make(chan struct{})
	defer close(stop)
	l.store.Put("op/config", configuration(64, 140000, models))
	var desks []*runner
	for i := range 4 {
		r := &runner{
			id: fmt.Sprintf("i-%d", i+1), zone: fmt.Sprintf("zone-%c", 'a'+i%2), service: engineService, mb: 140000, places: 32, queue: 4,
			slots: 64, models: models, loaded: []string{"m1"}, disk: []string{"m1"}, events: 8, gap: 20 * time.Millisecond, record: l.record,
		}
		if i >= 2 {
			r.service, r.plain, r.slots, r.places, r.models, r.loaded = deskService, true, 6, 6, nil, nil
			desks = append(desks, r)
		}
		if err := r.listen("127.0.0.1:0"); err != nil {
			return false, err
		}
		r.register(l.store)
		go r.beat(l.store, stop)
		if r.plain {
			continue
		}
		if _, err := l.startAgent(fmt.Sprintf("side-%d", i+1), r.zone, r.address); err != nil {
			return false, err
		}
	}
	front, err := l.startEntry("front-1", "zone-a")
	if err != nil {
		return false, err
	}
	if err := l.awaitPlaced(front); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)

	asked, served := map[string]int{}, map[string]int{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	ask := func(id, path, model string, wanted time.Duration) {
		wait.Go(func() {
			l.record.add("client: %s on %s sent", id, path)
			a := send(front, path, id, model, wanted)
			l.record.add("client: %s on %s is answered %d, %s", id, path, a.status, a.end)
			mu.Lock()
			defer mu.Unlock()
			asked[path]++
			if a.status == http.StatusOK && a.complete {
				served[path]++
			}
		})
	}
	written := !trouble
	number := 0
	for begun := time.Now(); time.Since(begun) < lasts; time.Sleep(100 * time.Millisecond) {
		if !written && time.Since(begun) >= before {
			written = true
			for i, r := range desks {
				if err := l.writeOtherEntry(fmt.Sprintf("other-%d", i+1), r); err != nil {
					return false, err
				}
			}
		}
		number++
		ask(fmt.Sprintf("%016x", 0xc0de0000+2*number), advicePath, "m1", deadline)
		ask(fmt.Sprintf("%016x", 0xc0de0001+2*number), bookingPath, "", 600*time.Millisecond)
	}
	wait.Wait()
	all := float64(served[advicePath]+served[bookingPath]) / float64(asked[advicePath]+asked[bookingPath])
	booking := float64(served[bookingPath]) / float64(asked[bookingPath])
	l.record.add("served: bookings %d of %d (%.3f), all requests %.3f", served[bookingPath], asked[bookingPath], booking, all)
	return booking >= all/4, nil
}

// writeOtherEntry writes an entry of another writer, with a service that isn't named, at
// the address of a server.
func (l *lab) writeOtherEntry(id string, r *runner) error {
	value, err := json.Marshal(map[string]any{
		"service": "elsewhere", "address": r.address, "zone": r.zone, "version": "v1", "slots": 6, "state": "ready",
		"coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	l.record.add("another writer writes servers/%s: %s", id, value)
	l.store.Put("servers/"+id, value)
	return nil
}
