package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"teaselgauge.example/teaselgauge/testkit/standin/metadatastore"
)

const (
	// startTimeout bounds the start of the programs.
	startTimeout = 20 * time.Second
	// beatInterval is how often a runner writes its entry, at most heartbeatMs.
	beatInterval = time.Second
	pollInterval = 20 * time.Millisecond
)

// lab is one play with all that it has started.
type lab struct {
	root   string
	folder string
	// network is the first two bytes of all addresses of the play.
	network string
	dir     string
	store   *metadatastore.Server
	server  *http.Server
	address string
	started time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*process
	closing   []func()
	closed    bool
}

func newLab(folder string) (*lab, error) {
	folder, err := filepath.Abs(folder)
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "teaselgauge-review-")
	if err != nil {
		return nil, err
	}
	l := &lab{root: filepath.Dir(filepath.Dir(folder)), folder: folder, dir: dir, record: record, started: time.Now(), store: metadatastore.New()}
	if err := l.startStore(); err != nil {
		return nil, errors.Join(err, os.RemoveAll(dir))
	}
	return l, nil
}

// startStore starts the platform's store at an address of a network that nobody uses.
func (l *lab) startStore() error {
	const tries = 50
	for range tries {
		l.network = fmt.Sprintf("127.%d", 10+rand.IntN(240))
		listener, err := net.Listen("tcp", l.ip(0, 1)+":8142")
		if err != nil {
			continue
		}
		l.address = listener.Addr().String()
		l.server = &http.Server{Handler: l.store}
		go func() { _ = l.server.Serve(listener) }()
		return nil
	}
	return errors.New("no free loopback network")
}

// ip returns an address of the play.
func (l *lab) ip(third, fourth int) string { return fmt.Sprintf("%s.%d.%d", l.network, third, fourth) }

// note writes a line of the record, with the seconds since the begin.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(l.started).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(l.record, line)
	fmt.Println(line)
}

// atEnd has a function called when the play ends.
func (l *lab) atEnd(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = append(l.closing, f)
}

// close ends all processes and stand-ins.
func (l *lab) close() {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.closed = true
	processes, closing := l.processes, l.closing
	l.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	for _, f := range closing {
		f()
	}
	_ = l.server.Close()
	l.store.Close()
	_ = l.record.Close()
	if keep := os.Getenv("KEEP_LOGS"); keep == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		fmt.Println("logs are in", l.dir)
	}
}

// process is one process of the play.
type process struct {
	lab  *lab
	name string
	args []string
	env  []string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// newProcess adds a process that isn't started yet.
func (l *lab) newProcess(name string, env []string, args ...string) *process {
	p := &process{lab: l, name: name, args: args, env: env}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.processes = append(l.processes, p)
	return p
}

// start starts the process in the repository's root, as the deploy file says. The kernel
// kills it when the play's own process dies.
func (p *process) start() error {
	log, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Dir = p.lab.root
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, p.env...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.mu.Unlock()
	p.lab.note("%s starts: %s", p.name, strings.Join(p.args, " "))
	go func() {
		err := cmd.Wait()
		p.lab.note("%s has ended: %v", p.name, err)
		close(done)
	}()
	return nil
}

func (p *process) logPath() string { return filepath.Join(p.lab.dir, p.name+".log") }

// running reports whether the process runs.
func (p *process) running() bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return false
	}
	select {
	case <-done:
		return false
	default:
		return true
	}
}

// signal sends a signal if the process runs.
func (p *process) signal(s syscall.Signal) {
	if p.running() {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	if p.running() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
	}
}

// entry is an entry with its addresses.
type entry struct {
	*process
	lab    *lab
	fields fields
	front  string
	ready  string
	path   string
}

// newEntry adds an entry at an address of its own, with the command and the template of the
// deploy file.
func (l *lab) newEntry(number int) (*entry, error) {
	name := fmt.Sprintf("front-%d", number)
	ip := l.ip(1, number)
	e := &entry{lab: l, fields: entryFields(name, ip, l.address), front: ip + ":8149", ready: ip + ":8141", path: filepath.Join(l.dir, name+".json")}
	e.process = l.newProcess(name, []string{"TEASELGAUGE_CONFIG=" + e.path}, "target/teaselgauge-entry", "gateway")
	return e, e.writeSettings()
}

// writeSettings fills in the entry's settings.
func (e *entry) writeSettings() error {
	return e.lab.writeSettings("deploy/entry.json", e.path, e.fields)
}

func (l *lab) writeSettings(template, path string, f fields) error {
	text, err := os.ReadFile(filepath.Join(l.root, template))
	if err != nil {
		return err
	}
	filled, err := f.fill(string(text))
	if err != nil {
		return err
	}
	return os.WriteFile(path, []byte(filled), 0o600)
}

// isReady asks the entry as the platform's balancer does.
func (e *entry) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + e.ready + "/v1/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// newAgent adds an agent beside a runner, with the command and the template of the deploy
// file.
func (l *lab) newAgent(number int, runner string) (*process, error) {
	name := fmt.Sprintf("side-%d", number)
	path := filepath.Join(l.dir, name+".json")
	p := l.newProcess(name, []string{"TEASELGAUGE_CONFIG=" + path}, "target/teaselgauge-agent", "runner")
	return p, l.writeSettings("deploy/agent.json", path, agentFields(name, l.ip(2, number), l.address, runner))
}

// eventually waits until a condition holds.
func (l *lab) eventually(what string, timeout time.Duration, holds func() bool) error {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(pollInterval) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("%s: not within %s", what, timeout)
}

// configure writes the operator's configuration.
func (l *lab) configure(configuration map[string]any) error {
	value, err := json.Marshal(configuration)
	if err != nil {
		return err
	}
	l.note("configuration %v is acknowledged at revision %d", configuration["version"], l.store.Put("op/config", value))
	return nil
}

// limits are those of the users' deployments.
func limits() map[string]any {
	return map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}
