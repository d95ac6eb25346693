package site

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// maxDatagram is the size of the largest datagram that a Relay forwards.
const maxDatagram = 64 << 10

// NetworkFaults are faults of the network, which apply to each direction.
type NetworkFaults struct {
	// Loss is the fraction of lost datagrams, from 0 to 1.
	Loss float64
	// Delay is the minimum latency of a datagram; a random part of up to Jitter is
	// added to it.
	Delay  time.Duration
	Jitter time.Duration
	// DropAll drops all datagrams.
	DropAll bool
}

// Relay forwards the datagrams of the internal protocol between a host and its peers,
// over a simulated network with faults.
type Relay struct {
	target *net.UDPAddr
	socket *net.UDPConn

	mu     sync.Mutex
	random *rand.Rand
	faults NetworkFaults
	peers  map[string]*net.UDPConn
	closed bool
}

// NewRelay opens a relay in front of an address.
func NewRelay(target string, seed uint64) (*Relay, error) {
	address, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, fmt.Errorf("site: relay: %w", err)
	}
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("site: relay: %w", err)
	}
	r := &Relay{
		target: address,
		socket: socket,
		random: rand.New(rand.NewPCG(seed, 0)),
		peers:  make(map[string]*net.UDPConn),
	}
	go r.readFromPeers()
	return r, nil
}

// Address returns the address at which peers reach the host.
func (r *Relay) Address() string { return r.socket.LocalAddr().String() }

// SetFaults replaces the faults of the network.
func (r *Relay) SetFaults(faults NetworkFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = faults
}

// Close closes the relay.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	_ = r.socket.Close()
	for _, peer := range r.peers {
		_ = peer.Close()
	}
}

// readFromPeers forwards datagrams from peers to the host.
func (r *Relay) readFromPeers() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := r.socket.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if upstream := r.upstream(from); upstream != nil {
			r.forward(buffer[:n], func(data []byte) { _, _ = upstream.Write(data) })
		}
	}
}

// upstream returns the socket that represents a peer towards the host.
func (r *Relay) upstream(peer *net.UDPAddr) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.peers[peer.String()]
	if known != nil || r.closed {
		return known
	}
	upstream, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		return nil
	}
	r.peers[peer.String()] = upstream
	go r.readFromHost(upstream, peer)
	return upstream
}

// readFromHost forwards datagrams from the host to a peer.
func (r *Relay) readFromHost(upstream *net.UDPConn, peer *net.UDPAddr) {
	buffer := make([]byte, maxDatagram)
	for {
		n, err := upstream.Read(buffer)
		if err != nil {
			r.mu.Lock()
			closed := r.closed
			r.mu.Unlock()
			if closed {
				return
			}
			// The host's socket is temporarily closed, as during a restart.
			time.Sleep(time.Millisecond)
			continue
		}
		r.forward(buffer[:n], func(data []byte) { _, _ = r.socket.WriteToUDP(data, peer) })
	}
}

// forward sends a datagram after its delay, or drops it.
func (r *Relay) forward(data []byte, send func([]byte)) {
	r.mu.Lock()
	faults := r.faults
	lost := faults.DropAll || r.random.Float64() < faults.Loss
	delay := faults.Delay
	if faults.Jitter > 0 {
		delay += time.Duration(r.random.Int64N(int64(faults.Jitter)))
	}
	r.mu.Unlock()
	if lost {
		return
	}
	copied := append([]byte(nil), data...)
	time.AfterFunc(delay, func() { send(copied) })
}
