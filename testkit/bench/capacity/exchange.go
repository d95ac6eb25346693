package main

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"time"

	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/wire"
)

// packetOverhead is what IPv4 and UDP add to each datagram, in bytes.
const packetOverhead = 28

// relay passes datagrams between one client and a server and counts them.
type relay struct {
	client, server *net.UDPConn
	peer           atomic.Pointer[net.UDPAddr]
	bytes          atomic.Int64
	packets        atomic.Int64
}

func newRelay(server string) (*relay, error) {
	remote, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		return nil, err
	}
	upstream, err := net.DialUDP("udp", nil, remote)
	if err != nil {
		return nil, err
	}
	listener, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		_ = upstream.Close()
		return nil, err
	}
	r := &relay{client: listener, server: upstream}
	go r.forward()
	go r.back()
	return r, nil
}

func (r *relay) address() string { return r.client.LocalAddr().String() }

func (r *relay) close() {
	_ = r.client.Close()
	_ = r.server.Close()
}

func (r *relay) count(n int) {
	r.bytes.Add(int64(n + packetOverhead))
	r.packets.Add(1)
}

func (r *relay) forward() {
	buffer := make([]byte, 1<<16)
	for {
		n, from, err := r.client.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		r.peer.Store(from)
		r.count(n)
		_, _ = r.server.Write(buffer[:n])
	}
}

func (r *relay) back() {
	buffer := make([]byte, 1<<16)
	for {
		n, err := r.server.Read(buffer)
		if err != nil {
			return
		}
		r.count(n)
		_, _ = r.client.WriteToUDP(buffer[:n], r.peer.Load())
	}
}

// during returns the bytes that pass while fn runs and in the moment after it,
// in which acknowledgements follow.
func (r *relay) during(fn func() error) (float64, error) {
	const trail = 100 * time.Millisecond
	before := r.bytes.Load()
	err := fn()
	time.Sleep(trail)
	return float64(r.bytes.Load() - before), err
}

// pair is an entry's node and an agent's node with a relay between them.
type pair struct {
	directory    string
	entry, agent *wire.Node
	relay        *relay
}

func newPair() (*pair, error) {
	directory, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return nil, err
	}
	p := &pair{directory: directory}
	ring, err := newKeyring(directory)
	if err != nil {
		return nil, err
	}
	if p.entry, err = ring.newNode(entryID, keys.RoleEntry, &agentHandler{}); err != nil {
		return nil, err
	}
	if p.agent, err = ring.newNode(runnerID(0), keys.RoleAgent, &agentHandler{}); err != nil {
		return nil, err
	}
	p.relay, err = newRelay(p.agent.Address())
	return p, err
}

func (p *pair) close() {
	p.entry.Close()
	p.agent.Close()
	p.relay.close()
	_ = os.RemoveAll(p.directory)
}

func (p *pair) call(ctx context.Context, frame *wire.Frame) error {
	_, err := p.entry.Call(ctx, runnerID(0), p.relay.address(), frame)
	return err
}

// measureExchange measures the bytes of the control messages on the wire, both
// directions together and with the headers of IPv4 and UDP.
func measureExchange(ctx context.Context, report *report) error {
	const idleTime, syncTime = 16 * time.Second, 4 * time.Second
	p, err := newPair()
	if err != nil {
		return err
	}
	defer p.close()
	probe := func() error { return p.call(ctx, &wire.Frame{Probe: &wire.Probe{}}) }
	steps := []struct {
		name string
		unit string
		run  func() error
		// over divides the bytes.
		over float64
	}{
		{"control: dial and first probe", "B", probe, 1},
		{"control: probe on an open connection", "B", probe, 1},
		{"control: a Sync held for 4 s without news", "B", func() error {
			return p.call(ctx, &wire.Frame{Sync: &wire.Sync{WaitMillis: uint32(syncTime.Milliseconds())}})
		}, 1},
		{"control: an idle open connection", "B/s", func() error { time.Sleep(idleTime); return nil }, idleTime.Seconds()},
	}
	for _, step := range steps {
		bytes, err := p.relay.during(step.run)
		if err != nil {
			return err
		}
		report.add(&series{name: step.name, unit: step.unit, points: []point{{1, bytes / step.over}}})
	}
	return nil
}

// measureTraffic measures requests and their streamed answers over the inner
// protocol, both ends together.
func measureTraffic(ctx context.Context, report *report) error {
	p, err := newPair()
	if err != nil {
		return err
	}
	defer p.close()
	processor := &series{name: "inner protocol: one stream, processor of both ends", unit: "µs", per: "token"}
	allocs := &series{name: "inner protocol: one stream, allocations of both ends", unit: "allocs", per: "token"}
	onWire := &series{name: "inner protocol: one stream, bytes on the wire", unit: "B", per: "token"}
	for _, tokens := range chunkSizes {
		var failed error
		used := measureCost(func() {
			if err := ask(ctx, p.entry, runnerID(0), p.agent.Address(), tokens); err != nil {
				failed = err
			}
		})
		if failed != nil {
			return failed
		}
		processor.add(tokens, used.micros)
		allocs.add(tokens, used.allocs)
	}
	for _, tokens := range chunkSizes {
		bytes, err := p.relay.during(func() error {
			return ask(ctx, p.entry, runnerID(0), p.relay.address(), tokens)
		})
		if err != nil {
			return err
		}
		onWire.add(tokens, bytes)
	}
	report.add(processor, allocs, onWire)
	return nil
}
