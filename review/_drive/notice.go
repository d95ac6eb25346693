package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/testkit/site"
)

// The control paths of a runner that is a process of its own.
const (
	registrationPath = "/standin/registration"
	noticePath       = "/standin/notice"
)

// noticeTime is the time between a runner's notice and its end.
const noticeTime = 2 * time.Second

// serverProcess runs a model runner as a process of its own. The arguments are its ID, zone
// and address, and the record's path and start.
func serverProcess(args []string) int {
	if len(args) != 5 {
		return cannotRun
	}
	begun, err := strconv.ParseInt(args[4], 10, 64)
	if err != nil {
		return cannotRun
	}
	file, err := os.OpenFile(args[3], os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return cannotRun
	}
	r := &runner{
		id: args[0], zone: args[1], service: engineService, mb: 140000, places: 32, queue: 4, slots: 64,
		models: noticeModels(), loaded: []string{"m1"}, disk: []string{"m1"}, events: 60, gap: 100 * time.Millisecond, unframed: true,
		record: &record{file: file, begun: time.Unix(0, begun)},
	}
	if err := r.listen(args[2]); err != nil {
		return cannotRun
	}
	select {}
}

func noticeModels() []model {
	return []model{{name: "m1", mb: 65500, load: 6 * time.Second, disk: time.Second}}
}

// remote is a model runner that is a process of its own.
type remote struct {
	*process
	id, address string
	lab         *lab
}

func (l *lab) startRemote(id, zone string) (*remote, error) {
	addresses, err := site.FreeAddresses(1)
	if err != nil {
		return nil, err
	}
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	begun := strconv.FormatInt(l.record.begun.UnixNano(), 10)
	p, err := l.start(id, program, []string{"server", id, zone, addresses[0], l.record.file.Name(), begun}, nil)
	if err != nil {
		return nil, err
	}
	s := &remote{process: p, id: id, address: addresses[0], lab: l}
	return s, await(5*time.Second, s.register)
}

// register writes the runner's entry as it is now, and reports whether it could.
func (s *remote) register() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + s.address + registrationPath)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	value, err := io.ReadAll(response.Body)
	if err != nil {
		return false
	}
	s.lab.store.Put("servers/"+s.id, value)
	return true
}

// beat registers the runner at each heartbeat while it runs.
func (s *remote) beat() {
	for s.running() {
		time.Sleep(heartbeatInterval)
		s.register()
	}
}

// giveNotice has the runner report that it is taken away after noticeTime.
func (s *remote) giveNotice() error {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + s.address + noticePath)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	s.register()
	return nil
}

// runs returns the number of requests that the runner reports to run.
func (s *remote) runs() int {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + s.address + "/v1/report")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	var report struct{ Running int }
	if json.NewDecoder(response.Body).Decode(&report) != nil {
		return 0
	}
	return report.Running
}

// notice plays a runner that is taken away at short notice while it sends streams that end
// with their connection. What it hasn't sent must not look complete.
func notice(l *lab, trouble bool) (bool, error) {
	const (
		// servers is their number: one of them is less than the share that the site files
		// name.
		servers = 8
		streams = 24
	)
	l.store.Put("op/config", configuration(64, 140000, noticeModels()))
	var runners []*remote
	for i := range servers {
		zone := fmt.Sprintf("zone-%c", 'a'+i%4)
		s, err := l.startRemote(fmt.Sprintf("i-%d", i+1), zone)
		if err != nil {
			return false, err
		}
		go s.beat()
		runners = append(runners, s)
		if _, err := l.startAgent(fmt.Sprintf("side-%d", i+1), zone, s.address); err != nil {
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
	for number := 1; number <= streams; number++ {
		id := fmt.Sprintf("%016x", 0xc0de0000+number)
		wait.Go(func() {
			l.record.add("client: %s sent", id)
			a := send(front, advicePath, id, "m1", deadline)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
			l.record.add("client: %s is answered %d, seal %q, %d events, %s", id, a.status, a.seal, strings.Count(a.body, "id: "), a.end)
		})
		time.Sleep(30 * time.Millisecond)
	}
	time.Sleep(time.Second)
	leaving := slices.MaxFunc(runners, func(a, b *remote) int { return cmp.Compare(a.runs(), b.runs()) })
	if leaving.runs() == 0 {
		return false, errors.New("no runner runs a stream")
	}
	if trouble {
		l.record.add("%s has notice that it is taken away in %s", leaving.id, noticeTime)
		gone := time.After(noticeTime)
		if err := leaving.giveNotice(); err != nil {
			return false, err
		}
		<-gone
		l.record.add("%s is gone (SIGKILL)", leaving.id)
		leaving.kill()
	}
	wait.Wait()
	ok := true
	for _, a := range answers {
		if a.status == http.StatusOK && a.complete && a.body != wholeStream(a.id, 60) {
			ok = false
			l.record.add("MIXED: %s was answered 200 with seal %q and ended in order after %d of 60 events", a.id, a.seal, strings.Count(a.body, "id: "))
		}
	}
	return ok, nil
}
