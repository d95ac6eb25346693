package main

import (
	"encoding/json"
	"sync"
	"time"
)

// registration is the entry of a runner in the store, which it writes at each heartbeat.
type registration struct {
	lab *lab
	id  string

	mu       sync.Mutex
	fields   map[string]any
	sequence int
	stop     chan struct{}
}

// register writes a runner's entry from now on until leave.
func (l *lab) register(id, service, address string, more map[string]any) *registration {
	r := &registration{lab: l, id: id, stop: make(chan struct{}), fields: map[string]any{
		"service": service, "address": address, "zone": "nl-west-a", "version": "v1", "slots": 32, "state": "ready",
		"coldRemainingMs": 0, "born": time.Now().UnixMilli(),
	}}
	for name, value := range more {
		r.fields[name] = value
	}
	l.note("runner %s of %s registers at %s", id, service, address)
	r.beat()
	l.atEnd(r.end)
	go r.run(r.stop)
	return r
}

func (r *registration) run(stop chan struct{}) {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			r.beat()
		}
	}
}

// beat writes the entry.
func (r *registration) beat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stop == nil {
		return
	}
	r.sequence++
	r.fields["sequence"] = r.sequence
	value, err := json.Marshal(r.fields)
	if err != nil {
		panic(err)
	}
	r.lab.store.Put("servers/"+r.id, value)
}

// change changes the entry at once.
func (r *registration) change(changed map[string]any) {
	r.mu.Lock()
	for name, value := range changed {
		r.fields[name] = value
	}
	r.mu.Unlock()
	r.beat()
}

// end ends the heartbeats; the entry stays.
func (r *registration) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stop != nil {
		close(r.stop)
		r.stop = nil
	}
}

// leave ends the heartbeats and removes the entry.
func (r *registration) leave() {
	r.end()
	r.lab.store.Remove("servers/" + r.id)
	r.lab.note("the entry of runner %s is removed", r.id)
}
