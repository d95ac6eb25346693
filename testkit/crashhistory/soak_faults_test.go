package crashhistory

import (
	"context"
	"errors"
	"fmt"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"teaselgauge.example/teaselgauge/testkit/platformsite"
	"teaselgauge.example/teaselgauge/testkit/site"
	"teaselgauge.example/teaselgauge/testkit/standin/metadatastore"
)

// The kinds of fault.
const (
	killAgents       = "kill agents"
	freezeAgents     = "freeze agents"
	killEntries      = "kill entries"
	freezeEntries    = "freeze entries"
	terminateEntries = "terminate entries"
	killServers      = "kill servers"
	silentStore      = "silent store"
)

// faultKinds are the functions that play a fault of a kind. They return when it is over.
var faultKinds = map[string]func(*history, fault) error{
	killAgents:       func(h *history, f fault) error { return kill(f, h.agents(f)) },
	freezeAgents:     func(h *history, f fault) error { return freeze(f, h.agents(f)) },
	killEntries:      func(h *history, f fault) error { return h.disturb(f, kill) },
	freezeEntries:    func(h *history, f fault) error { return h.disturb(f, freeze) },
	terminateEntries: func(h *history, f fault) error { return h.disturb(f, terminate) },
	killServers:      (*history).killServer,
	silentStore:      (*history).silenceStore,
}

// maxLate is how late a fault may begin. One whose processes are still taken by an earlier
// one is left out.
const maxLate = 50 * time.Millisecond

// playFaults plays the faults of the plan in the background, those of each role in order.
func (h *history) playFaults(t *testing.T) {
	t.Helper()
	series := map[string][]fault{}
	for _, f := range h.plan.faults {
		role := f.kind[strings.LastIndex(f.kind, " ")+1:]
		series[role] = append(series[role], f)
	}
	for _, faults := range series {
		sortByTime(faults)
		h.wait.Go(func() {
			for _, f := range faults {
				time.Sleep(time.Until(h.begin.Add(f.at)))
				if time.Since(h.begin) > f.at+maxLate {
					h.note("%s left out", f.kind)
					continue
				}
				h.note("%s %d to %d for %s", f.kind, f.target+1, f.target+f.count, f.down)
				if err := faultKinds[f.kind](h, f); err != nil {
					t.Errorf("fault %s: %v", f.kind, err)
				}
			}
		})
	}
}

// servers returns the servers that the deadly requests reach.
func (h *history) servers() []*platformsite.ServerProcess {
	// The plain servers come first.
	if h.plan.kind == deadlyPlainRequest {
		return h.site.Servers[:runnerCount]
	}
	return h.site.Servers[runnerCount:]
}

func (h *history) agents(f fault) []*site.Process {
	return h.site.AgentProcesses()[f.target : f.target+f.count]
}

// disturb plays a fault of entries and records when they were disturbed.
func (h *history) disturb(f fault, play func(fault, []*site.Process) error) error {
	from := time.Now()
	err := play(f, h.site.EntryProcesses()[f.target:f.target+f.count])
	for entry := f.target; entry < f.target+f.count; entry++ {
		h.disturbed(entry, from, time.Now())
	}
	return err
}

func kill(f fault, processes []*site.Process) error {
	if err := site.KillAll(processes...); err != nil {
		return err
	}
	time.Sleep(f.down)
	return site.StartAll(processes...)
}

func freeze(f fault, processes []*site.Process) error {
	for _, process := range processes {
		if err := process.Freeze(); err != nil {
			return err
		}
	}
	time.Sleep(f.down)
	for _, process := range processes {
		if err := process.Thaw(); err != nil {
			return err
		}
	}
	return nil
}

// terminate has processes stop as planned, and starts them again.
func terminate(f fault, processes []*site.Process) error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	for _, process := range processes {
		if err := process.Terminate(); err != nil {
			return err
		}
	}
	for _, process := range processes {
		// A process that has just started may end by the signal itself.
		var exit *exec.ExitError
		if err := process.Wait(ctx); err != nil && (!errors.As(err, &exit) || exit.Exited()) {
			return err
		}
	}
	time.Sleep(f.down)
	return site.StartAll(processes...)
}

// silenceStore leaves all calls of the store without a response.
func (h *history) silenceStore(f fault) error {
	from := time.Now()
	h.site.Store.SetFaults(metadatastore.Faults{Silent: true})
	time.Sleep(f.down)
	h.site.Store.SetFaults(metadatastore.Faults{})
	for entry := range entryCount {
		h.disturbed(entry, from, time.Now())
	}
	return nil
}

// killServer kills a server. keepServersRunning starts it again.
func (h *history) killServer(f fault) error {
	server := h.servers()[f.target]
	if !server.Running() {
		return nil
	}
	h.mu.Lock()
	h.killed[server] = f.down
	h.kills = append(h.kills, serverKill{server, time.Now()})
	h.mu.Unlock()
	return server.Signal(syscall.SIGKILL)
}

// downTime returns how long a server that has exited is down, if it wasn't killed.
func (h *history) downTime(server *platformsite.ServerProcess, otherwise time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	down, killed := h.killed[server]
	delete(h.killed, server)
	if killed {
		return down
	}
	return otherwise
}

// keepServersRunning starts servers again that have exited, until end is called.
func (h *history) keepServersRunning(t *testing.T) (end func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	running := 0
	for i, server := range h.site.Servers {
		running++
		go func() {
			defer func() { done <- struct{}{} }()
			for n := i; ; n++ {
				_ = server.Wait(ctx)
				if ctx.Err() != nil {
					return
				}
				if err := h.startAgain(ctx, server, h.downTime(server, h.plan.downs[n%len(h.plan.downs)])); err != nil && ctx.Err() == nil {
					t.Errorf("start %s: %v", server.ID, err)
				}
			}
		}()
	}
	return func() {
		cancel()
		for range running {
			<-done
		}
	}
}

// startAgain starts a server that has exited after a time, and registers it.
func (h *history) startAgain(ctx context.Context, server *platformsite.ServerProcess, down time.Duration) error {
	h.note("%s has exited", server.ID)
	if !sleep(ctx, down) {
		return ctx.Err()
	}
	if err := server.Start(); err != nil {
		return err
	}
	h.note("%s started", server.ID)
	if err := server.Register(ctx); err != nil && server.Running() {
		return fmt.Errorf("register: %w", err)
	}
	return nil
}

// sleep waits for a time, and reports false if ctx ends first.
func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}
