package site

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// Process is one process of the site. It writes its output to a log file. It is safe
// for concurrent use.
type Process struct {
	Name string
	// Output receives standard output instead of the log file, if it is set.
	Output *os.File

	path    string
	args    []string
	logPath string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	exit error
}

// NewProcess returns a process that isn't started yet.
func NewProcess(name, path string, args []string, logPath string) *Process {
	return &Process{Name: name, path: path, args: args, logPath: logPath}
}

// SetArgs replaces the arguments of later starts.
func (p *Process) SetArgs(args []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.args = args
}

// Start starts the process. The kernel kills it when the calling process dies.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("site: log of %s: %w", p.Name, err)
	}
	defer log.Close()
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout = log
	cmd.Stderr = log
	if p.Output != nil {
		cmd.Stdout = p.Output
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("site: start %s: %w", p.Name, err)
	}
	p.cmd = cmd
	p.done = make(chan struct{})
	go p.wait(cmd, p.done)
	return nil
}

func (p *Process) wait(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	p.exit = err
	p.mu.Unlock()
	close(done)
}

func (p *Process) current() (*exec.Cmd, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd, p.done
}

// Signal sends a signal unless the process has exited.
func (p *Process) Signal(signal syscall.Signal) error {
	cmd, done := p.current()
	if cmd == nil {
		return fmt.Errorf("site: %s was not started", p.Name)
	}
	select {
	case <-done:
		return nil
	default:
	}
	if err := cmd.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("site: signal %s: %w", p.Name, err)
	}
	return nil
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	_, done := p.current()
	<-done
	return nil
}

// KillAll sends SIGKILL to all processes, and then waits until they have exited.
func KillAll(processes ...*Process) error {
	var failures []error
	for _, process := range processes {
		failures = append(failures, process.Signal(syscall.SIGKILL))
	}
	for _, process := range processes {
		failures = append(failures, process.Kill())
	}
	return errors.Join(failures...)
}

// StartAll starts processes that have exited.
func StartAll(processes ...*Process) error {
	var failures []error
	for _, process := range processes {
		failures = append(failures, process.Start())
	}
	return errors.Join(failures...)
}

// Terminate sends SIGTERM and doesn't wait.
func (p *Process) Terminate() error { return p.Signal(syscall.SIGTERM) }

// Stop sends SIGTERM and waits until the process has exited. It returns an error if
// ctx ended first or the process failed.
func (p *Process) Stop(ctx context.Context) error {
	if err := p.Terminate(); err != nil {
		return err
	}
	return p.Wait(ctx)
}

// Wait waits until the process has exited and returns its failure.
func (p *Process) Wait(ctx context.Context) error {
	_, done := p.current()
	select {
	case <-done:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.exit
	case <-ctx.Done():
		return fmt.Errorf("site: %s has not exited: %w", p.Name, ctx.Err())
	}
}

// Freeze suspends the process with SIGSTOP.
func (p *Process) Freeze() error { return p.Signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process.
func (p *Process) Thaw() error { return p.Signal(syscall.SIGCONT) }

// Restart kills the process if it is running and starts it again with the same
// arguments.
func (p *Process) Restart() error {
	if err := p.Kill(); err != nil {
		return err
	}
	return p.Start()
}

// PID returns the process ID of the latest start, or zero.
func (p *Process) PID() int {
	cmd, _ := p.current()
	if cmd == nil {
		return 0
	}
	return cmd.Process.Pid
}

// Running reports whether the process was started and has not exited.
func (p *Process) Running() bool {
	_, done := p.current()
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

// Log returns the process's log.
func (p *Process) Log() string {
	data, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

const pollInterval = 20 * time.Millisecond

// Eventually calls check until it returns nil. If ctx ends first, it returns
// the last error of check.
func Eventually(ctx context.Context, check func() error) error {
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		case <-time.After(pollInterval):
		}
	}
}
