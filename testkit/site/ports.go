package site

import (
	"errors"
	"fmt"
	"net"
)

// maxPortTries bounds the search for a port that is free for TCP and UDP.
const maxPortTries = 100

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
		address, ok, err := p.hold()
		if err != nil {
			return "", fmt.Errorf("site: free port: %w", err)
		}
		if ok {
			return address, nil
		}
	}
	return "", errors.New("site: no free port")
}

// hold takes a port for TCP and UDP. It returns false if the port that the
// kernel gave for TCP is taken for UDP.
func (p *ports) hold() (string, bool, error) {
	stream, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", false, err
	}
	address := stream.Addr().String()
	packets, err := net.ListenPacket("udp", address)
	if err != nil {
		return "", false, stream.Close()
	}
	p.held = append(p.held, func() {
		_ = stream.Close()
		_ = packets.Close()
	})
	return address, true, nil
}

// release frees the held ports for the processes.
func (p *ports) release() {
	for _, free := range p.held {
		free()
	}
	p.held = nil
}
