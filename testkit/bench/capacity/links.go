package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"

	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/settings"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

const (
	entryID  = "entry-0000"
	validity = 90 * 24 * time.Hour
)

// keyring issues the host keys of one site and writes them to a directory.
type keyring struct {
	directory string
	authority keys.Pair
}

const authorityName = "ca"

func newKeyring(directory string) (*keyring, error) {
	authority, err := keys.NewAuthority("bench", time.Now(), validity)
	if err != nil {
		return nil, err
	}
	if err := authority.Write(directory, authorityName); err != nil {
		return nil, err
	}
	return &keyring{directory: directory, authority: authority}, nil
}

func openKeyring(directory string) (*keyring, error) {
	authority, err := keys.ReadPair(directory, authorityName)
	return &keyring{directory: directory, authority: authority}, err
}

// newNode starts a node on a free loopback port.
func (k *keyring) newNode(id, role string, handler wire.Handler) (*wire.Node, error) {
	pair, err := keys.IssueHost(k.authority, id, role, time.Now(), validity)
	if err != nil {
		return nil, err
	}
	if err := pair.Write(k.directory, id); err != nil {
		return nil, err
	}
	files := settings.InternalTLS{
		CAFile:   keys.CertPath(k.directory, authorityName),
		CertFile: keys.CertPath(k.directory, id),
		KeyFile:  keys.KeyPath(k.directory, id),
	}
	serverTLS, err := keys.ServerConfig(files, keys.RoleEntry, keys.RoleAgent)
	if err != nil {
		return nil, err
	}
	clientTLS, err := keys.ClientConfig(files, keys.RoleEntry, keys.RoleAgent)
	if err != nil {
		return nil, err
	}
	return wire.NewNode(wire.NodeConfig{
		Address:   "127.0.0.1:0",
		ServerTLS: serverTLS,
		ClientTLS: clientTLS,
		Identify:  keys.Identify,
		Handler:   handler,
		Logger:    slog.New(slog.DiscardHandler),
	})
}

// serveAgents is the main function of the child process: it starts nodes, prints
// their addresses, and prints its heap size for each line that it reads.
func serveAgents(_ context.Context, directory string, count int) error {
	ring, err := openKeyring(directory)
	if err != nil {
		return err
	}
	for i := range count {
		node, err := ring.newNode(runnerID(i), keys.RoleAgent, &agentHandler{runner: i})
		if err != nil {
			return err
		}
		defer node.Close()
		fmt.Println(node.Address())
	}
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		fmt.Println(strconv.FormatFloat(liveHeap(), 'f', 0, 64))
	}
	return nil
}

// agentProcess is a child process that runs agent nodes.
type agentProcess struct {
	command   *exec.Cmd
	input     io.WriteCloser
	output    *bufio.Scanner
	addresses []string
}

func startAgents(directory string, count int) (*agentProcess, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &agentProcess{command: exec.Command(program, "--serve-agents", strconv.Itoa(count), "--directory", directory)}
	p.command.Stderr = os.Stderr
	if p.input, err = p.command.StdinPipe(); err != nil {
		return nil, err
	}
	output, err := p.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	p.output = bufio.NewScanner(output)
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	for range count {
		if !p.output.Scan() {
			return nil, fmt.Errorf("agent process exited early: %w", p.command.Wait())
		}
		p.addresses = append(p.addresses, p.output.Text())
	}
	return p, nil
}

func (p *agentProcess) heap() float64 {
	_, _ = fmt.Fprintln(p.input, "heap")
	if !p.output.Scan() {
		return 0
	}
	bytes, _ := strconv.ParseFloat(strings.TrimSpace(p.output.Text()), 64)
	return bytes
}

func (p *agentProcess) stop() {
	_ = p.input.Close()
	_ = p.command.Wait()
}

// measurePeerMemory measures the memory of connections and of waiting streams,
// separately for each end, with the agents in a separate process.
func measurePeerMemory(ctx context.Context, report *report) error {
	const agentCount = 1000
	directory, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return err
	}
	defer os.RemoveAll(directory)
	ring, err := newKeyring(directory)
	if err != nil {
		return err
	}
	agents, err := startAgents(directory, agentCount)
	if err != nil {
		return err
	}
	defer agents.stop()
	node, err := ring.newNode(entryID, keys.RoleEntry, &agentHandler{})
	if err != nil {
		return err
	}
	defer node.Close()
	if err := measureConnections(ctx, report, node, agents); err != nil {
		return err
	}
	return measureStreams(ctx, report, node, agents)
}

// measureConnections opens connections in three steps, fast enough that the first
// ones don't expire.
func measureConnections(ctx context.Context, report *report, node *wire.Node, agents *agentProcess) error {
	dialler := &series{name: "connections: the dialling end, heap and stacks", unit: "B", per: "connection"}
	acceptor := &series{name: "connections: the accepting end, heap and stacks", unit: "B", per: "connection"}
	resident := &series{name: "connections: the dialling process, resident", unit: "B", per: "connection"}
	dial := &series{name: "connections: dial and probe, processor of the dialling end", unit: "µs", per: "connection"}
	base, agentBase := liveHeap(), agents.heap()
	opened := 0
	for _, size := range []int{100, 400, len(agents.addresses)} {
		before := processorTime()
		if err := probeAll(ctx, node, agents, opened, size); err != nil {
			return err
		}
		dial.add(size, float64((processorTime()-before).Microseconds())/float64(size-opened))
		opened = size
		dialler.add(size, liveHeap()-base)
		acceptor.add(size, agents.heap()-agentBase)
		resident.add(size, residentBytes(os.Getpid()))
	}
	report.add(dialler, acceptor, resident, dial)
	return nil
}

func probeAll(ctx context.Context, node *wire.Node, agents *agentProcess, from, to int) error {
	const maxConcurrent = 16
	slots := make(chan struct{}, maxConcurrent)
	var wait sync.WaitGroup
	var mu sync.Mutex
	var failed error
	for i := from; i < to; i++ {
		slots <- struct{}{}
		wait.Go(func() {
			if _, err := node.Call(ctx, runnerID(i), agents.addresses[i], &wire.Frame{Probe: &wire.Probe{}}); err != nil {
				mu.Lock()
				failed = err
				mu.Unlock()
			}
			<-slots
		})
	}
	wait.Wait()
	return failed
}

func measureStreams(ctx context.Context, report *report, node *wire.Node, agents *agentProcess) error {
	opener := &series{name: "streams: a waiting Sync, the requesting end, heap and stacks", unit: "B", per: "stream"}
	server := &series{name: "streams: a waiting Sync, the responding end, heap and stacks", unit: "B", per: "stream"}
	ctx, cancel := context.WithCancel(ctx)
	var wait sync.WaitGroup
	defer wait.Wait()
	defer cancel()
	base, agentBase := liveHeap(), agents.heap()
	opened := 0
	for _, size := range []int{100, 500, 1000} {
		for ; opened < size; opened++ {
			wait.Go(func() {
				_, _ = node.Call(ctx, runnerID(0), agents.addresses[0], &wire.Frame{Sync: &wire.Sync{WaitMillis: 60000}})
			})
		}
		const settleTime = 500 * time.Millisecond
		time.Sleep(settleTime)
		opener.add(size, liveHeap()-base)
		server.add(size, agents.heap()-agentBase)
	}
	report.add(opener, server)
	runtime.KeepAlive(node)
	return nil
}
