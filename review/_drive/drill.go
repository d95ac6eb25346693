package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/testkit/standin/metadatastore"
)

// item is a key of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
}

// storeCopy is a copy of the store: its keys, and its revision.
type storeCopy struct {
	Items []item `json:"items"`
	AsOf  int64  `json:"asOf"`
}

// padKey is written where the copy has a revision of a key that changed later.
const padKey = "pad"

// copyStore reads all keys of the store with their revisions.
func (l *lab) copyStore() (*storeCopy, error) {
	response, err := http.Get("http://" + l.storeAddress + "/v1/kv-range?pathPrefix=")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	copied := &storeCopy{}
	return copied, json.NewDecoder(response.Body).Decode(copied)
}

// withEra names the store's era in all its answers.
func withEra(era int, store http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", strconv.Itoa(era))
		store.ServeHTTP(w, r)
	})
}

// restore has the store go away for a moment and come back from a copy, with the revisions
// that it had. Leases are gone.
func (l *lab) restore(copied *storeCopy, away time.Duration) error {
	_ = l.http.Close()
	l.store.Close()
	store := metadatastore.New()
	at := make(map[int64]item)
	for _, kept := range copied.Items {
		at[kept.Revision] = kept
	}
	for revision := int64(1); revision <= copied.AsOf; revision++ {
		if kept, ok := at[revision]; ok {
			store.Put(kept.Key, kept.Value)
			continue
		}
		store.Put(padKey, nil)
	}
	time.Sleep(away)
	listener, err := net.Listen("tcp", l.storeAddress)
	if err != nil {
		return err
	}
	l.store = store
	l.http = &http.Server{Handler: withEra(2, store)}
	go func() { _ = l.http.Serve(listener) }()
	return nil
}

// drill plays a store that comes back from a copy some seconds old, shortly after the start
// of the deployment. Models must not be left without service for good.
func drill(l *lab, trouble bool) (bool, error) {
	const (
		lasts = 45 * time.Second
		away  = 500 * time.Millisecond
		// awayAfter is the time between the copy and the drill.
		awayAfter = 8 * time.Second
	)
	var models []model
	var disk []string
	for i := range 12 {
		name := fmt.Sprintf("m%d", i+1)
		models = append(models, model{name: name, mb: 65500, load: 6 * time.Second, disk: time.Second})
		disk = append(disk, name)
	}
	l.http.Handler = withEra(1, l.store)
	stop := make(chan struct{})
	defer close(stop)
	value := configuration(64, 140000, models)
	l.store.Put("op/config", value)
	var runners []*runner
	for i := range 3 {
		r := &runner{
			id: fmt.Sprintf("i-%d", i+1), zone: fmt.Sprintf("zone-%c", 'a'+i), service: engineService, mb: 140000, places: 32, queue: 4,
			slots: 64, models: models, loaded: []string{models[i].name}, disk: disk, events: 8, gap: 20 * time.Millisecond, record: l.record,
		}
		if err := r.listen("127.0.0.1:0"); err != nil {
			return false, err
		}
		r.register(l.store)
		runners = append(runners, r)
	}
	var mu sync.Mutex
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(heartbeatInterval):
			}
			mu.Lock()
			for _, r := range runners {
				r.register(l.store)
			}
			mu.Unlock()
		}
	}()
	copied, err := l.copyStore()
	if err != nil {
		return false, err
	}
	copiedAt := time.Now()
	l.record.add("the store has a copy of revision %d", copied.AsOf)
	for i, r := range runners {
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
	l.record.add("the entry is ready and the models are placed")
	time.Sleep(time.Until(copiedAt.Add(awayAfter)))
	if trouble {
		_, before := l.store.Get("teaselgauge/placement")
		mu.Lock()
		l.record.add("the store is away for %s and comes back from the copy, %s old (placement was revision %d)", away, time.Since(copiedAt), before)
		if err := l.restore(copied, away); err != nil {
			return false, err
		}
		l.store.Put("op/config", value)
		for _, r := range runners {
			r.register(l.store)
		}
		mu.Unlock()
	}
	time.Sleep(3 * time.Second)

	asked, served := map[string]int{}, map[string]int{}
	var answers sync.Mutex
	var wait sync.WaitGroup
	number := 0
	for begun := time.Now(); time.Since(begun) < lasts; time.Sleep(500 * time.Millisecond) {
		m := models[(number*5)%len(models)].name
		number++
		id := fmt.Sprintf("%016x", 0xc0de0000+number)
		wait.Go(func() {
			l.record.add("client: %s for %s sent", id, m)
			a := send(front, batchPath, id, m, 25*time.Second)
			l.record.add("client: %s for %s is answered %d, %s", id, m, a.status, a.end)
			answers.Lock()
			defer answers.Unlock()
			asked[m]++
			if a.status == http.StatusOK && a.complete {
				served[m]++
			}
		})
	}
	wait.Wait()
	starved := 0
	for _, m := range models {
		l.record.add("%s was asked for %d times and served %d times", m.name, asked[m.name], served[m.name])
		if asked[m.name] >= 4 && served[m.name] == 0 {
			starved++
		}
	}
	bound := 1 + float64(len(models))/10
	l.record.add("%d of %d models were never served; the rule allows %.1f", starved, len(models), bound)
	return float64(starved) <= bound, nil
}
