package site

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// maxDatagram is the size of the largest datagram that a Relay passes on.
const maxDatagram = 64 << 10

// LinkFaults describe a bad link, in each direction.
type LinkFaults struct {
	// Loss is the share of lost datagrams, from 0 to 1.
	Loss float64
	// Delay and Jitter are the least time and the spread of a datagram's way.
	Delay  time.Duration
	Jitter time.Duration
	// Cut loses all datagrams.
	Cut bool
}

// Relay passes the datagrams of the inner protocol between a host and its peers,
// over a link with faults.
type Relay struct {
	target *net.UDPAddr
	socket *net.UDPConn

	mu     sync.Mutex
	random *rand.Rand
	faults LinkFaults
	peers  map[string]*net.UDPConn
	closed bool
}

// NewRelay opens a relay before an address.
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
	go r.fromPeers()
	return r, nil
}

// Address is where peers reach the host.
func (r *Relay) Address() string { return r.socket.LocalAddr().String() }

// SetFaults replaces the faults of the link.
func (r *Relay) SetFaults(faults LinkFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = faults
}

// Close ends the relay.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	_ = r.socket.Close()
	for _, peer := range r.peers {
		_ = peer.Close()
	}
}

// fromPeers passes on what peers send.
func (r *Relay) fromPeers() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := r.socket.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if upstream := r.upstream(from); upstream != nil {
			r.pass(buffer[:n], func(data []byte) { _, _ = upstream.Write(data) })
		}
	}
}

// upstream returns the socket that stands for a peer towards the host.
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
	go r.fromHost(upstream, peer)
	return upstream
}

// fromHost passes on what the host answers to a peer.
func (r *Relay) fromHost(upstream *net.UDPConn, peer *net.UDPAddr) {
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
			// The host's socket is closed for the moment.
			time.Sleep(time.Millisecond)
			continue
		}
		r.pass(buffer[:n], func(data []byte) { _, _ = r.socket.WriteToUDP(data, peer) })
	}
}

// pass sends a datagram on, late or not at all.
func (r *Relay) pass(data []byte, send func([]byte)) {
	r.mu.Lock()
	faults := r.faults
	lost := faults.Cut || r.random.Float64() < faults.Loss
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
