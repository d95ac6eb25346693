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

// packetOverhead is the size of the IPv4 and UDP headers of a datagram, in bytes.
const packetOverhead = 28

// countingProxy forwards datagrams between one client and a server and counts them.
type countingProxy struct {
	client, server *net.UDPConn
	peer           atomic.Pointer[net.UDPAddr]
	bytes          atomic.Int64
	packets        atomic.Int64
}

func newCountingProxy(server string) (*countingProxy, error) {
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
	r := &countingProxy{client: listener, server: upstream}
	go r.forward()
	go r.backward()
	return r, nil
}

func (r *countingProxy) address() string { return r.client.LocalAddr().String() }

func (r *countingProxy) close() {
	_ = r.client.Close()
	_ = r.server.Close()
}

func (r *countingProxy) count(n int) {
	r.bytes.Add(int64(n + packetOverhead))
	r.packets.Add(1)
}

func (r *countingProxy) forward() {
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

func (r *countingProxy) backward() {
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

// bytesDuring returns the bytes that are forwarded while fn runs and shortly after
// it, when acknowledgements follow.
func (r *countingProxy) bytesDuring(fn func() error) (float64, error) {
	const ackDelay = 100 * time.Millisecond
	before := r.bytes.Load()
	err := fn()
	time.Sleep(ackDelay)
	return float64(r.bytes.Load() - before), err
}

// nodePair is an entry's node and an agent's node with a proxy between them.
type nodePair struct {
	directory    string
	entry, agent *wire.Node
	proxy        *countingProxy
}

func newNodePair() (*nodePair, error) {
	directory, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return nil, err
	}
	p := &nodePair{directory: directory}
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
	p.proxy, err = newCountingProxy(p.agent.Address())
	return p, err
}

func (p *nodePair) close() {
	p.entry.Close()
	p.agent.Close()
	p.proxy.close()
	_ = os.RemoveAll(p.directory)
}

func (p *nodePair) call(ctx context.Context, frame *wire.Frame) error {
	_, err := p.entry.Call(ctx, runnerID(0), p.proxy.address(), frame)
	return err
}

// measureExchange measures the bytes of the control messages on the wire, in both
// directions together and including the IPv4 and UDP headers.
func measureExchange(ctx context.Context, report *report) error {
	const (
		dials    = 10
		probes   = 50
		syncs    = 20
		syncWait = 200 * time.Millisecond
		idleTime = 16 * time.Second
	)
	p, err := newNodePair()
	if err != nil {
		return err
	}
	defer p.close()
	dial, err := p.dialBytes(ctx, dials)
	if err != nil {
		return err
	}
	probe := func() error { return p.call(ctx, &wire.Frame{Probe: &wire.Probe{}}) }
	if err := repeat(probes, probe); err != nil {
		return err
	}
	steps := []struct {
		name string
		unit string
		// times is how often call runs; the bytes are divided by divisor.
		times   int
		call    func() error
		divisor float64
	}{
		{"control: probe on an open connection", "B", probes, probe, probes},
		{"control: a Sync without changes", "B", syncs, func() error {
			return p.call(ctx, &wire.Frame{Sync: &wire.Sync{WaitMillis: uint32(syncWait.Milliseconds())}})
		}, syncs},
		{"control: an idle open connection", "B/s", 1, func() error { time.Sleep(idleTime); return nil }, idleTime.Seconds()},
	}
	report.add(&series{name: "control: dial and first probe", unit: "B", points: []point{{dials, dial}}})
	for _, step := range steps {
		bytes, err := p.proxy.bytesDuring(func() error { return repeat(step.times, step.call) })
		if err != nil {
			return err
		}
		report.add(&series{name: step.name, unit: step.unit, points: []point{{step.times, bytes / step.divisor}}})
	}
	return nil
}

func repeat(times int, fn func() error) error {
	for range times {
		if err := fn(); err != nil {
			return err
		}
	}
	return nil
}

// dialBytes returns the mean number of bytes of connections through new proxies,
// each with one probe.
func (p *nodePair) dialBytes(ctx context.Context, times int) (float64, error) {
	const settleTime = time.Second
	var proxies []*countingProxy
	for range times {
		fresh, err := newCountingProxy(p.agent.Address())
		if err != nil {
			return 0, err
		}
		defer fresh.close()
		proxies = append(proxies, fresh)
		if _, err := p.entry.Call(ctx, runnerID(0), fresh.address(), &wire.Frame{Probe: &wire.Probe{}}); err != nil {
			return 0, err
		}
	}
	time.Sleep(settleTime)
	total := int64(0)
	for _, used := range proxies {
		total += used.bytes.Load()
	}
	return float64(total) / float64(times), nil
}

// measureTraffic measures requests and their streamed responses over the internal
// protocol, both ends together.
func measureTraffic(ctx context.Context, report *report) error {
	p, err := newNodePair()
	if err != nil {
		return err
	}
	defer p.close()
	processor := &series{name: "internal protocol: one stream, processor of both ends", unit: "µs", per: "token"}
	allocs := &series{name: "internal protocol: one stream, allocations of both ends", unit: "allocs", per: "token"}
	onWire := &series{name: "internal protocol: one stream, bytes on the wire", unit: "B", per: "token"}
	for _, tokens := range chunkSizes {
		var failed error
		used := measureCost(func() {
			if err := sendRequest(ctx, p.entry, runnerID(0), p.agent.Address(), tokens); err != nil {
				failed = err
			}
		})
		if failed != nil {
			return failed
		}
		processor.add(tokens, used.micros)
		allocs.add(tokens, used.allocs)
	}
	const times = 20
	for _, tokens := range chunkSizes {
		through := func() error { return sendRequest(ctx, p.entry, runnerID(0), p.proxy.address(), tokens) }
		if err := repeat(times, through); err != nil {
			return err
		}
		bytes, err := p.proxy.bytesDuring(func() error { return repeat(times, through) })
		if err != nil {
			return err
		}
		onWire.add(tokens, bytes/times)
	}
	report.add(processor, allocs, onWire)
	return nil
}
