package site

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

const (
	// firstPort and lastPort bound the free ports. They lie below the ports that the
	// kernel gives to outgoing connections, which would take the port of a process
	// while it restarts.
	firstPort = 10000
	lastPort  = 32000
	// blockPorts is the size of the block of ports that a test process has for
	// itself.
	blockPorts = 2000
	// maxPortTries bounds the search for a port that is free for TCP and UDP.
	maxPortTries = 100
)

// errNoPort tells that no port is free.
var errNoPort = errors.New("site: no free port")

// block is the range of ports of this process. Each port is handed out once
// before any comes again: a port looks free until the process that it is meant for
// listens, and while that restarts.
type block struct {
	mu sync.Mutex
	// lock listens on the block's first port, which keeps other processes off.
	lock  net.Listener
	first int
	taken int
}

var ownPorts block

// take returns the block's next port.
func (b *block) take() (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lock == nil {
		if err := b.claim(); err != nil {
			return 0, err
		}
	}
	port := b.first + 1 + b.taken%(blockPorts-1)
	b.taken++
	return port, nil
}

// claim finds a block that no other process has.
func (b *block) claim() error {
	for _, index := range rand.Perm((lastPort - firstPort) / blockPorts) {
		first := firstPort + index*blockPorts
		lock, err := net.Listen("tcp", loopback(first))
		if err == nil {
			b.lock, b.first = lock, first
			return nil
		}
	}
	return errNoPort
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// ports hands out loopback addresses: consecutive ones from a base, or free
// ones if the base is zero.
type ports struct {
	next int
	// held keeps the free ports taken until all are handed out.
	held []func()
}

func (p *ports) address() (string, error) {
	if p.next > 0 {
		address := loopback(p.next)
		p.next++
		return address, nil
	}
	for range maxPortTries {
		port, err := ownPorts.take()
		if err != nil {
			return "", err
		}
		if address := loopback(port); p.hold(address) {
			return address, nil
		}
	}
	return "", errNoPort
}

// hold tries to take an address for TCP and UDP, and returns false if it is taken.
func (p *ports) hold(address string) bool {
	stream, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	packets, err := net.ListenPacket("udp", address)
	if err != nil {
		_ = stream.Close()
		return false
	}
	p.held = append(p.held, func() {
		_ = stream.Close()
		_ = packets.Close()
	})
	return true
}

// release frees the held ports for the processes.
func (p *ports) release() {
	for _, free := range p.held {
		free()
	}
	p.held = nil
}

// FreeAddresses returns loopback addresses that are free for TCP and UDP.
func FreeAddresses(count int) ([]string, error) {
	free := &ports{}
	defer free.release()
	addresses := make([]string, count)
	for i := range addresses {
		if err := assign(free, &addresses[i]); err != nil {
			return nil, err
		}
	}
	return addresses, nil
}
