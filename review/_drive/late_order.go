package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// lateOrder plays a runner that starts again under its ID while an order to it is still
// on its way. It must not be ordered to load more than it holds.
func lateOrder(l *lab, trouble bool) (bool, error) {
	const (
		// servers is their number: one of them is the share that the site files name.
		servers  = 4
		downTime = 800 * time.Millisecond
		late     = 9 * time.Second
		lasts    = 16 * time.Second
	)
	var models []model
	for i := range servers + 1 {
		models = append(models, model{name: fmt.Sprintf("m%d", i+1), mb: 72700, load: 6 * time.Second, disk: 1200 * time.Millisecond})
	}
	stop, stopOthers := make(chan struct{}), make(chan struct{})
	defer close(stop)
	l.store.Put("op/config", configuration(64, 140000, models))
	// The first runner holds m1 and has m2 on its disk, the others hold one model each.
	var runners []*runner
	for i := range servers {
		own := models[i].name
		if i > 0 {
			own = models[i+1].name
		}
		r := &runner{
			id: fmt.Sprintf("i-%d", i+1), zone: fmt.Sprintf("zone-%c", 'a'+i), service: engineService, mb: 140000, places: 32, queue: 4,
			slots: 64, models: models, loaded: []string{own}, disk: []string{own}, events: 8, gap: 20 * time.Millisecond, record: l.record,
		}
		if i == 0 {
			r.disk = append(r.disk, "m2")
		}
		if i == 0 && trouble {
			r.lateModel, r.lateAfter = "m2", late
		}
		if err := r.listen("127.0.0.1:0"); err != nil {
			return false, err
		}
		r.register(l.store)
		go r.beat(l.store, stop)
		if _, err := l.startAgent(fmt.Sprintf("side-%d", i+1), r.zone, r.address); err != nil {
			return false, err
		}
		runners = append(runners, r)
	}
	r := runners[0]
	front, err := l.startEntry("front-1", "zone-a")
	if err != nil {
		return false, err
	}
	if err := l.awaitPlaced(front); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)

	var wait sync.WaitGroup
	var number atomic.Int64
	ask := func(path, model string, wanted time.Duration) {
		id := fmt.Sprintf("%016x", 0xc0de0000+number.Add(1))
		wait.Go(func() {
			l.record.add("client: %s for %s sent", id, model)
			a := send(front, path, id, model, wanted)
			l.record.add("client: %s for %s is answered %d, %s", id, model, a.status, a.end)
		})
	}
	// The other runners are in use all the time, and make no room for m1 or m2.
	var others sync.WaitGroup
	others.Go(func() {
		for {
			select {
			case <-stopOthers:
				return
			case <-time.After(60 * time.Millisecond):
			}
			for _, m := range models[2:] {
				ask(advicePath, m.name, deadline)
			}
		}
	})
	time.Sleep(2 * time.Second)
	ask(batchPath, "m2", 4*time.Second)
	if trouble {
		err := await(5*time.Second, func() bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.lateTaken
		})
		if err != nil {
			return false, fmt.Errorf("no order for m2: %w", err)
		}
		l.record.add("%s crashes", r.id)
		r.crash()
		time.Sleep(downTime)
		if err := r.listen(r.address); err != nil {
			return false, err
		}
		r.register(l.store)
		l.record.add("%s is back under its ID, empty", r.id)
	}
	for begun := time.Now(); time.Since(begun) < lasts; time.Sleep(150 * time.Millisecond) {
		ask(advicePath, "m1", deadline)
	}
	close(stopOthers)
	others.Wait()
	wait.Wait()
	ok := true
	for _, r := range runners {
		r.mu.Lock()
		if r.overcommits > 0 {
			ok = false
			l.record.add("LIMIT: %s was ordered to load more than its weightsMb %d times", r.id, r.overcommits)
		}
		r.mu.Unlock()
	}
	return ok, nil
}
