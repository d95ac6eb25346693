package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// secondCopy plays two full model runners. One of them sends a second copy of a few of its
// answers late. Streams that can't be resumed may run once at most, and one that is
// answered 503 must not have run.
func secondCopy(l *lab, trouble bool) (bool, error) {
	const (
		perSecond = 520
		lasts     = 25 * time.Second
	)
	models := []model{{name: "m1", mb: 65500, load: 6 * time.Second, disk: time.Second}}
	runners := make([]*runner, 2)
	stop := make(chan struct{})
	defer close(stop)
	l.store.Put("op/config", configuration(64, 140000, models))
	zones := []string{"zone-a", "zone-b"}
	for i := range runners {
		r := &runner{
			id: fmt.Sprintf("i-%d", i+1), zone: zones[i], service: engineService, mb: 140000, places: 32, queue: 4, slots: 64,
			models: models, loaded: []string{"m1"}, disk: []string{"m1"}, events: 8, gap: 20 * time.Millisecond, record: l.record,
		}
		if err := r.listen("127.0.0.1:0"); err != nil {
			return false, err
		}
		r.register(l.store)
		go r.beat(l.store, stop)
		runners[i] = r
		if _, err := l.startAgent(fmt.Sprintf("side-%d", i+1), zones[i], r.address); err != nil {
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

	var mu sync.Mutex
	var answers []answer
	var wait sync.WaitGroup
	begun := time.Now()
	if trouble {
		wait.Go(runners[0].garble)
	}
	for number := 1; time.Since(begun) < lasts; number++ {
		id := fmt.Sprintf("%016x", 0xc0de0000+number)
		wait.Go(func() {
			l.record.add("client: %s sent", id)
			a := send(front, advicePath, id, "m1", deadline)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
			l.record.add("client: %s is answered %d, %s", id, a.status, a.end)
		})
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / perSecond))
	}
	wait.Wait()
	time.Sleep(2 * time.Second)
	return checkOnce(l, answers, runners), nil
}

const (
	// extraShare is the largest share of answers, garbleTime the time for which runners send
	// them twice that the site file names. The disruption comes garbles times, with
	// garblePause between.
	extraShare  = 0.03
	garbleTime  = 5 * time.Second
	garblePause = time.Second
	garbles     = 4
)

// garble has the runner send second copies, again and again.
func (r *runner) garble() {
	for range garbles {
		r.setExtra(extraShare)
		time.Sleep(garbleTime)
		r.setExtra(0)
		time.Sleep(garblePause)
	}
}

// setExtra sets the largest share of answers that come twice, and counts anew.
func (r *runner) setExtra(share float64) {
	r.record.add("%s sends second copies of at most %.2f of its answers from now on", r.id, share)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.extra, r.answers, r.copies = share, 0, 0
}

// checkOnce checks the rules TWICE and REFUSED: no request has run twice, and none that was
// refused has run.
func checkOnce(l *lab, answers []answer, runners []*runner) bool {
	ok := true
	served := 0
	for _, a := range answers {
		runs := 0
		for _, r := range runners {
			r.mu.Lock()
			runs += r.runs[a.id]
			r.mu.Unlock()
		}
		if a.status == http.StatusOK {
			served++
		}
		if runs > 1 {
			ok = false
			l.record.add("TWICE: %s ran %d times; the client got %d", a.id, runs, a.status)
		}
		refused := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests ||
			a.status == http.StatusRequestTimeout || a.status == http.StatusMisdirectedRequest
		if refused && runs > 0 {
			ok = false
			l.record.add("REFUSED: %s was answered %d and ran %d times", a.id, a.status, runs)
		}
	}
	l.record.add("%d requests, %d answered with success", len(answers), served)
	return ok
}
