package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"teaselgauge.example/teaselgauge/pkg/settings"
	"teaselgauge.example/teaselgauge/testkit/site"
	"teaselgauge.example/teaselgauge/testkit/standin/metadatastore"
)

// The commands of the deploy file, relative to the repository's root.
const (
	entryProgram = "target/teaselgauge-entry"
	agentProgram = "target/teaselgauge-agent"
)

// heartbeatInterval is the heartbeatMs of the settings that the pages show.
const heartbeatInterval = 1200 * time.Millisecond

// startTimeout bounds the start of a deployment.
const startTimeout = 20 * time.Second

// lab is a small deployment: the store's stand-in, and the project's processes.
type lab struct {
	store *metadatastore.Server
	http  *http.Server
	// storeAddress is the address of the store's stand-in.
	storeAddress string
	dir          string
	record       *record
	started      []*process
}

// record writes what was sent, answered and run to the case's record.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	return &record{file: file, begun: time.Now()}, nil
}

// add writes one line with the time since the start.
func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, values...))
}

// process is a process that the case started.
type process struct {
	name    string
	path    string
	args    []string
	env     []string
	log     string
	command *exec.Cmd
	ended   chan struct{}
}

func newLab(r *record) (*lab, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &lab{store: metadatastore.New(), dir: dir, record: r, storeAddress: listener.Addr().String()}
	l.http = &http.Server{Handler: l.store}
	go func() { _ = l.http.Serve(listener) }()
	return l, nil
}

// close ends all processes that the case started and removes its files.
func (l *lab) close() {
	for _, p := range l.started {
		p.kill()
	}
	_ = l.http.Close()
	l.store.Close()
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept", l.dir)
		return
	}
	_ = os.RemoveAll(l.dir)
}

// start starts a program with its settings named by TEASELGAUGE_CONFIG.
func (l *lab) start(name, program string, args []string, config any) (*process, error) {
	p := &process{name: name, path: program, args: args, log: filepath.Join(l.dir, name+".log")}
	p.env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	if config != nil {
		data, err := json.MarshalIndent(config, "", "  ")
		if err != nil {
			return nil, err
		}
		path := filepath.Join(l.dir, name+".json")
		if err := os.WriteFile(path, data, 0o600); err != nil {
			return nil, err
		}
		p.env = append(p.env, "TEASELGAUGE_CONFIG="+path)
	}
	l.started = append(l.started, p)
	return p, p.start()
}

func (p *process) start() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.command = exec.Command(p.path, p.args...)
	p.command.Env = p.env
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.ended = ended
	command := p.command
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

// running reports whether the process hasn't ended.
func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) {
	if p.command != nil && p.running() {
		_ = p.command.Process.Signal(s)
	}
}

// kill sends SIGKILL and waits for the end.
func (p *process) kill() {
	if p.command == nil {
		return
	}
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// entry is one entry's process and its addresses.
type entry struct {
	*process
	callers string
	ready   string
}

func (l *lab) startEntry(name, zone string) (*entry, error) {
	addresses, err := site.FreeAddresses(4)
	if err != nil {
		return nil, err
	}
	config := settings.Gateway{
		Host:        settings.Host{ID: name, Region: "region-1", FailureDomain: zone},
		Listen:      settings.GatewayListen{Callers: addresses[0], Readiness: addresses[1], Internal: addresses[2], Metrics: addresses[3]},
		Store:       settings.MetadataStore{Address: l.storeAddress},
		Retries:     settings.Retries{Ratio: 0.2, Slack: 52, WindowSeconds: 10},
		DrainMillis: 8000,
		Log:         settings.Log{Level: "info"},
	}
	p, err := l.start(name, entryProgram, []string{"gateway"}, config)
	if err != nil {
		return nil, err
	}
	return &entry{process: p, callers: addresses[0], ready: addresses[1]}, nil
}

func (l *lab) startAgent(name, zone, runner string) (*process, error) {
	addresses, err := site.FreeAddresses(2)
	if err != nil {
		return nil, err
	}
	config := settings.Runner{
		Host:   settings.Host{ID: name, Region: "region-1", FailureDomain: zone},
		Listen: settings.RunnerListen{Internal: addresses[0], Metrics: addresses[1]},
		Store:  settings.MetadataStore{Address: l.storeAddress},
		Runner: runner,
		Log:    settings.Log{Level: "info"},
	}
	return l.start(name, agentProgram, []string{"runner"}, config)
}

// isReady asks an entry as the platform's balancer does.
func (e *entry) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + e.ready + "/v1/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// await waits until a condition holds.
func await(timeout time.Duration, condition func() bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for !condition() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("not reached within %s", timeout)
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil
}

// awaitPlaced waits until entries are ready and the models are placed.
func (l *lab) awaitPlaced(entries ...*entry) error {
	return await(startTimeout, func() bool {
		for _, e := range entries {
			if !e.isReady() {
				return false
			}
		}
		_, revision := l.store.Get("teaselgauge/placement")
		return revision > 0
	})
}
