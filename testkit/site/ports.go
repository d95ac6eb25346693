package site

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

const (
	// firstPort and portCount are the range in which free ports are searched. It
	// lies below the ports that the kernel gives to outgoing connections, which
	// would take the port of a process while it restarts.
	firstPort = 10000
	portCount = 22000
	// maxPortTries bounds the search for a port that is free for TCP and UDP.
	maxPortTries = 100
)

// ports hands out loopback addresses: consecutive ones from a base, or free
// ones if the base is zero.
type ports struct {
	next int
	// held keeps the free ports taken until all are handed out.
	held []func()
}

func (p *ports) address() (string, error) {
	if p.next > 0 {
		address := fmt.Sprintf("127.0.0.1:%d", p.next)
		p.next++
		return address, nil
	}
	for range maxPortTries {
		if address, ok := p.hold(); ok {
			return address, nil
		}
	}
	return "", errors.New("site: no free port")
}

// hold tries to take a port for TCP and UDP, and returns false if it is taken.
func (p *ports) hold() (string, bool) {
	address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
	stream, err := net.Listen("tcp", address)
	if err != nil {
		return "", false
	}
	packets, err := net.ListenPacket("udp", address)
	if err != nil {
		_ = stream.Close()
		return "", false
	}
	p.held = append(p.held, func() {
		_ = stream.Close()
		_ = packets.Close()
	})
	return address, true
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
